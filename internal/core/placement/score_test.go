package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

// TestScores guards against a score plugin that prefers the wrong one of two workers for a task of one slot, one
// core and 1000 MB.
func TestScores(t *testing.T) {
	half, empty := vec(4, 8000, 16000, 0), resource.Vector{}
	worker := func(reserved resource.Vector, accelerators int64) Worker {
		return Worker{Capacity: vec(8, 16000, 32000, accelerators), Reserved: reserved}
	}
	packing := func(s *scoreInput) float64 { return scorePacking(s) }
	for _, test := range []struct {
		name          string
		plugin        func(*scoreInput) float64
		better, worse Worker
		inRack        [2]int // instances beside better and worse
	}{
		{"packing fills the fuller worker", packing, worker(half, 0), worker(empty, 0), [2]int{}},
		{"packing keeps the rest in proportion", packing, worker(vec(4, 8000, 16000, 0), 0), worker(vec(7, 1000, 16000, 0), 0), [2]int{}},
		{"packing strands no accelerators", packing, worker(half, 0), worker(half, 4), [2]int{}},
		{"waiting prefers the emptier worker", scoreWaiting, worker(empty, 0), worker(half, 0), [2]int{}},
		{"waiting looks at the scarcest resource", scoreWaiting, worker(half, 0), worker(vec(0, 0, 28000, 0), 0), [2]int{}},
		{"spread prefers a rack with fewer instances", scoreSpread, worker(half, 0), worker(half, 0), [2]int{1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := Request{Resources: vec(1, 1000, 1000, 0)}
			better, worse := newScoreInput(&test.better, &r, test.inRack[0]), newScoreInput(&test.worse, &r, test.inRack[1])
			assert.Assert(t, test.plugin(&better) > test.plugin(&worse), "%v isn't above %v", test.plugin(&better), test.plugin(&worse))
			for _, s := range []*scoreInput{&better, &worse} {
				assert.Assert(t, test.plugin(s) >= 0 && test.plugin(s) <= 1)
			}
		})
	}
}

// TestPolicy guards against weights that don't decide between packing tasks and spreading them out, and against a wrong
// reason.
func TestPolicy(t *testing.T) {
	for _, test := range []struct {
		policy       Policy
		want, reason string
	}{
		{Policy{Packing: 1}, "full", ScorePacking},
		{Policy{Packing: 1, Share: 1}, "full", ScorePacking},
		{Policy{Waiting: 1}, "empty", ScoreWaiting},
		{Policy{Packing: 0.1, Waiting: 1}, "empty", ScoreWaiting},
	} {
		c := NewCluster(test.policy)
		c.Upsert(Worker{ID: "empty", Capacity: vec(8, 8, 8, 0)})
		c.Upsert(Worker{ID: "full", Capacity: vec(8, 8, 8, 0)})
		assert.NilError(t, c.Reserve("full", Request{Resources: vec(6, 6, 6, 0)}))
		d, err := c.Place(Request{Resources: vec(1, 1, 1, 0)})
		assert.NilError(t, err)
		assert.Equal(t, d.Worker, test.want, "%+v", test.policy)
		assert.Equal(t, d.Reason, test.reason)
	}
}

// TestGangIsAllOrNothing guards against a gang that is placed in part or reported as impossible when it only has to
// wait.
func TestGangIsAllOrNothing(t *testing.T) {
	c := NewCluster(Policy{Packing: 1})
	c.Upsert(Worker{ID: "a", Capacity: vec(4, 4, 4, 0)})
	c.Upsert(Worker{ID: "b", Capacity: vec(4, 4, 4, 0)})
	r := Request{Resources: vec(2, 2, 2, 0)}
	assert.NilError(t, c.Reserve("a", r))
	for _, test := range []struct {
		tasks int
		want  string
	}{{3, ""}, {4, "can take the task now"}, {5, "too small or too few"}, {-1, "negative"}, {0, ""}} {
		decisions, err := c.PlaceGang(r, test.tasks)
		if test.want == "" {
			assert.NilError(t, err)
			assert.Equal(t, len(decisions), test.tasks)
			continue
		}
		assert.ErrorContains(t, err, test.want)
		assert.Equal(t, len(decisions), 0)
	}
}
