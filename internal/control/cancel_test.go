package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

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
