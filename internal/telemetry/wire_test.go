package telemetry

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes that are counted in the wrong direction or not at all.
func TestTrafficCountersCountBothDirections(t *testing.T) {
	r, _ := newTestRegistry()
	local, remote := net.Pipe()
	conn := r.TrafficCounters(ConnectionStore).Conn(local)
	go func() {
		_, _ = io.CopyN(io.Discard, remote, 5)
		_, _ = remote.Write([]byte("abc"))
		_ = remote.Close()
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

// Guards against a failure when the TrafficCounters are nil, as in a peer client or server that has no counters.
func TestNilTrafficCountersPassConnections(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	var counters *TrafficCounters
	assert.Equal(t, counters.Conn(local), local)
}

// Guards against process gauges that stay at zero.
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
