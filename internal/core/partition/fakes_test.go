package partition

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// attempt identifies an attempt of a task.
type attempt struct {
	task   job.TaskID
	number int32
}

type fakeRun struct {
	reserved resource.Vector
	address  string
	team     string
	ready    time.Time // when a service instance gets its address
}

// fakeWorker implements the rules of proto/worker.proto in virtual time.
type fakeWorker struct {
	host               port.Host
	partition          string
	capacity           resource.Vector
	token              port.Token
	holder             string
	controlUntil       time.Time
	tasksUntil         time.Time
	sequence           uint64
	mark               uint64
	events             []port.TaskEvent
	ended              map[attempt]port.TaskRecord
	running            map[attempt]fakeRun
	down, disconnected bool
	failing            bool // every start ends as failed
	leaving            bool // refuses starts
}

// history records what ran on all workers, and the violations found.
type history struct {
	workers       []*fakeWorker
	specs         map[job.ID]job.Spec
	succeeded     map[job.TaskID]int
	freshStarts   map[job.TaskID]int // starts that don't continue from a checkpoint
	checkpointed  map[job.TaskID]bool
	lostSuccesses map[job.TaskID]bool        // succeeded, but the worker crashed or lapsed and may never deliver the record
	limits        map[string]resource.Vector // by team, for one partition; a team without an entry isn't checked
	violations    []string
}

func newHistory() *history {
	return &history{specs: map[job.ID]job.Spec{}, succeeded: map[job.TaskID]int{}, freshStarts: map[job.TaskID]int{},
		checkpointed: map[job.TaskID]bool{}, lostSuccesses: map[job.TaskID]bool{}, limits: map[string]resource.Vector{}}
}

func (h *history) addWorker(id, partition, rack string, slots int64) *fakeWorker {
	w := &fakeWorker{host: port.Host{ID: id, Zone: "z1", Rack: rack}, partition: partition,
		capacity: resource.Vector{Slots: slots, MilliCPU: 1000 * slots, MemoryMB: 1000 * slots},
		ended:    map[attempt]port.TaskRecord{}, running: map[attempt]fakeRun{}}
	h.workers = append(h.workers, w)
	return w
}

func (h *history) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) worker(id string) *fakeWorker {
	return h.workers[slices.IndexFunc(h.workers, func(w *fakeWorker) bool { return w.host.ID == id })]
}

// expire ends the tasks whose task lease has lapsed, and assigns addresses to started instances.
func (h *history) expire(now time.Time) {
	for _, w := range h.workers {
		if !w.down && !now.Before(w.tasksUntil) {
			for _, a := range w.attempts() {
				w.end(h, a, port.TaskLapsed)
			}
		}
		for a, r := range w.running {
			if !r.ready.IsZero() && r.address == "" && !now.Before(r.ready) {
				r.address = fmt.Sprintf("%s:%d", w.host.ID, a.task.Index)
				w.running[a] = r
				w.emit(w.record(a, port.TaskRunning))
			}
		}
	}
}

func (w *fakeWorker) attempts() []attempt {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b attempt) int {
		return cmp.Or(strings.Compare(string(a.task.Job), string(b.task.Job)), cmp.Compare(a.task.Index, b.task.Index))
	})
}

func (w *fakeWorker) used() (sum resource.Vector) {
	for _, r := range w.running {
		sum = sum.Add(r.reserved)
	}
	return sum
}

func (w *fakeWorker) renew(now time.Time) {
	t := DefaultTiming()
	w.controlUntil = now.Add(t.ControlLease)
	w.tasksUntil = w.controlUntil.Add(t.TaskLease)
}

func (w *fakeWorker) acquire(node string, now time.Time) (port.Inventory, bool) {
	if w.holder != node && now.Before(w.controlUntil) {
		return port.Inventory{}, false
	}
	w.token++
	w.holder = node
	w.renew(now)
	inv := port.Inventory{Token: w.token, Capacity: w.capacity, Connections: 64, Sequence: w.sequence, DurableMark: w.mark}
	for _, a := range w.attempts() {
		inv.Tasks = append(inv.Tasks, w.record(a, port.TaskRunning))
	}
	for _, a := range slices.SortedFunc(maps.Keys(w.ended), func(a, b attempt) int { return compareTaskIDs(a.task, b.task) }) {
		inv.Tasks = append(inv.Tasks, w.ended[a])
	}
	return inv, true
}

func (w *fakeWorker) record(a attempt, s port.TaskState) port.TaskRecord {
	return port.TaskRecord{Task: a.task, Attempt: a.number, State: s, Reserved: w.running[a].reserved, Address: w.running[a].address}
}

// sync applies a batch; it returns false if the batch is fenced.
func (w *fakeWorker) sync(h *history, s port.Sync, now time.Time) (port.SyncResult, bool) {
	var out port.SyncResult
	if s.Token != w.token || s.Node != w.holder || !now.Before(w.controlUntil) {
		return out, false
	}
	if s.ForgetThrough > w.sequence {
		h.violate("%s was told to forget events through %d of %d", w.host.ID, s.ForgetThrough, w.sequence)
		return out, true
	}
	w.renew(now)
	w.events = slices.DeleteFunc(w.events, func(e port.TaskEvent) bool {
		if e.Sequence > s.ForgetThrough {
			return false
		}
		if e.Record.State != port.TaskRunning {
			delete(w.ended, attempt{e.Record.Task, e.Record.Attempt})
		}
		return true
	})
	w.mark = max(w.mark, s.DurableMark)
	for _, c := range s.Commands {
		w.command(h, c)
	}
	for _, g := range s.Starts {
		for _, t := range g.Tasks {
			if code, ok := w.start(h, g, t, now); !ok {
				out.Refusals = append(out.Refusals, port.Refusal{Task: job.TaskID{Job: g.Job, Index: t.Index}, Attempt: t.Attempt, Code: code})
			}
		}
	}
	for _, e := range w.events {
		if e.Sequence > s.SeenThrough {
			out.Events = append(out.Events, e)
		}
	}
	return out, true
}

func (w *fakeWorker) command(h *history, c port.Command) {
	a := attempt{c.Task, c.Attempt}
	if _, runs := w.running[a]; !runs {
		return
	}
	switch c.Action {
	case port.Stop, port.Drain:
		w.end(h, a, port.TaskStopped)
	case port.Checkpoint:
		w.end(h, a, port.TaskCheckpointed)
	}
}

func (w *fakeWorker) start(h *history, g port.StartGroup, t port.TaskStart, now time.Time) (port.RefusalCode, bool) {
	a := attempt{job.TaskID{Job: g.Job, Index: t.Index}, t.Attempt}
	for other := range w.running {
		if other.task == a.task {
			return port.RefusedDuplicate, false
		}
	}
	for other, r := range w.ended {
		if other == a || (other.task == a.task && r.State == port.TaskSucceeded) {
			return port.RefusedDuplicate, false
		}
	}
	if w.leaving {
		return port.RefusedLeaving, false
	}
	if !g.Reserved.Fits(w.capacity.Sub(w.used())) {
		return port.RefusedCapacity, false
	}
	h.expire(now)
	h.checkStart(w, a, g, now)
	run := fakeRun{reserved: g.Reserved, team: h.specs[g.Job].Team}
	if g.Service {
		run.ready = now.Add(time.Second)
	}
	w.running[a] = run
	if w.failing {
		w.end(h, a, port.TaskFailed)
	}
	return 0, true
}

// checkStart records a violation if a start breaks a guarantee.
func (h *history) checkStart(w *fakeWorker, a attempt, g port.StartGroup, now time.Time) {
	spec := h.specs[g.Job]
	total := g.Reserved
	for _, other := range h.workers {
		for b, r := range other.running {
			if b.task == a.task {
				h.violate("%v starts on %s while attempt %d runs on %s", a, w.host.ID, b.number, other.host.ID)
			}
			if r.team == spec.Team && other.partition == w.partition {
				total = total.Add(r.reserved)
			}
		}
	}
	if limit, limited := h.limits[spec.Team]; limited && !total.Fits(limit) {
		h.violate("team %s runs %v of %v", spec.Team, total, limit)
	}
	if spec.Class == job.Service {
		return
	}
	for _, other := range h.workers {
		for b, r := range other.ended {
			// A worker that no owner could reach until its leases lapsed may never deliver the record of the success.
			h.lostSuccesses[a.task] = h.lostSuccesses[a.task] || (b.task == a.task && r.State == port.TaskSucceeded && !now.Before(other.tasksUntil))
		}
	}
	if h.succeeded[a.task] > 0 && !h.lostSuccesses[a.task] {
		h.violate("%v starts on %s after it succeeded", a, w.host.ID)
	}
	if !h.checkpointed[a.task] {
		if h.freshStarts[a.task]++; !spec.Idempotent && h.freshStarts[a.task] > 1 {
			h.violate("non-idempotent %v starts again on %s", a, w.host.ID)
		}
	}
	h.checkpointed[a.task] = false
}

func (w *fakeWorker) end(h *history, a attempt, s port.TaskState) {
	r := w.record(a, s)
	delete(w.running, a)
	w.ended[a] = r
	switch s {
	case port.TaskSucceeded:
		h.succeeded[a.task]++
	case port.TaskCheckpointed:
		h.checkpointed[a.task] = true
	}
	w.emit(r)
}

func (w *fakeWorker) emit(r port.TaskRecord) {
	w.sequence++
	w.events = append(w.events, port.TaskEvent{Sequence: w.sequence, Record: r})
}

// restart brings a worker back without its state, apart from the token, which fences old owners. It grants no control
// lease until the one that it lost would have lapsed.
func (w *fakeWorker) restart() {
	w.down = false
	w.holder, w.sequence, w.mark, w.events = "", 0, 0, nil
	w.ended, w.running = map[attempt]port.TaskRecord{}, map[attempt]fakeRun{}
}

func (w *fakeWorker) crash(h *history) {
	w.down = true
	for a, r := range w.ended {
		h.lostSuccesses[a.task] = h.lostSuccesses[a.task] || r.State == port.TaskSucceeded
	}
	w.running = map[attempt]fakeRun{}
}
