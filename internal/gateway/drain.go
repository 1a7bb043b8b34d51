package gateway

import (
	"context"
	"sync"
)

// gate counts open requests. Once it is closed for a drain, it admits no new ones.
type gate struct {
	mu      sync.Mutex
	open    int
	closed  bool
	drained chan struct{} // closed when the gate is closed and no request is open
}

func newGate() *gate { return &gate{drained: make(chan struct{})} }

// enter admits a request; it reports false if the gate is closed.
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
		close(g.drained)
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// drain closes the gate and waits until no request is open or ctx ends.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		if g.open == 0 {
			close(g.drained)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
