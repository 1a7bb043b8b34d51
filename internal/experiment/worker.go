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
	// usageLag is the age of the resource usage that a worker reports for its tasks.
	usageLag = 3 * time.Second
	// checkpointTime is how long a task takes to write a checkpoint and end.
	checkpointTime = 300 * time.Millisecond
	// stopTime is how long a task takes to end without writing a checkpoint.
	stopTime = 100 * time.Millisecond
)

// attempt is a run of a task on a worker.
type attempt struct {
	task      job.TaskID
	job       *Job  // job of the trace; nil for a service instance
	index     int32 // of the task within the job
	number    int32
	reserved  resource.Vector
	started   time.Time
	endsAt    time.Time // zero for a service instance that isn't stopping
	state     port.TaskState
	remaining time.Duration // run time that remained at the start
}

// fakeWorker simulates the agent on a worker: it processes batches, ends tasks after their actual run time, and reports
// usage with a lag.
type fakeWorker struct {
	host             port.Host
	capacity         resource.Vector
	lastSequence     uint64 // of the last event
	syncedAt         time.Time
	reportedSequence uint64 // sequence number of the last event sent in a response
	running          map[job.TaskID]*attempt
	events           []port.TaskEvent
}

// fleet holds all workers of a cell and the actual behaviour of the tasks, to which the scheduler has no access.
type fleet struct {
	workers  []*fakeWorker // sorted by name
	byID     map[string]*fakeWorker
	jobs     map[job.ID]*Job
	observer observer
	// partOffsets maps the ID of each part of a divided job to the place of the part in the job.
	partOffsets map[job.ID]partOffset
	// runningOf is the number of running tasks of each job.
	runningOf map[*Job]int
	// refusedStarts counts starts that a worker refused because it lacked capacity or already ran the task. A scheduler
	// with correct accounting never causes one.
	refusedStarts int
}

// partOffset is the index of a part's first task within its job.
type partOffset struct {
	job   *Job
	first int32
}

// observer is notified of the attempts that start and end on the workers.
type observer interface {
	started(a *attempt, now time.Time)
	ended(a *attempt, now time.Time)
}

func newFleet(zones []string, count int, obs observer) *fleet {
	f := &fleet{byID: map[string]*fakeWorker{}, jobs: map[job.ID]*Job{}, partOffsets: map[job.ID]partOffset{}, runningOf: map[*Job]int{}, observer: obs}
	for i := range count {
		zone := zones[i%len(zones)]
		w := &fakeWorker{host: newHost(zone, i/len(zones)), capacity: workerCapacity, running: map[job.TaskID]*attempt{}}
		f.workers = append(f.workers, w)
		f.byID[w.host.ID] = w
	}
	slices.SortFunc(f.workers, func(a, b *fakeWorker) int { return compareStrings(a.host.ID, b.host.ID) })
	return f
}

// endDueAttempts ends the attempts whose end time has been reached, in the order of their tasks.
func (f *fleet) endDueAttempts(now time.Time) {
	for _, w := range f.workers {
		var due []*attempt
		for _, a := range w.running {
			if !a.endsAt.IsZero() && !a.endsAt.After(now) {
				due = append(due, a)
			}
		}
		slices.SortFunc(due, func(a, b *attempt) int { return compareTasks(a.task, b.task) })
		for _, a := range due {
			f.endAttempt(w, a)
		}
	}
}

func (f *fleet) endAttempt(w *fakeWorker, a *attempt) {
	delete(w.running, a.task)
	f.runningOf[a.job]--
	record := port.TaskRecord{Task: a.task, Attempt: a.number, State: a.state, Reserved: a.reserved}
	if a.state == port.TaskCheckpointed {
		remaining := max(a.remaining-a.endsAt.Sub(a.started), 0)
		record.Checkpoint = binary.BigEndian.AppendUint64(nil, uint64(remaining))
	}
	w.lastSequence++
	w.events = append(w.events, port.TaskEvent{Sequence: w.lastSequence, Record: record})
	f.observer.ended(a, a.endsAt)
}

// inventory returns the worker's response to an acquisition.
func (w *fakeWorker) inventory() port.Inventory {
	return port.Inventory{Token: 1, Capacity: w.capacity, Connections: 64, Sequence: w.lastSequence}
}

// applyBatch applies a batch to a worker and returns the worker's response.
func (f *fleet) applyBatch(w *fakeWorker, s port.Sync, now time.Time) port.SyncResult {
	var r port.SyncResult
	for _, g := range s.Starts {
		for _, t := range g.Tasks {
			id := job.TaskID{Job: g.Job, Index: t.Index}
			if !f.startAttempt(w, id, t.Attempt, g.Reserved, t.Checkpoint, g.Service, now) {
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
	w.reportedSequence = w.lastSequence
	if s.WantUsage {
		r.Usage = f.usage(w, now)
	}
	return r
}

// startAttempt starts an attempt. It returns false, and counts an error of the scheduler, if the worker lacks capacity
// for the attempt or already runs the task.
func (f *fleet) startAttempt(w *fakeWorker, id job.TaskID, number int32, reserved resource.Vector, checkpoint []byte, service bool,
	now time.Time) bool {
	if !w.reserved().Add(reserved).Fits(w.capacity) || w.running[id] != nil {
		f.refusedStarts++
		return false
	}
	a := &attempt{task: id, number: number, reserved: reserved, started: now, state: port.TaskSucceeded}
	a.job, a.index = f.jobs[id.Job], id.Index
	if part, divided := f.partOffsets[id.Job]; divided {
		a.job, a.index = part.job, part.first+id.Index
	}
	switch {
	case service:
		w.lastSequence++
		w.events = append(w.events, port.TaskEvent{Sequence: w.lastSequence, Record: port.TaskRecord{Task: id, Attempt: number,
			State: port.TaskRunning, Reserved: reserved, Address: "127.0.0.1:1"}})
	case len(checkpoint) == 8:
		a.remaining = time.Duration(binary.BigEndian.Uint64(checkpoint))
		a.endsAt = now.Add(a.remaining)
	default:
		a.remaining = a.job.Durations[a.index]
		a.endsAt = now.Add(a.remaining)
	}
	w.running[id] = a
	f.runningOf[a.job]++
	f.observer.started(a, now)
	return true
}

func (a *attempt) command(action port.Action, now time.Time) {
	endsAt, state := now.Add(stopTime), port.TaskStopped
	switch action {
	case port.Checkpoint:
		endsAt, state = now.Add(checkpointTime), port.TaskCheckpointed
	case port.Stop, port.Drain:
	default:
		return // throttling doesn't change a task's run time
	}
	if a.endsAt.IsZero() || endsAt.Before(a.endsAt) {
		a.endsAt, a.state = endsAt, state
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
		used := actualUse(a)
		usage = append(usage, port.TaskUsage{Task: a.task, MilliCPU: used.MilliCPU, MemoryMB: used.MemoryMB})
	}
	slices.SortFunc(usage, func(a, b port.TaskUsage) int { return compareTasks(a.Task, b.Task) })
	return usage
}

// actualUse returns the actual resource usage of an attempt. Service instances use what they declare.
func actualUse(a *attempt) resource.Vector {
	if a.job != nil {
		return a.job.Actual
	}
	return a.reserved
}
