package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against starts beyond the capacity of a worker that has restarted with less of it, before the registry is read again.
func TestRestartedWorkerIsNotUsedByItsEarlierEntry(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(2, 1500)}})
	h.renewInstance(0, 2, nil, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0, "the registry still lists the earlier instance")
	h.listInstance(0, 2, 2000)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a registry entry of an earlier instance that gives a worker its earlier capacity back.
func TestEntryOfEarlierInstanceIsNotUsed(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 2, 1000)
	h.renewInstance(0, 2, nil, nil)
	h.listInstance(0, 1, 4000)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(2, 1000)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.listInstance(0, 2, 1000)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a worker whose wall clock has gone back at its restart: its earlier entry must not count as another restart.
func TestUnchangedEntryIsNoRestart(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 5, 4000)
	h.renewInstance(0, 5, nil, nil)
	h.renewInstance(0, 2, nil, nil)
	h.listInstance(0, 5, 4000)
	assert.Equal(t, h.s.workers[workerID(0)].StartMS, int64(2))
	assert.Assert(t, h.s.workers[workerID(0)].reached)
}

// Guards against a start on a worker whose registry entry has become that of another instance since the placement.
func TestDecidedStartIsDroppedIfAnotherInstanceIsListed(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 2, 4000)
	h.renewInstance(0, 2, nil, nil)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	assert.Equal(t, len(h.decide()), 0)
	h.commitRecords()
	h.listInstance(0, 1, 4000)
	assert.Equal(t, len(h.decide()), 0)
	h.listInstance(0, 2, 4000)
	h.advance(20 * time.Millisecond)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run.Run, 2)
}
