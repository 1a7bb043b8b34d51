package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/instant"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

func newTestNode(name string, cores float64) *Node {
	return &Node{options: Options{Name: name, Cores: cores, MaxLease: 10 * time.Second}}
}

// confirmedTerm returns a term that was just won.
func confirmedTerm(number int64) *term {
	t := &term{number: number}
	t.confirm(instant.Now())
	return t
}

// newTestLink returns a link to worker w in a term that began at the given time.
func newTestLink(t *testing.T, termBegan time.Time) *workerLink {
	node := newTestNode("a", 1)
	s := &activeTerm{node: node, term: confirmedTerm(3), events: make(chan func(), 8), ctx: t.Context(), core: cell.New(cell.Options{}, discardEvents{})}
	return &workerLink{s: s, ref: port.WorkerRef{ID: "w", Address: "a"}, linkState: newLinkState(newLeaseTracker(node.options, 0, termBegan))}
}

// Calls that were never sent renew nothing, so they must not postpone the expiry of the lease. Otherwise the tasks of
// an unreachable worker wait forever.
func TestUnsentCallsDoNotExtendLease(t *testing.T) {
	now := time.Now()
	l := newTestLink(t, now)
	for _, c := range []struct {
		err   error
		moves bool
	}{{port.ErrUnavailable, false}, {port.ErrConnectionRefused, false}, {port.ErrUnknownOutcome, true}, {nil, true}} {
		l.lease.clock, l.lease.expiresAt = clockSample{1000, now}, now
		_, call := l.nextRenewal(0, false)
		assert.Equal(t, l.lease.calls, 1)
		l.finishLeaseCall(call, 0, 0, c.err)
		assert.Equal(t, l.lease.calls, 0)
		assert.Equal(t, l.lease.expiresAt.After(now), c.moves, "%v", c.err)
	}
}

// A start that is sent after the lease has expired begins a new lease, which must expire too. Otherwise the task of that
// start waits forever if the worker is gone.
func TestLeaseExpiresAgainAfterALaterStart(t *testing.T) {
	now := time.Now()
	l := newTestLink(t, now)
	l.lease.clock, l.lease.expiresAt = clockSample{1000, now}, now.Add(-time.Second)
	l.checkExpiry()
	l.checkExpiry()
	assert.Equal(t, len(l.s.events), 1, "one lease expires once")
	l.finishLeaseCall(l.lease.begin(now), 0, 0, port.ErrUnknownOutcome)
	l.checkExpiry()
	assert.Equal(t, len(l.s.events), 1, "the new lease lasts")
	l.lease.expiresAt = now.Add(-time.Second)
	l.checkExpiry()
	assert.Equal(t, len(l.s.events), 2)
}

// Guards against runs of an unreachable worker that wait for as long as the scheduler is busy: its link calls it again and again, and
// one of these calls was always in flight when the expiry of the lease was applied.
func TestCallThatGrantsNothingDoesNotPostponeExpiry(t *testing.T) {
	l, order := newOrderingLink(t, &orderedWorkers{})
	l.s.core.ApplyOrderOutcome(order, cell.OrderDone, time.Now())
	l.finishLeaseCall(l.lease.begin(time.Now()), 0, 0, port.ErrUnknownOutcome)
	l.lease.expiresAt = time.Now().Add(-time.Millisecond)
	l.checkExpiry()
	_, call := l.nextRenewal(0, false)
	l.s.drainEvents()
	assert.Equal(t, l.s.runs(), 0)
	l.finishLeaseCall(call, 0, 0, port.ErrUnknownOutcome)
	assert.Equal(t, l.lease.calls, 0)
}

// The lease must not be considered expired before the worker's clock, which may run slow, has reached its end.
func TestLeaseExpiryAllowsForSlowClock(t *testing.T) {
	now := time.Now()
	l := newTestLink(t, now)
	l.lease.clock = clockSample{1000, now}
	call := l.lease.begin(now)
	assert.Equal(t, call.endMS, 1000+workerLease.Milliseconds())
	slow := time.Duration(float64(call.expiry.Sub(now)) * (1 - maxClockDrift))
	assert.Assert(t, slow > workerLease)
}

// A restarted worker numbers its ended runs from 1 again. An acknowledgement meant for its earlier instance would make
// it discard ended runs that the scheduler hasn't seen.
func TestAckIsSentOnlyToInstanceThatAnswered(t *testing.T) {
	l := newTestLink(t, time.Now())
	answered := func(startMS int64) {
		l.handleRenewal(t.Context(), port.RenewalReply{ClockMS: 1000, Inventory: cell.Inventory{Worker: "w", StartMS: startMS}}, time.Now())
	}
	answered(1)
	l.setAck(acknowledgment{1, 57})
	r, call := l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(57))
	l.finishLeaseCall(call, 0, 0, port.ErrUnknownOutcome)
	l.setAck(acknowledgment{1, 58})
	r, call = l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(0))
	l.finishLeaseCall(call, 1, 1000, nil)
	answered(1)
	r, _ = l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(58))
	answered(2)
	r, _ = l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(0))
}

// Guards against a task that starts again after its end was noted: the registry showed that its worker had restarted, and before
// the scheduler knew of the answer of the new instance, that instance got the acknowledgment of the earlier one.
func TestRestartInRegistryEndsTheAcknowledgment(t *testing.T) {
	l := newTestLink(t, time.Now())
	l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 1000, Inventory: cell.Inventory{Worker: "w", StartMS: 1}}, time.Now())
	l.setAck(acknowledgment{1, 57})
	r, _ := l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(57))
	l.applyRegistered(2, false)
	l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 100, Inventory: cell.Inventory{Worker: "w", StartMS: 2}}, time.Now())
	r, _ = l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(0))
	l.setAck(acknowledgment{1, 58})
	r, _ = l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(0), "the scheduler doesn't know of the restart yet")
	l.setAck(acknowledgment{2, 3})
	r, _ = l.nextRenewal(0, false)
	assert.Equal(t, r.Ack, int64(3))
}

// Guards against leases on the clock of an earlier instance of a worker, and against runs that are given up, because the late
// answer of that instance was taken for the current one's.
func TestLateAnswerOfAnEarlierInstanceIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, order := newOrderingLink(t, &orderedWorkers{})
		s := l.s
		answer := func(startMS, clockMS int64, sentAt time.Time, running ...cell.RunningRow) {
			l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: clockMS, Inventory: cell.Inventory{Worker: "w", StartMS: startMS, Running: running,
				RequestSequence: s.core.OrderSequence()}}, sentAt)
			s.drainEvents()
		}
		sentEarlier := time.Now()
		time.Sleep(time.Second)
		answer(2, 100, time.Now())
		assert.Equal(t, s.runs(), 1, "the run is stopped first, because the start may be carried out late")
		answer(1, 61_000, sentEarlier)
		assert.Equal(t, s.core.Instance("w"), int64(2))
		r, _ := l.nextRenewal(time.Second, false)
		assert.Equal(t, r.LeaseEndMS, 100+workerLease.Milliseconds())

		answer(1, 200, time.Now(), cell.RunningRow{Run: order.Run})
		assert.Equal(t, s.core.Instance("w"), int64(1), "the worker's time of day has stepped back before its restart")
	})
}

// Guards against a task that stays on a lost worker for good: the worker's lease lapsed while it had no runs, and then a
// start order to it got no answer.
func TestLeaseOfUnansweredStartLapsesAfterAnIdleLease(t *testing.T) {
	l := newTestLink(t, time.Now())
	s := l.s
	each := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
	s.core.SetConfig(cell.NewConfig(cell.Config{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "pool", MaxAttempts: 2, Stretch: 3}}}))
	s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "a", Service: "pool", Capacity: each, StartMS: 1}}, time.Now())
	l.handleRenewal(t.Context(), port.RenewalReply{ClockMS: 1000, Inventory: cell.Inventory{Worker: "w", StartMS: 1}}, time.Now())
	s.drainEvents()
	lapse := func() {
		l.lease.expiresAt = time.Now().Add(-time.Millisecond)
		l.handleFailure(t.Context(), port.ErrConnectionRefused, 1)
		s.drainEvents()
	}
	lapse()

	assert.NilError(t, s.core.AddJob(cell.Job{ID: "j", Queue: "q", Service: "pool", Steps: []cell.Step{{Count: 1, Each: each}}}, nil, time.Now()))
	s.core.Advance(time.Now())
	for _, w := range s.core.TakeWrites(entriesPerTxn) {
		s.core.WriteCommitted(w)
	}
	orders := s.core.Advance(time.Now()).Orders
	assert.Equal(t, len(orders), 1)
	l.finishLeaseCall(l.lease.begin(time.Now()), 0, 0, port.ErrUnknownOutcome)
	s.core.ApplyOrderOutcome(orders[0], cell.OrderUnanswered, time.Now())
	assert.Equal(t, s.core.WorkersInUse()[0].Runs, 1)

	lapse()
	assert.Equal(t, s.core.WorkersInUse()[0].Runs, 0)
}

// Guards against a task that runs twice: its worker got another address, and the first failed renewal there released all runs on
// it, because the lease was taken for one that had ended soon after the beginning of the term.
func TestLeaseOutlastsAChangeOfTheWorkersAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, order := newOrderingLink(t, &orderedWorkers{renewalError: port.ErrUnavailable})
		s := l.s
		time.Sleep(time.Hour)
		s.term.confirm(instant.Now())
		l.lease.answered(1, 3_660_000, time.Now())
		assert.Equal(t, l.outcomeOf(order), cell.OrderDone)
		s.core.ApplyOrderOutcome(order, cell.OrderDone, time.Now())
		s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "b", Service: "pool", Capacity: oneCore, StartMS: 1}}, time.Now())
		s.updateLinks()
		time.Sleep(workerLease)
		s.drainEvents()
		assert.Equal(t, s.runs(), 1)
		time.Sleep(time.Second)
		s.drainEvents()
		assert.Equal(t, s.runs(), 0, "the lease has expired")
	})
}

// Guards against a task that runs twice: its worker drained and was cut off by a network that refuses connections, its entry in the
// registry expired, and the run was released although the worker's lease lasted.
func TestRefusalDoesNotEndADrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, order := newOrderingLink(t, &orderedWorkers{})
		s := l.s
		s.core.ApplyOrderOutcome(order, cell.OrderDone, time.Now())
		s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "a", Service: "pool", Capacity: oneCore, Draining: true, StartMS: 1}}, time.Now())
		s.updateLinks()
		r, call := l.nextRenewal(time.Second, false)
		assert.Equal(t, r.LeaseEndMS, 60_000+drainingWorkerLease.Milliseconds(), "the lease is short while the worker drains")
		l.finishLeaseCall(call, 1, 60_000, nil)
		s.core.SetWorkers(nil, time.Now())
		time.Sleep(drainingWorkerLease)
		l.handleFailure(t.Context(), port.ErrConnectionRefused, 1)
		s.drainEvents()
		assert.Equal(t, s.runs(), 1)
		time.Sleep(drainingWorkerLease / 10)
		l.handleFailure(t.Context(), port.ErrConnectionRefused, 1)
		s.drainEvents()
		assert.Equal(t, s.runs(), 0, "the lease has expired")
	})
}

// A node with few cores must not win the first term before a node with enough cores tries.
func TestNodesWithMoreCoresCampaignFirst(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, newTestNode(name, 0.8).candidacyDelay()+200*time.Millisecond < newTestNode("x", 0.19).candidacyDelay())
	}
}
