//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// gate is a proxy in front of a worker. It can be closed, so that connections are refused as by a machine without that
// process, or cut, so that nothing passes in either direction.
type gate struct {
	address, backend string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	cut      bool
}

func newGate(ip, backend string) (*gate, error) {
	g := &gate{backend: backend, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	g.address = l.Addr().String()
	g.listener = l
	go g.serve(l)
	return g, nil
}

func (g *gate) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go g.pass(c)
	}
}

func (g *gate) pass(c net.Conn) {
	b, err := net.Dial("tcp4", g.backend)
	if err != nil {
		_ = c.Close()
		return
	}
	g.mu.Lock()
	g.conns[c], g.conns[b] = true, true
	g.mu.Unlock()
	go g.copy(b, c)
	g.copy(c, b)
}

func (g *gate) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if g.isCut() {
			return // what was sent into the cut is lost; the connection ends when the cut does
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	g.mu.Lock()
	delete(g.conns, to)
	delete(g.conns, from)
	g.mu.Unlock()
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// setCut cuts all connections silently, or ends the cut.
func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	g.cut = cut
	g.mu.Unlock()
	if !cut {
		g.reset()
	}
}

// reset closes all connections.
func (g *gate) reset() {
	g.mu.Lock()
	conns := g.conns
	g.conns = map[net.Conn]bool{}
	g.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// close refuses connections from now on and closes the open ones.
func (g *gate) close() {
	g.mu.Lock()
	if g.listener != nil {
		_ = g.listener.Close()
		g.listener = nil
	}
	g.mu.Unlock()
	g.reset()
}

// open accepts connections again at the same address.
func (g *gate) open() {
	for {
		l, err := net.Listen("tcp4", g.address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		g.mu.Lock()
		g.listener = l
		g.mu.Unlock()
		go g.serve(l)
		return
	}
}
