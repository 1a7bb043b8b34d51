package cell

import (
	"time"

	"pgregory.net/rapid"
)

type simOrder struct {
	Order
	token     int
	leaseEnd  time.Time
	executeAt time.Time // when a delayed order is carried out
	capacity  int64     // highest capacity of the worker since the order was issued, in thousandths of a core
	instance  int64     // startMS of the instance to which the scheduler issued it
	issuedAt  time.Time
}

// deliveryResult is what happens to an order on its way to the worker and back.
type deliveryResult int

const (
	orderAnswered deliveryResult = iota
	answerLost
	orderLost
	orderDelayed
)

// modelOutcome is the outcome of an order on its way to the scheduler.
type modelOutcome struct {
	order     Order
	outcome   OrderOutcome
	arrivesAt time.Time
}

// send sends an order to its worker, or queues it at the node as if the worker's clock had to be read first.
func (m *model) send(o Order) {
	w := m.worker(o.Worker)
	if o.Kind == OrderStart {
		w.ordered[o.Run.Task] = w.ordered[o.Run.Task] || false
	}
	order := simOrder{Order: o, token: m.token, leaseEnd: m.now.Add(modelLease), capacity: w.shownCapacity(),
		instance: m.s.workers[w.id].StartMS, issuedAt: m.now}
	if !m.recovered && rapid.SampledFrom([]bool{true, false, false, false, false, false}).Draw(m.t, "queued") {
		order.executeAt = m.now.Add(rapid.SampledFrom([]time.Duration{100, 2000, 3000}).Draw(m.t, "wait") * time.Millisecond)
		m.queuedOrders = append(m.queuedOrders, order)
		return
	}
	m.dispatch(order)
}

// sendQueued sends the queued orders that are due.
func (m *model) sendQueued() {
	queued := m.queuedOrders
	m.queuedOrders = nil
	for _, o := range queued {
		if !m.recovered && o.executeAt.After(m.now) {
			m.queuedOrders = append(m.queuedOrders, o)
		} else {
			m.dispatch(o)
		}
	}
}

// dispatch delivers an order to its worker, loses the order or its answer, or delays the order.
func (m *model) dispatch(order simOrder) {
	w := m.worker(order.Worker)
	order.leaseEnd = m.now.Add(modelLease)
	result := rapid.SampledFrom([]deliveryResult{orderAnswered, orderAnswered, orderAnswered, answerLost, orderLost, orderDelayed}).Draw(m.t, "luck")
	switch {
	case !w.up && w.replaced:
		m.report(order.Order, OrderInstanceTerminated)
	case !w.up || w.isolated:
		m.report(order.Order, OrderNotSent)
	case m.recovered || result == orderAnswered:
		m.noteLease(w, order)
		m.report(order.Order, m.execute(w, order))
	case result == answerLost:
		m.noteLease(w, order)
		m.execute(w, order)
		m.report(order.Order, OrderUnanswered)
	case result == orderLost:
		m.noteLease(w, order)
		m.report(order.Order, OrderUnanswered)
	default:
		m.noteLease(w, order)
		order.executeAt = m.now.Add(rapid.SampledFrom([]time.Duration{100, 500, 2000, 6000}).Draw(m.t, "late") * time.Millisecond)
		m.delayedOrders = append(m.delayedOrders, order)
		m.report(order.Order, OrderUnanswered)
	}
}

// report passes the outcome of an order to the scheduler now or later.
func (m *model) report(o Order, outcome OrderOutcome) {
	if !m.recovered && rapid.SampledFrom([]bool{true, false, false, false, false}).Draw(m.t, "late outcome") {
		late := rapid.SampledFrom([]time.Duration{1, 500, 2000}).Draw(m.t, "delay") * time.Millisecond
		m.delayedOutcomes = append(m.delayedOutcomes, modelOutcome{o, outcome, m.now.Add(late)})
		return
	}
	m.s.ApplyOrderOutcome(o, outcome, m.now)
}

// reportDelayed passes the delayed outcomes that have arrived to the scheduler.
func (m *model) reportDelayed() {
	outcomes := m.delayedOutcomes
	m.delayedOutcomes = nil
	for _, o := range outcomes {
		if !m.recovered && o.arrivesAt.After(m.now) {
			m.delayedOutcomes = append(m.delayedOutcomes, o)
		} else {
			m.s.ApplyOrderOutcome(o.order, o.outcome, m.now)
		}
	}
}

// noteLease postpones the time at which the scheduling node considers a worker's lease expired, if a start order may have
// extended the lease.
func (m *model) noteLease(w *simWorker, o simOrder) {
	if o.Kind == OrderStart && o.leaseEnd.After(w.lapsesAt) {
		w.lapsesAt = o.leaseEnd
	}
}

func (m *model) executeDelayed() {
	kept := m.delayedOrders[:0]
	for _, o := range m.delayedOrders {
		if o.executeAt.After(m.now) {
			kept = append(kept, o)
		} else if w := m.worker(o.Worker); w.up {
			m.execute(w, o)
		}
	}
	m.delayedOrders = kept
}
