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
	options       Options
	events        Events
	config        *Config
	jobs          map[JobID]*job
	workers       map[WorkerID]*worker
	usage         map[string]resource.Vector // by team
	dirty         []*job
	active        []*job // jobs that may have waiting tasks or open orders
	changed       bool   // something happened that may let a task be placed
	orderSequence atomic.Uint64
	now           time.Time
	advice        []AdviceRequest
	pass          placementPass
	lastCleanup   time.Time
	// ordersPending tells that an order may be due before the next regular look.
	ordersPending bool
	lastOrders    time.Time
	lastSweep     time.Time
	// unrecorded is when the oldest record that isn't durable was taken, zero if there is none.
	unrecordedSince time.Time
	buckets         map[string]*tokenBucket // by team
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
		buckets: map[string]*tokenBucket{}, config: NewConfig(Config{})}
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
	added := newJob(j, now)
	if progress != nil {
		if err := s.restoreProgress(added, progress); err != nil {
			for _, st := range added.steps {
				for _, t := range st.tasks {
					s.deallocate(t)
				}
			}
			return err
		}
	}
	s.setObjective(added, now)
	added.overRate = !s.bucketOf(j.Team).allow(j.AcceptedMS)
	s.jobs[j.ID] = added
	s.active = append(s.active, added)
	s.changed = true
	s.completeIfDone(added)
	if added.phase.Final() {
		s.scheduleWrite(added)
	}
	return nil
}

// setObjective derives the job's objective and attempts from its queue.
func (s *Scheduler) setObjective(j *job, now time.Time) {
	terms := j.Terms
	if q := s.config.Queue(j.Queue); q != nil {
		terms = q.Terms()
		if q.Advice != nil {
			j.estimate += q.Advice.Duration(adviceReferenceWorkers)
		}
	}
	j.maxAttempts, j.queuePriority = max(1, terms.MaxAttempts), terms.Priority
	accepted := now
	if age := now.UnixMilli() - j.AcceptedMS; age > 0 && age < int64(time.Hour/time.Millisecond) {
		accepted = now.Add(-time.Duration(age) * time.Millisecond)
	}
	j.stretch = terms.Stretch
	objective := time.Duration(float64(j.estimate)*terms.Stretch) + time.Duration(terms.SlackMS)*time.Millisecond
	j.deadline = accepted.Add(objective)
	j.expiresAt = accepted.Add(expiryFactor * objective)
}

// allowFor moves the job's objective by work that was lost by the job's own fault.
func (j *job) extendObjective(lost time.Duration) {
	extra := time.Duration(float64(lost) * j.stretch)
	j.deadline = j.deadline.Add(extra)
	j.expiresAt = j.expiresAt.Add(expiryFactor * extra)
}

const (
	// adviceReference is the number of workers named in the call for advice that a job's objective allows for.
	adviceReferenceWorkers = 30
	// lateFactor times the objective is when a job's result loses its worth.
	expiryFactor = 3
)

// CancelJob cancels a job. It reports whether the job is known; an ended job stays as it is.
func (s *Scheduler) CancelJob(id JobID) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	j.cancelRequested = true
	if !j.phase.Final() {
		s.endJob(j, Canceled, "canceled by the caller")
	}
	return true
}

// end gives a job its final phase and stops what runs.
func (s *Scheduler) endJob(j *job, p Phase, reason string) {
	j.phase, j.reason, j.endedAt = p, reason, s.now
	j.finalVersion = s.scheduleUrgentWrite(j)
	s.events.Decided(string(j.ID), "ended", "phase", p, "reason", reason, "queue", j.Queue, "team", j.Team)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			s.cancelRun(t)
		}
	}
}

// abandon gives up a run that isn't wanted any more.
func (s *Scheduler) cancelRun(t *task) {
	switch t.phase {
	case taskReserved, taskPlaced:
		s.requeue(t)
	case taskStarting, taskRunning:
		s.requestStop(t)
	}
}

// stop lets the order to stop a run go out.
func (s *Scheduler) requestStop(t *task) {
	t.phase, t.nextOrderAt, t.ordersSent = taskStopping, s.now, 0
	s.ordersPending = true
}

// finishIfDone completes a job whose tasks are all done.
func (s *Scheduler) completeIfDone(j *job) {
	if j.phase.Final() {
		return
	}
	for _, st := range j.steps {
		if st.unfinished > 0 {
			return
		}
	}
	s.endJob(j, Completed, "")
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
	case j.cancelRequested:
		state.Phase = Canceled
	case j.started:
		state.Phase, state.Settling = Running, j.phase.Final()
		state.MayEnd = !state.Settling && j.allRunningOrDone()
	}
	return state
}

// allRun reports whether every task of the job is done or runs.
func (j *job) allRunningOrDone() bool {
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
		if !j.started && !j.phase.Final() {
			counts[j.Queue]++
		}
	}
	return counts
}

// OrderSequence returns the number of answers to orders so far. An inventory that is asked for afterwards shows their
// effect. It may be called from any goroutine.
func (s *Scheduler) OrderSequence() uint64 { return s.orderSequence.Load() }

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
		s.stopStalledRuns(j)
		if !j.archived || j.allocatedTasks > 0 {
			kept = append(kept, j)
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
	if s.now.Sub(s.lastCleanup) < time.Second {
		return
	}
	s.lastCleanup = s.now
	for id, j := range s.jobs {
		if j.archived && j.allocatedTasks == 0 && s.now.Sub(j.endedAt) > s.options.Keep {
			delete(s.jobs, id)
		}
	}
}
