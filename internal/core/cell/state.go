package cell

import (
	"time"

	"sequoiastall/internal/core/resource"
)

// taskPhase is the state of a task.
type taskPhase uint8

const (
	taskWaiting    taskPhase = iota
	taskReserved             // holds capacity on a worker and waits for a ticket
	taskPlaced               // the record of the intent to run it is being written
	taskStarting             // the start order is due or sent
	taskRunning              // its worker has confirmed the run
	taskStopping             // the stop order is due or sent
	taskUnresolved           // recorded by an earlier lease holder; it isn't known yet whether the run exists
	taskDone
)

// task is a task of a step with the state of its latest run.
type task struct {
	id            TaskID
	step          *step
	phase         taskPhase
	worker        *worker
	run           int
	failures      int // runs that ended as failed
	lastFailedRun int // last run that was counted as failed
	checkpoint    string
	avoid         []WorkerID // workers on which a run failed, stalled or crashed the worker
	avoidedAt     time.Time  // when one was last added or added again

	intentVersion  uint64    // version of the job's record that holds the intent
	ticket         string    // of the current run
	startedAt      time.Time // when the first start order of the run became due
	ordersSent     int       // orders sent for the run in its current phase
	orderInFlight  bool      // an order was sent and its outcome isn't known yet
	startInFlight  bool      // that order is a start
	startUncertain bool      // a start order of the run went unanswered and may still be carried out
	nextOrderAt    time.Time // when the next order is due
	checkAfter     uint64    // an inventory shows whether the run exists if it was requested at this order sequence or later
	// answered is set once the worker has answered an order of the run. An inventory requested before that answer may arrive
	// after it; only one requested at checkAfter or later that doesn't list the run shows that the run is gone.
	answered bool
	// redundant is set for a done task whose current run isn't the one that ended as done. That run is stopped.
	redundant bool
	// releasedInFlight is set if all runs on the worker were released while a start of this run was in flight. Its outcome
	// decides whether the run may exist.
	releasedInFlight bool
	// awaitsInventory is set once an answer in the current phase has set checkAfter.
	awaitsInventory bool

	confirmedAt time.Time // when the worker confirmed the current run, zero before that
	probed      bool      // an inventory was requested to clear the current run
	cleared     bool      // an inventory has shown the current run at work for clearingTime
	holds       bool      // on probation: no other task is started on its worker
	crashes     crashHistory

	percent    float64
	progressAt time.Time // when the percentage last rose

	pace         int  // percent of full speed at which a best-effort task works, or unknownPace
	paceInFlight bool // a pace order was sent and its outcome isn't known yet

	unexpectedRuns int // runs of the task that go on although they were given up; the next run waits for their end

	shortRuns int       // runs of a service task that ended soon after their start, since the last stable one
	restartAt time.Time // a service task isn't started before this time
}

// step is the scheduling state of a step.
type step struct {
	id             StepID
	job            *job
	spec           *Step
	tasks          []*task
	unfinished     int       // tasks that aren't done
	waiting        int       // tasks in taskWaiting
	waitingSince   time.Time // since when a placement pass has found waiting tasks, zero if the last one found none
	gangRun        int       // last run of a gang
	gangFailures   int
	lastFailedRun  int  // last gang run that was counted as failed
	onProbation    bool // of a gang: a member is
	tasksPerWorker map[WorkerID]int
	advice         stepAdvice
	fullScanAt     time.Time // when all workers were last checked without success, zero if a check is due
	pool           *pool     // of its service, in the placement pass that last considered the step

	standstillLoggedAt time.Time // when it was last logged that the step stands still
}

// job is the scheduling state of an accepted job.
type job struct {
	Job
	steps           []*step
	phase           Phase
	moved           bool      // Service isn't that of the job's record, because its queue was sent to another one
	started         bool      // a task has started
	idleSince       time.Time // since when nothing of the job is allocated to a worker, zero from the confirmation of a run until then
	cancelRequested bool
	allocatedTasks  int    // tasks that hold capacity on a worker
	version         uint64 // rises with each change to the recorded state
	recorded        uint64 // version of the durable record
	finalVersion    uint64 // first version that contains the final phase
	dirty           bool
	writing         bool // a write of the record is in progress
	urgent          bool // the unwritten changes include an intent or a final phase
	dirtyAt         time.Time
	deadline        time.Time // the objective
	endedAt         time.Time
	archived        bool // the final record is durable
	stretch         float64
	overRate        bool // accepted above its team's submission rate
	estimate        time.Duration
	reason          string
	maxAttempts     int
	queuePriority   int
	expiresAt       time.Time
	service         bool      // a step is long-running
	earliestEnd     time.Time // by the estimates, as of the last placement pass
}

// worker is the scheduling state of a worker that runs or ran tasks of this cell.
type worker struct {
	WorkerReport              // its registry entry, except for StartMS, which is that of the current instance
	listedStartMS   int64     // StartMS of its registry entry
	registered      bool      // listed in the registry
	reached         bool      // its current instance has answered this lease holder
	terminated      bool      // its instance is known to have ended
	unresponsive    bool      // didn't answer its last call
	lastInventoryAt time.Time // when its last inventory was applied
	// The following order sequences tell inventories apart by when they were requested, because answers overtake each other.
	// instanceSince is the order sequence from which on a request can't be answered by an earlier instance any more.
	instanceSince uint64
	// presentSince is the order sequence at which it was last listed anew or restarted.
	presentSince uint64
	// runGoneAt is the order sequence at which a run was last found to be gone. An inventory requested before may list that run
	// as running.
	runGoneAt uint64
	// releasedAt is the order sequence at which all runs were released. An inventory requested before may list them.
	releasedAt    uint64
	free          resource.Vector
	freed         bool            // capacity has come free since the last placement pass
	withheld      resource.Vector // part of free that the current pass withholds for steps that don't fit yet
	tasks         map[*task]bool
	unexpected    map[RunID]*unexpectedRun
	unknownRuns   int   // unexpected runs whose needs aren't known; nothing is placed beside them
	lastEndNumber int64 // number of the last end that was processed
	pendingEnds   []pendingEnd
	ackCursor     int64 // ends up to this number are durable
	faults        faults
	bestEffort    paceControl
	// refusing is set while the worker's address refuses connections.
	refusing bool
	heldBy   *step // step of the tasks on probation that hold the worker, nil if there are none
	holders  int   // number of these tasks
}

// pendingEnd is an ended run with the version of the job's record that makes its end durable.
type pendingEnd struct {
	number  int64
	job     *job
	version uint64
}

// faults holds the number of a worker's recent failed and stalled runs, and the resulting pause.
type faults struct {
	streak  int           // failed or stalled runs since the last success
	since   time.Time     // when the last pause because of faults began
	until   time.Time     // no new work is placed before this time, because of faults
	backoff time.Duration // length of the last pause because of faults, 0 after a success
	// refusedUntil is the time before which no new work is placed because of a refused start.
	refusedUntil time.Time
}

// usable reports whether tasks may be placed on the worker now.
func (w *worker) usable(now time.Time) bool {
	return w.available() && !now.Before(w.faults.until) && !now.Before(w.faults.refusedUntil)
}

// available reports whether the worker is in service and answers.
func (w *worker) available() bool {
	return w.registered && w.reached && !w.terminated && !w.unresponsive && !w.Draining && w.described() && w.unknownRuns == 0
}

// described reports whether the worker's registry entry is that of its current instance. Another instance may differ in
// capacity, labels, rack and service.
func (w *worker) described() bool {
	return w.listedStartMS == w.StartMS || w.listedStartMS == 0 || w.StartMS == 0
}

// setAside reports whether the worker gets no new work because of faults.
func (w *worker) setAside(now time.Time) bool {
	return w.available() && now.Before(w.faults.until) && !now.Before(w.faults.refusedUntil)
}

// rested reports whether the last fault of a worker that is set aside was at least minFaultPause ago.
func (w *worker) rested(now time.Time) bool { return now.Sub(w.faults.since) >= minFaultPause }

// newJob creates the state of an accepted job.
func newJob(j Job, now time.Time) *job {
	created := &job{Job: j, phase: Pending, version: 1, recorded: 1, idleSince: now}
	for i := range j.Steps {
		spec := &created.Steps[i]
		st := &step{id: StepID{j.ID, i}, job: created, spec: spec, unfinished: spec.Count, waiting: spec.Count, tasksPerWorker: map[WorkerID]int{}}
		for n := range spec.Count {
			st.tasks = append(st.tasks, &task{id: TaskID{j.ID, i, n}, step: st})
		}
		created.steps = append(created.steps, st)
		created.service = created.service || spec.LongRunning
	}
	created.estimate = criticalPath(created.Steps)
	return created
}

// criticalPath returns the estimated duration of the longest chain of dependent steps.
func criticalPath(steps []Step) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(steps))
	for i, s := range steps {
		start := time.Duration(0)
		for _, a := range s.After {
			if a >= 0 && a < i {
				start = max(start, ends[a])
			}
		}
		ends[i] = start + time.Duration(s.EstimateMS)*time.Millisecond
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingPath returns the estimated duration of the longest chain of dependent steps that aren't done.
func (j *job) remainingPath() time.Duration {
	longest := time.Duration(0)
	var buf [8]time.Duration // avoids an allocation for each job in each pass
	ends := buf[:0]
	for i, st := range j.steps {
		ends = append(ends, 0)
		for _, a := range st.spec.After {
			ends[i] = max(ends[i], ends[a])
		}
		if st.unfinished > 0 {
			ends[i] += time.Duration(st.spec.EstimateMS) * time.Millisecond
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// ready reports whether all steps on which the step depends are done.
func (st *step) ready() bool {
	for _, a := range st.spec.After {
		if st.job.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// scheduleWrite marks the job's record for writing and returns the version that the record will have.
func (s *Scheduler) scheduleWrite(j *job) uint64 {
	j.version++
	if !j.dirty {
		s.markDirty(j)
	}
	return j.version
}

func (s *Scheduler) markDirty(j *job) {
	j.dirty, j.dirtyAt = true, s.now
	s.dirty = append(s.dirty, j)
}

// scheduleUrgentWrite marks the job's record for writing without delay.
func (s *Scheduler) scheduleUrgentWrite(j *job) uint64 {
	j.urgent = true
	return s.scheduleWrite(j)
}

// allocate assigns a task to a worker and allocates the task's resources there.
func (s *Scheduler) allocate(t *task, w *worker) {
	each := t.step.spec.Each
	t.worker = w
	w.tasks[t] = true
	w.free = w.free.Sub(each)
	t.step.tasksPerWorker[w.ID]++
	t.step.job.allocatedTasks++
	s.usage[t.step.job.Team] = s.usage[t.step.job.Team].Add(each)
	s.hold(t)
}

// deallocate frees the resources of a task. A worker that has left the registry and holds no task any more is deleted by
// SetWorkers.
func (s *Scheduler) deallocate(t *task) {
	w, each := t.worker, t.step.spec.Each
	if w == nil {
		return
	}
	s.releaseHold(t)
	t.worker, t.redundant, t.startInFlight, t.releasedInFlight = nil, false, false, false
	delete(w.tasks, t)
	w.free, w.freed = w.free.Add(each), true
	t.step.removeFrom(w)
	if t.step.job.allocatedTasks--; t.step.job.allocatedTasks == 0 && t.step.job.idleSince.IsZero() {
		t.step.job.idleSince = s.now
	}
	s.usage[t.step.job.Team] = s.usage[t.step.job.Team].Sub(each)
	s.changed = true
}

// removeFrom counts one task less on a worker.
func (st *step) removeFrom(w *worker) {
	if st.tasksPerWorker[w.ID]--; st.tasksPerWorker[w.ID] <= 0 {
		delete(st.tasksPerWorker, w.ID)
	}
}

// stopping reports whether the task's current run is to be stopped.
func (t *task) stopping() bool { return t.phase == taskStopping || t.redundant }

// mayBePlaced reports whether the next run of a waiting task may be placed now.
func (t *task) mayBePlaced(now time.Time) bool {
	return t.unexpectedRuns == 0 && !now.Before(t.restartAt)
}

// requeue frees the resources of a task and makes it wait for a worker again.
func (s *Scheduler) requeue(t *task) {
	s.deallocate(t)
	if t.phase != taskWaiting {
		t.phase = taskWaiting
		t.step.waiting++
		t.step.fullScanAt = time.Time{}
	}
	t.ticket, t.ordersSent, t.nextOrderAt = "", 0, time.Time{}
	s.changed = true
}
