package gateway

import (
	"context"
	"sync"
)

// gate counts open requests and closes for a drain.
type gate struct {
	mu     sync.Mutex
	open   int
	closed bool
	empty  chan struct{} // closed when the gate is closed and nothing is open
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter reports false when the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.open++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	if g.closed && g.open == 0 {
		close(g.empty)
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// drain closes the gate and waits until nothing is open.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		if g.open == 0 {
			close(g.empty)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
