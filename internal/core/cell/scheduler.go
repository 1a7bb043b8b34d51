package cell

import (
	"sync/atomic"
	"time"

	"sequoiastall/internal/core/resource"
)

// Options are the bounds of a scheduler.
type Options struct {
	// Keep is how long the state of an ended job stays in memory.
	Keep time.Duration
}

// Scheduler is the state of the cell as the holder of the scheduling lease knows it.
type Scheduler struct {
	options Options
	events  Events
	config  *Config
	jobs    map[JobID]*job
	workers map[WorkerID]*worker
	usage   map[string]resource.Vector // by team
	dirty   []*job
	active  []*job // jobs that may have waiting tasks or open orders
	changed bool   // something happened that may let a task be placed
	seq     atomic.Uint64
	now     time.Time
	advice  []AdviceRequest
	pass    placementPass
	lastRun time.Time
	// ordersPending tells that an order may be due before the next regular look.
	ordersPending bool
	lastOrders    time.Time
	lastSweep     time.Time
	// unrecorded is when the oldest record that isn't durable was taken, zero if there is none.
	unrecorded time.Time
	rates      map[string]*rate // by team
}

// Events receives decisions for the log. Its methods must not block.
type Events interface {
	// Decided tells what was decided about a job, step or task, on which inputs.
	Decided(subject, decision string, attrs ...any)
	// FirstStart tells how long a job waited from its acceptance to the start of its first task.
	FirstStart(wait time.Duration)
}

// New returns a scheduler without jobs, workers or configuration.
func New(o Options, e Events) *Scheduler {
	return &Scheduler{options: o, events: e, jobs: map[JobID]*job{}, workers: map[WorkerID]*worker{}, usage: map[string]resource.Vector{},
		rates: map[string]*rate{}, config: NewConfig(Config{})}
}

// SetConfig puts a configuration in force.
func (s *Scheduler) SetConfig(c *Config) {
	s.config = c
	s.changed = true
}

// AddJob adds an accepted job with its record of progress, which is nil for a new job. A job that is known is left as it
// is.
func (s *Scheduler) AddJob(j Job, progress []byte, now time.Time) error {
	if s.jobs[j.ID] != nil {
		return nil
	}
	st := newJob(j, now)
	if progress != nil {
		if err := s.restoreProgress(st, progress); err != nil {
			for _, x := range st.steps {
				for _, t := range x.tasks {
					s.vacate(t)
				}
			}
			return err
		}
	}
	s.setObjective(st, now)
	st.surplus = !s.rateOf(j.Team).take(j.AcceptedMS)
	s.jobs[j.ID] = st
	s.active = append(s.active, st)
	s.changed = true
	s.finishIfDone(st)
	if st.phase.Final() {
		s.touch(st)
	}
	return nil
}

// setObjective derives the job's objective and attempts from its queue.
func (s *Scheduler) setObjective(j *job, now time.Time) {
	terms := j.Terms
	if q := s.config.Queue(j.Queue); q != nil {
		terms = q.Terms()
		if q.Advice != nil {
			j.estimate += q.Advice.Duration(adviceReference)
		}
	}
	j.maxAttempts, j.queuePrio = max(1, terms.MaxAttempts), terms.Priority
	accepted := now
	if age := now.UnixMilli() - j.AcceptedMS; age > 0 && age < int64(time.Hour/time.Millisecond) {
		accepted = now.Add(-time.Duration(age) * time.Millisecond)
	}
	j.stretch = terms.Stretch
	objective := time.Duration(float64(j.estimate)*terms.Stretch) + time.Duration(terms.SlackMS)*time.Millisecond
	j.deadline = accepted.Add(objective)
	j.lateDeadline = accepted.Add(lateFactor * objective)
}

// allowFor moves the job's objective by work that was lost by the job's own fault.
func (j *job) allowFor(lost time.Duration) {
	extra := time.Duration(float64(lost) * j.stretch)
	j.deadline = j.deadline.Add(extra)
	j.lateDeadline = j.lateDeadline.Add(lateFactor * extra)
}

const (
	// adviceReference is the number of workers named in the call for advice that a job's objective allows for.
	adviceReference = 30
	// lateFactor times the objective is when a job's result loses its worth.
	lateFactor = 3
)

// CancelJob cancels a job. It reports whether the job is known; an ended job stays as it is.
func (s *Scheduler) CancelJob(id JobID) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	j.cancel = true
	if !j.phase.Final() {
		s.end(j, Canceled, "canceled by the caller")
	}
	return true
}

// end gives a job its final phase and stops what runs.
func (s *Scheduler) end(j *job, p Phase, reason string) {
	j.phase, j.reason, j.finished = p, reason, s.now
	j.finalVersion = s.touchNow(j)
	s.events.Decided(string(j.ID), "ended", "phase", p, "reason", reason, "queue", j.Queue, "team", j.Team)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			s.abandon(t)
		}
	}
}

// abandon gives up a run that isn't wanted any more.
func (s *Scheduler) abandon(t *task) {
	switch t.phase {
	case taskReserved, taskPlaced:
		s.wait(t)
	case taskStarting, taskRunning:
		s.stop(t)
	}
}

// stop lets the order to stop a run go out.
func (s *Scheduler) stop(t *task) {
	t.phase, t.retryAt, t.orders = taskStopping, s.now, 0
	s.ordersPending = true
}

// finishIfDone completes a job whose tasks are all done.
func (s *Scheduler) finishIfDone(j *job) {
	if j.phase.Final() {
		return
	}
	for _, st := range j.steps {
		if st.open > 0 {
			return
		}
	}
	s.end(j, Completed, "")
}

// JobState is a job as callers may see it.
type JobState struct {
	Known bool
	Phase Phase // a final phase shows once it is durable
	Team  string
	// Settling tells that the job has ended and that its end will soon be durable.
	Settling bool
	// MayEnd tells that the job ends with the next reports of its workers if all its runs have succeeded.
	MayEnd bool
}

// State returns a job as callers may see it.
func (s *Scheduler) State(id JobID) JobState {
	j := s.jobs[id]
	if j == nil {
		return JobState{}
	}
	state := JobState{Known: true, Phase: Pending, Team: j.Team}
	switch {
	case j.phase.Final() && j.recorded >= j.finalVersion:
		state.Phase = j.phase
	case j.cancel:
		state.Phase = Canceled
	case j.began:
		state.Phase, state.Settling = Running, j.phase.Final()
		state.MayEnd = !state.Settling && j.allRun()
	}
	return state
}

// allRun reports whether every task of the job is done or runs.
func (j *job) allRun() bool {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.phase != taskDone && t.phase != taskRunning {
				return false
			}
		}
	}
	return true
}

// Waiting returns by queue how many jobs wait for the start of their first task.
func (s *Scheduler) Waiting() map[string]int64 {
	counts := map[string]int64{}
	for _, j := range s.active {
		if !j.began && !j.phase.Final() {
			counts[j.Queue]++
		}
	}
	return counts
}

// OrderSequence returns the number of answers to orders so far. An inventory that is asked for afterwards shows their
// effect. It may be called from any goroutine.
func (s *Scheduler) OrderSequence() uint64 { return s.seq.Load() }

// Advance applies the passing of time: orders that are due, lapsed leases, placement. It returns what has to be done.
func (s *Scheduler) Advance(now time.Time) Actions {
	s.now = now
	var a Actions
	s.place()
	a.Advice, s.advice = s.advice, nil
	if s.ordersPending || now.Sub(s.lastOrders) >= orderInterval {
		s.ordersPending, s.lastOrders = false, now
		a.Orders = s.dueOrders()
	}
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		s.sweep()
	}
	return a
}

// Actions are what the node has to do for the scheduler. Each is answered by a call of the scheduler.
type Actions struct {
	Orders []Order
	Advice []AdviceRequest
}

const (
	// orderInterval is the longest time between two looks for orders that are due.
	orderInterval = 10 * time.Millisecond
	// sweepInterval is the time between two looks for runs that stand still and jobs that have ended.
	sweepInterval = 100 * time.Millisecond
)

// sweep stops runs that stand still and forgets jobs that ended a while ago.
func (s *Scheduler) sweep() {
	kept := s.active[:0]
	for _, j := range s.active {
		s.stopStalled(j)
		if !j.archived || j.openRuns > 0 {
			kept = append(kept, j)
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
	if s.now.Sub(s.lastRun) < time.Second {
		return
	}
	s.lastRun = s.now
	for id, j := range s.jobs {
		if j.archived && j.openRuns == 0 && s.now.Sub(j.finished) > s.options.Keep {
			delete(s.jobs, id)
		}
	}
}
