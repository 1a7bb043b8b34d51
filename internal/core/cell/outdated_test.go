package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that waits after its start wasn't sent because its worker has restarted, and against a worker that is
// taken for silent for that reason.
func TestOutdatedStartIsDecidedAnew(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	first := h.takeStarts()
	assert.Equal(t, len(first), 1)
	h.s.ApplyOrderOutcome(first[0], OrderOutdated, h.now)
	assert.Assert(t, !h.s.workers[first[0].Worker].unresponsive)
	h.advance(20 * time.Millisecond)
	second := h.takeStarts()
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Worker != first[0].Worker, "the worker's new instance isn't described yet")
}

// Guards against a task that runs twice: an earlier attempt of its start got no answer and may still be carried out by the
// instance that has restarted since.
func TestOutdatedStartAfterAnUnansweredOneIsStopped(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	first := h.takeStarts()
	h.s.ApplyOrderOutcome(first[0], OrderUnanswered, h.now)
	h.advance(orderRetryInterval)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	h.s.ApplyOrderOutcome(again[0], OrderOutdated, h.now)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	stops := h.takeStops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, first[0].Run)
	h.s.ApplyOrderOutcome(stops[0], OrderOutdated, h.now)
	h.advance(orderRetryInterval)
	assert.Equal(t, len(h.takeStops()), 1, "the stop is repeated")
}
