package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// orderedWorkers records the orders that it carries out. Renewals fail with renewalError.
type orderedWorkers struct {
	port.LeasedWorkers
	renewalError error
	startError   error
	stopError    error
	delay        time.Duration // of starts

	mu            sync.Mutex
	starts, stops []cell.RunID
}

func (w *orderedWorkers) Renew(context.Context, port.WorkerRef, port.Renewal) (port.RenewalReply, error) {
	return port.RenewalReply{}, w.renewalError
}

func (w *orderedWorkers) Start(_ context.Context, _ port.WorkerRef, s port.Start) (int64, error) {
	time.Sleep(w.delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.startError == nil {
		w.starts = append(w.starts, s.Order.Run)
	}
	return 0, w.startError
}

func (w *orderedWorkers) Stop(_ context.Context, _ port.WorkerRef, r cell.RunID, _ int64) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopError == nil {
		w.stops = append(w.stops, r)
	}
	return 0, w.stopError
}

func (w *orderedWorkers) counts() (starts, stops int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts), len(w.stops)
}

var oneCore = resource.Vector{MilliCPU: 1000, MemoryMB: 100}

// newOrderingLink returns a link to worker w, which has answered and whose lease ends in a second, and the order to start the
// task of job j there.
func newOrderingLink(t *testing.T, workers port.LeasedWorkers) (*workerLink, cell.Order) {
	now := time.Now()
	node, _, _ := newIsolatedNode()
	node.options.MaxLease = longestLease
	s := &activeTerm{node: node, term: confirmedTerm(3), events: make(chan func(), eventBuffer), core: cell.New(cell.Options{}, discardEvents{}),
		links: map[cell.WorkerID]*workerLink{}, unsettled: unsettledStarts{}, carriers: newCarriers(workers, spreading{}), wonAt: now}
	s.ctx, s.end = context.WithCancelCause(t.Context())
	t.Cleanup(func() { s.end(nil); s.tasks.Wait() })
	s.core.SetConfig(cell.NewConfig(cell.Config{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "pool", MaxAttempts: 2, Stretch: 3}}}))
	s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "a", Service: "pool", Capacity: oneCore, StartMS: 1}}, now)
	l := &workerLink{s: s, ref: port.WorkerRef{ID: "w", Address: "a"}, cancel: func() {},
		linkState: newLinkState(newLeaseTracker(node.options, 1, now))}
	s.links["w"] = l
	l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 60_000, Inventory: cell.Inventory{Worker: "w", StartMS: 1}}, time.Now())
	s.drainEvents()
	l.lease.expiresAt = now.Add(time.Second)
	assert.NilError(t, s.core.AddJob(cell.Job{ID: "j", Queue: "q", Service: "pool", Steps: []cell.Step{{Count: 1, Each: oneCore}}}, nil, now))
	s.core.Advance(now)
	for _, w := range s.core.TakeWrites(entriesPerTxn) {
		s.core.WriteCommitted(w)
	}
	orders := s.core.Advance(now).Orders
	assert.Equal(t, len(orders), 1)
	return l, orders[0]
}

// outcomeOf sends an order and returns its outcome.
func (l *workerLink) outcomeOf(o cell.Order) cell.OrderOutcome {
	outcome, _ := l.send(o)
	return outcome
}

// runs returns the number of runs that the scheduler expects on the only worker.
func (s *activeTerm) runs() int { return s.core.WorkersInUse()[0].Runs }

// Guards against a task that runs twice: its start was decided and not sent yet when the worker's lease expired, so it was
// given up, started elsewhere, and sent after all.
func TestLeaseDoesNotExpireWhileAStartIsPending(t *testing.T) {
	for name, expireFirst := range map[string]bool{"expiry noticed after the decision": false, "expiry noticed before the decision": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := &orderedWorkers{renewalError: port.ErrUnavailable}
				l, order := newOrderingLink(t, workers)
				clockRead, readClock := context.WithCancel(t.Context())
				defer readClock()
				l.lease.forgetClock()
				go func() { // a reading of the clock, for which the start waits
					_, _, _ = l.probes.Do("", func() (any, error) { <-clockRead.Done(); return nil, nil })
				}()
				synctest.Wait()
				time.Sleep(2 * time.Second)
				if expireFirst {
					l.checkExpiry()
				}
				l.s.sendOrder(order)
				synctest.Wait()
				l.handleFailure(t.Context(), port.ErrUnavailable, 1)
				l.s.drainEvents()
				assert.Equal(t, l.s.runs(), 1, "the start may still be carried out")

				l.lease.answered(1, 62_000, time.Now())
				readClock()
				synctest.Wait()
				l.s.drainEvents()
				starts, _ := workers.counts()
				assert.Equal(t, starts, 1)
				assert.Equal(t, l.s.runs(), 1)
				time.Sleep(2 * workerLease)
				l.handleFailure(t.Context(), port.ErrUnavailable, 1)
				l.s.drainEvents()
				assert.Equal(t, l.s.runs(), 0, "the lease of the start has expired")
			})
		})
	}
}

// Guards against a run that goes on beside its successor: its worker was taken for ended while its start was in flight.
func TestStartInFlightIsStoppedWhenItsWorkerIsTakenForEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &orderedWorkers{delay: 50 * time.Millisecond}
		l, order := newOrderingLink(t, workers)
		l.s.sendOrder(order)
		l.s.core.WorkerTerminated("w", 1, time.Now())
		assert.Equal(t, l.s.runs(), 1, "the start may still be carried out")
		time.Sleep(workers.delay)
		synctest.Wait()
		l.s.drainEvents()
		l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 60_060, Inventory: cell.Inventory{Worker: "w", StartMS: 1,
			RequestSequence: l.s.core.OrderSequence(), Running: []cell.RunningRow{{Run: order.Run}}}}, time.Now())
		l.s.drainEvents()
		for _, o := range l.s.core.Advance(time.Now()).Orders {
			l.s.sendOrder(o)
		}
		synctest.Wait()
		starts, stops := workers.counts()
		assert.Equal(t, starts, 1)
		assert.Equal(t, stops, 1)
	})
}

// Guards against a stop order for each run whose end is listed before its start is answered.
func TestStartAnsweredAfterItsRunIsDoneIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &orderedWorkers{delay: 50 * time.Millisecond}
		l, order := newOrderingLink(t, workers)
		l.s.sendOrder(order)
		l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 60_020, Inventory: cell.Inventory{Worker: "w", StartMS: 1,
			Ended: []cell.EndedRow{{Number: 1, Run: order.Run, Kind: cell.EndDone}}}}, time.Now())
		time.Sleep(workers.delay)
		synctest.Wait()
		l.s.drainEvents()
		synctest.Wait()
		_, stops := workers.counts()
		assert.Equal(t, stops, 0)
	})
}

// Guards against a task that runs twice: an order was answered by another instance at a worker's former address, which released
// all runs on the worker, although it went on at its new address.
func TestAnswerFromAFormerAddressDoesNotEndTheWorker(t *testing.T) {
	move := func(l *workerLink) {
		l.s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "b", Service: "pool", Capacity: oneCore, StartMS: 1}}, time.Now())
		l.s.updateLinks()
	}
	t.Run("order", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			workers := &orderedWorkers{startError: port.ErrInstanceChanged, renewalError: port.ErrUnavailable, delay: 50 * time.Millisecond}
			l, order := newOrderingLink(t, workers)
			l.s.core.ApplyOrderOutcome(order, cell.OrderUnanswered, time.Now()) // an earlier attempt may have been carried out
			l.s.sendOrder(order)
			synctest.Wait()
			move(l)
			time.Sleep(workers.delay)
			synctest.Wait()
			l.s.drainEvents()
			assert.Equal(t, l.s.runs(), 1)
		})
	})
	t.Run("renewal", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l, order := newOrderingLink(t, &orderedWorkers{renewalError: port.ErrUnavailable})
			l.s.core.ApplyOrderOutcome(order, cell.OrderDone, time.Now())
			move(l)
			l.handleFailure(t.Context(), port.ErrInstanceChanged, 1)
			l.s.drainEvents()
			assert.Equal(t, l.s.runs(), 1)
		})
	})
}

// Guards against runs that wait for the lease of a worker that has ended: another instance answers at its only address.
func TestAnswerOfAnotherInstanceEndsTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, order := newOrderingLink(t, &orderedWorkers{startError: port.ErrInstanceChanged})
		l.s.sendOrder(order)
		synctest.Wait()
		l.s.drainEvents()
		assert.Equal(t, l.s.runs(), 0)
	})
}

// slowFirstStart leaves the first start without an answer for longer than a second one takes.
type slowFirstStart struct {
	orderedWorkers
	first atomic.Bool
}

func (w *slowFirstStart) Start(ctx context.Context, ref port.WorkerRef, s port.Start) (int64, error) {
	if w.first.CompareAndSwap(false, true) {
		time.Sleep(300 * time.Millisecond)
		return 0, port.ErrUnknownOutcome
	}
	return w.orderedWorkers.Start(ctx, ref, s)
}

// Guards against a task that runs twice: the second attempt of its start was answered while the first was still on its way, the worker
// restarted, and its new instance carried out the first attempt, although the task had started elsewhere.
func TestStartIsUncertainWhileAnAttemptIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &slowFirstStart{}
		l, order := newOrderingLink(t, workers)
		l.s.sendOrder(order)
		time.Sleep(minHedgeDelay)
		synctest.Wait()
		l.s.drainEvents()
		starts, _ := workers.counts()
		assert.Equal(t, starts, 1)
		l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 100, Inventory: cell.Inventory{Worker: "w", StartMS: 2,
			RequestSequence: l.s.core.OrderSequence()}}, time.Now())
		l.s.drainEvents()
		assert.Equal(t, l.s.runs(), 1, "the run is stopped on the new instance first")
		time.Sleep(time.Second) // for the first attempt
	})
}

// Guards against a start that is sent after the other attempt was answered: the run may have ended, and its end may have been noted.
func TestSuperfluousAttemptIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &orderedWorkers{}
		l, order := newOrderingLink(t, workers)
		assert.ErrorIs(t, l.start(order, true, always), port.ErrUnavailable)
		starts, _ := workers.counts()
		assert.Equal(t, starts, 0)
		assert.Equal(t, l.lease.calls, 0)
	})
}

// Guards against a task that runs twice, or again after it was done: an attempt of its start had no answer, its run ended or was
// given up, the worker restarted, and its new instance carried out the attempt.
func TestRunOfAnUnansweredStartIsStoppedOnTheNextInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &orderedWorkers{startError: port.ErrUnknownOutcome}
		l, order := newOrderingLink(t, workers)
		l.s.sendOrder(order)
		synctest.Wait()
		l.s.drainEvents()
		l.s.core.WorkerTerminated("w", 1, time.Now())
		assert.Equal(t, l.s.runs(), 0)
		for _, renewal := range []struct {
			startMS, clockMS int64
			stops            int
		}{{1, 61_000, 0}, {2, 100, 1}, {2, 1100, 1}} {
			time.Sleep(time.Second)
			l.applyRenewal(t.Context(), port.RenewalReply{ClockMS: renewal.clockMS, Inventory: cell.Inventory{Worker: "w", StartMS: renewal.startMS}}, time.Now())
			l.s.drainEvents()
			synctest.Wait()
			_, stops := workers.counts()
			assert.Equal(t, stops, renewal.stops, "%+v", renewal)
		}
	})
}

// Guards against a run that starts late on the next instance of a worker that had left the registry in between.
func TestUnansweredStartIsRememberedWhileItsWorkerIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &orderedWorkers{startError: port.ErrUnknownOutcome, renewalError: port.ErrUnavailable}
		l, order := newOrderingLink(t, workers)
		l.s.sendOrder(order)
		synctest.Wait()
		l.s.drainEvents()
		l.s.core.WorkerTerminated("w", 1, time.Now())
		l.s.core.SetWorkers(nil, time.Now())
		l.s.updateLinks()
		assert.Equal(t, len(l.s.links), 0)

		time.Sleep(time.Second)
		l.s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "a", Service: "pool", Capacity: oneCore, StartMS: 2}}, time.Now())
		l.s.updateLinks()
		next := l.s.links["w"]
		next.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 100, Inventory: cell.Inventory{Worker: "w", StartMS: 2}}, time.Now())
		l.s.drainEvents()
		time.Sleep(time.Millisecond)
		_, stops := workers.counts()
		assert.Equal(t, stops, 1)

		time.Sleep(2 * maxStartDelay)
		l.s.updateLinks()
		assert.Equal(t, len(l.s.unsettled), 0)
	})
}
