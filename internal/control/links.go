package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

const (
	// renewWait is how long a worker may let a renewal wait for an end.
	maxRenewalWait = time.Second
	// renewRetry is the pause after a renewal that failed.
	renewalRetryDelay = 100 * time.Millisecond
	// ackWait is how long a link waits for ends to become durable before it asks again.
	ackTimeout = 250 * time.Millisecond
)

// workerLink keeps the lease of one worker and carries its inventory to the scheduler.
type workerLink struct {
	s      *activeTerm
	ref    port.WorkerRef
	cancel context.CancelFunc
	acked  chan struct{} // signals that ack has moved

	mu              sync.Mutex
	ack             int64
	instanceStartMS int64
	// sameLife tells that the last renewal was answered, so that ack counts the ends of the life that listens.
	sameInstance bool
	clock        clockSample
	// lapseAt is when everything on the worker has certainly ended, unless it is renewed. Calls under way may renew it.
	expiresAt  time.Time
	expired    bool
	leaseCalls int // that carry a lease and are under way
}

// clockSample is a reading of a worker's steady clock.
type clockSample struct {
	ms int64
	at time.Time
}

// updateLinks gives each worker in use a link, and ends the others.
func (s *activeTerm) updateLinks() {
	inUse := map[cell.WorkerID]bool{}
	for _, w := range s.core.WorkersInUse() {
		inUse[w.ID] = true
		if l := s.links[w.ID]; l != nil {
			if l.ref.Address == w.Address || w.Address == "" {
				continue
			}
			l.cancel()
		}
		ctx, cancel := context.WithCancel(s.ctx)
		l := &workerLink{s: s, ref: port.WorkerRef{ID: w.ID, Address: w.Address}, cancel: cancel, acked: make(chan struct{}, 1), instanceStartMS: w.BornMS,
			expiresAt: s.began.Add(s.node.options.orphanTimeout())}
		s.links[w.ID] = l
		s.tasks.Go(func() { l.run(ctx) })
	}
	for id, l := range s.links {
		if !inUse[id] {
			l.cancel()
			delete(s.links, id)
		}
	}
}

// updateAcks tells the links which ends are durable.
func (s *activeTerm) updateAcks() {
	for id, l := range s.links {
		cursor, _ := s.core.AckCursor(id)
		l.setAck(cursor)
	}
}

func (l *workerLink) setAck(cursor int64) {
	l.mu.Lock()
	moved := cursor != l.ack
	l.ack = cursor
	l.mu.Unlock()
	if moved {
		select {
		case l.acked <- struct{}{}:
		default:
		}
	}
}

// run renews the lease until the link ends.
func (l *workerLink) run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		if l.ref.Address == "" {
			if !wait.For(ctx, renewalRetryDelay) {
				return
			}
			l.checkExpiry()
			continue
		}
		asked := l.s.core.OrderSequence()
		maxWait := maxRenewalWait
		if first {
			maxWait = 0
		}
		r, expiry := l.nextRenewal(maxWait)
		reply, err := l.s.node.options.Workers.Renew(ctx, l.ref, r)
		l.endLeaseCall(expiry, err)
		if err != nil {
			l.handleFailure(ctx, err)
			if !wait.For(ctx, renewalRetryDelay) {
				return
			}
			continue
		}
		first = false
		reply.Inventory.Asked = asked
		l.handleRenewal(ctx, reply)
	}
}

// renewal returns the next renewal, which extends the lease if the worker's clock is known, and when that lease has lapsed
// for certain. The caller reports the outcome to called.
func (l *workerLink) nextRenewal(maxWait time.Duration) (port.Renewal, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	due, expiry := l.beginLeaseCall(time.Now())
	r := port.Renewal{Token: l.s.term.number, DueMS: due, Wait: maxWait}
	if l.sameInstance {
		r.Ack = l.ack
	}
	return r, expiry
}

// due begins a call that carries a lease. It returns the lease's end on the worker's clock, 0 if that isn't known, and when
// the lease has lapsed for certain. The caller holds mu.
func (l *workerLink) beginLeaseCall(now time.Time) (int64, time.Time) {
	l.leaseCalls++
	if l.clock.at.IsZero() {
		return 0, time.Time{}
	}
	lease := l.s.node.options.lease()
	since := now.Sub(l.clock.at)
	due := l.clock.ms + (since + lease).Milliseconds()
	expiry := l.clock.at.Add(time.Duration(float64(since+lease)*(1+2*maxClockDrift)) + time.Millisecond)
	return due, expiry
}

// called ends a call that carried a lease. One that wasn't sent has renewed nothing.
func (l *workerLink) endLeaseCall(expiry time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseCalls--
	sent := !errors.Is(err, port.ErrUnavailable) && !errors.Is(err, port.ErrNotListening)
	if sent && expiry.After(l.expiresAt) {
		l.expiresAt = expiry
	}
	if !sent || errors.Is(err, port.ErrUnknownOutcome) {
		// The worker may have restarted under its name, and counts its ends from 1 again.
		l.sameInstance = false
	}
}

// renewed takes a worker's answer to the scheduler, and waits until its ends are durable.
func (l *workerLink) handleRenewal(ctx context.Context, r port.RenewalReply) {
	now := time.Now()
	l.mu.Lock()
	if r.Inventory.BornMS != l.instanceStartMS {
		l.ack = 0
	}
	if l.clock.at.IsZero() {
		// An earlier holder's renewals are refused from now on.
		l.expiresAt = now.Add(time.Duration(float64(l.s.node.options.lease()) * (1 + 2*maxClockDrift)))
	}
	l.instanceStartMS, l.clock, l.expired, l.sameInstance = r.Inventory.BornMS, clockSample{r.ClockMS, now}, false, true
	l.mu.Unlock()
	l.s.post(ctx, func() {
		for _, o := range l.s.core.Renewed(r.Inventory, time.Now()) {
			l.s.stopUnexpectedRun(o)
		}
		cursor, _ := l.s.core.AckCursor(l.ref.ID)
		l.setAck(cursor)
	})
	if len(r.Inventory.Ended) == 0 {
		return
	}
	last := r.Inventory.Ended[len(r.Inventory.Ended)-1].Number
	deadline := time.After(ackTimeout)
	for {
		l.mu.Lock()
		durable := l.ack >= last
		l.mu.Unlock()
		if durable {
			return
		}
		select {
		case <-l.acked:
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// failed handles a renewal without an inventory.
func (l *workerLink) handleFailure(ctx context.Context, err error) {
	switch {
	case errors.Is(err, port.ErrFenced):
		l.s.end(errors.Wrapf(errTermLost, "worker %s has a later token", l.ref.ID))
	case errors.Is(err, port.ErrOtherLife):
		l.mu.Lock()
		startMS := l.instanceStartMS
		l.mu.Unlock()
		l.s.post(ctx, func() { l.s.core.WorkerGone(l.ref.ID, startMS, time.Now()) })
	case errors.Is(err, port.ErrNotListening):
		l.s.post(ctx, func() { l.s.core.WorkerRefuses(l.ref.ID, time.Now()) })
		l.checkExpiry()
	default:
		l.s.post(ctx, func() { l.s.core.WorkerSilent(l.ref.ID, time.Now()) })
		l.checkExpiry()
	}
}

// checkLapse tells the scheduler once when everything on the worker has ended.
func (l *workerLink) checkExpiry() {
	l.mu.Lock()
	expired := !l.expired && l.leaseCalls == 0 && time.Now().After(l.expiresAt)
	l.expired = l.expired || expired
	l.mu.Unlock()
	if expired {
		l.s.post(l.s.ctx, func() { l.s.core.WorkerLapsed(l.ref.ID, time.Now()) })
	}
}

// order sends an order and takes the answer to the scheduler.
func (s *activeTerm) sendOrder(o cell.Order) {
	l := s.links[o.Worker]
	if l == nil || l.ref.Address == "" {
		s.core.Ordered(o, cell.OrderUnanswered, time.Now())
		return
	}
	s.tasks.Go(func() {
		outcome := l.send(o)
		s.post(s.ctx, func() {
			if !s.core.Ordered(o, outcome, time.Now()) {
				s.end(errors.Wrapf(errTermLost, "worker %s has a later token", o.Worker))
			}
		})
	})
}

// orderStray stops a run that nobody wants. Its worker lists it again if the order was lost.
func (s *activeTerm) stopUnexpectedRun(o cell.Order) {
	s.node.options.Log.Info("decision", "subject", o.Run.Task.String(), "decision", "stray run stopped", "run", o.Run.Run, "worker", o.Worker)
	if l := s.links[o.Worker]; l != nil && l.ref.Address != "" {
		s.tasks.Go(func() { l.send(o) })
	}
}

// send performs an order.
func (l *workerLink) send(o cell.Order) cell.OrderOutcome {
	var err error
	began := time.Now()
	if o.Kind == cell.OrderStart {
		err = l.start(o)
	} else {
		_, err = l.s.node.options.Workers.Stop(l.s.ctx, l.ref, o.Run, l.s.term.number)
	}
	outcome := orderOutcome(err)
	recordSince(l.s.node.metrics.orderTime, began)
	l.s.node.metrics.count("orders_total", string(o.Kind), string(outcome))
	if outcome != cell.OrderDone {
		l.s.node.options.Log.Info("order", "kind", o.Kind, "subject", o.Run.Task.String(), "run", o.Run.Run, "worker", o.Worker, "outcome", outcome,
			"error", err.Error())
	}
	return outcome
}

func (l *workerLink) start(o cell.Order) error {
	l.mu.Lock()
	due, expiry := l.beginLeaseCall(time.Now())
	l.mu.Unlock()
	err := errors.Wrap(port.ErrUnavailable, "the worker's clock isn't known yet")
	if due != 0 {
		_, err = l.s.node.options.Workers.Start(l.s.ctx, l.ref, port.Start{Order: o, Token: l.s.term.number, DueMS: due})
	}
	l.endLeaseCall(expiry, err)
	return err
}

func orderOutcome(err error) cell.OrderOutcome {
	switch {
	case err == nil:
		return cell.OrderDone
	case errors.Is(err, port.ErrFenced):
		return cell.OrderFenced
	case errors.Is(err, port.ErrOldRun):
		return cell.OrderOld
	case errors.Is(err, port.ErrNoTicket):
		return cell.OrderNoTicket
	case errors.Is(err, port.ErrOtherLife):
		return cell.OrderGone
	case errors.Is(err, port.ErrUnknownOutcome):
		return cell.OrderUnanswered
	case errors.Is(err, port.ErrUnavailable), errors.Is(err, port.ErrNotListening):
		return cell.OrderNotSent
	}
	return cell.OrderRefused
}
