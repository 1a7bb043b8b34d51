package ring

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a full queue that blocks, grows, or loses accepted items.
func TestFullQueueRejects(t *testing.T) {
	q := New[int](2)
	assert.Assert(t, q.TryPush(1))
	assert.Assert(t, q.TryPush(2))
	assert.Assert(t, !q.TryPush(3))
	assert.Equal(t, q.Len(), 2)
	for _, want := range []int{1, 2} {
		got, err := q.Pop(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	_, ok := q.TryPop()
	assert.Assert(t, !ok)
	assert.Equal(t, q.Pushed(), uint64(2))
	assert.Equal(t, q.Dropped(), uint64(1))
	assert.Equal(t, New[int](0).Cap(), 1)
}

// Guards against Pop blocking after its context has ended, and against items left in the queue being lost then.
func TestPopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New[int](2)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := q.Pop(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, q.TryPush(7))
		got, err := q.Pop(ctx)
		assert.NilError(t, err)
		assert.Equal(t, got, 7)
	})
}

// Guards against lost, repeated or reordered items under concurrent use.
func TestConcurrentProducersAndConsumer(t *testing.T) {
	const producers, each = 8, 1000
	type item struct{ producer, number int }
	q := New[item](16)
	var wait sync.WaitGroup
	for p := range producers {
		wait.Go(func() {
			for n := range each {
				for !q.TryPush(item{p, n}) {
					runtime.Gosched()
				}
			}
		})
	}
	next := make([]int, producers)
	for range producers * each {
		got, err := q.Pop(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, got.number, next[got.producer])
		next[got.producer]++
	}
	wait.Wait()
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, q.Pushed(), uint64(producers*each))
}
