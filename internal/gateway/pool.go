package gateway

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// errNoConnection indicates a fault in the route table: it returned more picks for a worker than the node has
// been granted connections to that worker.
var errNoConnection = errors.New("the worker's connections are in use")

// upstreamConn is a connection to an instance. At any time it is either used by one attempt or idle in the pool.
type upstreamConn struct {
	net.Conn
	worker  string
	address string
	reused  bool
	sent    bool // at least one byte of the current request was written
	reader  *bufio.Reader
	writer  *bufio.Writer
}

// Write implements io.Writer and records that data was sent.
func (c *upstreamConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.sent = true
	}
	return n, err
}

// reusable reports whether an idle connection is still open and has no data to read. Bytes that arrive while no request
// is open belong to a late response, and the connection must not be reused.
func (c *upstreamConn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}

// pool holds the connections to the instances. It opens at most as many per worker as have been granted to the node.
type pool struct {
	dial    func(ctx context.Context, address string) (net.Conn, error)
	mu      sync.Mutex
	workers map[string]*workerPool
}

type workerPool struct {
	limit int32
	open  int32 // idle, in use or being dialed
	idle  []*upstreamConn
}

func newPool() *pool {
	var d net.Dialer
	return &pool{workers: map[string]*workerPool{}, dial: func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}}
}

// setLimits replaces the limits and closes idle connections that exceed them.
func (p *pool) setLimits(limits map[string]int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, limit := range limits {
		if p.workers[name] == nil {
			p.workers[name] = &workerPool{}
		}
		p.workers[name].limit = limit
	}
	for name, w := range p.workers {
		w.limit = limits[name]
		for w.open > w.limit && len(w.idle) > 0 {
			w.closeOldest()
		}
		if w.limit == 0 && w.open == 0 {
			delete(p.workers, name)
		}
	}
}

func (w *workerPool) closeOldest() {
	w.idle[0].Close()
	w.idle = append(w.idle[:0], w.idle[1:]...)
	w.open--
}

// get returns an idle connection to the address or dials a new one. forceNew excludes idle connections: if one
// connection to a worker has stopped responding, the others probably have too.
func (p *pool) get(ctx context.Context, worker, address string, forceNew bool) (*upstreamConn, error) {
	c, err := p.reserve(worker, address, forceNew)
	if c != nil || err != nil {
		return c, err
	}
	netConn, err := p.dial(ctx, address)
	if err != nil {
		p.release(worker)
		return nil, err
	}
	c = &upstreamConn{Conn: netConn, worker: worker, address: address}
	c.reader, c.writer = bufio.NewReader(netConn), bufio.NewWriter(c)
	return c, nil
}

// reserve returns an idle connection, or reserves a slot for a new one and returns nil.
func (p *pool) reserve(worker, address string, forceNew bool) (*upstreamConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[worker]
	if w == nil {
		return nil, errNoConnection
	}
	for i := len(w.idle) - 1; i >= 0; i-- {
		c := w.idle[i]
		if c.address != address {
			continue
		}
		w.idle = append(w.idle[:i], w.idle[i+1:]...)
		if !forceNew && c.reusable() {
			c.reused, c.sent = true, false
			return c, nil
		}
		c.Close()
		w.open--
	}
	if w.open >= w.limit && len(w.idle) > 0 {
		w.closeOldest()
	}
	if w.open >= w.limit {
		return nil, errNoConnection
	}
	w.open++
	return nil, nil
}

// put returns a connection to the pool after a complete response.
func (p *pool) put(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[c.worker]
	if w.open > w.limit {
		c.Close()
		w.open--
		return
	}
	w.idle = append(w.idle, c)
}

// discard closes a connection whose response was late, truncated or not fully read.
func (p *pool) discard(c *upstreamConn) {
	c.Close()
	p.release(c.worker)
}

func (p *pool) release(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[worker].open--
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		for len(w.idle) > 0 {
			w.closeOldest()
		}
	}
}
