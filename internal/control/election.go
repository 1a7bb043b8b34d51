package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
)

// holder is the record of the scheduling node.
type holder struct {
	Version  int    `json:"v"`
	Node     string `json:"node"`
	Address  string `json:"address"`
	Term     int64  `json:"term"`
	revision int64
}

// holderVersion is the format of the record.
const holderVersion = 1

// readHolder returns the record of the scheduling node, nil if there is none.
func readHolder(ctx context.Context, s port.TxnStore) (*holder, error) {
	e, err := s.Get(ctx, schedulerKey)
	if errors.Is(err, port.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	h := &holder{revision: e.Revision}
	if err := json.Unmarshal(e.Value, h); err != nil {
		return nil, errors.Wrap(err, "record of the scheduling node")
	}
	return h, nil
}

// term is a won term.
type term struct {
	number   int64
	revision int64 // of the scheduler key while the term lasts
	lease    port.LeaseID
}

// errLost tells that another node holds the term.
var errTermLost = errors.New("another node schedules")

// acquire takes the scheduling lease if the scheduler key has the revision, 0 if it must be absent. Terms rise with each
// success, so that no two holders have the same.
func (n *Node) acquire(ctx context.Context, revision int64) (*term, error) {
	last, termRevision, err := n.lastTerm(ctx)
	if err != nil {
		return nil, err
	}
	lease, err := n.options.Store.Grant(ctx, max(schedulerLease, n.options.MinStoreLease))
	if err != nil {
		return nil, errors.Wrap(err, "store lease")
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
	t.revision, err = n.options.Store.Commit(ctx, port.Txn{
		Expect: []port.Expect{{Key: schedulerKey, Revision: revision}, {Key: termKey, Revision: termRevision}},
		Puts:   []port.Put{{Key: schedulerKey, Value: record, Lease: lease}, {Key: termKey, Value: number}},
	})
	var conflict *port.TxnConflictError
	if errors.As(err, &conflict) {
		return nil, errTermLost
	}
	// A commit with an unknown outcome may still make this node the holder. The supervisor then finds a record with its
	// own name and acquires the lease anew.
	return t, err
}

func (n *Node) lastTerm(ctx context.Context) (last, revision int64, err error) {
	e, err := n.options.Store.Get(ctx, termKey)
	if errors.Is(err, port.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if err := json.Unmarshal(e.Value, &last); err != nil {
		return 0, 0, errors.Wrap(err, "term")
	}
	return last, e.Revision, nil
}

// keepTerm renews the store lease until it can't be sure any more that this node schedules; it returns why.
func (n *Node) renewTerm(ctx context.Context, t *term) error {
	interval := max(schedulerLease, n.options.MinStoreLease) / 5
	last := time.Now()
	for {
		err := n.options.Store.KeepAlive(ctx, t.lease)
		switch {
		case err == nil:
			last = time.Now()
			n.storeAnswered()
		case errors.Is(err, port.ErrLeaseLapsed):
			return errors.New("the store lease has lapsed")
		case time.Since(last) > maxStoreSilence:
			return errors.Wrap(err, "the store is silent")
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
