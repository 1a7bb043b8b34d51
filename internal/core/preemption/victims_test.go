package preemption

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

func vec(slots, memory int64) resource.Vector {
	return resource.Vector{Slots: slots, MemoryMB: memory}
}

// task returns a batch task of one slot of team "over" on worker w1.
func task(id string, change func(*Running)) Running {
	r := Running{
		Task: job.TaskID{Job: job.ID(id)}, Worker: "w1", Team: "over", Class: job.Batch, Idempotent: true,
		Reserved: vec(1, 10), Progress: time.Minute,
	}
	if change != nil {
		change(&r)
	}
	return r
}

// TestVictims guards against preempting urgent tasks, tasks of teams within their share, tasks that can't be rerun or
// part of a gang, and against more or costlier victims than necessary.
func TestVictims(t *testing.T) {
	progress := func(d time.Duration) func(*Running) { return func(r *Running) { r.Progress = d } }
	gang := func(index int32, worker string) func(*Running) {
		return func(r *Running) { r.Class, r.Task.Index, r.Worker, r.Progress = job.Gang, index, worker, 0 }
	}
	one := map[string]resource.Vector{"w1": {}}
	for _, test := range []struct {
		name       string
		need       resource.Vector
		candidates []Running
		o          Options
		want       []string // job/index on worker: action
	}{
		{"fits already", vec(1, 1), nil, Options{Free: map[string]resource.Vector{"w1": vec(1, 1)}}, []string{}},
		{"least progress", vec(1, 10), []Running{task("a", progress(time.Hour)), task("b", progress(time.Second))},
			Options{Free: one}, []string{"b/0 on w1: stop"}},
		{"checkpoint before stop", vec(1, 10), []Running{task("a", progress(time.Second)),
			task("b", func(r *Running) { r.CanCheckpoint, r.Progress = true, time.Hour })},
			Options{Free: one}, []string{"b/0 on w1: checkpoint"}},
		{"free resources count", vec(2, 20), []Running{task("a", nil), task("b", nil)},
			Options{Free: map[string]resource.Vector{"w1": vec(1, 10)}}, []string{"a/0 on w1: stop"}},
		{"no unnecessary victim", vec(1, 30), []Running{task("a", progress(time.Second)),
			task("b", func(r *Running) { r.Reserved = vec(1, 30) })}, Options{Free: one}, []string{"b/0 on w1: stop"}},
		{"a task without what is lacking stays", vec(0, 10), []Running{
			task("a", func(r *Running) { r.Reserved, r.Progress = vec(5, 0), 0 }), task("b", nil)},
			Options{Free: one}, []string{"b/0 on w1: stop"}},
		{"team within its share", vec(1, 10), []Running{task("a", func(r *Running) { r.Team = "within" })}, Options{Free: one}, nil},
		{"the asking team", vec(1, 10), []Running{task("a", nil)}, Options{Free: one, Team: "over"}, nil},
		{"urgent work stays", vec(1, 10), []Running{task("a", func(r *Running) { r.Urgent = true })}, Options{Free: one, Urgent: true}, nil},
		{"non-idempotent work stays", vec(1, 10), []Running{task("a", func(r *Running) { r.Idempotent = false })}, Options{Free: one}, nil},
		{"non-idempotent work with a checkpoint", vec(1, 10),
			[]Running{task("a", func(r *Running) { r.Idempotent, r.CanCheckpoint = false, true })},
			Options{Free: one}, []string{"a/0 on w1: checkpoint"}},
		{"urgent work preempts batch of all teams, above their share first", vec(1, 10), []Running{
			task("a", func(r *Running) { r.Team, r.Progress = "within", 0 }), task("b", nil)},
			Options{Free: one, Urgent: true}, []string{"b/0 on w1: stop"}},
		{"urgent work preempts batch within its share", vec(1, 10), []Running{task("a", func(r *Running) { r.Team = "within" })},
			Options{Free: one, Urgent: true}, []string{"a/0 on w1: stop"}},
		{"urgent work leaves services within their share", vec(1, 10),
			[]Running{task("a", func(r *Running) { r.Team, r.Class = "within", job.Service })}, Options{Free: one, Urgent: true}, nil},
		{"gang whole", vec(1, 10), []Running{task("g", gang(0, "w1")), task("g", gang(1, "w2")), task("b", nil)},
			Options{Free: one}, []string{"g/0 on w1: stop", "g/1 on w2: stop"}},
		{"gang of which a part isn't known", vec(1, 10), []Running{task("g", gang(0, "w1")), task("b", nil)},
			Options{Free: one, GangSize: map[job.ID]int{"g": 2}}, []string{"b/0 on w1: stop"}},
		{"gang with a task that can't run again", vec(1, 10), []Running{task("g", gang(0, "w1")),
			task("g", func(r *Running) { gang(1, "w2")(r); r.Idempotent = false })}, Options{Free: one}, nil},
		{"cheapest worker", vec(2, 20), []Running{task("a", nil), task("b", nil),
			task("c", func(r *Running) { r.Worker, r.Reserved = "w2", vec(2, 20) })},
			Options{Free: map[string]resource.Vector{"w1": {}, "w2": {}}}, []string{"c/0 on w2: stop"}},
		{"not enough", vec(2, 20), []Running{task("a", nil)}, Options{Free: one}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.o.OverShare = map[string]bool{"over": true}
			victims, err := Victims(test.need, test.candidates, test.o)
			if test.want == nil {
				var insufficient *InsufficientError
				assert.Assert(t, errors.As(err, &insufficient))
				return
			}
			assert.NilError(t, err)
			got := []string{}
			for _, v := range victims {
				got = append(got, fmt.Sprintf("%s on %s: %s", v.Task, v.Worker, v.Action))
				assert.Assert(t, v.Reason != "")
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}
