// Package ring provides a bounded queue for passing items between the goroutines of a node.
package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded FIFO queue for any number of producers and consumers, implemented by a channel. A full queue
// rejects new items, so that memory stays bounded; the producer decides what to do with a rejected item.
type Queue[T any] struct {
	items   chan T
	pushed  atomic.Uint64
	dropped atomic.Uint64
}

// New returns a queue that holds capacity items, but at least one.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, max(1, capacity))}
}

// TryPush appends an item. If the queue is full, it counts a drop and reports false. It never blocks.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case q.items <- item:
		q.pushed.Add(1)
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Pop removes and returns the oldest item, waiting for one until ctx ends. Items in the queue are returned even after
// ctx has ended, so that a consumer can drain it.
func (q *Queue[T]) Pop(ctx context.Context) (T, error) {
	if item, ok := q.TryPop(); ok {
		return item, nil
	}
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryPop removes and returns the oldest item. It reports false if the queue is empty.
func (q *Queue[T]) TryPop() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Items returns the receiving end of the channel, for use in a select. It is never closed.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cap returns the maximum number of items.
func (q *Queue[T]) Cap() int { return cap(q.items) }

// Pushed returns the number of items accepted so far.
func (q *Queue[T]) Pushed() uint64 { return q.pushed.Load() }

// Dropped returns the number of items rejected so far.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
