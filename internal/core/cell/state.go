package cell

import (
	"time"

	"sequoiastall/internal/core/resource"
)

// taskPhase is the state of one task.
type taskPhase uint8

const (
	taskWaiting    taskPhase = iota
	taskReserved             // has room on a worker and waits for a ticket
	taskPlaced               // the intent to run it is being recorded
	taskStarting             // the order is on its way
	taskRunning              // its worker has confirmed it
	taskStopping             // its worker has been told to stop it
	taskUnresolved           // recorded by an earlier holder of the lease; its worker hasn't been asked yet
	taskDone
)

// task is a task of a step, with its last run.
type task struct {
	id            TaskID
	step          *step
	phase         taskPhase
	worker        *worker
	run           int
	failures      int // runs that ended as failed
	lastFailedRun int // last run that was counted as failed
	checkpoint    string
	avoid         []WorkerID // workers on which a run failed or stood still

	intentVersion  uint64    // version of the job's record that holds the intent
	ticket         string    // of the current run
	startedAt      time.Time // first order of the run
	ordersSent     int       // orders sent for the run in its current phase
	orderInFlight  bool      // an order is on its way
	startUncertain bool      // an order to start the run got no answer and may still be carried out
	nextOrderAt    time.Time // when the next order is due
	checkAfter     uint64    // an inventory asked for later than this order shows whether the run exists
	answered       bool      // the worker's answer to the last order may have been passed by an inventory

	percent    float64
	progressAt time.Time // when the percentage last rose
}

// step is a step of a job.
type step struct {
	id             StepID
	job            *job
	spec           *Step
	tasks          []*task
	unfinished     int // tasks that aren't done
	waiting        int // tasks in taskWaiting
	gangRun        int // last run of a gang
	gangFailures   int
	lastFailedRun  int // last gang run that was counted as failed
	tasksPerWorker map[WorkerID]int
	advice         stepAdvice
	fullScanAt     time.Time // when all workers were looked at and had no room, zero if a look is due
}

// job is an accepted job.
type job struct {
	Job
	steps           []*step
	phase           Phase
	started         bool // a task has started
	cancelRequested bool
	allocatedTasks  int    // tasks that hold room
	version         uint64 // rises with each change that the record shows
	recorded        uint64 // version of the durable record
	finalVersion    uint64 // first version that shows the final phase
	dirty           bool
	writing         bool // a write of the record is under way
	urgent          bool // the record holds an intent or a final phase
	dirtyAt         time.Time
	deadline        time.Time // the objective
	endedAt         time.Time
	archived        bool // the final record is durable
	stretch         float64
	overRate        bool // beyond what its team may hand in
	estimate        time.Duration
	reason          string
	maxAttempts     int
	queuePriority   int
	expiresAt       time.Time
	earliestEnd     time.Time // at the earliest, by the estimates, as of the last placement pass
}

// worker is a worker that runs or ran tasks of this cell.
type worker struct {
	WorkerReport
	registered      bool      // in the registry
	reached         bool      // has answered this holder of the lease in its current life
	terminated      bool      // certainly ended
	silent          bool      // didn't answer its last call
	lastInventoryAt time.Time // its last inventory
	free            resource.Vector
	freed           bool            // has got room since the last placement pass
	withheld        resource.Vector // of the free room, in the current placement pass
	tasks           map[*task]bool
	lastEndNumber   int64 // number of the last end that was processed
	pendingEnds     []pendingEnd
	ackCursor       int64 // ends up to this number are durable
	faults          faults
}

// endVersion joins an end with the record that makes it durable.
type pendingEnd struct {
	number  int64
	job     *job
	version uint64
}

// faults is what a worker did wrong lately.
type faults struct {
	streak  int       // failed or stalled runs since the last success
	until   time.Time // no new work before this time
	backoff time.Duration
}

func (w *worker) usable(now time.Time) bool {
	return w.registered && w.reached && !w.terminated && !w.silent && !w.Draining && !now.Before(w.faults.until)
}

// newJob builds the state of an accepted job.
func newJob(j Job, now time.Time) *job {
	s := &job{Job: j, phase: Pending, version: 1, recorded: 1}
	for i := range j.Steps {
		spec := &s.Steps[i]
		st := &step{id: StepID{j.ID, i}, job: s, spec: spec, unfinished: spec.Count, waiting: spec.Count, tasksPerWorker: map[WorkerID]int{}}
		for n := range spec.Count {
			st.tasks = append(st.tasks, &task{id: TaskID{j.ID, i, n}, step: st})
		}
		s.steps = append(s.steps, st)
	}
	s.estimate = criticalPath(s.Steps)
	return s
}

// chain returns the longest chain of estimated work.
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

// remaining returns the longest chain of estimated work that isn't done.
func (j *job) remainingPath() time.Duration {
	longest := time.Duration(0)
	var few [8]time.Duration // spares an allocation for each job in each pass
	ends := few[:0]
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

// ready reports whether all earlier steps that the step needs are done.
func (st *step) ready() bool {
	for _, a := range st.spec.After {
		if st.job.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// touch notes that the job's record has to be written.
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

// touchNow notes that the job's record has to be written without delay.
func (s *Scheduler) scheduleUrgentWrite(j *job) uint64 {
	j.urgent = true
	return s.scheduleWrite(j)
}

// occupy takes room for a task.
func (s *Scheduler) allocate(t *task, w *worker) {
	each := t.step.spec.Each
	t.worker = w
	w.tasks[t] = true
	w.free = w.free.Sub(each)
	t.step.tasksPerWorker[w.ID]++
	t.step.job.allocatedTasks++
	s.usage[t.step.job.Team] = s.usage[t.step.job.Team].Add(each)
}

// vacate gives back the room of a task, and forgets a worker that has left and holds nothing any more.
func (s *Scheduler) deallocate(t *task) {
	w, each := t.worker, t.step.spec.Each
	if w == nil {
		return
	}
	t.worker = nil
	delete(w.tasks, t)
	w.free, w.freed = w.free.Add(each), true
	if t.step.tasksPerWorker[w.ID]--; t.step.tasksPerWorker[w.ID] <= 0 {
		delete(t.step.tasksPerWorker, w.ID)
	}
	t.step.job.allocatedTasks--
	s.usage[t.step.job.Team] = s.usage[t.step.job.Team].Sub(each)
	s.changed = true
}

// wait puts a task back among those that wait for a worker.
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
