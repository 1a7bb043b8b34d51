package experiment

import (
	"encoding/binary"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

const (
	// usageLag is the age of what a worker reports as the use of its tasks.
	usageLag = 3 * time.Second
	// checkpointTime is how long a task takes to write a checkpoint and end.
	checkpointTime = 300 * time.Millisecond
	// stopTime is how long a task takes to end without one.
	stopTime = 100 * time.Millisecond
)

// attempt is a run of a task on a worker.
type attempt struct {
	task     job.TaskID
	job      *Job  // of the trace; nil for an instance of a service
	index    int32 // of the task within the job
	number   int32
	reserved resource.Vector
	started  time.Time
	endsAt   time.Time // zero for an instance that isn't stopping
	state    port.TaskState
	left     time.Duration // run time that was left at the start
}

// fakeWorker answers batches like the agent on a worker: it starts tasks, ends them at their actual run time, and
// reports usage with a lag.
type fakeWorker struct {
	host     port.Host
	capacity resource.Vector
	sequence uint64 // of the last event
	syncedAt time.Time
	reported uint64 // last event that an answer held
	running  map[job.TaskID]*attempt
	events   []port.TaskEvent
}

// fleet holds all workers of a cell and what they know of the tasks' actual behaviour.
type fleet struct {
	workers []*fakeWorker // sorted by name
	byID    map[string]*fakeWorker
	jobs    map[job.ID]*Job
	watch   observer
	// runs maps the runs of divided jobs, which have IDs of their own, to their jobs.
	runs map[job.ID]task
	// runningOf is the number of running tasks by job.
	runningOf map[*Job]int
	// overfull counts starts that a worker refused because it had no capacity left. A scheduler that keeps its books
	// right never causes one.
	overfull int
}

// task is the place of a run's first task in its job.
type task struct {
	job   *Job
	first int32
}

// observer is told what happens on the workers.
type observer interface {
	started(a *attempt, now time.Time)
	ended(a *attempt, now time.Time)
}

func newFleet(zones []string, count int, watch observer) *fleet {
	f := &fleet{byID: map[string]*fakeWorker{}, jobs: map[job.ID]*Job{}, runs: map[job.ID]task{}, runningOf: map[*Job]int{}, watch: watch}
	for i := range count {
		zone := zones[i%len(zones)]
		w := &fakeWorker{host: hostNamed(zone, i/len(zones)), capacity: workerCapacity, running: map[job.TaskID]*attempt{}}
		f.workers = append(f.workers, w)
		f.byID[w.host.ID] = w
	}
	slices.SortFunc(f.workers, func(a, b *fakeWorker) int { return compareStrings(a.host.ID, b.host.ID) })
	return f
}

// advance ends the attempts whose time has come, in the order of their tasks.
func (f *fleet) advance(now time.Time) {
	for _, w := range f.workers {
		var due []*attempt
		for _, a := range w.running {
			if !a.endsAt.IsZero() && !a.endsAt.After(now) {
				due = append(due, a)
			}
		}
		slices.SortFunc(due, func(a, b *attempt) int { return compareTasks(a.task, b.task) })
		for _, a := range due {
			f.end(w, a)
		}
	}
}

func (f *fleet) end(w *fakeWorker, a *attempt) {
	delete(w.running, a.task)
	f.runningOf[a.job]--
	record := port.TaskRecord{Task: a.task, Attempt: a.number, State: a.state, Reserved: a.reserved}
	if a.state == port.TaskCheckpointed {
		left := max(a.left-a.endsAt.Sub(a.started), 0)
		record.Checkpoint = binary.BigEndian.AppendUint64(nil, uint64(left))
	}
	w.sequence++
	w.events = append(w.events, port.TaskEvent{Sequence: w.sequence, Record: record})
	f.watch.ended(a, a.endsAt)
}

// inventory is the answer to an acquisition.
func (w *fakeWorker) inventory() port.Inventory {
	return port.Inventory{Token: 1, Capacity: w.capacity, Connections: 64, Sequence: w.sequence}
}

// sync applies a batch and returns what it answers.
func (f *fleet) sync(w *fakeWorker, s port.Sync, now time.Time) port.SyncResult {
	var r port.SyncResult
	for _, g := range s.Starts {
		for _, t := range g.Tasks {
			id := job.TaskID{Job: g.Job, Index: t.Index}
			if !f.start(w, id, t.Attempt, g.Reserved, t.Checkpoint, g.Service, now) {
				r.Refusals = append(r.Refusals, port.Refusal{Task: id, Attempt: t.Attempt, Code: port.RefusedCapacity})
			}
		}
	}
	for _, c := range s.Commands {
		if a := w.running[c.Task]; a != nil && a.number == c.Attempt {
			a.command(c.Action, now)
		}
	}
	w.events = slices.DeleteFunc(w.events, func(e port.TaskEvent) bool { return e.Sequence <= s.ForgetThrough })
	for _, e := range w.events {
		if e.Sequence > s.SeenThrough {
			r.Events = append(r.Events, e)
		}
	}
	w.reported = w.sequence
	if s.WantUsage {
		r.Usage = f.usage(w, now)
	}
	return r
}

// start begins an attempt. It reports false, and counts a fault of the scheduler, if the worker has no room for it.
func (f *fleet) start(w *fakeWorker, id job.TaskID, number int32, reserved resource.Vector, checkpoint []byte, service bool,
	now time.Time) bool {
	if !w.reserved().Add(reserved).Fits(w.capacity) || w.running[id] != nil {
		f.overfull++
		return false
	}
	a := &attempt{task: id, number: number, reserved: reserved, started: now, state: port.TaskSucceeded}
	a.job, a.index = f.jobs[id.Job], id.Index
	if run, divided := f.runs[id.Job]; divided {
		a.job, a.index = run.job, run.first+id.Index
	}
	switch {
	case service:
		w.sequence++
		w.events = append(w.events, port.TaskEvent{Sequence: w.sequence, Record: port.TaskRecord{Task: id, Attempt: number,
			State: port.TaskRunning, Reserved: reserved, Address: "127.0.0.1:1"}})
	case len(checkpoint) == 8:
		a.left = time.Duration(binary.BigEndian.Uint64(checkpoint))
		a.endsAt = now.Add(a.left)
	default:
		a.left = a.job.Durations[a.index]
		a.endsAt = now.Add(a.left)
	}
	w.running[id] = a
	f.runningOf[a.job]++
	f.watch.started(a, now)
	return true
}

func (a *attempt) command(action port.Action, now time.Time) {
	until, state := now.Add(stopTime), port.TaskStopped
	switch action {
	case port.Checkpoint:
		until, state = now.Add(checkpointTime), port.TaskCheckpointed
	case port.Stop, port.Drain:
	default:
		return // a throttled task's run time stays as it is
	}
	if a.endsAt.IsZero() || until.Before(a.endsAt) {
		a.endsAt, a.state = until, state
	}
}

func (w *fakeWorker) reserved() resource.Vector {
	var sum resource.Vector
	for _, a := range w.running {
		sum = sum.Add(a.reserved)
	}
	return sum
}

func (f *fleet) usage(w *fakeWorker, now time.Time) []port.TaskUsage {
	var usage []port.TaskUsage
	for _, a := range w.running {
		if now.Sub(a.started) < usageLag {
			continue
		}
		used := actual(a)
		usage = append(usage, port.TaskUsage{Task: a.task, MilliCPU: used.MilliCPU, MemoryMB: used.MemoryMB})
	}
	slices.SortFunc(usage, func(a, b port.TaskUsage) int { return compareTasks(a.Task, b.Task) })
	return usage
}

// actual is what an attempt really uses. Instances of services use what they declare.
func actual(a *attempt) resource.Vector {
	if a.job != nil {
		return a.job.Actual
	}
	return a.reserved
}
