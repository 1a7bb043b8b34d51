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

// relay passes TCP connections on to a target, until they are cut or go silent.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[*relayedConn]struct{}
	refusing bool
	wg       sync.WaitGroup

	delay         atomic.Int64 // nanoseconds by which each read is passed on later
	dropResponses atomic.Bool  // what the target sends is dropped
}

// relayedConn is a relayed connection.
type relayedConn struct {
	client, server net.Conn
	silent         atomic.Bool
}

func (p *relayedConn) close() {
	_ = p.client.Close()
	_ = p.server.Close()
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
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &relayedConn{client: near, server: far}
		r.mu.Lock()
		if r.refusing {
			r.mu.Unlock()
			p.close()
			continue
		}
		r.conns[p] = struct{}{}
		r.wg.Add(2)
		r.mu.Unlock()
		go r.forward(p, near, far)
		go r.forward(p, far, near)
	}
}

// forward copies one direction. What arrives on a silent connection is dropped.
func (r *relay) forward(p *relayedConn, from, to net.Conn) {
	defer r.wg.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if delay := r.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		if n > 0 && !p.silent.Load() && !(r.dropResponses.Load() && from == p.server) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err != io.EOF || !p.silent.Load() {
				p.close()
			}
			return // the pair stays known, so that its other direction ends with the relay
		}
	}
}

// silence makes the open connections carry nothing any more, and returns how many there are. New ones work.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.silent.Store(true)
	}
	return len(r.conns)
}

// disconnect closes the open connections, and new ones while on is true.
func (r *relay) disconnect(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = on
	for p := range r.conns {
		p.close()
	}
}
