package control

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// listingWorkers answers renewals with an inventory and records them.
type listingWorkers struct {
	port.LeasedWorkers
	reply    port.RenewalReply
	renewals []port.Renewal
}

func (w *listingWorkers) Renew(_ context.Context, _ port.WorkerRef, r port.Renewal) (port.RenewalReply, error) {
	w.renewals = append(w.renewals, r)
	return w.reply, nil
}

// Guards against an inventory that the scheduler wants now and that comes only when a run ends.
func TestProbeReadsTheInventoryAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &listingWorkers{}
		l, order := newOrderingLink(t, workers)
		l.s.core.ApplyOrderOutcome(order, cell.OrderUnanswered, l.s.wonAt)
		workers.reply = port.RenewalReply{ClockMS: 60_050, Inventory: cell.Inventory{Worker: "w", StartMS: 1,
			Running: []cell.RunningRow{{Run: order.Run}}}}
		l.s.probe("w")
		synctest.Wait()
		l.s.drainEvents()
		assert.DeepEqual(t, workers.renewals, []port.Renewal{{Token: 3}}) // without a lease, an acknowledgment or a wait
		assert.Equal(t, l.s.core.State("j").Phase, cell.Running)
	})
}
