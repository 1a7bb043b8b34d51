package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay is a TCP proxy in front of a target. It can drop data, and close or refuse connections.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[*relayedConn]struct{}
	refusing bool
	wg       sync.WaitGroup
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
		if n > 0 && !c.silent.Load() {
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
