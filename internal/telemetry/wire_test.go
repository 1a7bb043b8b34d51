package telemetry

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes of a connection that aren't counted in its direction.
func TestWireCountsBothDirections(t *testing.T) {
	r, _ := newTestRegistry()
	near, far := net.Pipe()
	conn := r.Wire(PeerStore).Conn(near)
	go func() {
		_, _ = io.CopyN(io.Discard, far, 5)
		_, _ = far.Write([]byte("abc"))
		_ = far.Close()
	}()
	_, err := conn.Write([]byte("12345"))
	assert.NilError(t, err)
	data, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "abc")
	count := func(direction string) int64 {
		return r.Counter(WireBytes, Label{"kind", "store"}, Label{"direction", direction}).Count()
	}
	assert.Equal(t, count("out"), int64(5))
	assert.Equal(t, count("in"), int64(3))
	assert.Equal(t, r.Counter(ConnectionsOpened, Label{"kind", "store"}).Count(), int64(1))
}

// Guards against a peer client or server without counters that fails.
func TestNilWirePassesConnections(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	var w *Wire
	assert.Equal(t, w.Conn(near), near)
}

// Guards against gauges of the process that stay at zero.
func TestProcessGaugesAreRead(t *testing.T) {
	r, _ := newTestRegistry()
	r.ExposeProcess()
	var out bytes.Buffer
	assert.NilError(t, r.WriteText(&out))
	for _, name := range []string{ProcessRSS, ProcessHeap, ProcessAllocated, ProcessGoroutines} {
		assert.Assert(t, strings.Contains(out.String(), "\nsequoiastall_"+name+" "), name)
		assert.Assert(t, !strings.Contains(out.String(), "\nsequoiastall_"+name+" 0\n"), name)
	}
}
