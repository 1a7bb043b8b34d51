package control

import (
	"context"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// changingRegistry is a registry that counts how often its whole list is read.
type changingRegistry struct {
	port.ConfigSource
	lists     int
	changes   []port.WorkerChange
	revision  int64
	compacted bool
}

func (c *changingRegistry) Workers(context.Context) ([]cell.WorkerReport, int64, error) {
	c.lists++
	c.revision++
	return []cell.WorkerReport{{ID: "w1"}, {ID: "w2"}}, c.revision, nil
}

func (c *changingRegistry) WorkerChanges(_ context.Context, after int64) ([]port.WorkerChange, int64, error) {
	if c.compacted {
		c.compacted = false
		return nil, after, port.ErrCompacted
	}
	changes := c.changes
	c.changes = nil
	c.revision += int64(len(changes))
	return changes, c.revision, nil
}

// Guards against reading the whole registry again and again, against passing on entries that were only written again,
// against missing a worker that has joined, left or become unreadable, and against keeping workers that left while the
// store discarded its history.
func TestRegistryPassesOnChanges(t *testing.T) {
	source := &changingRegistry{}
	r := &registry{source: source}
	since := func(after int64) workerChanges {
		t.Helper()
		c, err := r.since(t.Context(), after)
		assert.NilError(t, err)
		return c
	}
	first := since(-1)
	assert.Assert(t, first.full)
	assert.Equal(t, len(first.reports), 2)
	source.changes = []port.WorkerChange{{ID: "w1", Report: &cell.WorkerReport{ID: "w1"}}}
	assert.Assert(t, since(first.revision).empty())
	assert.Equal(t, source.lists, 1)

	source.changes = []port.WorkerChange{{ID: "w1"}, {ID: "w3", Report: &cell.WorkerReport{ID: "w3", Draining: true}}}
	second := since(first.revision)
	assert.Assert(t, !second.full)
	assert.DeepEqual(t, second.removed, []cell.WorkerID{"w1"})
	assert.DeepEqual(t, second.reports, []cell.WorkerReport{{ID: "w3", Draining: true}})
	assert.Assert(t, since(second.revision).empty())
	assert.Equal(t, len(since(first.revision).removed), 1, "a caller that didn't get the answer asks again")

	source.compacted = true
	third := since(second.revision)
	assert.Assert(t, third.full)
	assert.Equal(t, len(third.reports), 2)
	assert.Equal(t, source.lists, 2)
}

// Guards against a worker's smaller capacity that doesn't reach the scheduling node, because nothing else in the entry has
// changed.
func TestChangeOfCapacityAloneIsPassedOn(t *testing.T) {
	source := &changingRegistry{}
	r := &registry{source: source}
	first, err := r.since(t.Context(), -1)
	assert.NilError(t, err)
	smaller := cell.WorkerReport{ID: "w1", Capacity: resource.Vector{MilliCPU: 1000}}
	source.changes = []port.WorkerChange{{ID: "w1", Report: &smaller}}
	second, err := r.since(t.Context(), first.revision)
	assert.NilError(t, err)
	got := workerChangesFrom(workersReply(second))
	assert.Assert(t, !got.empty())
	assert.DeepEqual(t, got.reports, []cell.WorkerReport{smaller})
	again, err := r.since(t.Context(), second.revision)
	assert.NilError(t, err)
	assert.Assert(t, again.empty())
}

// Guards against a fallback that reads all that workers have written since the copy was last in use, many times the whole
// list, over a link that is short of capacity.
func TestOldCopyOfTheRegistryIsReadAnew(t *testing.T) {
	source := &changingRegistry{}
	r := &registry{source: source}
	first, err := r.since(t.Context(), -1)
	assert.NilError(t, err)
	r.readTime = r.readTime.Add(-2 * maxChangesAge)
	_, err = r.since(t.Context(), first.revision)
	assert.NilError(t, err)
	assert.Equal(t, source.lists, 2)
}

// Guards against fields that get lost between the delegate and the scheduling node.
func TestWorkerChangesSurviveTheWire(t *testing.T) {
	w := cell.WorkerReport{ID: "w", Address: "a", Service: "s", Zone: "z", Rack: "r1-1", Labels: []string{"a", "r1-1"}, Draining: true, StartMS: 5}
	w.Capacity.MilliCPU, w.Capacity.MemoryMB, w.Capacity.Accelerators = 1, 2, 3
	c := workerChanges{full: true, reports: []cell.WorkerReport{w}, removed: []cell.WorkerID{"x"}, revision: 9}
	got := workerChangesFrom(workersReply(c))
	assert.Assert(t, got.full)
	assert.Equal(t, got.revision, int64(9))
	assert.DeepEqual(t, got.reports, c.reports)
	assert.Assert(t, slices.Equal(got.removed, c.removed))
}
