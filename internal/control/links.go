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
	// renewalWait is the wait that a renewal requests: the worker answers when a run ends, or after this time.
	renewalWait = time.Second
	// idleRenewalWait is the same for a worker without runs, which has no lease to lose.
	idleRenewalWait = 2 * time.Second
	// renewalRetryDelay is the delay after a failed renewal.
	renewalRetryDelay = 100 * time.Millisecond
	// doubtfulRenewalWait replaces renewalWait for doubtPeriod after a call to the worker that got no answer. Ended runs are
	// noticed only by the renewal after one without an answer, so that one must time out sooner.
	doubtfulRenewalWait = 150 * time.Millisecond
	doubtPeriod         = 5 * time.Second
	// ackTimeout is how long a link waits for the records of ended runs to become durable before its next renewal.
	ackTimeout = 250 * time.Millisecond
)

// workerLink renews the lease of one worker and passes the worker's inventory to the scheduler.
type workerLink struct {
	s      *activeTerm
	ref    port.WorkerRef
	cancel context.CancelFunc
	acked  chan struct{} // signals that ack has changed

	mu              sync.Mutex
	ack             int64
	instanceStartMS int64
	// sameInstance is set while the last renewal was answered, so that ack refers to the ended runs of the worker instance
	// that listens now.
	sameInstance bool
	clock        clockSample
	// expiresAt is when all runs on the worker have ended for certain unless the lease is renewed. Calls in flight may
	// renew it.
	expiresAt  time.Time
	expired    bool      // the scheduler has been informed that the lease until expiresAt has expired
	leaseCalls int       // number of calls in flight that carry a lease
	idle       bool      // the last inventory was empty
	doubtUntil time.Time // a call without an answer is recent until then
}

// clockSample is a reading of a worker's monotonic clock and the local time at which it was received.
type clockSample struct {
	ms int64
	at time.Time
}

// updateLinks creates a link for each worker in use and closes the links of all others.
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
		l := &workerLink{s: s, ref: port.WorkerRef{ID: w.ID, Address: w.Address, Zone: w.Zone}, cancel: cancel, acked: make(chan struct{}, 1), instanceStartMS: w.StartMS,
			expiresAt: s.began.Add(s.node.options.orphanTimeout())}
		s.links[w.ID] = l
		s.spawn(func() { l.run(ctx) })
	}
	for id, l := range s.links {
		if !inUse[id] {
			l.cancel()
			delete(s.links, id)
		}
	}
}

// updateAcks informs the links of workers with unacknowledged ends up to which number these are durable.
func (s *activeTerm) updateAcks() {
	for _, id := range s.core.TakeUnacked() {
		cursor, _ := s.core.AckCursor(id)
		if l := s.links[id]; l != nil {
			l.setAck(cursor)
		}
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

// run renews the lease until the link is closed.
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
		requestSequence := l.s.core.OrderSequence()
		maxWait := l.maxWait()
		if first {
			maxWait = 0
		}
		reply, err := hedge(l.s.spawn, maxWait+l.s.latency.hedgeDelay(), l.s.mayRetry, func(second bool) (port.RenewalReply, error) {
			return l.renew(ctx, maxWait, second)
		})
		if err != nil {
			l.handleFailure(ctx, err)
			if !wait.For(ctx, renewalRetryDelay) {
				return
			}
			continue
		}
		first = false
		reply.Inventory.RequestSequence = requestSequence
		l.handleRenewal(ctx, reply)
	}
}

// renew renews the lease once. A second call while the first has no answer carries no acknowledgment, because the worker
// may have restarted meanwhile.
func (l *workerLink) renew(ctx context.Context, maxWait time.Duration, second bool) (port.RenewalReply, error) {
	r, expiry := l.nextRenewal(maxWait)
	if second {
		r.Ack = 0
	}
	reply, err := l.s.carriers.Renew(ctx, l.ref, r, second)
	l.endLeaseCall(expiry, err)
	return reply, err
}

// mayRetry takes a call from the term's budget for calls that are made because others have no answer. There is none while
// this node is busy.
func (s *activeTerm) mayRetry() bool {
	now := time.Now()
	return now.UnixNano() >= s.busyUntil.Load() && s.retries.allow(now)
}

// maxWait returns how long the next renewal may wait for a run to end.
func (l *workerLink) maxWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.doubtUntil) && l.s.mayRetry() {
		return doubtfulRenewalWait
	}
	if l.idle {
		return idleRenewalWait
	}
	return renewalWait
}

// nextRenewal returns the next renewal and the time at which its lease has expired for certain. The renewal extends the
// lease only if the worker's clock is known. The caller must report the outcome to endLeaseCall.
func (l *workerLink) nextRenewal(maxWait time.Duration) (port.Renewal, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaseEndMS, expiry := l.beginLeaseCall(time.Now())
	r := port.Renewal{Token: l.s.term.number, LeaseEndMS: leaseEndMS, Wait: maxWait}
	if l.sameInstance {
		r.Ack = l.ack
	}
	return r, expiry
}

// beginLeaseCall starts a call that carries a lease. It returns the end of the lease on the worker's clock, 0 if that
// clock isn't known, and the local time at which the lease has expired for certain. That time allows for twice
// maxClockDrift and one more millisecond. The caller must hold mu.
func (l *workerLink) beginLeaseCall(now time.Time) (int64, time.Time) {
	l.leaseCalls++
	if l.clock.at.IsZero() {
		return 0, time.Time{}
	}
	lease := l.s.node.options.workerLeaseDuration()
	since := now.Sub(l.clock.at)
	leaseEndMS := l.clock.ms + (since + lease).Milliseconds()
	expiry := l.clock.at.Add(time.Duration(float64(since+lease)*(1+2*maxClockDrift)) + time.Millisecond)
	return leaseEndMS, expiry
}

// endLeaseCall finishes a call that carried a lease. A call that wasn't sent hasn't renewed the lease.
func (l *workerLink) endLeaseCall(expiry time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseCalls--
	sent := !errors.Is(err, port.ErrUnavailable) && !errors.Is(err, port.ErrConnectionRefused)
	if sent && expiry.After(l.expiresAt) {
		l.expiresAt, l.expired = expiry, false
	}
	if errors.Is(err, port.ErrUnknownOutcome) {
		l.doubtUntil = time.Now().Add(doubtPeriod)
	}
	if !sent || errors.Is(err, port.ErrUnknownOutcome) {
		// The worker may have restarted under the same name, and numbers its ended runs from 1 again.
		l.sameInstance = false
	}
}

// handleRenewal passes a worker's answer to the scheduler, and waits at most ackTimeout until its ended runs are
// durable.
func (l *workerLink) handleRenewal(ctx context.Context, r port.RenewalReply) {
	now := time.Now()
	l.mu.Lock()
	if r.Inventory.StartMS != l.instanceStartMS {
		l.ack = 0
	}
	if l.clock.at.IsZero() {
		// From now on the worker refuses renewals of an earlier holder.
		l.expiresAt = now.Add(time.Duration(float64(l.s.node.options.workerLeaseDuration()) * (1 + 2*maxClockDrift)))
	}
	l.idle = len(r.Inventory.Running) == 0 && len(r.Inventory.Ended) == 0
	l.instanceStartMS, l.clock, l.expired, l.sameInstance = r.Inventory.StartMS, clockSample{r.ClockMS, now}, false, true
	l.mu.Unlock()
	l.s.post(ctx, func() {
		for _, o := range l.s.core.ApplyInventory(r.Inventory, time.Now()) {
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

// handleFailure handles a renewal that returned no inventory.
func (l *workerLink) handleFailure(ctx context.Context, err error) {
	switch {
	case errors.Is(err, port.ErrFenced):
		l.s.end(errors.Wrapf(errTermLost, "worker %s has accepted a higher fencing token", l.ref.ID))
	case errors.Is(err, port.ErrInstanceChanged):
		l.mu.Lock()
		startMS := l.instanceStartMS
		l.mu.Unlock()
		l.s.post(ctx, func() { l.s.core.WorkerTerminated(l.ref.ID, startMS, time.Now()) })
	case errors.Is(err, port.ErrConnectionRefused):
		l.s.post(ctx, func() { l.s.core.WorkerConnectionRefused(l.ref.ID, time.Now()) })
		l.checkExpiry()
	default:
		l.s.post(ctx, func() { l.s.core.WorkerUnresponsive(l.ref.ID, time.Now()) })
		l.checkExpiry()
	}
}

// checkExpiry informs the scheduler, once, that all runs on the worker have ended because its lease has expired.
func (l *workerLink) checkExpiry() {
	l.mu.Lock()
	expired := !l.expired && l.leaseCalls == 0 && time.Now().After(l.expiresAt)
	l.expired = l.expired || expired
	l.mu.Unlock()
	if expired {
		l.s.post(l.s.ctx, func() { l.s.core.WorkerLeaseExpired(l.ref.ID, time.Now()) })
	}
}

// sendOrder sends an order to its worker and passes the outcome to the scheduler.
func (s *activeTerm) sendOrder(o cell.Order) {
	l := s.links[o.Worker]
	if l == nil || l.ref.Address == "" {
		s.core.ApplyOrderOutcome(o, cell.OrderUnanswered, time.Now())
		return
	}
	s.spawn(func() {
		outcome := l.send(o)
		s.post(s.ctx, func() {
			if !s.core.ApplyOrderOutcome(o, outcome, time.Now()) {
				s.end(errors.Wrapf(errTermLost, "worker %s has accepted a higher fencing token", o.Worker))
			}
		})
	})
}

// stopUnexpectedRun stops a run that the scheduler doesn't expect on its worker. If the order is lost, the worker lists
// the run again.
func (s *activeTerm) stopUnexpectedRun(o cell.Order) {
	s.node.options.Log.Info("decision", "subject", o.Run.Task.String(), "decision", "stray run stopped", "run", o.Run.Run, "worker", o.Worker)
	if l := s.links[o.Worker]; l != nil && l.ref.Address != "" {
		s.spawn(func() { l.send(o) })
	}
}

// send sends an order to the worker and returns the outcome.
func (l *workerLink) send(o cell.Order) cell.OrderOutcome {
	var err error
	began := time.Now()
	switch o.Kind {
	case cell.OrderStart:
		_, err = hedge(l.s.spawn, l.s.latency.hedgeDelay(), l.s.mayRetry, func(second bool) (struct{}, error) { return struct{}{}, l.start(o, second) })
	case cell.OrderPace:
		err = l.s.carriers.Pace(l.s.ctx, l.ref, o.Run, o.Pace, l.s.term.number)
	default:
		_, err = l.s.carriers.Stop(l.s.ctx, l.ref, o.Run, l.s.term.number)
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

func (l *workerLink) start(o cell.Order, second bool) error {
	l.mu.Lock()
	leaseEndMS, expiry := l.beginLeaseCall(time.Now())
	l.mu.Unlock()
	err := errors.Wrap(port.ErrUnavailable, "worker clock not known yet")
	if leaseEndMS != 0 {
		began := time.Now()
		_, err = l.s.carriers.Start(l.s.ctx, l.ref, port.Start{Order: o, Token: l.s.term.number, LeaseEndMS: leaseEndMS}, second)
		if !errors.Is(err, port.ErrUnknownOutcome) {
			l.s.latency.observe(time.Since(began))
		}
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
	case errors.Is(err, port.ErrStaleRun):
		return cell.OrderStale
	case errors.Is(err, port.ErrNoTicket):
		return cell.OrderNoTicket
	case errors.Is(err, port.ErrInstanceChanged):
		return cell.OrderInstanceTerminated
	case errors.Is(err, port.ErrUnknownOutcome):
		return cell.OrderUnanswered
	case errors.Is(err, port.ErrUnavailable), errors.Is(err, port.ErrConnectionRefused):
		return cell.OrderNotSent
	}
	return cell.OrderRefused
}
