package telemetry

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// WireBytes counts all bytes of connections, including HTTP/2 frames and headers but not those of TCP and IP.
const WireBytes = "wire_bytes_total"

// ConnectionsOpened counts connections, so that reconnects are visible.
const ConnectionsOpened = "connections_opened_total"

// TrafficCounters count the connections of one kind and their bytes.
type TrafficCounters struct {
	in, out, opened metrics.Counter
}

// TrafficCounters returns the counters of the connections of a kind.
func (r *Registry) TrafficCounters(k ConnectionKind) *TrafficCounters {
	labels := func(direction string) []Label { return []Label{{"kind", string(k)}, {"direction", direction}} }
	return &TrafficCounters{in: r.Counter(WireBytes, labels("in")...), out: r.Counter(WireBytes, labels("out")...),
		opened: r.Counter(ConnectionsOpened, Label{"kind", string(k)})}
}

// Conn returns a connection that counts its bytes. With nil counters, it returns c.
func (t *TrafficCounters) Conn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	t.opened.Inc(1)
	return &countingConn{Conn: c, counters: t}
}

// Listener returns a listener whose connections count their bytes. With nil counters, it returns l.
func (t *TrafficCounters) Listener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &countingListener{Listener: l, counters: t}
}

type countingConn struct {
	net.Conn
	counters *TrafficCounters
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.out.Inc(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	counters *TrafficCounters
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.Conn(c), nil
}
