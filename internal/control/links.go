package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

const (
	// renewalWait is the wait that a renewal requests: the worker answers when a run ends, or after this time.
	renewalWait = time.Second
	// idleRenewalWait is the same for a worker without runs, which has no lease to lose.
	idleRenewalWait = 2 * time.Second
	// drainingRenewalWait is the same for a worker that drains, whose lease is shorter.
	drainingRenewalWait = 500 * time.Millisecond
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
	probes singleflight.Group
	// moved is set if the worker had answered this holder at another address before. The registry entry with this address may come
	// from another writer, until the worker has answered here.
	moved    bool
	answered atomic.Bool // the worker has answered here
	doubted  sync.Once   // logs that the address may be another worker's
	*linkState
}

// linkState is what is known of a worker regardless of its address. A link to another address takes it over, because calls to the
// former address may still renew the lease.
type linkState struct {
	acked chan struct{} // signals that ack has changed

	mu         sync.Mutex
	lease      leaseTracker
	ack        acknowledgment
	idle       bool      // the last inventory was empty
	doubtUntil time.Time // a call without an answer is recent until then
}

// acknowledgment is the number up to which the ended runs of an instance of a worker are durable. Each instance numbers its ended
// runs from 1.
type acknowledgment struct{ startMS, cursor int64 }

func newLinkState(l leaseTracker) *linkState {
	return &linkState{acked: make(chan struct{}, 1), lease: l}
}

// hasAnswered reports whether the worker has answered this holder at any address.
func (l *linkState) hasAnswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.reached
}

// forNewAddress prepares the state for a link to another address, where another instance of the worker may answer.
func (l *linkState) forNewAddress() *linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.forgetClock()
	return l
}

// updateLinks creates a link for each worker in use and closes the links of all others.
func (s *activeTerm) updateLinks() {
	inUse := map[cell.WorkerID]bool{}
	for _, w := range s.core.WorkersInUse() {
		inUse[w.ID] = true
		l := s.links[w.ID]
		if l == nil || l.ref.Address != w.Address && w.Address != "" {
			l = s.openLink(w, l)
		}
		l.applyRegistered(w.StartMS, w.Draining)
	}
	for id, l := range s.links {
		if !inUse[id] {
			l.cancel()
			delete(s.links, id)
		}
	}
	s.unsettled.prune(time.Now())
}

// openLink creates a link to a worker and closes the former one, if there is one.
func (s *activeTerm) openLink(w cell.WorkerInUse, former *workerLink) *workerLink {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &workerLink{s: s, ref: port.WorkerRef{ID: w.ID, Address: w.Address, Zone: w.Zone}, cancel: cancel}
	if former != nil && former.ref.Address != "" {
		l.linkState, l.moved = former.forNewAddress(), former.hasAnswered()
	} else {
		l.linkState = newLinkState(newLeaseTracker(s.node.options, w.StartMS, s.wonAt))
	}
	if former != nil {
		former.cancel()
	}
	s.links[w.ID] = l
	s.spawn(func() { l.run(ctx) })
	return l
}

// updateAcks informs the links of workers with unacknowledged ends up to which number these are durable.
func (s *activeTerm) updateAcks() {
	for _, id := range s.core.TakeUnacked() {
		if l := s.links[id]; l != nil {
			l.updateAck()
		}
	}
}

// updateAck passes the scheduler's acknowledgment to the next renewal. It is called on the scheduler's goroutine.
func (l *workerLink) updateAck() {
	cursor, _ := l.s.core.AckCursor(l.ref.ID)
	l.setAck(acknowledgment{l.s.core.Instance(l.ref.ID), cursor})
}

func (l *workerLink) setAck(ack acknowledgment) {
	l.mu.Lock()
	moved := ack != l.ack
	l.ack = ack
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
	for ctx.Err() == nil {
		if l.ref.Address == "" {
			if !wait.For(ctx, renewalRetryDelay) {
				return
			}
			l.checkExpiry()
			continue
		}
		requestSequence, maxWait, startMS, sentAt := l.s.core.OrderSequence(), l.maxWait(), l.instance(), time.Now()
		reply, err := hedge(l.s.spawn, maxWait+l.s.latency.hedgeDelay(), l.s.mayRetry, func(second bool) (port.RenewalReply, error) {
			return l.renew(ctx, maxWait, second)
		})
		if err != nil {
			l.handleFailure(ctx, err, startMS)
			if !wait.For(ctx, renewalRetryDelay) {
				return
			}
			continue
		}
		reply.Inventory.RequestSequence = requestSequence
		l.handleRenewal(ctx, reply, sentAt)
	}
}

// applyRegistered applies what the registry lists of the worker: the start of its instance, and whether it drains.
func (l *workerLink) applyRegistered(startMS int64, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.draining = draining
	l.lease.restarted(startMS, time.Now())
}

// renew renews the lease once. A second call while the first has no answer carries neither a lease nor an acknowledgment,
// because the worker may have restarted meanwhile.
func (l *workerLink) renew(ctx context.Context, maxWait time.Duration, second bool) (port.RenewalReply, error) {
	r, call := l.nextRenewal(maxWait, second)
	reply, err := l.s.carriers.Renew(ctx, l.ref, r, second)
	l.finishLeaseCall(call, reply.Inventory.StartMS, reply.ClockMS, err)
	return reply, err
}

// mayRetry takes a call from the term's budget for calls that are made because others have no answer. There is none while
// this node is busy.
func (s *activeTerm) mayRetry() bool {
	now := time.Now()
	return now.UnixNano() >= s.busyUntil.Load() && s.retries.allow(now)
}

// maxWait returns how long the next renewal may wait for a run to end. One that grants no lease doesn't wait, so that the
// next one can grant it.
func (l *workerLink) maxWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.clock.known() {
		return 0
	}
	if time.Now().Before(l.doubtUntil) && l.s.mayRetry() {
		return doubtfulRenewalWait
	}
	switch {
	case l.idle:
		return idleRenewalWait
	case l.lease.draining:
		return drainingRenewalWait
	}
	return renewalWait
}

// nextRenewal returns the next renewal and the call to pass to finishLeaseCall with its outcome.
func (l *workerLink) nextRenewal(maxWait time.Duration, second bool) (port.Renewal, leaseCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := port.Renewal{Token: l.s.term.number, Wait: maxWait}
	if second {
		return r, leaseCall{}
	}
	call := l.beginCall()
	r.LeaseEndMS = call.endMS
	if l.lease.clock.known() && l.ack.startMS == l.lease.startMS {
		r.Ack = l.ack.cursor
	}
	return r, call
}

// beginCall starts a call that grants a lease if the worker's clock is known and the term was confirmed recently. The term
// is checked after the lease's end is set, because this node may be paused in between. The caller holds mu.
func (l *workerLink) beginCall() leaseCall {
	call := l.lease.begin(time.Now())
	if !l.s.term.mayGrantLeases() {
		l.lease.cancel(call)
		return leaseCall{}
	}
	return call
}

// finishLeaseCall ends a call that may have renewed the lease.
func (l *workerLink) finishLeaseCall(c leaseCall, startMS, clockMS int64, err error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.finish(c, startMS, clockMS, err, now)
	if errors.Is(err, port.ErrUnknownOutcome) {
		l.doubtUntil = now.Add(doubtPeriod)
	}
}

// applyRenewal passes a worker's answer to a call that was sent at the given time to the scheduler. Answers overtake each other, so
// one of an earlier instance may come after that of its successor; it is dropped.
func (l *workerLink) applyRenewal(ctx context.Context, r port.RenewalReply, sentAt time.Time) {
	l.mu.Lock()
	if l.lease.outdated(r.Inventory.StartMS, sentAt) {
		l.mu.Unlock()
		l.s.node.options.Log.Info("decision", "subject", string(l.ref.ID), "decision", "outdated inventory dropped", "born_ms", r.Inventory.StartMS)
		return
	}
	l.answered.Store(true)
	l.idle = len(r.Inventory.Running) == 0 && len(r.Inventory.Ended) == 0
	l.lease.answered(r.Inventory.StartMS, r.ClockMS, time.Now())
	l.mu.Unlock()
	l.s.post(ctx, func() {
		if l.instance() != r.Inventory.StartMS {
			return // the answer of a later instance has overtaken this one
		}
		for _, o := range l.s.core.ApplyInventory(r.Inventory, time.Now()) {
			l.s.stopUnexpectedRun(o)
		}
		l.stopUnsettled(r.Inventory.StartMS)
		l.updateAck()
	})
}

// handleRenewal passes a worker's answer to the scheduler, and waits at most ackTimeout until its ended runs are
// durable.
func (l *workerLink) handleRenewal(ctx context.Context, r port.RenewalReply, sentAt time.Time) {
	l.applyRenewal(ctx, r, sentAt)
	if len(r.Inventory.Ended) == 0 {
		return
	}
	last := acknowledgment{r.Inventory.StartMS, r.Inventory.Ended[len(r.Inventory.Ended)-1].Number}
	deadline := time.After(ackTimeout)
	for {
		l.mu.Lock()
		durable := l.ack.startMS == last.startMS && l.ack.cursor >= last.cursor
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

// instance returns the start of the worker's current instance.
func (l *workerLink) instance() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.startMS
}

// leadsTo reports whether the instance is still expected at the link's address. It is called on the scheduler's goroutine.
func (l *workerLink) leadsTo(startMS int64) bool {
	return l.s.links[l.ref.ID] == l && l.instance() == startMS
}

// addressConfirmed reports whether the link's address is known to be the worker's, so that another worker's answer there shows that
// this one has ended.
func (l *workerLink) addressConfirmed() bool {
	if !l.moved || l.answered.Load() {
		return true
	}
	l.doubted.Do(func() {
		l.s.node.metrics.count("worker_addresses_total", "registry", "doubted")
		l.s.node.options.Log.Warn("decision", "subject", string(l.ref.ID), "decision", "address doubted", "address", l.ref.Address,
			"reason", "another worker answers there, and this one never has")
	})
	return false
}

// instanceChanged handles the answer of another worker. Unless it shows that the expected instance has ended, the worker's runs wait
// for the end of its lease.
func (l *workerLink) instanceChanged(startMS int64) {
	switch {
	case !l.leadsTo(startMS):
	case l.addressConfirmed():
		l.s.core.WorkerTerminated(l.ref.ID, startMS, time.Now())
	default:
		l.s.core.WorkerUnresponsive(l.ref.ID, time.Now())
	}
}

// handleFailure handles a renewal that returned no inventory. startMS is the instance that was expected to answer.
func (l *workerLink) handleFailure(ctx context.Context, err error, startMS int64) {
	switch {
	case errors.Is(err, port.ErrFenced):
		l.s.end(errors.Wrapf(errTermLost, "worker %s has accepted a higher fencing token", l.ref.ID))
	case errors.Is(err, port.ErrInstanceChanged):
		l.s.post(ctx, func() { l.instanceChanged(startMS) })
		l.checkExpiry()
	case errors.Is(err, port.ErrConnectionRefused):
		l.s.post(ctx, func() { l.s.core.WorkerConnectionRefused(l.ref.ID, time.Now()) })
		l.checkExpiry()
	default:
		l.s.post(ctx, func() { l.s.core.WorkerUnresponsive(l.ref.ID, time.Now()) })
		l.checkExpiry()
	}
}

// checkExpiry informs the scheduler when all runs on the worker have ended because its lease has expired.
func (l *workerLink) checkExpiry() {
	l.mu.Lock()
	expired := l.lease.expire(time.Now())
	l.mu.Unlock()
	if expired {
		l.s.post(l.s.ctx, l.handleExpiry)
	}
}

// handleExpiry releases the runs on the worker, unless the scheduler has decided a start since the expiry was noticed.
func (l *workerLink) handleExpiry() {
	l.mu.Lock()
	expired := l.lease.stillExpired(time.Now())
	l.mu.Unlock()
	if expired {
		l.s.core.WorkerLeaseExpired(l.ref.ID, time.Now())
	}
}
