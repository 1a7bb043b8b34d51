package cell

import (
	"maps"
	"sync/atomic"
	"time"

	"sequoiastall/internal/core/resource"
)

// Options configures a scheduler.
type Options struct {
	// EndedRetention is how long the state of an ended job stays in memory.
	EndedRetention time.Duration
	// MaxRegistryAge is the age of the last reading of the worker registry from which no start is sent, 0 for no limit.
	MaxRegistryAge time.Duration
}

// Scheduler is the state machine that schedules the jobs of a cell. It holds the state of the jobs, workers and teams on
// the node that holds the scheduling lease.
type Scheduler struct {
	options       Options
	events        Events
	config        *Config
	jobs          map[JobID]*job
	workers       map[WorkerID]*worker
	usage         map[string]resource.Vector // by team
	dirty         []*job
	active        []*job // jobs that may have waiting tasks or outstanding orders
	changed       bool   // an event since the last pass may allow a task to be placed
	orderSequence atomic.Uint64
	now           time.Time
	advice        []AdviceRequest
	paceOrders    []Order
	pass          placementPass
	lastCleanup   time.Time
	// ordersPending is set if an order may be due before the next check at orderInterval.
	ordersPending bool
	lastOrders    time.Time
	lastSweep     time.Time
	// unrecordedSince is when a record first waited to become durable, reset when a write completes; zero if none waits.
	unrecordedSince    time.Time
	placementSuspended bool                    // placement was suspended at the last attempt, because writes stall
	buckets            map[string]*tokenBucket // by team
	unacked            map[WorkerID]bool       // workers with ends whose records weren't durable when last checked
	overcommitted      map[*worker]bool        // workers whose capacity has shrunk below what they hold
	registryReadAt     time.Time               // when the reading of the registry began that was applied last
	startsHeld         bool                    // no start is sent, because that reading is too old
	heldWorkers        int                     // workers that are held by tasks on probation
	earlyCancels       map[JobID]time.Time     // cancellations of jobs that aren't known yet, with the time of each
}

// Events receives scheduling decisions for logging and metrics. Its methods must not block.
type Events interface {
	// LogDecision logs a decision about a job, step, task or worker, with its inputs as attributes.
	LogDecision(subject, decision string, attrs ...any)
	// ObserveFirstStart reports how long a job waited from its acceptance to the start of its first task.
	ObserveFirstStart(wait time.Duration)
}

// New returns a scheduler without jobs, workers or configuration.
func New(o Options, e Events) *Scheduler {
	return &Scheduler{options: o, events: e, jobs: map[JobID]*job{}, workers: map[WorkerID]*worker{}, usage: map[string]resource.Vector{},
		buckets: map[string]*tokenBucket{}, unacked: map[WorkerID]bool{}, overcommitted: map[*worker]bool{}, earlyCancels: map[JobID]time.Time{},
		config: NewConfig(Config{})}
}

// SetConfig applies a configuration.
func (s *Scheduler) SetConfig(c *Config) {
	s.config = c
	s.changed = true
	s.updateServices()
}

// AddJob adds an accepted job with its progress record, which is nil for a new job. A known job is left unchanged. A job
// whose cancellation came first is canceled.
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
	s.now = now
	moved := s.updateService(added)
	s.setObjective(added, now)
	added.overRate = !s.bucketOf(j.Team).allow(j.AcceptedMS)
	s.jobs[j.ID] = added
	s.active = append(s.active, added)
	s.changed = true
	s.completeIfDone(added)
	if added.phase.Final() || moved {
		s.scheduleWrite(added)
	}
	if _, canceled := s.earlyCancels[j.ID]; canceled {
		delete(s.earlyCancels, j.ID)
		s.CancelJob(j.ID)
	}
	return nil
}

// queueOf returns a job's queue, or one with the terms in the job's record if the queue was removed.
func (s *Scheduler) queueOf(j *job) *Queue {
	if q := s.config.Queue(j.Queue); q != nil {
		return q
	}
	t := j.Terms
	return &Queue{Name: j.Queue, Service: j.Service, Priority: t.Priority, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch,
		Slack: time.Duration(t.SlackMS) * time.Millisecond, Advice: t.Advice}
}

// setObjective derives the job's deadlines, attempts and priority from its queue, or from the terms in its record if the
// queue was removed.
func (s *Scheduler) setObjective(j *job, now time.Time) {
	terms := s.queueOf(j).Terms()
	if terms.Advice != nil {
		j.estimate += terms.Advice.Duration(adviceReferenceWorkers)
	}
	j.maxAttempts, j.queuePriority = max(1, terms.MaxAttempts), terms.Priority
	// An acceptance time in the future or at least an hour ago is ignored: the objective then counts from now.
	accepted := now
	if age := now.UnixMilli() - j.AcceptedMS; age > 0 && age < int64(time.Hour/time.Millisecond) {
		accepted = now.Add(-time.Duration(age) * time.Millisecond)
	}
	j.stretch = terms.Stretch
	objective := time.Duration(float64(j.estimate)*terms.Stretch) + time.Duration(terms.SlackMS)*time.Millisecond
	j.deadline = accepted.Add(objective)
	j.expiresAt = accepted.Add(expiryFactor * objective)
}

// extendObjective extends the job's deadlines for time lost because a run of the job itself failed.
func (j *job) extendObjective(lost time.Duration) {
	extra := time.Duration(float64(lost) * j.stretch)
	j.deadline = j.deadline.Add(extra)
	j.expiresAt = j.expiresAt.Add(expiryFactor * extra)
}

const (
	// adviceReferenceWorkers is the number of workers in the advice call whose duration a job's objective includes.
	adviceReferenceWorkers = 30
	// expiryFactor times the objective is the time after which a job's result has no value any more.
	expiryFactor = 3
)

// Knows reports whether the scheduler has the job.
func (s *Scheduler) Knows(id JobID) bool { return s.jobs[id] != nil }

// earlyCancelRetention is how long the cancellation of an unknown job is kept. The job's record or the message about it
// arrives within seconds, unless the job has ended long ago.
const earlyCancelRetention = time.Minute

// CancelJob cancels a job and reports whether the job is known. A job that has ended is left unchanged. A cancellation may
// arrive before its job, whose record is read later or whose message takes another path.
func (s *Scheduler) CancelJob(id JobID) bool {
	j := s.jobs[id]
	if j == nil {
		s.earlyCancels[id] = s.now
		s.events.LogDecision(string(id), "cancel kept", "reason", "the job isn't known yet")
		return false
	}
	j.cancelRequested = true
	if !j.phase.Final() {
		s.endJob(j, Canceled, "canceled by the caller")
	}
	return true
}

// endJob sets a job's final phase and stops its runs.
func (s *Scheduler) endJob(j *job, p Phase, reason string) {
	j.phase, j.reason, j.endedAt = p, reason, s.now
	j.finalVersion = s.scheduleUrgentWrite(j)
	s.events.LogDecision(string(j.ID), "ended", "phase", p, "reason", reason, "queue", j.Queue, "team", j.Team)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			s.cancelRun(t)
		}
	}
}

// cancelRun requeues a task whose start order wasn't sent yet, or requests the stop of its run.
func (s *Scheduler) cancelRun(t *task) {
	if t.startUnsent() {
		s.requeue(t)
		return
	}
	if t.phase == taskStarting || t.phase == taskRunning {
		s.requestStop(t)
	}
}

// requestStop makes the order to stop a run due now.
func (s *Scheduler) requestStop(t *task) {
	t.phase, t.nextOrderAt, t.ordersSent, t.awaitsInventory = taskStopping, s.now, 0, false
	s.ordersPending = true
}

// completeIfDone completes a job if all of its tasks are done.
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

// JobState is the state of a job as shown to callers.
type JobState struct {
	Known bool
	Phase Phase // a final phase is shown once it is durable
	Team  string
	// AwaitingFinalRecord is set if the job has ended and its end isn't durable yet.
	AwaitingFinalRecord bool
	// MayEnd is set if the job ends with the next reports of its workers, provided that all of its runs have succeeded.
	MayEnd bool
}

// State returns the state of a job as shown to callers.
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
		state.Phase, state.AwaitingFinalRecord = Running, j.phase.Final()
		state.MayEnd = !state.AwaitingFinalRecord && j.allRunningOrDone()
	}
	return state
}

// allRunningOrDone reports whether every task of the job is running or done, and none is long-running.
func (j *job) allRunningOrDone() bool {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.phase != taskDone && t.phase != taskRunning || st.spec.LongRunning {
				return false
			}
		}
	}
	return true
}

// WaitingJobsByQueue returns the number of jobs per queue that wait for the start of their first task.
func (s *Scheduler) WaitingJobsByQueue() map[string]int64 {
	counts := map[string]int64{}
	for _, j := range s.active {
		if !j.started && !j.phase.Final() {
			counts[j.Queue]++
		}
	}
	return counts
}

// OrderSequence returns a counter that rises with each applied answer to an order and each task that is done. An inventory
// that is requested after reading it shows the effect of those orders. It may be called from any goroutine.
func (s *Scheduler) OrderSequence() uint64 { return s.orderSequence.Load() }

// Advance runs everything that depends on time: placement, due orders, and the sweep for stalled runs and ended jobs. It
// returns the actions that the node has to take.
func (s *Scheduler) Advance(now time.Time) Actions {
	s.now = now
	var a Actions
	s.place()
	a.Advice, s.advice = s.advice, nil
	if s.ordersPending || now.Sub(s.lastOrders) >= orderInterval {
		s.ordersPending, s.lastOrders = false, now
		a.Orders = s.dueOrders()
	}
	a.Orders = append(a.Orders, s.paceOrders...)
	s.paceOrders = nil
	a.Probes = s.dueProbes()
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		s.evacuateServices()
		s.sweep()
	}
	return a
}

// Actions are what the node has to do for the scheduler. The outcome of each is reported back by a call to the scheduler.
type Actions struct {
	Orders []Order
	Advice []AdviceRequest
	Probes []WorkerID // workers whose inventory is to be read at once
}

const (
	// orderInterval is the maximum time between two checks for due orders.
	orderInterval = 10 * time.Millisecond
	// sweepInterval is the time between two checks for stalled runs and ended jobs.
	sweepInterval = 100 * time.Millisecond
)

// sweep stops stalled runs, logs which steps stand still, drops archived jobs from the active list and deletes the state of
// jobs that ended more than Options.EndedRetention ago.
func (s *Scheduler) sweep() {
	standstillLines := 0
	kept := s.active[:0]
	for _, j := range s.active {
		s.stopStalledRuns(j)
		standstillLines += s.logStandstills(j, maxStandstillLines-standstillLines)
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
	maps.DeleteFunc(s.earlyCancels, func(_ JobID, at time.Time) bool { return s.now.Sub(at) > earlyCancelRetention })
	for id, j := range s.jobs {
		if j.archived && j.recorded >= j.version && j.allocatedTasks == 0 && s.now.Sub(j.endedAt) > s.options.EndedRetention {
			delete(s.jobs, id)
		}
	}
}
