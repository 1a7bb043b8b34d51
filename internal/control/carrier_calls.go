package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// The calls to workers that go through a carrier, on the scheduling node.

// errCarrierLost means that a carrier left a call without a reply.
var errCarrierLost = errors.Wrap(port.ErrUnknownOutcome, "no reply of the carrier")

// exchange sends a call to a carrier and waits for its reply.
func (c *carriers) exchange(ctx context.Context, x *carrier, call *cellpb.CarriedCall, timeout time.Duration) (*cellpb.CarriedReply, error) {
	reply := make(chan *cellpb.CarriedReply, 1)
	c.mu.Lock()
	c.nextID++
	call.Id = c.nextID
	c.mu.Unlock()
	x.mu.Lock()
	x.pending[call.Id] = reply
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pending, call.Id)
		x.mu.Unlock()
	}()
	select {
	case x.out <- call:
	default:
		c.suspend(x)
		return nil, errors.Wrap(port.ErrUnavailable, "the queue to the carrier is full")
	}
	timer := time.NewTimer(timeout + carrierMargin)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r, nil
	case <-x.gone:
		return nil, errCarrierLost
	case <-timer.C:
		c.suspend(x)
		return nil, errCarrierLost
	case <-ctx.Done():
		return nil, errors.Wrap(port.ErrUnknownOutcome, ctx.Err().Error())
	}
}

// call makes a call through the worker's carrier. ok is false if there is none, so that the call has to be made directly.
func (c *carriers) call(ctx context.Context, w port.WorkerRef, detour bool, call *cellpb.CarriedCall, timeout time.Duration) (reply *cellpb.CarriedReply, err error, ok bool) {
	x := c.choose(w, detour)
	if x == nil {
		return nil, nil, false
	}
	call.Worker, call.Address = string(w.ID), w.Address
	reply, err = c.exchange(ctx, x, call, timeout)
	if err == nil {
		err = errorOf(reply)
	}
	if errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrUnknownOutcome) {
		c.reroute(w)
	}
	return reply, err, true
}

// Renew renews a worker's lease. If the carrier is lost, the renewal takes another path at once: it may be repeated. If that
// path doesn't reach the worker, the outcome of the first one stays unknown.
func (c *carriers) Renew(ctx context.Context, w port.WorkerRef, r port.Renewal, detour bool) (port.RenewalReply, error) {
	lost := false
	for range maxCarriersOfWorker {
		call := &cellpb.CarriedCall{Token: r.Token, Call: &cellpb.CarriedCall_Renew{Renew: &cellpb.CarriedRenewal{LeaseEndMs: r.LeaseEndMS,
			Ack: r.Ack, WaitMs: r.Wait.Milliseconds()}}}
		reply, err, ok := c.call(ctx, w, detour, call, renewalOverhead+r.Wait)
		if !ok {
			break
		}
		if !errors.Is(err, errCarrierLost) || ctx.Err() != nil {
			return renewalReplyFrom(w.ID, reply), afterLostCarrier(lost, err)
		}
		lost = true
		// The worker may have restarted since its last answer. Its clock and the numbers of its ended runs start anew.
		r.LeaseEndMS, r.Ack, r.Wait = 0, 0, 0
	}
	defer c.tryCarriersAgain(w)
	reply, err := c.direct.Renew(ctx, w, r)
	return reply, afterLostCarrier(lost, err)
}

// afterLostCarrier returns the error of a call that was repeated after its carrier was lost. That the repeated call wasn't
// sent doesn't show that the first one wasn't.
func afterLostCarrier(lost bool, err error) error {
	if lost && (errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrConnectionRefused)) {
		return errors.Wrap(errCarrierLost, err.Error())
	}
	return err
}

// Start sends a start order.
func (c *carriers) Start(ctx context.Context, w port.WorkerRef, s port.Start, detour bool) (int64, error) {
	call := &cellpb.CarriedCall{Token: s.Token, Call: &cellpb.CarriedCall_Start{Start: &cellpb.CarriedStart{Run: runMessage(s.Order.Run),
		Spec: s.Order.Spec, Ticket: s.Order.Ticket, Checkpoint: s.Order.Checkpoint, LeaseEndMs: s.LeaseEndMS}}}
	if reply, err, ok := c.call(ctx, w, detour, call, orderDuration); ok {
		return reply.GetClockMs(), err
	}
	defer c.tryCarriersAgain(w)
	return c.direct.Start(ctx, w, s)
}

// Stop sends a stop order.
func (c *carriers) Stop(ctx context.Context, w port.WorkerRef, r cell.RunID, token int64) (int64, error) {
	call := &cellpb.CarriedCall{Token: token, Call: &cellpb.CarriedCall_Stop{Stop: runMessage(r)}}
	if reply, err, ok := c.call(ctx, w, false, call, orderDuration); ok {
		return reply.GetClockMs(), err
	}
	defer c.tryCarriersAgain(w)
	return c.direct.Stop(ctx, w, r, token)
}

// Pace sets the pace of a run.
func (c *carriers) Pace(ctx context.Context, w port.WorkerRef, r cell.RunID, percent int, token int64) error {
	call := &cellpb.CarriedCall{Token: token, Call: &cellpb.CarriedCall_Pace{Pace: &cellpb.CarriedPace{Run: runMessage(r), Percent: int32(percent)}}}
	if _, err, ok := c.call(ctx, w, false, call, orderDuration); ok {
		return err
	}
	defer c.tryCarriersAgain(w)
	return c.direct.Pace(ctx, w, r, percent, token)
}
