package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/intake"
	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// canceledJob is a store in which one job has been canceled.
type canceledJob struct{ port.TxnStore }

func (canceledJob) Changes(context.Context, string, int64, time.Duration) ([]port.WatchEvent, int64, error) {
	return []port.WatchEvent{{Entry: port.Entry{Key: storekey.Cancel("a"), Revision: 9}}}, 9, nil
}

// frozenStore answers no read of changes.
type frozenStore struct{ port.TxnStore }

func (frozenStore) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) ([]port.WatchEvent, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// serveNode serves other nodes for a node with the given store, and returns its address.
func serveNode(t *testing.T, store port.TxnStore) string {
	n, _, _ := newIsolatedNode()
	n.options.Store = store
	n.store.TxnStore = intake.NewLeasedStore(store, 0)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	cellpb.RegisterCellServer(server, &peerServer{node: n})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// newCellWithFrozenDelegates returns a term in a large cell in which the first delegates never answer.
func newCellWithFrozenDelegates(t *testing.T, frozen int) *activeTerm {
	m := newMemberCell(t, 0)
	m.s.committer = newCommitter(m.s)
	m.s.node.options.Store = canceledJob{}
	t.Cleanup(m.s.node.peers.close)
	for i := range minSpreadMembers {
		m.join(&cellpb.MemberMessage{Node: fmt.Sprintf("node-%02d", i), Address: serveNode(t, canceledJob{})})
	}
	for i := range frozen {
		m.list[minSpreadMembers/2+i].address = serveNode(t, frozenStore{})
	}
	return m.s
}

// Guards against a start of a job later than the users allow after its cancellation was acknowledged: the message about it was
// lost with a takeover, and the delegates that would read it from the store are frozen.
func TestCancellationIsReadWhileDelegatesAreFrozen(t *testing.T) {
	for frozen, limit := range map[int]time.Duration{1: time.Second, 2: 2 * time.Second} {
		s := newCellWithFrozenDelegates(t, frozen)
		s.query(t.Context(), func() { s.addJob(jobEntry("a"), nil) })
		began := time.Now()
		entries, at, err := s.jobChanges(5)
		took := time.Since(began)
		assert.NilError(t, err)
		assert.Equal(t, at, int64(9))
		var state cell.JobState
		s.query(t.Context(), func() {
			s.applyEntries(entries, nil)
			state = s.core.State("a")
		})
		assert.Equal(t, state.Phase, cell.Canceled)
		assert.Assert(t, took < limit, "%d frozen delegates: %v", frozen, took)
	}
}

// slowLoadStore has one job. Its records of progress are read slowly, and the job is canceled meanwhile.
type slowLoadStore struct{ canceledJob }

func (slowLoadStore) Page(_ context.Context, prefix, _ string) (port.Page, error) {
	if prefix == storekey.In {
		return port.Page{Entries: []port.Entry{jobEntry("a")}, Revision: 5}, nil
	}
	time.Sleep(slowLoad)
	return port.Page{Revision: 9}, nil
}

// Guards against a start of a job whose cancellation was acknowledged while the new scheduling node loaded its state for
// seconds.
func TestCancellationDuringALongLoadCounts(t *testing.T) {
	s := newMemberCell(t, 0).s
	s.committer = newCommitter(s)
	s.node.options.Store = slowLoadStore{}
	revision, err := s.load()
	assert.NilError(t, err)
	assert.Equal(t, s.core.State("a").Phase, cell.Canceled)
	assert.Equal(t, revision, int64(9))
}

// absentJobStore is a store without jobs. It records the transactions and the leases.
type absentJobStore struct {
	port.TxnStore
	committed []port.Txn
	leases    []time.Duration
}

func (*absentJobStore) Get(context.Context, string) (port.Entry, error) {
	return port.Entry{}, port.ErrNotFound
}

func (a *absentJobStore) Commit(_ context.Context, t port.Txn) (int64, error) {
	a.committed = append(a.committed, t)
	return 2, nil
}

func (a *absentJobStore) Grant(_ context.Context, ttl time.Duration) (port.LeaseID, error) {
	a.leases = append(a.leases, ttl)
	return port.LeaseID(len(a.leases)), nil
}

// Guards against cancellations of unknown jobs that a node can't acknowledge because the store turns it away, and against
// relayed tombstones without a lease, which would stay forever.
func TestTombstoneOfANodeThatTheStoreTurnsAwayIsRelayed(t *testing.T) {
	store := &absentJobStore{}
	relay := serveNode(t, store)
	n, _, _ := newIsolatedNode()
	t.Cleanup(n.peers.close)
	n.storeFailures.Store(circuitOpenThreshold)
	n.membership.Store(&membership{address: relay, members: []string{relay}, lastContact: time.Now()})
	known, err := n.Cancel(t.Context(), "a", "red")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	assert.Equal(t, len(store.committed), 1)
	assert.DeepEqual(t, store.committed[0].Puts, []port.Put{{Key: storekey.Tombstone("a", "red"), Value: []byte("{}"), Lease: 1}})
	assert.Equal(t, len(store.leases), 1)
	assert.Assert(t, store.leases[0] >= intake.MinTombstoneLife)
}

// Guards against callers who make a node write to the store, or read from it, without a bound by canceling jobs that never
// existed.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	store := &absentJobStore{}
	n, _, _ := newIsolatedNode()
	n.store.TxnStore = intake.NewLeasedStore(store, 0)
	refused := 0
	for i := range 500 {
		if _, err := n.Cancel(t.Context(), cell.JobID(fmt.Sprint(i)), "red"); err != nil {
			assert.ErrorIs(t, err, port.ErrUnavailable)
			refused++
		}
	}
	assert.Assert(t, refused > 400, "%d", refused)
	assert.Equal(t, len(store.committed), 500-refused)
}
