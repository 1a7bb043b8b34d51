package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job that runs although its cancellation was acknowledged, because the scheduler learned of the
// cancellation first.
func TestCancellationThatComesBeforeItsJobCounts(t *testing.T) {
	h := newHarness(t, 1)
	assert.Assert(t, !h.s.CancelJob("a"), "not known yet")
	h.advance(earlyCancelRetention / 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000), {Count: 1, Each: tasks(1, 1000).Each, After: []int{0}}}})
	h.advance(time.Second)
	assert.Equal(t, len(h.takeStarts()), 0)
	assert.Equal(t, h.s.State("a").Phase, Canceled)
	assert.Equal(t, h.finals["a"].Phase, Canceled)
}

// Guards against the same for a job that an earlier scheduling node had started: its run is stopped.
func TestCancellationBeforeAStartedJobStopsItsRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	started := h.takeStarts()[0]
	record := h.records["a"]
	assert.Assert(t, record != nil)

	h.s = h.newScheduler()
	h.registerWorkers(1, false)
	h.s.CancelJob("a")
	assert.NilError(t, h.s.AddJob(Job{ID: "a", Queue: plainQueue, Service: "pool", Team: "team", Steps: []Step{tasks(1, 1000)}}, record, h.now))
	h.renew(0, []RunningRow{{Run: started.Run}}, nil)
	h.advance(0)
	stops := h.takeStops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, started.Run)
}

// Guards against memory that grows with each cancellation of a job that ended long ago.
func TestCancellationOfUnknownJobIsForgotten(t *testing.T) {
	h := newHarness(t, 1)
	h.s.CancelJob("gone")
	assert.Equal(t, len(h.s.earlyCancels), 1)
	h.advance(earlyCancelRetention + 2*time.Second)
	assert.Equal(t, len(h.s.earlyCancels), 0)
}
