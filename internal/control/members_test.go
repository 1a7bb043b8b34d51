package control

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// Get implements port.TxnStore: there is no answer.
func (s *silentStore) Get(ctx context.Context, _ string) (port.Entry, error) {
	<-ctx.Done()
	return port.Entry{}, ctx.Err()
}

// Guards against a node that goes on with its term, and keeps the members, because the store that turned it away doesn't
// tell it of its successor.
func TestTermEndsByTheSuccessorsWord(t *testing.T) {
	successor, _, _ := cutOffNode()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	cellpb.RegisterCellServer(server, &peerServer{node: successor})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	defer server.Stop()

	n, _, _ := cutOffNode()
	defer n.peers.close()
	n.storeFails.Store(storeFailLimit)
	ctx, end := context.WithCancelCause(t.Context())
	s := &scheduling{node: n, term: &term{number: 4}, ctx: ctx, end: end}
	m := newMembers(s)
	m.successors = []string{listener.Addr().String()}
	assert.Assert(t, !m.successorHolds())
	successor.membership.Store(&membership{term: 5, heard: time.Now()})
	m.awaitSuccessor()
	assert.ErrorIs(t, context.Cause(ctx), errLost)
}
