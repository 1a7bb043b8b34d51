package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// restartedWorkers answers as an instance of worker w that has replaced the first one.
type restartedWorkers struct{ orderedWorkers }

func (*restartedWorkers) Renew(context.Context, port.WorkerRef, port.Renewal) (port.RenewalReply, error) {
	return port.RenewalReply{ClockMS: 100, Inventory: cell.Inventory{Worker: "w", StartMS: 2}}, nil
}

// Guards against a start on a worker of another kind: it was decided for an earlier instance of the worker, waited for the worker's
// clock, and was sent to the instance that answered.
func TestStartForAnEarlierInstanceIsNotSent(t *testing.T) {
	workers := &restartedWorkers{}
	l, order := newOrderingLink(t, workers)
	assert.Equal(t, order.Instance, int64(1))
	l.mu.Lock()
	l.lease.forgetClock()
	l.mu.Unlock()
	assert.Equal(t, l.outcomeOf(order), cell.OrderOutdated)
	starts, _ := workers.counts()
	assert.Equal(t, starts, 0)
	order.Instance = 2
	assert.Equal(t, l.outcomeOf(order), cell.OrderDone)
}

// Guards against stops and paces that reach another instance than the one for which they were decided, and whose outcome is then
// taken for that of the earlier one.
func TestOrdersForAnEarlierInstanceAreNotSent(t *testing.T) {
	for _, kind := range []cell.OrderKind{cell.OrderStop, cell.OrderPace, cell.OrderStart} {
		workers := &orderedWorkers{}
		l, order := newOrderingLink(t, workers)
		order.Kind = kind
		l.applyRegistered(2, false)
		l.mu.Lock()
		l.lease.clock = clockSample{100, time.Now()}
		l.mu.Unlock()
		assert.Equal(t, l.outcomeOf(order), cell.OrderOutdated, "%s", kind)
		starts, stops := workers.counts()
		assert.Equal(t, starts+stops, 0, "%s", kind)
	}
}
