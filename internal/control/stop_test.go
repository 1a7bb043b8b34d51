package control

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that outlasts its grace period because another node's new connection has gone silent.
func TestSilentConnectionDoesNotDelayTheStop(t *testing.T) {
	n, _, _ := newIsolatedNode()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, listener) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	time.Sleep(50 * time.Millisecond) // until the server has accepted the connection
	stop()
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(4 * time.Second):
		t.Fatal("the node hasn't stopped")
	}
}
