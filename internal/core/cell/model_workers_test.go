package cell

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
)

type simRun struct {
	run      int
	need     resource.Vector
	stopping bool
	stopsAt  time.Time // when a run that is being stopped ends
	// misdirected is set if the order was issued for an earlier instance, which no scheduler can prevent. It has to reckon with
	// such a run from shownAt on.
	misdirected bool
	shownAt     time.Time // when an inventory first showed the run to the scheduler, zero before that
}

// knownAt reports whether a scheduler has to reckon with the run in an order that it issues at the given time.
func (r simRun) knownAt(issued time.Time) bool {
	return !r.misdirected || !r.shownAt.IsZero() && !r.shownAt.After(issued)
}

type simWorker struct {
	id             WorkerID
	startMS        int64
	instances      int64 // started so far
	up, isolated   bool
	replaced       bool  // another worker answers at its address
	capacity       int64 // thousandths of a core
	token          int
	leaseEnd       time.Time
	runs           map[TaskID]simRun
	refusedThrough map[TaskID]int // start orders for runs up to this number are refused
	ended          []EndedRow
	ordered        map[TaskID]bool // tasks whose start was ordered; true for those that it started
	lastEndNumber  int64
	ack            int64
	lapsesAt       time.Time // when the scheduling node considers the lease expired
	notified       bool
	entry          modelEntry
}

// boot starts a new instance of a worker without any state and with another capacity. Delayed orders may reach it too.
func (m *model) boot(w *simWorker) {
	w.startMS = m.nextStart(w)
	if !m.recovered {
		w.capacity = rapid.SampledFrom([]int64{1000, 2500, modelCapacity, modelCapacity}).Draw(m.t, "capacity")
	}
	w.replaced = false
	w.up, w.token, w.leaseEnd, w.lastEndNumber, w.ack = true, 0, time.Time{}, 0, 0
	w.runs, w.refusedThrough, w.ended, w.ordered = map[TaskID]simRun{}, map[TaskID]int{}, nil, map[TaskID]bool{}
}

// stopRun begins to stop a run, which may take until a later tick.
func (m *model) stopRun(w *simWorker, id TaskID) {
	r := w.runs[id]
	if r.stopping {
		return
	}
	after := rapid.SampledFrom([]time.Duration{0, 0, 100, 900}).Draw(m.t, "stop") * time.Millisecond
	if after == 0 {
		m.endRun(w, RunID{id, r.run}, EndStopped)
		return
	}
	r.stopping, r.stopsAt = true, m.now.Add(after)
	w.runs[id] = r
}

// endStopped ends the runs whose stop is due.
func (m *model) endStopped(w *simWorker) {
	for _, id := range sortedTasks(w.runs) {
		if r := w.runs[id]; w.up && r.stopping && !r.stopsAt.After(m.now) {
			m.endRun(w, RunID{id, r.run}, EndStopped)
		}
	}
}

// execute applies an order on the worker's side.
func (m *model) execute(w *simWorker, o simOrder) OrderOutcome {
	if o.token < w.token {
		return OrderFenced
	}
	w.token = o.token
	current, exists := w.runs[o.Run.Task]
	if o.Kind == OrderStop {
		w.refusedThrough[o.Run.Task] = max(w.refusedThrough[o.Run.Task], o.Run.Run)
		if exists && current.run <= o.Run.Run {
			m.stopRun(w, o.Run.Task)
		}
		return OrderDone
	}
	misdirected := o.instance != w.startMS // its lease ends on the clock of another instance, which shows more
	switch {
	case exists && current.run == o.Run.Run:
		return OrderDone
	case exists || o.Run.Run <= w.refusedThrough[o.Run.Task]:
		return OrderStale
	case o.leaseEnd.Before(m.now) && !misdirected:
		return OrderRefused
	}
	if !misdirected {
		m.checkStart(w, o)
	}
	w.ordered[o.Run.Task] = true
	w.runs[o.Run.Task] = simRun{run: o.Run.Run, need: m.jobs[o.Run.Task.Job].Steps[o.Run.Task.Step].Each, misdirected: misdirected}
	if used := w.usedCPU(o.issuedAt); used > o.capacity && !misdirected {
		m.t.Fatalf("%v brings %s to %d of %d thousandths of a core", o.Run, w.id, used, o.capacity)
	}
	if o.leaseEnd.After(w.leaseEnd) {
		w.leaseEnd = o.leaseEnd
	}
	switch {
	case m.crashing[o.Run.Task] && misdirected:
		m.crash(w)
	case m.crashing[o.Run.Task]:
		m.crashUnder(w, o)
	}
	return OrderDone
}

// checkStart checks that a start is one that a scheduler may order.
func (m *model) checkStart(w *simWorker, o simOrder) {
	if m.ackedDone[o.Run.Task] {
		m.t.Fatalf("%v starts again although the task was acknowledged as done", o.Run)
	}
	if m.ackedFailures[o.Run.Task] >= 2 {
		m.t.Fatalf("%v starts after two failures", o.Run)
	}
	for _, other := range m.workers {
		if r, exists := other.runs[o.Run.Task]; exists && other.up && other != w && r.knownAt(o.issuedAt) {
			m.t.Fatalf("%v starts on %s while run %d is on %s", o.Run, w.id, r.run, other.id)
		}
	}
}

// usedCPU returns what runs on a worker, in thousandths of a core, as far as a scheduler has to reckon with it at the given
// time.
func (w *simWorker) usedCPU(at time.Time) int64 {
	used := int64(0)
	for _, r := range w.runs {
		if r.knownAt(at) {
			used += r.need.MilliCPU
		}
	}
	return used
}

// changeCapacity changes the capacity of a random worker. The registry shows it from the next tick on.
func (m *model) changeCapacity() {
	m.setCapacity(m.randomWorker(), rapid.SampledFrom([]int64{0, 1000, 2500, modelCapacity}).Draw(m.t, "capacity"))
}

// setCapacity changes a worker's capacity. A delayed order may be carried out up to the highest capacity since it was
// issued.
func (m *model) setCapacity(w *simWorker, milliCPU int64) {
	w.capacity = milliCPU
	for _, orders := range [][]simOrder{m.delayedOrders, m.queuedOrders} {
		for i := range orders {
			if o := &orders[i]; o.Worker == w.id {
				o.capacity = max(o.capacity, milliCPU)
			}
		}
	}
}

// crashUnder crashes a worker that has started a task which crashes its workers.
func (m *model) crashUnder(w *simWorker, o simOrder) {
	task := o.Run.Task
	if last, ok := m.crashedStart[task]; ok && last.token == m.token {
		m.countedCrashes[task]++
	}
	if m.countedCrashes[task] >= maxCrashes {
		m.t.Fatalf("%v starts after %d crashes", o.Run, m.countedCrashes[task])
	}
	delete(m.crashedStart, task)
	if o.token == m.token && !w.isolated {
		m.crashedStart[task] = modelCrash{w.id, m.token}
	}
	m.crash(w)
}

func (m *model) crash(w *simWorker) {
	if !w.up {
		return
	}
	w.up = false
	for task, started := range w.ordered {
		m.orderedCrashes[task]++
		if started {
			m.startedCrashes[task]++
		}
	}
}

// replace crashes a worker and lets another one answer at its address.
func (m *model) replace(w *simWorker) {
	m.crash(w)
	w.replaced = true
}

// hideCrash forgets the crashes on a worker that the scheduler can't tell from a network partition.
func (m *model) hideCrash(w *simWorker) {
	for task, c := range m.crashedStart {
		if c.worker == w.id {
			delete(m.crashedStart, task)
		}
	}
}

func (m *model) endRun(w *simWorker, r RunID, kind EndKind) {
	delete(w.runs, r.Task)
	w.refusedThrough[r.Task] = max(w.refusedThrough[r.Task], r.Run)
	if kind == EndFailed {
		step := StepID{r.Task.Job, r.Task.Step}
		if m.failures[step] == nil {
			m.failures[step] = map[int]bool{}
		}
		m.failures[step][failureKey(r)] = true
	}
	w.lastEndNumber++
	w.ended = append(w.ended, EndedRow{Number: w.lastEndNumber, Run: r, Kind: kind})
}

func (m *model) expireLease(w *simWorker) {
	if w.up && m.now.After(w.leaseEnd) {
		for _, id := range sortedTasks(w.runs) {
			m.endRun(w, RunID{id, w.runs[id].run}, EndLapsed)
		}
	}
	if (w.isolated || !w.up) && !w.notified && m.now.After(w.lapsesAt) {
		w.notified = true
		if w.isolated {
			m.hideCrash(w)
		}
		m.s.WorkerLeaseExpired(w.id, m.now)
	}
}

func sortedTasks(runs map[TaskID]simRun) []TaskID {
	var ids []TaskID
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b TaskID) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return ids
}

func (m *model) acknowledge(w *simWorker, cursor int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= cursor {
		e := w.ended[0]
		w.ended = w.ended[1:]
		spec := m.jobs[e.Run.Task.Job].Steps[e.Run.Task.Step]
		gang := spec.Gang
		switch {
		case spec.LongRunning: // starts again, however often it ends
		case e.Kind == EndDone:
			m.ackedDone[e.Run.Task] = true
		case e.Kind == EndFailed && !gang:
			m.ackedFailures[e.Run.Task]++
		}
	}
}

// endRandomRun ends a random run. The runs of a gang end as done only if all of its members run.
func (m *model) endRandomRun() {
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	ids := sortedTasks(w.runs)
	if !w.up || len(ids) == 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "task")]
	if m.recovered && m.jobs[id.Job].Steps[id.Step].LongRunning {
		return
	}
	kind := EndDone
	if !m.recovered && rapid.SampledFrom([]bool{true, false, false}).Draw(m.t, "fails") {
		kind = EndFailed
	}
	m.endTaskOrGang(id, w, kind)
}

func (m *model) endTaskOrGang(id TaskID, w *simWorker, kind EndKind) {
	spec := m.jobs[id.Job].Steps[id.Step]
	run := w.runs[id].run
	if !spec.Gang {
		m.endRun(w, RunID{id, run}, kind)
		return
	}
	members := m.members(id, run)
	if kind == EndDone && len(members) < spec.Count {
		return
	}
	for member, at := range members {
		memberKind := kind
		if kind == EndFailed && member != id {
			memberKind = EndGangAborted
		}
		m.endRun(at, RunID{member, run}, memberKind)
	}
}

func (m *model) members(id TaskID, run int) map[TaskID]*simWorker {
	found := map[TaskID]*simWorker{}
	for _, w := range m.workers {
		for other, r := range w.runs {
			if w.up && other.Job == id.Job && other.Step == id.Step && r.run == run {
				found[other] = w
			}
		}
	}
	return found
}

func (m *model) randomWorker() *simWorker {
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
}

func (m *model) restart(w *simWorker) {
	if !w.up {
		m.boot(w)
	}
}
