package control

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// changingRegistry is a registry that counts how often its whole list is read.
type changingRegistry struct {
	port.ConfigSource
	lists     int
	changes   []port.WorkerChange
	compacted bool
}

func (c *changingRegistry) Workers(context.Context) ([]cell.WorkerReport, int64, error) {
	c.lists++
	return []cell.WorkerReport{{ID: "w1"}, {ID: "w2"}}, 7, nil
}

func (c *changingRegistry) WorkerChanges(_ context.Context, after int64) ([]port.WorkerChange, int64, error) {
	if c.compacted {
		c.compacted = false
		return nil, after, port.ErrCompacted
	}
	return c.changes, after + int64(len(c.changes)), nil
}

// Guards against reading the whole registry again and again, against missing a worker that has joined, left or become
// unreadable, and against keeping workers that left while the store discarded its history.
func TestRegistryFollowsChanges(t *testing.T) {
	node, _, _ := newIsolatedNode()
	s := &activeTerm{node: node, ctx: t.Context()}
	source := &changingRegistry{}
	r := registry{source: source}
	poll := func(expectChanged bool) {
		t.Helper()
		changed, err := r.poll(s)
		assert.NilError(t, err)
		assert.Equal(t, changed, expectChanged)
	}
	poll(true)
	poll(false)
	poll(false)
	assert.Equal(t, source.lists, 1)
	source.changes = []port.WorkerChange{{ID: "w1"}, {ID: "w3", Report: &cell.WorkerReport{ID: "w3", Draining: true}}}
	poll(true)
	assert.Equal(t, len(r.reports), 2)
	assert.Assert(t, r.reports["w3"].Draining)
	source.changes, source.compacted = nil, true
	poll(true)
	assert.Equal(t, source.lists, 2)
	assert.DeepEqual(t, r.reports, map[cell.WorkerID]cell.WorkerReport{"w1": {ID: "w1"}, "w2": {ID: "w2"}})
}
