package control

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sequoiastall/internal/control/intake"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// relayingStore is the store for callers' requests. The store may reject individual nodes, so calls that this node
// can't make are relayed through other nodes. Leases aren't relayed: the node that makes a call binds the keys that need one
// to its own.
type relayingStore struct {
	port.TxnStore
	node *Node
}

// Get implements port.TxnStore.
func (r *relayingStore) Get(ctx context.Context, key string) (port.Entry, error) {
	e, err := port.Entry{}, intake.ErrStoreSilent
	if r.node.storeAvailable() {
		if e, err = r.TxnStore.Get(ctx, key); err == nil || errors.Is(err, port.ErrNotFound) {
			r.node.storeAnswered()
			return e, err
		}
		r.node.storeFailed(err)
	}
	reply, relayed := r.relay(ctx, &cellpb.RelayRequest{Call: &cellpb.RelayRequest_Get{Get: key}})
	switch {
	case relayed && reply.Outcome == cellpb.RelayReply_OK && len(reply.Entries) == 1:
		return entryFrom(reply.Entries[0]), nil
	case relayed && reply.Outcome == cellpb.RelayReply_NOT_FOUND:
		return port.Entry{}, port.ErrNotFound
	}
	return e, err
}

// Commit implements port.TxnStore. If the outcome of one attempt is unknown and no later attempt determines it, the
// outcome of the call is unknown.
func (r *relayingStore) Commit(ctx context.Context, t port.Txn) (int64, error) {
	revision, err := int64(0), intake.ErrStoreSilent
	if r.node.storeAvailable() {
		revision, err = r.TxnStore.Commit(ctx, t)
		if !errors.Is(err, port.ErrUnavailable) && !errors.Is(err, port.ErrUnknownOutcome) {
			r.node.storeAnswered()
			return revision, err
		}
		r.node.storeFailed(err)
	}
	reply, relayed := r.relay(ctx, &cellpb.RelayRequest{Call: &cellpb.RelayRequest_Txn{Txn: txnMessage(t)}})
	if !relayed {
		return 0, err
	}
	switch reply.Outcome {
	case cellpb.RelayReply_OK:
		return reply.Revision, nil
	case cellpb.RelayReply_CONFLICT:
		conflict := &port.TxnConflictError{}
		for _, e := range reply.Entries {
			conflict.Current = append(conflict.Current, entryFrom(e))
		}
		return 0, conflict
	case cellpb.RelayReply_UNAVAILABLE:
		return 0, err
	}
	return 0, errors.Wrap(port.ErrUnknownOutcome, "relayed")
}

// relays returns the addresses of the nodes that may make a call for this one. In a large cell the scheduling node comes
// last, because many nodes may need a relay at the same time, and the members are asked in an order that differs from
// node to node.
func (r *relayingStore) relays(m *membership) []string {
	members := slices.DeleteFunc(slices.Clone(m.members), func(a string) bool { return a == r.node.options.Address })
	if m.address == r.node.options.Address {
		return members
	}
	if len(members) < minSpreadMembers {
		return append([]string{m.address}, members...)
	}
	first := int(xxhash.Sum64String(r.node.options.Name) % uint64(len(members)))
	return append(append(members[first:len(members):len(members)], members[:first]...), m.address)
}

// relay asks other nodes to make a call until one has an answer from the store.
func (r *relayingStore) relay(ctx context.Context, call *cellpb.RelayRequest) (*cellpb.RelayReply, bool) {
	m := r.node.membership.Load()
	if m == nil || m.storeAge+time.Since(m.lastContact) > maxRelayStoreAge {
		return nil, false
	}
	var last *cellpb.RelayReply
	tried := 0
	for _, address := range r.relays(m) {
		if tried == relayAttempts || ctx.Err() != nil {
			break
		}
		tried++
		attempt, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := r.node.peers.client(address).Relay(attempt, call)
		cancel()
		if err != nil {
			reply = &cellpb.RelayReply{Outcome: cellpb.RelayReply_UNKNOWN}
		}
		switch reply.Outcome {
		case cellpb.RelayReply_OK, cellpb.RelayReply_CONFLICT, cellpb.RelayReply_NOT_FOUND:
			return reply, true
		}
		if last == nil || reply.Outcome == cellpb.RelayReply_UNKNOWN {
			last = reply
		}
	}
	return last, last != nil
}

const (
	// relayAttempts is the maximum number of nodes that are asked to make a call.
	relayAttempts = 2
	// maxRelayStoreAge is the maximum age of the store's last answer to any node for a call to be relayed.
	maxRelayStoreAge = 900 * time.Millisecond
)

func entryFrom(e *cellpb.Entry) port.Entry {
	return port.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

func txnMessage(t port.Txn) *cellpb.Txn {
	m := &cellpb.Txn{Deletes: t.Deletes}
	for _, e := range t.Conditions {
		m.Expect = append(m.Expect, &cellpb.Expect{Key: e.Key, Revision: e.Revision})
	}
	for _, p := range t.Puts {
		m.Puts = append(m.Puts, &cellpb.Put{Key: p.Key, Value: p.Value})
	}
	return m
}
