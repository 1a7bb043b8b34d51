package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/routing"
)

// fakeNode is a port.PeerHandler that returns preset replies and records the requests.
type fakeNode struct {
	mu        sync.Mutex
	err       error
	unblock   chan struct{} // blocks every call until closed, if set
	digest    membership.Digest
	document  configuration.Document
	set       routing.EndpointSet
	allowance quota.AllowanceReply
	status    job.Status
	received  []any
}

func (n *fakeNode) record(ctx context.Context, request any) error {
	n.mu.Lock()
	n.received = append(n.received, request)
	unblock, err := n.unblock, n.err
	n.mu.Unlock()
	if unblock != nil {
		select {
		case <-unblock:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func (n *fakeNode) last() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[len(n.received)-1]
}

func (n *fakeNode) fail(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.err = err
}

func (n *fakeNode) Gossip(ctx context.Context, d membership.Digest) (membership.Digest, error) {
	return n.digest, n.record(ctx, d)
}

func (n *fakeNode) FetchConfiguration(ctx context.Context) (configuration.Document, error) {
	return n.document, n.record(ctx, nil)
}

func (n *fakeNode) Endpoints(ctx context.Context, r routing.EndpointsRequest) (routing.EndpointSet, error) {
	return n.set, n.record(ctx, r)
}

func (n *fakeNode) AskAllowance(ctx context.Context, r quota.AllowanceRequest) (quota.AllowanceReply, error) {
	return n.allowance, n.record(ctx, r)
}

func (n *fakeNode) Handover(ctx context.Context, partition string) error {
	return n.record(ctx, partition)
}

func (n *fakeNode) JobStatus(ctx context.Context, id job.ID) (job.Status, error) {
	return n.status, n.record(ctx, id)
}

// serve starts a server for the node on loopback and returns its address.
func serve(t *testing.T, n *fakeNode) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(n, Options{})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		assert.NilError(t, <-done)
	})
	return listener.Addr().String()
}

// relay forwards TCP connections to a target and counts their bytes. Connections opened before a call of silence stay
// open but transmit nothing any more.
type relay struct {
	listener    net.Listener
	target      string
	generation  atomic.Int64 // connections of older generations are silent
	connections atomic.Int64
	bytes       atomic.Int64
	wait        sync.WaitGroup
	mu          sync.Mutex
	open        []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	r.wait.Add(1)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) silence() { r.generation.Add(1) }

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.open {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

func (r *relay) accept() {
	defer r.wait.Done()
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.connections.Add(1)
		r.mu.Lock()
		r.open = append(r.open, in, out)
		r.mu.Unlock()
		generation := r.generation.Load()
		r.wait.Add(2)
		go r.forward(in, out, generation)
		go r.forward(out, in, generation)
	}
}

func (r *relay) forward(from, to net.Conn, generation int64) {
	defer r.wait.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if r.generation.Load() == generation {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = io.EOF
			}
			r.bytes.Add(int64(n))
			if err != nil {
				_ = to.Close()
			}
		}
		if err != nil {
			return
		}
	}
}
