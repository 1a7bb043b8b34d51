package telemetry

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// WireBytes counts all bytes of connections, including HTTP/2 frames and headers but not those of TCP and IP.
const WireBytes = "wire_bytes_total"

// ConnectionsOpened counts connections, so that reconnects are visible.
const ConnectionsOpened = "connections_opened_total"

// Wire counts the connections of one kind and their bytes.
type Wire struct {
	in, out, opened metrics.Counter
}

// Wire returns the counters of the connections of a kind.
func (r *Registry) Wire(k ConnectionKind) *Wire {
	labels := func(direction string) []Label { return []Label{{"kind", string(k)}, {"direction", direction}} }
	return &Wire{in: r.Counter(WireBytes, labels("in")...), out: r.Counter(WireBytes, labels("out")...),
		opened: r.Counter(ConnectionsOpened, Label{"kind", string(k)})}
}

// Conn returns a connection that counts its bytes. A nil Wire returns c.
func (w *Wire) Conn(c net.Conn) net.Conn {
	if w == nil {
		return c
	}
	w.opened.Inc(1)
	return &countingConn{Conn: c, counters: w}
}

// Listener returns a listener whose connections count their bytes. A nil Wire returns l.
func (w *Wire) Listener(l net.Listener) net.Listener {
	if w == nil {
		return l
	}
	return &countingListener{Listener: l, counters: w}
}

type countingConn struct {
	net.Conn
	counters *Wire
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
	counters *Wire
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.Conn(c), nil
}
