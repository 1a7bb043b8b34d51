package intake

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"sequoiastall/internal/control/instant"
	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/port"
)

// leaseGroup holds the store lease that is shared by the keys that a node writes below a prefix within a period.
type leaseGroup struct {
	prefix string
	life   time.Duration // of a lease, from its grant
	period time.Duration // for which new keys are bound to the same lease

	grants  singleflight.Group
	mu      sync.Mutex
	current *groupLease
}

// groupLease is a lease that a node was granted.
type groupLease struct {
	id port.LeaseID
	// requestedAt is when the call that granted the lease was sent. The lease ends no earlier than its life after that.
	requestedAt instant.Instant
}

// lease returns a lease that was granted within the last period.
func (g *leaseGroup) lease(ctx context.Context, store port.TxnStore) (*groupLease, error) {
	g.mu.Lock()
	current := g.current
	g.mu.Unlock()
	if current != nil && current.requestedAt.Age() < g.period {
		return current, nil
	}
	granted, err, _ := g.grants.Do("", func() (any, error) {
		l := &groupLease{requestedAt: instant.Now()}
		var err error
		if l.id, err = store.Grant(ctx, g.life); err != nil {
			return nil, errors.Wrapf(port.ErrUnavailable, "grant store lease: %v", err)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.current = l
		return l, nil
	})
	if err != nil {
		return nil, err
	}
	return granted.(*groupLease), nil
}

// drop makes the next key get another lease.
func (g *leaseGroup) drop(l *groupLease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == l {
		g.current = nil
	}
}

// LeasedStore is the platform's store for the records of this package. It binds a key that must not stay forever to a store
// lease of this node when it writes the key, also on behalf of another node, whose own lease the store may refuse to grant.
type LeasedStore struct {
	port.TxnStore
	groups []*leaseGroup
}

// NewLeasedStore returns a LeasedStore that uses the given store. minLease is the shortest lease that the store grants.
func NewLeasedStore(store port.TxnStore, minLease time.Duration) *LeasedStore {
	return &LeasedStore{store, []*leaseGroup{
		{prefix: storekey.Tombstones, life: max(MaxTombstoneLife, minLease), period: tombstoneLeasePeriod},
		{prefix: storekey.Windows, life: max(windowLease, minLease), period: windowLeasePeriod},
	}}
}

// Commit implements port.TxnStore. A transaction that was carried out so late that its keys may end too early has an unknown
// outcome, so that it is repeated.
func (s *LeasedStore) Commit(ctx context.Context, t port.Txn) (int64, error) {
	group := s.groupOf(t)
	if group == nil {
		return s.TxnStore.Commit(ctx, t)
	}
	lease, err := group.lease(ctx, s.TxnStore)
	if err != nil {
		return 0, err
	}
	revision, err := s.TxnStore.Commit(ctx, group.bind(t, lease.id))
	switch {
	case errors.Is(err, port.ErrLeaseLapsed):
		group.drop(lease)
		return 0, errors.Wrap(port.ErrUnavailable, "the store lease has lapsed")
	case err == nil && lease.requestedAt.Age() > group.period+maxWriteTime:
		group.drop(lease)
		return 0, errors.Wrap(port.ErrUnknownOutcome, "written under an old lease")
	}
	return revision, err
}

// maxWriteTime is how long after the end of a lease's period a key may be written that was bound to it.
const maxWriteTime = time.Second

// groupOf returns the group of the first key that a transaction writes and that must be bound to a lease, nil if there is
// none. No transaction writes keys of two groups.
func (s *LeasedStore) groupOf(t port.Txn) *leaseGroup {
	for _, p := range t.Puts {
		for _, g := range s.groups {
			if strings.HasPrefix(p.Key, g.prefix) {
				return g
			}
		}
	}
	return nil
}

// bind returns the transaction with the group's keys bound to a lease.
func (g *leaseGroup) bind(t port.Txn, lease port.LeaseID) port.Txn {
	bound := t
	bound.Puts = make([]port.Put, len(t.Puts))
	for i, p := range t.Puts {
		if strings.HasPrefix(p.Key, g.prefix) {
			p.Lease = lease
		}
		bound.Puts[i] = p
	}
	return bound
}
