package health

import (
	"time"

	"sequoiastall/internal/core/job"
)

// quarantine is the state of a quarantined worker: only probes are started on it, one at a time.
type quarantine struct {
	delay time.Duration
	next  time.Time // when the next probe is due
	probe *job.TaskID
}

func (q *quarantine) schedule(now time.Time) {
	q.delay = min(max(probeMinDelay, q.delay), probeMaxDelay)
	q.next, q.probe = now.Add(q.delay), nil
}

// Quarantined reports whether a worker is in quarantine and gets only probes.
func (t *Tracker) Quarantined(worker string) bool {
	w := t.workers[worker]
	return w != nil && w.quarantine != nil
}

// ProbeDue reports whether a task should be started on a quarantined worker as a probe, to check whether it has
// recovered.
func (t *Tracker) ProbeDue(worker string, now time.Time) bool {
	w := t.workers[worker]
	return w != nil && w.quarantine != nil && w.quarantine.probe == nil && !now.Before(w.quarantine.next)
}

// StartProbe records that a task was started as a probe on a quarantined worker. It returns false if no probe is due.
func (t *Tracker) StartProbe(worker string, task job.TaskID, now time.Time) bool {
	if !t.ProbeDue(worker, now) {
		return false
	}
	t.workers[worker].quarantine.probe = &task
	return true
}

// CancelProbe records that a probe ended without an outcome, for instance because its job was cancelled. The next one
// is due after the same delay.
func (t *Tracker) CancelProbe(worker string, task job.TaskID, now time.Time) {
	if w := t.workers[worker]; w != nil && w.quarantine != nil && w.quarantine.probe != nil && *w.quarantine.probe == task {
		w.quarantine.schedule(now)
	}
}

// probeFailed schedules the next probe if the failed task was the current one. It doubles the delay if the failure
// counts against the worker.
func (t *Tracker) probeFailed(o Outcome, w *workerEvidence, now time.Time) {
	q := w.quarantine
	if q == nil || q.probe == nil || *q.probe != o.Task {
		return
	}
	if i := w.streakIndex(o.Task.Job); i >= 0 && t.jobKnownGood(&w.streak[i], o.Worker) {
		q.delay *= 2
	}
	q.schedule(now)
}
