package health

import (
	"time"

	"sequoiastall/internal/core/job"
)

// quarantine is the state of a worker that gets only probes, one at a time.
type quarantine struct {
	delay time.Duration
	next  time.Time // of the next probe
	probe *job.TaskID
}

func (q *quarantine) schedule(now time.Time) {
	q.delay = min(max(probeDelay, q.delay), probeMaximum)
	q.next, q.probe = now.Add(q.delay), nil
}

// Quarantined reports whether a worker gets only probes.
func (t *Tracker) Quarantined(worker string) bool {
	w := t.workers[worker]
	return w != nil && w.quarantine != nil
}

// ProbeDue reports whether one task should be started on a quarantined worker to find out whether it works again.
func (t *Tracker) ProbeDue(worker string, now time.Time) bool {
	w := t.workers[worker]
	return w != nil && w.quarantine != nil && w.quarantine.probe == nil && !now.Before(w.quarantine.next)
}

// StartProbe notes that a task was started on a quarantined worker. It reports false if no probe is due.
func (t *Tracker) StartProbe(worker string, task job.TaskID, now time.Time) bool {
	if !t.ProbeDue(worker, now) {
		return false
	}
	t.workers[worker].quarantine.probe = &task
	return true
}

// CancelProbe notes that a probe ended without an outcome, for instance because its job was cancelled. The next one is
// due after the same delay.
func (t *Tracker) CancelProbe(worker string, task job.TaskID, now time.Time) {
	if w := t.workers[worker]; w != nil && w.quarantine != nil && w.quarantine.probe != nil && *w.quarantine.probe == task {
		w.quarantine.schedule(now)
	}
}

// probeFailed doubles the delay if the failed task was the probe and speaks against the worker.
func (t *Tracker) probeFailed(o Outcome, w *worker, now time.Time) {
	q := w.quarantine
	if q == nil || q.probe == nil || *q.probe != o.Task {
		return
	}
	if at := w.find(o.Task.Job); at >= 0 && t.working(&w.streak[at], o.Worker) {
		q.delay *= 2
	}
	q.schedule(now)
}
