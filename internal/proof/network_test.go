package proof

import (
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// network relays the connections of the nodes' processes to the targets: the store, the advice service, the workers and
// the nodes themselves. Each pair of a node and a target has a link with its own faults.
type network struct {
	t       *testing.T
	ip      string
	dialers *dialers
	closed  chan struct{}
	wg      sync.WaitGroup

	mu        sync.Mutex
	endpoints []*endpoint
	links     map[linkID]*link
}

// endpoint is an address at which one node, or all nodes, reach a target.
type endpoint struct {
	from, name, target, address string
	listener                    net.Listener // nil while connections are refused
}

// linkID names a link by the node that dials and the target.
type linkID struct{ from, to string }

func newNetwork(t *testing.T, ip string) *network {
	n := &network{t: t, ip: ip, dialers: &dialers{names: map[int]string{}}, closed: make(chan struct{}), links: map[linkID]*link{}}
	t.Cleanup(n.close)
	return n
}

func (n *network) close() {
	close(n.closed)
	n.mu.Lock()
	for _, e := range n.endpoints {
		e.close()
	}
	for _, l := range n.links {
		l.closeConns(false)
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Relays and workers have ports below the system's range for outgoing connections, one of which could otherwise take the port of
// a relay that refuses connections, or of a worker that is down.
const (
	firstWorkerPort = 19_000
	firstRelayPort  = 20_000
)

// relayTo returns an address at which all nodes reach the target.
func (n *network) relayTo(name, target string) string {
	n.t.Helper()
	return n.relayFrom("", name, target)
}

// relayFrom returns an address at which one node reaches the target. If from is empty, it is for all nodes.
func (n *network) relayFrom(from, name, target string) string {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	port := firstRelayPort + len(n.endpoints)
	e := &endpoint{from: from, name: name, target: target, address: net.JoinHostPort(n.ip, strconv.Itoa(port))}
	n.endpoints = append(n.endpoints, e)
	n.open(e)
	return e.address
}

// open starts to accept connections. The caller holds mu.
func (n *network) open(e *endpoint) {
	l, err := net.Listen("tcp4", e.address)
	if !assert.Check(n.t, err) {
		return
	}
	e.listener, e.address = l, l.Addr().String()
	n.wg.Go(func() { n.accept(l, e) })
}

func (e *endpoint) close() {
	if e.listener != nil {
		_ = e.listener.Close()
		e.listener = nil
	}
}

// refuse closes all connections to a target and refuses new ones, as if no process listened, until allow.
func (n *network) refuse(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.endpoints {
		if e.name == name {
			e.close()
		}
	}
	for id, l := range n.links {
		if id.to == name {
			l.closeConns(true)
		}
	}
}

// allow ends refuse.
func (n *network) allow(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.endpoints {
		if e.name == name && e.listener == nil {
			n.open(e)
		}
	}
}

// link returns the link from a node to a target.
func (n *network) link(from, to string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := linkID{from, to}
	if n.links[id] == nil {
		n.links[id] = &link{conns: map[*relayedConn]struct{}{}, closed: n.closed}
	}
	return n.links[id]
}

// heal ends all faults of all links.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.heal()
	}
}

func (n *network) accept(l net.Listener, e *endpoint) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.relay(client.(*net.TCPConn), e) })
	}
}

// relay connects a client to a target if the client is the process of a node and its link to the target accepts
// connections.
func (n *network) relay(client *net.TCPConn, e *endpoint) {
	from := e.from
	if from == "" {
		var ok bool
		if from, ok = n.dialers.identify(client); !ok {
			reset(client) // the process has ended, or has closed the connection
			return
		}
	}
	l := n.link(from, e.name)
	if l.refusing.Load() {
		reset(client)
		return
	}
	server, err := net.Dial("tcp4", e.target)
	if err != nil {
		reset(client)
		return
	}
	l.carry(&relayedConn{client: client, server: server}, &n.wg)
}

// reset closes a connection so that the other side reads an error instead of an end.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed
	_ = c.Close()
}

// link holds the connections of one node to one target, and the faults of their data.
type link struct {
	requests, responses direction
	refusing            atomic.Bool // new connections are reset
	closed              <-chan struct{}

	mu    sync.Mutex
	conns map[*relayedConn]struct{}
}

// direction holds the faults of the data from one side of a link to the other.
type direction struct {
	delay atomic.Int64 // nanoseconds
	held  atomic.Bool  // data waits until the fault ends, and arrives then
	lost  atomic.Bool  // data is lost, and connections that lose data carry nothing more in this direction
	rate  rateLimit
}

func (d *direction) heal() {
	d.delay.Store(0)
	d.held.Store(false)
	d.lost.Store(false)
	d.rate.bytesPerSecond.Store(0)
}

func (l *link) heal() {
	l.requests.heal()
	l.responses.heal()
	l.refusing.Store(false)
}

// rateLimit limits the rate of all connections of a link together.
type rateLimit struct {
	bytesPerSecond atomic.Int64 // 0: no limit
	mu             sync.Mutex
	freeAt         time.Time // when what was already taken in has been sent
}

// take returns how long n bytes take to be sent, behind those that are being sent.
func (l *rateLimit) take(n int) time.Duration {
	rate := l.bytesPerSecond.Load()
	if rate == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(rate))
	return time.Until(l.freeAt)
}

// carry forwards both directions of a connection.
func (l *link) carry(c *relayedConn, wg *sync.WaitGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		c.close()
		return
	default:
	}
	l.conns[c] = struct{}{}
	wg.Go(func() { l.forward(c, c.client, c.server, &l.requests) })
	wg.Go(func() { l.forward(c, c.server, c.client, &l.responses) })
}

// holdPollInterval is the interval at which held data is checked for the end of the fault.
const holdPollInterval = 5 * time.Millisecond

// silentLinger is how long the end of a connection that has lost data takes to reach the other side.
const silentLinger = 10 * time.Second

// forward copies one direction of a connection. The end of a connection reaches the other side after the data before it.
func (l *link) forward(c *relayedConn, from, to net.Conn, d *direction) {
	buffer, lost := make([]byte, 32<<10), false
	for {
		n, err := from.Read(buffer)
		l.sleep(time.Duration(d.delay.Load()) + d.rate.take(n))
		for d.held.Load() && l.sleep(holdPollInterval) {
		}
		lost = lost || d.lost.Load() || c.silent.Load()
		if n > 0 && !lost {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && lost {
			l.sleep(silentLinger)
		}
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		c.close()
		return
	}
}

// sleep waits, and returns whether the network is still open.
func (l *link) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-l.closed:
		return false
	case <-time.After(d):
		return true
	}
}

// silence makes the open connections lose all further data. New connections work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// closeConns closes the open connections, with a reset if so wanted.
func (l *link) closeConns(withReset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if withReset {
			reset(c.client)
			reset(c.server)
		}
		c.close()
		delete(l.conns, c)
	}
}
