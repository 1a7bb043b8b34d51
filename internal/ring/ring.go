// Package ring provides the bounded first-in, first-out buffer that connects the goroutines of a node.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO for any number of producers and consumers. A full ring refuses new items: the producer
// decides what a refusal means, and memory stays bounded. A channel is the ring buffer underneath.
type Ring[T any] struct {
	items   chan T
	pushed  atomic.Uint64
	dropped atomic.Uint64
}

// New returns a ring for at most capacity items, at least one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(1, capacity))}
}

// TryPush appends an item, or reports false and counts a drop if the ring is full. It never blocks.
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

// Pop removes the oldest item; it waits for one until ctx ends. Items in the ring are returned even after ctx ended,
// so that a consumer can empty it.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	if item, ok := r.TryPop(); ok {
		return item, nil
	}
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// TryPop removes the oldest item, or reports false if there is none.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Items returns the receiving side, for a select over several sources. It is never closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the largest number of items.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Pushed returns how many items were accepted.
func (r *Ring[T]) Pushed() uint64 { return r.pushed.Load() }

// Dropped returns how many items were refused.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
