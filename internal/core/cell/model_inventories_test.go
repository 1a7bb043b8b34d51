package cell

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
)

// modelEntry is a worker's entry in the registry.
type modelEntry struct {
	listed   bool
	startMS  int64
	capacity int64
}

// modelInventory is an inventory on its way to the scheduler.
type modelInventory struct {
	Inventory
	arrivesAt time.Time
}

// renewalResult is what happens to a renewal on its way to the worker and back.
type renewalResult int

const (
	renewalAnswered renewalResult = iota
	renewalLost
	renewalAnswerLost
	renewalAnswerDelayed
)

// nextStart returns the start of a worker's next instance. Its wall clock may have gone back.
func (m *model) nextStart(w *simWorker) int64 {
	w.instances++
	if m.recovered || rapid.SampledFrom([]bool{true, true, true, false}).Draw(m.t, "clock") {
		return 1000 + w.instances
	}
	return 1000 - w.instances
}

// writeEntry writes a worker's entry into the registry.
func (m *model) writeEntry(w *simWorker) { w.entry = modelEntry{true, w.startMS, w.capacity} }

// shownCapacity returns the highest capacity up to which a scheduler may order starts. The registry may not show yet that the
// capacity has shrunk, but an entry of another instance says nothing.
func (w *simWorker) shownCapacity() int64 {
	if w.entry.startMS != w.startMS {
		return w.capacity
	}
	return max(w.capacity, w.entry.capacity)
}

// updateRegistry lets some workers write their entries, removes those of crashed workers at some time, and passes the registry
// to the scheduler.
func (m *model) updateRegistry() {
	for _, w := range m.workers {
		switch {
		case !m.recovered && rapid.SampledFrom([]bool{true, false, false}).Draw(m.t, "entry stays"):
		case w.up:
			m.writeEntry(w)
		default:
			w.entry.listed = false
		}
	}
	m.registerWorkers()
}

func (m *model) registerWorkers() {
	var reports []WorkerReport
	for _, w := range m.workers {
		if w.entry.listed {
			reports = append(reports, WorkerReport{ID: w.id, Address: "a", Service: "pool",
				Capacity: resource.Vector{MilliCPU: w.entry.capacity, MemoryMB: 8000}, StartMS: w.entry.startMS})
		}
	}
	m.s.SetWorkers(reports, m.now)
}

// renew extends a worker's lease and delivers its inventory, delays it or loses it. A worker that the scheduler doesn't know is
// not called.
func (m *model) renew(w *simWorker) {
	switch {
	case m.s.workers[w.id] == nil:
		return
	case w.isolated:
		m.s.WorkerUnresponsive(w.id, m.now)
		return
	case !w.up && w.replaced:
		m.s.WorkerTerminated(w.id, m.s.workers[w.id].StartMS, m.now)
		return
	case !w.up:
		m.s.WorkerConnectionRefused(w.id, m.now)
		return
	}
	requestSequence, cursor := m.s.OrderSequence(), m.ackCursor(w)
	w.lapsesAt, w.notified = m.now.Add(modelLease), false
	result := renewalAnswered
	if !m.recovered {
		result = rapid.SampledFrom([]renewalResult{renewalAnswered, renewalAnswered, renewalAnswered, renewalLost, renewalAnswerLost,
			renewalAnswerDelayed, renewalAnswerDelayed}).Draw(m.t, "renewal")
	}
	if result == renewalLost {
		return
	}
	w.token, w.leaseEnd = m.token, m.now.Add(modelLease)
	m.acknowledge(w, cursor)
	switch inv := m.inventory(w, requestSequence); result {
	case renewalAnswered:
		m.deliver(inv)
		m.markShown(w)
	case renewalAnswerDelayed:
		late := rapid.SampledFrom([]time.Duration{1, 100, 500, 2000}).Draw(m.t, "late") * time.Millisecond
		m.delayedInventories = append(m.delayedInventories, modelInventory{inv, m.now.Add(late)})
	}
}

// markShown marks a worker's runs as shown to the scheduler, which can't ignore an inventory that isn't late.
func (m *model) markShown(w *simWorker) {
	for id, r := range w.runs {
		if r.shownAt.IsZero() {
			r.shownAt = m.now
			w.runs[id] = r
		}
	}
}

// ackCursor returns the acknowledgment for a worker's current instance, 0 if the scheduler doesn't know it yet.
func (m *model) ackCursor(w *simWorker) int64 {
	known := m.s.workers[w.id]
	if known == nil || known.StartMS != w.startMS {
		return 0
	}
	cursor, _ := m.s.AckCursor(w.id)
	return cursor
}

func (m *model) inventory(w *simWorker, requestSequence uint64) Inventory {
	inv := Inventory{Worker: w.id, StartMS: w.startMS, RequestSequence: requestSequence, Ended: slices.Clone(w.ended)}
	for _, id := range sortedTasks(w.runs) {
		inv.Running = append(inv.Running, RunningRow{Run: RunID{id, w.runs[id].run}, Percent: 100})
	}
	return inv
}

// deliverDelayed delivers the delayed inventories that have arrived, in any order.
func (m *model) deliverDelayed() {
	var arrived, kept []modelInventory
	for _, inv := range m.delayedInventories {
		if inv.arrivesAt.After(m.now) {
			kept = append(kept, inv)
		} else {
			arrived = append(arrived, inv)
		}
	}
	m.delayedInventories = kept
	if len(arrived) > 1 {
		arrived = rapid.Permutation(arrived).Draw(m.t, "order")
	}
	for _, inv := range arrived {
		m.deliver(inv.Inventory)
	}
}

// deliver passes an inventory to the scheduler. The stop orders that it returns reach the worker if it isn't cut off.
func (m *model) deliver(inv Inventory) {
	w := m.worker(inv.Worker)
	for _, o := range m.s.ApplyInventory(inv, m.now) {
		if w.up && !w.isolated {
			m.execute(w, simOrder{Order: o, token: m.token})
		}
	}
}
