package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/gateway"
)

func testConfig(t *testing.T) *configuration.Active {
	slots := int64(8)
	set := object.Set{Teams: []object.Team{{Meta: object.Meta{Name: "a"}}, {Meta: object.Meta{Name: "b"}}},
		Pools:  []object.Pool{{Meta: object.Meta{Name: "standard"}, Label: "16c-32g"}},
		Limits: []object.Limit{{Team: "a", Max: object.LimitSize{Slots: &slots}}},
		Queues: []object.Queue{{Meta: object.Meta{Name: "batch"}, Class: object.ClassBatch, Open: true, MaxTasks: 50},
			{Meta: object.Meta{Name: "urgent"}, Class: object.ClassBatch, Team: "a", Priority: object.Urgent},
			{Meta: object.Meta{Name: "gang"}, Class: object.ClassGang, Team: "a"},
			{Meta: object.Meta{Name: "request"}, Class: object.ClassRequest, Team: "a"}}}
	index, err := object.NewIndex(set)
	assert.NilError(t, err)
	return &configuration.Active{Set: set, Index: index}
}

// Guards against accepting jobs that can never run, and against callers that mark a job as urgent themselves.
func TestAdmit(t *testing.T) {
	config := testConfig(t)
	spec := func(team, queue string, class job.Class, tasks int32, slots int64) job.Spec {
		return job.Spec{Team: team, Queue: queue, Class: class, Tasks: tasks, Resources: resource.Vector{Slots: slots}}
	}
	for name, c := range map[string]struct {
		spec job.Spec
		ok   bool
	}{
		"fits":                          {spec("a", "batch", job.Batch, 50, 8), true},
		"without a limit":               {spec("b", "batch", job.Batch, 1, 1000), true},
		"gang that fits":                {spec("a", "gang", job.Gang, 4, 2), true},
		"unknown queue":                 {spec("a", "none", job.Batch, 1, 1), false},
		"other class":                   {spec("a", "batch", job.Gang, 1, 1), false},
		"queue for requests":            {spec("a", "request", job.Batch, 1, 1), false},
		"too many tasks":                {spec("a", "batch", job.Batch, 51, 1), false},
		"a task beyond the limit":       {spec("a", "batch", job.Batch, 1, 9), false},
		"a gang beyond the limit":       {spec("a", "gang", job.Gang, 5, 2), false},
		"unknown team on an open queue": {spec("c", "batch", job.Batch, 1, 1), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := admit(config, c.spec)
			if c.ok {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, gateway.ErrInvalid)
			}
		})
	}
	markedUrgent := spec("b", "batch", job.Batch, 1, 0)
	markedUrgent.Urgent = true
	got, err := admit(config, markedUrgent)
	assert.NilError(t, err)
	assert.Assert(t, !got.Urgent && got.Resources.Slots == 1)
	got, err = admit(config, spec("a", "urgent", job.Batch, 1, 1))
	assert.NilError(t, err)
	assert.Assert(t, got.Urgent)
}

// Guards against jobs that wait for ever because they name a pool, whereas the workers carry the pool's label.
func TestPools(t *testing.T) {
	config := testConfig(t)
	got, err := admit(config, job.Spec{Team: "a", Queue: "batch", Class: job.Batch, Tasks: 1, Pool: "standard"})
	assert.NilError(t, err)
	assert.Equal(t, got.Pool, "16c-32g")
	_, err = admit(config, job.Spec{Team: "a", Queue: "batch", Class: job.Batch, Tasks: 1, Pool: "16c-32g"})
	assert.ErrorIs(t, err, gateway.ErrInvalid)
	desired := partition.NewDesiredService(config.Index, object.Service{Team: "a", Pool: "standard", Concurrency: 2}, 1)
	assert.Equal(t, desired.Spec.Pool, "16c-32g")
	assert.Equal(t, partition.NewDesiredService(config.Index, object.Service{Team: "a", Concurrency: 2}, 1).Spec.Pool, "")
}

// Guards against ignoring a key's list of queues.
func TestMayUse(t *testing.T) {
	n := &Node{}
	assert.Assert(t, !n.MayUse(gateway.Identity{Team: "a"}, "gang"), "no configuration is in force")
	n.config.Store(testConfig(t))
	for _, c := range []struct {
		id    gateway.Identity
		queue string
		may   bool
	}{
		{gateway.Identity{Team: "a"}, "gang", true},
		{gateway.Identity{Team: "b"}, "gang", false},
		{gateway.Identity{Team: "b"}, "batch", true},
		{gateway.Identity{Team: "a"}, "none", false},
		{gateway.Identity{Team: "a", Queues: []string{"batch"}}, "gang", false},
		{gateway.Identity{Team: "a", Queues: []string{"gang"}}, "gang", true},
		{gateway.Identity{Team: "a", Queues: []string{"gang"}}, "batch", false},
	} {
		assert.Equal(t, n.MayUse(c.id, c.queue), c.may, "%+v %s", c.id, c.queue)
	}
}

// Guards against rejecting a job of an unknown team with a reason that doesn't name the cause.
func TestUnknownTeam(t *testing.T) {
	_, err := admit(testConfig(t), job.Spec{Team: "c", Queue: "batch", Class: job.Batch, Tasks: 1})
	assert.ErrorContains(t, err, `unknown team "c"`)
}
