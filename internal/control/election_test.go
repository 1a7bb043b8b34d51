package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/instant"
	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// Guards against a task that runs twice: the scheduling node was paused for longer than its term lasted, and then granted leases
// and sent starts to a worker that its successor couldn't reach and had taken for lost.
func TestNoLeaseIsGrantedOnceTheTermMayBeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &orderedWorkers{}
		l, order := newOrderingLink(t, workers)
		time.Sleep(maxStoreSilence)
		r, call := l.nextRenewal(time.Second, false)
		assert.Assert(t, r.LeaseEndMS != 0)
		successor := newLeaseTracker(l.s.node.options, time.Now().Add(-time.Hour).UnixMilli(), l.s.wonAt)
		assert.Assert(t, call.expiry.Before(successor.expiresAt), "the successor waits for the last lease")

		time.Sleep(time.Millisecond)
		r, _ = l.nextRenewal(time.Second, false)
		assert.Equal(t, r.LeaseEndMS, int64(0))
		assert.Equal(t, l.outcomeOf(order), cell.OrderNotSent)
		starts, _ := workers.counts()
		assert.Equal(t, starts, 0)

		l.s.term.confirm(instant.Now())
		assert.Equal(t, l.outcomeOf(order), cell.OrderDone)
	})
}

// replacedStore is a store in which another node has replaced the scheduler key, but the former lease can still be renewed.
type replacedStore struct{ port.TxnStore }

func (replacedStore) KeepAlive(context.Context, port.LeaseID) error { return nil }

func (replacedStore) Get(context.Context, string) (port.Entry, error) {
	return port.Entry{Key: storekey.Scheduler, Revision: 8}, nil
}

// Guards against a node that holds on to its term after another one has replaced it, as long as it has no record to write: the
// store goes on renewing the lease under which the scheduler key was.
func TestTermEndsAlthoughItsStoreLeaseIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, _ := newIsolatedNode()
		n.options.Store = replacedStore{}
		term := confirmedTerm(3)
		term.revision = 7
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		assert.ErrorIs(t, n.renewTerm(ctx, term), errTermLost)
		assert.Assert(t, time.Since(began) < 2*confirmInterval)
	})
}

// lateStore answers each read of the scheduler key after a delay, as if the answer had lain in a buffer during a pause.
type lateStore struct {
	replacedStore
	delay time.Duration
}

func (s lateStore) Get(ctx context.Context, key string) (port.Entry, error) {
	time.Sleep(s.delay)
	return s.replacedStore.Get(ctx, key)
}

// Guards against a confirmation that counts from its answer, which may have lain in a buffer while the node was paused.
func TestTermIsConfirmedAsOfTheSendingOfTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, _ := newIsolatedNode()
		n.options.Store = lateStore{delay: maxStoreSilence}
		term := &term{number: 3, revision: 8}
		assert.NilError(t, n.confirmTerm(t.Context(), term))
		assert.Assert(t, term.mayGrantLeases())
		time.Sleep(time.Millisecond)
		assert.Assert(t, !term.mayGrantLeases())
	})
}
