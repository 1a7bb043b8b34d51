package worker

import (
	"net"
	"sync"
	"sync/atomic"
)

// connections keeps the accepted connections of one or several listeners.
type connections struct {
	limit int64 // 0 means none

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConnections(limit int64) *connections {
	return &connections{limit: limit, open: map[*conn]struct{}{}}
}

// conn is an accepted connection that can go silent.
type conn struct {
	net.Conn
	set    *connections
	silent atomic.Bool
}

// listener adds what it accepts to a set. Connections above the limit are closed at once.
type listener struct {
	net.Listener
	set *connections
}

func (c *connections) listen(l net.Listener) net.Listener { return listener{Listener: l, set: c} }

// silence makes all open connections silent.
func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for open := range c.open {
		open.silent.Store(true)
	}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, set: l.set}
		if l.set.add(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

func (c *connections) add(n *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && int64(len(c.open)) >= c.limit {
		return false
	}
	c.open[n] = struct{}{}
	return true
}

// Read implements net.Conn. What arrives on a silent connection is dropped.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is dropped.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// closeAt closes the connections that were accepted at a local address.
func (c *connections) closeAt(address string) {
	c.mu.Lock()
	var found []*conn
	for open := range c.open {
		if open.LocalAddr().String() == address {
			found = append(found, open)
		}
	}
	c.mu.Unlock()
	for _, open := range found {
		_ = open.Close()
	}
}
