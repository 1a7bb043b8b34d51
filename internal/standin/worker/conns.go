package worker

import (
	"net"
	"sync"
	"sync/atomic"
)

// connSet tracks the accepted connections of one or more listeners.
type connSet struct {
	limit int64 // 0 means none

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConnSet(limit int64) *connSet {
	return &connSet{limit: limit, open: map[*conn]struct{}{}}
}

// conn is an accepted connection. Once it is silent, it drops traffic in both directions without closing.
type conn struct {
	net.Conn
	set    *connSet
	silent atomic.Bool
}

// listener adds the connections that it accepts to a set. Those above the set's limit are closed at once.
type listener struct {
	net.Listener
	set *connSet
}

func (c *connSet) wrap(l net.Listener) net.Listener { return listener{Listener: l, set: c} }

// silence makes all open connections silent.
func (c *connSet) silence() {
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

func (c *connSet) add(accepted *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && int64(len(c.open)) >= c.limit {
		return false
	}
	c.open[accepted] = struct{}{}
	return true
}

// Read implements net.Conn. Data received on a silent connection is dropped.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. Data written to a silent connection is dropped.
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

// closeByLocalAddr closes the connections that were accepted at a local address.
func (c *connSet) closeByLocalAddr(address string) {
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
