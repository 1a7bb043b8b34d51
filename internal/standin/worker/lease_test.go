package worker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/rpc/workerpb"
)

// TestRestartedWorkerWaits guards against two owners that each hold a different worker of a partition after both workers
// restarted within one control lease: a task could then start twice.
func TestRestartedWorkerWaits(t *testing.T) {
	const lease = 300 * time.Millisecond
	w := New(Options{ID: "w0", Restarted: true})
	request := &workerpb.AcquireRequest{Node: "n1", ControlTtlMs: lease.Milliseconds(), TaskTtlMs: 1000}
	answer, err := w.Acquire(t.Context(), request)
	assert.NilError(t, err)
	assert.Assert(t, !answer.Granted && answer.HeldForMs > 0 && answer.HeldForMs <= lease.Milliseconds())
	for !answer.Granted {
		time.Sleep(time.Duration(answer.HeldForMs) * time.Millisecond)
		answer, err = w.Acquire(t.Context(), request)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(w.started) >= lease)
}
