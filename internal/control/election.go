package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/control/instant"
	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/port"
)

// holder is the stored record that names the scheduling node.
type holder struct {
	Version  int    `json:"v"`
	Node     string `json:"node"`
	Address  string `json:"address"`
	Term     int64  `json:"term"`
	revision int64
}

// holderVersion is the version of the record's format.
const holderVersion = 1

// readHolder reads the record of the scheduling node. It returns nil if there is none.
func readHolder(ctx context.Context, s port.TxnStore) (*holder, error) {
	e, err := s.Get(ctx, storekey.Scheduler)
	if errors.Is(err, port.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	h := &holder{revision: e.Revision}
	if err := json.Unmarshal(e.Value, h); err != nil {
		return nil, errors.Wrap(err, "decode record of the scheduling node")
	}
	return h, nil
}

// term is a term that this node has won.
type term struct {
	number   int64
	revision int64 // of the scheduler key during the term
	lease    port.LeaseID

	mu sync.Mutex
	// confirmedAt is when the last call was sent whose answer showed that this node still held the term. The answer itself may
	// have waited in a buffer while this node was paused.
	confirmedAt instant.Instant
}

// confirm records that a call sent at the given instant has shown that this node still held the term.
func (t *term) confirm(sentAt instant.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.Monotonic.After(t.confirmedAt.Monotonic) {
		t.confirmedAt = sentAt
	}
}

// unconfirmedFor returns for how long nothing has shown that this node still holds the term.
func (t *term) unconfirmedFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt.Age()
}

// mayGrantLeases reports whether this node may grant leases. The next holder assumes that none was granted later than
// maxStoreSilence after the last confirmation.
func (t *term) mayGrantLeases() bool { return t.unconfirmedFor() <= maxStoreSilence }

// errTermLost means that another node holds the scheduling lease.
var errTermLost = errors.New("another node holds the scheduling lease")

// acquire takes the scheduling lease if the scheduler key still has the given revision; 0 means that the key must be
// absent. Each success increases the term number, so that no two holders have the same one.
func (n *Node) acquire(ctx context.Context, revision int64) (*term, error) {
	last, termRevision, err := n.lastTerm(ctx)
	if err != nil {
		return nil, err
	}
	lease, err := n.options.Store.Grant(ctx, max(schedulerLease, n.options.MinStoreLease))
	if err != nil {
		return nil, errors.Wrap(err, "grant store lease")
	}
	t := &term{number: last + 1, lease: lease}
	record, err := json.Marshal(holder{Version: holderVersion, Node: n.options.Name, Address: n.options.Address, Term: t.number})
	if err != nil {
		return nil, errors.Wrap(err, "encode record of the scheduling node")
	}
	number, err := json.Marshal(t.number)
	if err != nil {
		return nil, errors.Wrap(err, "encode term")
	}
	sentAt := instant.Now()
	t.revision, err = n.options.Store.Commit(ctx, port.Txn{
		Conditions: []port.Expect{{Key: storekey.Scheduler, Revision: revision}, {Key: storekey.Term, Revision: termRevision}},
		Puts:       []port.Put{{Key: storekey.Scheduler, Value: record, Lease: lease}, {Key: storekey.Term, Value: number}},
	})
	var conflict *port.TxnConflictError
	if errors.As(err, &conflict) {
		return nil, errTermLost
	}
	if err == nil {
		t.confirm(sentAt)
	}
	// A commit with an unknown outcome may have made this node the holder. In that case supervise finds a record with this
	// node's own address and acquires the lease again.
	return t, err
}

func (n *Node) lastTerm(ctx context.Context) (last, revision int64, err error) {
	e, err := n.options.Store.Get(ctx, storekey.Term)
	if errors.Is(err, port.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if err := json.Unmarshal(e.Value, &last); err != nil {
		return 0, 0, errors.Wrap(err, "decode term")
	}
	return last, e.Revision, nil
}

// renewTerm renews the store lease until this node can no longer be sure that it holds the term. It returns the reason.
func (n *Node) renewTerm(ctx context.Context, t *term) error {
	interval := max(schedulerLease, n.options.MinStoreLease) / 5
	for {
		err := n.options.Store.KeepAlive(ctx, t.lease)
		if errors.Is(err, port.ErrLeaseLapsed) {
			return errors.New("the store lease has lapsed")
		}
		if err == nil {
			err = n.confirmTerm(ctx, t)
		}
		switch {
		case err == nil:
			n.storeAnswered()
		case errors.Is(err, errTermLost):
			return err
		case t.unconfirmedFor() > maxStoreSilence:
			return errors.Wrap(err, "the store doesn't confirm the term")
		default:
			n.storeFailed(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// confirmInterval is how long after the last confirmation of a term the scheduler key is read. While records are written,
// each of them confirms the term.
const confirmInterval = time.Second

// confirmTerm reads the scheduler key unless the term was confirmed recently. A store lease can be renewed after another
// node has replaced the key, so its renewal confirms nothing.
func (n *Node) confirmTerm(ctx context.Context, t *term) error {
	if t.unconfirmedFor() < confirmInterval {
		return nil
	}
	sentAt := instant.Now()
	e, err := n.options.Store.Get(ctx, storekey.Scheduler)
	switch {
	case errors.Is(err, port.ErrNotFound), err == nil && e.Revision != t.revision:
		return errTermLost
	case err != nil:
		return err
	}
	t.confirm(sentAt)
	return nil
}
