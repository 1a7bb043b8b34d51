package health

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// Tracker collects the evidence on workers and jobs. It isn't safe for concurrent use.
type Tracker struct {
	workers map[string]*workerEvidence // workers with a streak
	jobs    map[job.ID]*jobEvidence
	kinds   map[string]*kindEvidence
	losses  []lossEvent // within lossWindow, oldest first
}

// workerEvidence is the evidence on a worker.
type workerEvidence struct {
	streak     []failure // jobs that failed since the last success, one entry each, ordered by their last failure
	quarantine *quarantine
}

// failure is the last failure of a job in a worker's streak.
type failure struct {
	job                job.ID
	kind               string
	at                 time.Time
	succeededElsewhere bool // the job succeeded on another worker
}

// jobEvidence is the evidence on a job.
type jobEvidence struct {
	failed           map[int32][]string // workers on which a task failed, by index, until it succeeds
	failedWorkers    []string           // workers on which any task failed, up to maxTaskFailureWorkers
	succeededWorkers []string           // up to two workers, so that there is one other than any given worker
	markedFaulty     bool
}

// kindEvidence holds the last successes of work of a kind, on up to two different workers.
type kindEvidence struct{ successes []success }

type success struct {
	worker string
	at     time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{workers: map[string]*workerEvidence{}, jobs: map[job.ID]*jobEvidence{}, kinds: map[string]*kindEvidence{}}
}

// Observe records the end of a task that wasn't ended by a command, and returns the resulting verdicts.
func (t *Tracker) Observe(o Outcome, now time.Time) []Verdict {
	if o.Succeeded {
		return t.succeeded(o, now)
	}
	return t.failed(o, now)
}

func (t *Tracker) succeeded(o Outcome, now time.Time) []Verdict {
	t.kindEvidence(o.Kind, now).addSuccess(o.Worker, now)
	h := t.jobEvidence(o.Task.Job)
	delete(h.failed, o.Task.Index)
	if len(h.succeededWorkers) < 2 && !slices.Contains(h.succeededWorkers, o.Worker) {
		h.succeededWorkers = append(h.succeededWorkers, o.Worker)
	}
	var verdicts []Verdict
	if w := t.workers[o.Worker]; w != nil {
		delete(t.workers, o.Worker)
		if w.quarantine != nil {
			verdicts = append(verdicts, Verdict{Action: Restore, Worker: o.Worker, Reason: "a task succeeded"})
		}
	}
	for _, w := range t.workers {
		if i := w.streakIndex(o.Task.Job); i >= 0 {
			w.streak[i].succeededElsewhere = true
		}
	}
	return append(verdicts, t.reviewWorkers(o.Task.Job, "", now)...)
}

// streakIndex returns the position of a job in the worker's streak, or -1.
func (w *workerEvidence) streakIndex(id job.ID) int {
	return slices.IndexFunc(w.streak, func(f failure) bool { return f.job == id })
}

func (t *Tracker) failed(o Outcome, now time.Time) []Verdict {
	h, w := t.jobEvidence(o.Task.Job), t.workerEvidence(o.Worker)
	h.failed[o.Task.Index] = addWorker(h.failed[o.Task.Index], o.Worker)
	h.failedWorkers = addWorker(h.failedWorkers, o.Worker)
	if i := w.streakIndex(o.Task.Job); i >= 0 {
		w.streak = slices.Delete(w.streak, i, i+1)
	}
	if len(w.streak) >= maxStreak {
		w.streak = slices.Delete(w.streak, 0, 1)
	}
	w.streak = append(w.streak, failure{job: o.Task.Job, kind: o.Kind, at: now, succeededElsewhere: h.succeededElsewhere(o.Worker)})
	t.probeFailed(o, w, now)
	verdicts := t.reviewWorkers(o.Task.Job, o.Worker, now)
	if reason := t.jobFailureReason(o.Task, h); reason != "" {
		h.markedFaulty = true
		verdicts = append(verdicts, Verdict{Action: FailJob, Job: o.Task.Job, Reason: reason})
	}
	return verdicts
}

// addWorker adds a worker to a list without duplicates. The list is capped at maxTaskFailureWorkers, beyond which more
// workers change no verdict.
func addWorker(list []string, worker string) []string {
	if len(list) >= maxTaskFailureWorkers || slices.Contains(list, worker) {
		return list
	}
	return append(list, worker)
}

func (h *jobEvidence) succeededElsewhere(worker string) bool {
	return slices.ContainsFunc(h.succeededWorkers, func(w string) bool { return w != worker })
}

// reviewWorkers quarantines the workers whose streak is conclusive, and restores those whose streak is no longer
// conclusive because its jobs have failed elsewhere too. It reviews the given worker and the workers whose streak
// contains the job.
func (t *Tracker) reviewWorkers(jobID job.ID, worker string, now time.Time) []Verdict {
	var affected []string
	for name, w := range t.workers {
		if name == worker || w.streakIndex(jobID) >= 0 {
			affected = append(affected, name)
		}
	}
	slices.Sort(affected)
	var verdicts []Verdict
	for _, name := range affected {
		w := t.workers[name]
		againstWorker, faultyJobs := t.countAgainstWorker(name, w), t.countFaultyJobs(name, w)
		switch {
		case w.quarantine == nil && againstWorker >= quarantineStreak:
			w.quarantine = &quarantine{}
			w.quarantine.schedule(now)
			verdicts = append(verdicts, Verdict{Action: Quarantine, Worker: name, Reason: fmt.Sprintf(
				"tasks of %d different jobs failed in a row while such tasks succeeded on other workers", againstWorker)})
		case w.quarantine != nil && len(w.streak)-faultyJobs < quarantineStreak:
			w.quarantine = nil
			verdicts = append(verdicts, Verdict{Action: Restore, Worker: name, Reason: "the jobs that failed on it failed on other workers too"})
		}
	}
	return verdicts
}

// countAgainstWorker returns the number of jobs in a worker's streak whose failure counts against the worker.
func (t *Tracker) countAgainstWorker(name string, w *workerEvidence) int {
	count := 0
	for i := range w.streak {
		if t.jobKnownGood(&w.streak[i], name) {
			count++
		}
	}
	return count
}

// jobKnownGood reports whether a job that failed on a worker is known to work: it succeeded elsewhere, or it didn't fail
// on another worker and work of its kind succeeded elsewhere recently.
func (t *Tracker) jobKnownGood(f *failure, name string) bool {
	return f.succeededElsewhere || (!t.failedElsewhere(f.job, name) && t.kinds[f.kind].succeededElsewhere(name, f.at))
}

// countFaultyJobs returns the number of jobs in the streak that also failed elsewhere and succeeded on no other worker.
func (t *Tracker) countFaultyJobs(name string, w *workerEvidence) int {
	count := 0
	for i := range w.streak {
		if !w.streak[i].succeededElsewhere && t.failedElsewhere(w.streak[i].job, name) {
			count++
		}
	}
	return count
}

// failedElsewhere reports whether a job failed on another worker that isn't in quarantine.
func (t *Tracker) failedElsewhere(id job.ID, except string) bool {
	h := t.jobs[id]
	return h != nil && slices.ContainsFunc(h.failedWorkers, func(name string) bool { return name != except && !t.Quarantined(name) })
}

// jobFailureReason returns the reason to fail a job, or "" if there is none or the job was already marked faulty.
func (t *Tracker) jobFailureReason(task job.TaskID, h *jobEvidence) string {
	if h.markedFaulty {
		return ""
	}
	workers, conclusive := h.failed[task.Index], 0
	for _, name := range workers {
		if t.countsAgainstJob(name, task.Job) {
			conclusive++
		}
	}
	switch {
	case conclusive >= jobFailureWorkers:
		return fmt.Sprintf("task %d failed on %d different workers that aren't suspect", task.Index, conclusive)
	case len(workers) >= maxTaskFailureWorkers:
		return fmt.Sprintf("task %d failed on %d different workers", task.Index, len(workers))
	}
	return ""
}

// countsAgainstJob reports whether a job's failure on a worker counts against the job: the worker isn't in quarantine,
// and few other jobs failed there that didn't fail on other workers too. Until it is known whether those other jobs work
// elsewhere, the failure isn't conclusive.
func (t *Tracker) countsAgainstJob(name string, id job.ID) bool {
	w := t.workers[name]
	if w == nil {
		return true
	}
	others := 0
	for i := range w.streak {
		if f := &w.streak[i]; f.job != id && (f.succeededElsewhere || !t.failedElsewhere(f.job, name)) {
			others++
		}
	}
	return w.quarantine == nil && others < suspectWorkerStreak
}

// ForgetJob drops the evidence on a job that has ended. The evidence that it contributed on workers remains.
func (t *Tracker) ForgetJob(id job.ID) { delete(t.jobs, id) }

// ForgetWorker drops the evidence on a worker that is gone or was replaced.
func (t *Tracker) ForgetWorker(id string) { delete(t.workers, id) }

func (t *Tracker) workerEvidence(id string) *workerEvidence {
	w := t.workers[id]
	if w == nil {
		w = &workerEvidence{}
		t.workers[id] = w
	}
	return w
}

func (t *Tracker) jobEvidence(id job.ID) *jobEvidence {
	h := t.jobs[id]
	if h == nil {
		h = &jobEvidence{failed: map[int32][]string{}}
		t.jobs[id] = h
	}
	return h
}

// kindEvidence returns the evidence on a kind of work and adds the kind if it is new. If there are too many kinds, it
// first drops those without a success within evidenceWindow.
func (t *Tracker) kindEvidence(name string, now time.Time) *kindEvidence {
	k := t.kinds[name]
	if k == nil {
		if len(t.kinds) >= maxKinds {
			maps.DeleteFunc(t.kinds, func(_ string, k *kindEvidence) bool { return now.Sub(k.lastSuccess()) > evidenceWindow })
		}
		k = &kindEvidence{}
		t.kinds[name] = k
	}
	return k
}

func (k *kindEvidence) lastSuccess() time.Time { return k.successes[len(k.successes)-1].at }

func (k *kindEvidence) addSuccess(worker string, at time.Time) {
	k.successes = slices.DeleteFunc(k.successes, func(s success) bool { return s.worker == worker })
	if len(k.successes) == 2 {
		k.successes = slices.Delete(k.successes, 0, 1)
	}
	k.successes = append(k.successes, success{worker, at})
}

// succeededElsewhere reports whether work of the kind succeeded on another worker within evidenceWindow before the given
// time, or since.
func (k *kindEvidence) succeededElsewhere(worker string, at time.Time) bool {
	if k == nil {
		return false
	}
	return slices.ContainsFunc(k.successes, func(s success) bool {
		return s.worker != worker && at.Sub(s.at) <= evidenceWindow
	})
}
