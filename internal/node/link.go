package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

// Retry delays and timeouts of a workerLink. The timeouts of 1 s leave time for two retries within the 3 s of a control
// lease.
const (
	acquireRetry      = 250 * time.Millisecond
	syncRetry         = 100 * time.Millisecond
	commandTimeout    = time.Second
	acquireTimeout    = time.Second
	pollTimeoutMargin = time.Second // added to the wait of a poll
)

// workerLink communicates with one worker on behalf of an owner. One goroutine acquires the control lease and polls for
// events, another sends batches.
type workerLink struct {
	owner   *owner
	host    atomic.Pointer[port.Host]
	batches chan port.Sync
	// batchInFlight is set while a batch is being sent; the owner's loop passes no other batch during that time.
	batchInFlight atomic.Bool
	forgetThrough atomic.Uint64 // events up to this sequence number are durable, so the worker may discard them
	durableMark   atomic.Uint64 // see port.Inventory.DurableMark
}

func newWorkerLink(o *owner, h port.Host) *workerLink {
	l := &workerLink{owner: o, batches: make(chan port.Sync, 1)}
	l.host.Store(&h)
	return l
}

// run acquires the worker's control lease, and again after each loss, until ctx is done.
func (l *workerLink) run(ctx context.Context) {
	n := l.owner.node
	for ctx.Err() == nil {
		if !l.owner.mayRenew() {
			wait.For(ctx, acquireRetry)
			continue
		}
		host := *l.host.Load()
		inventory, sent, err := n.acquire(ctx, host)
		if err != nil {
			wait.For(ctx, retryAfter(err))
			continue
		}
		l.forgetThrough.Store(0)
		l.owner.send(workerAcquired{host.ID, inventory, sent})
		l.holdLease(ctx, host, inventory, sent)
	}
}

// acquire acquires a worker's control lease. It waits while too many other acquisitions are in progress.
func (n *Node) acquire(ctx context.Context, host port.Host) (port.Inventory, time.Time, error) {
	select {
	case n.acquisitionSlots <- struct{}{}:
		defer func() { <-n.acquisitionSlots }()
	case <-ctx.Done():
		return port.Inventory{}, time.Time{}, ctx.Err()
	}
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	sent := n.ports.Clock.Now()
	t := n.options.Timing.Partition
	inventory, err := n.ports.Workers.Acquire(call, host, n.options.ID, t.ControlLease, t.TaskLease)
	return inventory, sent, err
}

func retryAfter(err error) time.Duration {
	var held *port.LeaseHeldError
	if errors.As(err, &held) {
		return min(acquireRetry, held.For+time.Millisecond)
	}
	return acquireRetry
}

// holdLease renews the lease and collects events until the lease is lost.
func (l *workerLink) holdLease(ctx context.Context, host port.Host, inventory port.Inventory, acquired time.Time) {
	leaseCtx, endLease := context.WithCancel(ctx)
	defer endLease()
	go l.sendBatches(leaseCtx, endLease, inventory.Token)
	l.poll(leaseCtx, host, inventory, acquired)
	l.owner.send(workerLost{host.ID, inventory.Token})
}

func (l *workerLink) poll(ctx context.Context, host port.Host, inventory port.Inventory, renewed time.Time) {
	n := l.owner.node
	lease := n.options.Timing.Partition.ControlLease
	seen := inventory.Sequence
	for ctx.Err() == nil && l.owner.mayRenew() {
		s := port.Sync{Token: inventory.Token, Node: n.options.ID, SeenThrough: seen, ForgetThrough: l.forgetThrough.Load(),
			DurableMark: l.durableMark.Load(), Wait: n.options.Timing.WorkerPoll}
		sent := n.ports.Clock.Now()
		call, cancel := context.WithTimeout(ctx, s.Wait+pollTimeoutMargin)
		result, err := n.ports.Workers.Sync(call, host, s)
		cancel()
		now := n.ports.Clock.Now()
		switch {
		case err == nil:
			renewed = sent
			for _, e := range result.Events {
				seen = max(seen, e.Sequence)
			}
			l.owner.send(workerSynced{host.ID, s, result, sent})
		case errors.Is(err, port.ErrFenced), now.Sub(renewed) > lease:
			return
		default:
			wait.For(ctx, syncRetry)
		}
	}
}

// sendBatches sends the batches that the owner's loop passes. A batch that failed is returned to the loop. If its effect
// isn't known, the lease is abandoned as well and acquired again. A batch with the token of another lease is discarded.
func (l *workerLink) sendBatches(ctx context.Context, endLease context.CancelFunc, token port.Token) {
	n := l.owner.node
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-l.batches:
			if s.Token != token {
				l.batchInFlight.Store(false)
				continue
			}
			host := *l.host.Load()
			call, cancel := context.WithTimeout(ctx, commandTimeout)
			sent := n.ports.Clock.Now()
			result, err := n.ports.Workers.Sync(call, host, s)
			cancel()
			l.batchInFlight.Store(false)
			switch {
			case err == nil:
				l.owner.send(workerSynced{host.ID, s, result, sent})
			case errors.Is(err, port.ErrFenced):
				endLease()
				return
			default:
				n.log.Warn("batch to worker failed", "worker", host.ID, "error", err)
				wait.For(ctx, syncRetry)
				l.owner.send(batchFailed{host.ID, s})
				if !errors.Is(err, port.ErrUnavailable) {
					endLease() // if the batch is still in flight, the token of a new lease fences it
					return
				}
			}
		}
	}
}
