package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// Guards against a task that runs twice: another writer's entry in the registry gives a live worker another worker's address, whose
// answer was taken for the end of the first one.
func TestAnswerAtAnUnconfirmedAddressDoesNotEndTheWorker(t *testing.T) {
	for name, startMS := range map[string]int64{"without a start": 0, "with the start of a later instance": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := &orderedWorkers{renewalError: port.ErrInstanceChanged, stopError: port.ErrInstanceChanged}
				l, order := newOrderingLink(t, workers)
				l.s.core.ApplyOrderOutcome(order, cell.OrderDone, time.Now())
				l.s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "b", Service: "other", Capacity: oneCore, StartMS: startMS}}, time.Now())
				l.s.updateLinks()
				moved := l.s.links["w"]
				assert.Assert(t, moved != l)
				synctest.Wait() // its first renewal has been answered by another worker
				moved.handleFailure(t.Context(), port.ErrInstanceChanged, moved.instance())
				l.s.drainEvents()
				assert.Equal(t, l.s.runs(), 1)
				l.s.sendOrder(cell.Order{Kind: cell.OrderStop, Worker: "w", Instance: moved.instance(), Run: order.Run})
				synctest.Wait()
				l.s.drainEvents()
				assert.Equal(t, l.s.runs(), 1)

				time.Sleep(3 * longestLease)
				moved.checkExpiry()
				l.s.drainEvents()
				assert.Equal(t, l.s.runs(), 0, "its lease has expired")
			})
		})
	}
}

// Guards against runs that wait for the lease of a worker that has moved to another address, answered there, and ended.
func TestAnswerAtAConfirmedNewAddressEndsTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, order := newOrderingLink(t, &orderedWorkers{renewalError: port.ErrUnavailable})
		l.s.core.ApplyOrderOutcome(order, cell.OrderDone, time.Now())
		l.s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "b", Service: "pool", Capacity: oneCore, StartMS: 1}}, time.Now())
		l.s.updateLinks()
		moved := l.s.links["w"]
		moved.applyRenewal(t.Context(), port.RenewalReply{ClockMS: 61_000, Inventory: cell.Inventory{Worker: "w", StartMS: 1,
			Running: []cell.RunningRow{{Run: order.Run}}}}, time.Now())
		l.s.drainEvents()
		assert.Equal(t, l.s.runs(), 1)
		moved.handleFailure(t.Context(), port.ErrInstanceChanged, 1)
		l.s.drainEvents()
		assert.Equal(t, l.s.runs(), 0)
	})
}
