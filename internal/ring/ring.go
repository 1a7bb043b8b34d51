// Package ring provides a bounded FIFO buffer for passing items between the goroutines of a node.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO for any number of producers and consumers, implemented by a channel. A full ring rejects new
// items, so that memory stays bounded; the producer decides what to do with a rejected item.
type Ring[T any] struct {
	items   chan T
	pushed  atomic.Uint64
	dropped atomic.Uint64
}

// New returns a ring that holds capacity items, but at least one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(1, capacity))}
}

// TryPush appends an item. If the ring is full, it counts a drop and reports false. It never blocks.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		r.pushed.Add(1)
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop removes and returns the oldest item, waiting for one until ctx ends. Items in the ring are returned even after ctx
// has ended, so that a consumer can drain it.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	if item, ok := r.TryPop(); ok {
		return item, nil
	}
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryPop removes and returns the oldest item. It reports false if the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the receiving end of the channel, for use in a select. It is never closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the maximum number of items.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Pushed returns the number of items accepted so far.
func (r *Ring[T]) Pushed() uint64 { return r.pushed.Load() }

// Dropped returns the number of items rejected so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
