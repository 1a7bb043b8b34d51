package health

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// Tracker collects the evidence on workers and jobs. It belongs to one goroutine.
type Tracker struct {
	workers map[string]*worker // those with a streak
	jobs    map[job.ID]*history
	kinds   map[string]*kind
	deaths  []event // within deathTime, oldest first
}

// worker is the evidence on a worker.
type worker struct {
	streak     []failure // different jobs that failed since the last success, in order
	quarantine *quarantine
}

// failure is a job's last failure in a worker's streak.
type failure struct {
	job       job.ID
	kind      string
	at        time.Time
	elsewhere bool // the job succeeded on another worker
}

// history is the evidence on a job.
type history struct {
	failed    map[int32][]string // workers on which a task failed, by index, until it succeeds
	workers   []string           // on which some task failed, up to taskWorkers
	succeeded []string           // up to two workers: enough to know one other than a given one
	convicted bool
}

// kind remembers on which workers work of a kind succeeded last: up to two.
type kind struct{ successes []success }

type success struct {
	worker string
	at     time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{workers: map[string]*worker{}, jobs: map[job.ID]*history{}, kinds: map[string]*kind{}}
}

// Observe records the end of a task, other than by a command, and returns what follows.
func (t *Tracker) Observe(o Outcome, now time.Time) []Verdict {
	if o.Succeeded {
		return t.succeeded(o, now)
	}
	return t.failed(o, now)
}

func (t *Tracker) succeeded(o Outcome, now time.Time) []Verdict {
	t.kind(o.Kind, now).add(o.Worker, now)
	h := t.history(o.Task.Job)
	delete(h.failed, o.Task.Index)
	if len(h.succeeded) < 2 && !slices.Contains(h.succeeded, o.Worker) {
		h.succeeded = append(h.succeeded, o.Worker)
	}
	var verdicts []Verdict
	if w := t.workers[o.Worker]; w != nil {
		delete(t.workers, o.Worker)
		if w.quarantine != nil {
			verdicts = append(verdicts, Verdict{Action: Restore, Worker: o.Worker, Reason: "a task succeeded"})
		}
	}
	for _, w := range t.workers {
		if at := w.find(o.Task.Job); at >= 0 {
			w.streak[at].elsewhere = true
		}
	}
	return append(verdicts, t.review(o.Task.Job, "", now)...)
}

// find returns the position of a job in the worker's streak, or -1.
func (w *worker) find(id job.ID) int {
	return slices.IndexFunc(w.streak, func(f failure) bool { return f.job == id })
}

func (t *Tracker) failed(o Outcome, now time.Time) []Verdict {
	h, w := t.history(o.Task.Job), t.worker(o.Worker)
	h.failed[o.Task.Index] = addWorker(h.failed[o.Task.Index], o.Worker)
	h.workers = addWorker(h.workers, o.Worker)
	if at := w.find(o.Task.Job); at >= 0 {
		w.streak = slices.Delete(w.streak, at, at+1)
	}
	if len(w.streak) >= streakLimit {
		w.streak = slices.Delete(w.streak, 0, 1)
	}
	w.streak = append(w.streak, failure{job: o.Task.Job, kind: o.Kind, at: now, elsewhere: h.succeededOutside(o.Worker)})
	t.probeFailed(o, w, now)
	verdicts := t.review(o.Task.Job, o.Worker, now)
	if reason := t.convict(o.Task, h); reason != "" {
		h.convicted = true
		verdicts = append(verdicts, Verdict{Action: FailJob, Job: o.Task.Job, Reason: reason})
	}
	return verdicts
}

// addWorker adds a worker to a list without duplicates; more than taskWorkers tell nothing new.
func addWorker(list []string, worker string) []string {
	if len(list) >= taskWorkers || slices.Contains(list, worker) {
		return list
	}
	return append(list, worker)
}

func (h *history) succeededOutside(worker string) bool {
	return slices.ContainsFunc(h.succeeded, func(w string) bool { return w != worker })
}

// review quarantines the workers whose streak is conclusive, and restores those whose streak no longer is because its
// jobs have failed elsewhere too. It looks at the given worker and at those in whose streak the job is.
func (t *Tracker) review(changed job.ID, id string, now time.Time) []Verdict {
	var affected []string
	for name, w := range t.workers {
		if name == id || w.find(changed) >= 0 {
			affected = append(affected, name)
		}
	}
	slices.Sort(affected)
	var verdicts []Verdict
	for _, name := range affected {
		w := t.workers[name]
		against, blamed := t.against(name, w), t.blamed(name, w)
		switch {
		case w.quarantine == nil && against >= workerStreak:
			w.quarantine = &quarantine{}
			w.quarantine.schedule(now)
			verdicts = append(verdicts, Verdict{Action: Quarantine, Worker: name, Reason: fmt.Sprintf(
				"tasks of %d different jobs failed in a row while such tasks succeeded on other workers", against)})
		case w.quarantine != nil && len(w.streak)-blamed < workerStreak:
			w.quarantine = nil
			verdicts = append(verdicts, Verdict{Action: Restore, Worker: name, Reason: "the jobs that failed on it failed on other workers too"})
		}
	}
	return verdicts
}

// against returns the number of jobs in a worker's streak that speak against the worker.
func (t *Tracker) against(name string, w *worker) int {
	count := 0
	for i := range w.streak {
		if t.working(&w.streak[i], name) {
			count++
		}
	}
	return count
}

// working reports whether a job that failed on a worker is known to work: it succeeded elsewhere, or it didn't fail on
// another worker and work of its kind succeeded elsewhere lately.
func (t *Tracker) working(f *failure, name string) bool {
	return f.elsewhere || (!t.failedElsewhere(f.job, name) && t.kinds[f.kind].succeededOutside(name, f.at))
}

// blamed returns the number of jobs in the streak that failed elsewhere and succeeded nowhere else.
func (t *Tracker) blamed(name string, w *worker) int {
	count := 0
	for i := range w.streak {
		if !w.streak[i].elsewhere && t.failedElsewhere(w.streak[i].job, name) {
			count++
		}
	}
	return count
}

// failedElsewhere reports whether a job failed on another worker that isn't in quarantine.
func (t *Tracker) failedElsewhere(id job.ID, except string) bool {
	h := t.jobs[id]
	return h != nil && slices.ContainsFunc(h.workers, func(name string) bool { return name != except && !t.Quarantined(name) })
}

// convict returns why a job fails, or "".
func (t *Tracker) convict(task job.TaskID, h *history) string {
	if h.convicted {
		return ""
	}
	workers, sound := h.failed[task.Index], 0
	for _, name := range workers {
		if t.sound(name, task.Job) {
			sound++
		}
	}
	switch {
	case sound >= jobWorkers:
		return fmt.Sprintf("task %d failed on %d different workers that aren't suspect", task.Index, sound)
	case len(workers) >= taskWorkers:
		return fmt.Sprintf("task %d failed on %d different workers", task.Index, len(workers))
	}
	return ""
}

// sound reports whether a job's failure on a worker speaks against the job: the worker isn't in quarantine, and few
// other jobs failed there that didn't fail on other workers too. Until it is known whether those work elsewhere, the
// failure tells nothing.
func (t *Tracker) sound(name string, id job.ID) bool {
	w := t.workers[name]
	if w == nil {
		return true
	}
	others := 0
	for i := range w.streak {
		if f := &w.streak[i]; f.job != id && (f.elsewhere || !t.failedElsewhere(f.job, name)) {
			others++
		}
	}
	return w.quarantine == nil && others < suspectStreak
}

// ForgetJob drops the evidence on a job that has ended. What it tells on workers remains.
func (t *Tracker) ForgetJob(id job.ID) { delete(t.jobs, id) }

// ForgetWorker drops the evidence on a worker that is gone or was replaced.
func (t *Tracker) ForgetWorker(id string) { delete(t.workers, id) }

func (t *Tracker) worker(id string) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{}
		t.workers[id] = w
	}
	return w
}

func (t *Tracker) history(id job.ID) *history {
	h := t.jobs[id]
	if h == nil {
		h = &history{failed: map[int32][]string{}}
		t.jobs[id] = h
	}
	return h
}

// kind returns the successes of a kind of work; beyond the limit, kinds without a late success are forgotten.
func (t *Tracker) kind(name string, now time.Time) *kind {
	k := t.kinds[name]
	if k == nil {
		if len(t.kinds) >= kindLimit {
			maps.DeleteFunc(t.kinds, func(_ string, k *kind) bool { return now.Sub(k.last()) > evidenceTime })
		}
		k = &kind{}
		t.kinds[name] = k
	}
	return k
}

func (k *kind) last() time.Time { return k.successes[len(k.successes)-1].at }

func (k *kind) add(worker string, at time.Time) {
	k.successes = slices.DeleteFunc(k.successes, func(s success) bool { return s.worker == worker })
	if len(k.successes) == 2 {
		k.successes = slices.Delete(k.successes, 0, 1)
	}
	k.successes = append(k.successes, success{worker, at})
}

// succeededOutside reports whether work of the kind succeeded on another worker around the given time or since.
func (k *kind) succeededOutside(worker string, at time.Time) bool {
	if k == nil {
		return false
	}
	return slices.ContainsFunc(k.successes, func(s success) bool {
		return s.worker != worker && at.Sub(s.at) <= evidenceTime
	})
}
