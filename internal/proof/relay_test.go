package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// relay is a TCP proxy in front of a target. It can delay or drop data, and close or refuse connections.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[*relayedConn]struct{}
	refusing bool
	wg       sync.WaitGroup

	delay         atomic.Int64 // nanoseconds to wait before forwarding the data of each read
	dropResponses atomic.Bool  // drop what the target sends
	link          sharedLink
}

// sharedLink limits the rate of all connections of a relay together.
type sharedLink struct {
	bytesPerSecond atomic.Int64 // 0: no limit
	mu             sync.Mutex
	freeAt         time.Time // when what was already taken in has been sent
}

// transmit waits until n bytes have been sent over the link.
func (l *sharedLink) transmit(n int) {
	rate := l.bytesPerSecond.Load()
	if rate == 0 {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(rate))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// relayedConn is a client's connection together with the relay's own connection to the target.
type relayedConn struct {
	client, server net.Conn
	silent         atomic.Bool
}

func (c *relayedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// newRelay listens on a free port of an IP address.
func newRelay(t *testing.T, ip, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(t, err)
	r := &relay{listener: l, target: target, conns: map[*relayedConn]struct{}{}}
	r.wg.Add(1)
	go r.accept()
	t.Cleanup(func() {
		_ = l.Close()
		r.disconnect(true)
		r.wg.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &relayedConn{client: client, server: server}
		r.mu.Lock()
		if r.refusing {
			r.mu.Unlock()
			c.close()
			continue
		}
		r.conns[c] = struct{}{}
		r.wg.Add(2)
		r.mu.Unlock()
		go r.forward(c, client, server)
		go r.forward(c, server, client)
	}
}

// forward copies one direction. Data of a silent connection is read and dropped.
func (r *relay) forward(c *relayedConn, from, to net.Conn) {
	defer r.wg.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if delay := r.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		r.link.transmit(n)
		if n > 0 && !c.silent.Load() && !(r.dropResponses.Load() && from == c.server) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err != io.EOF || !c.silent.Load() {
				c.close()
			}
			return // c stays in r.conns, so that the end of the relay also ends its other direction
		}
	}
}

// silence drops all further data of the open connections without closing them, and returns how many there are. New
// connections work.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent.Store(true)
	}
	return len(r.conns)
}

// disconnect closes the open connections, and sets whether the relay refuses new ones.
func (r *relay) disconnect(refuseNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = refuseNew
	for c := range r.conns {
		c.close()
	}
}
