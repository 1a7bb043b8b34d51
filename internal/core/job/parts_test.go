package job

import (
	"testing"

	"gotest.tools/v3/assert"
)

func dividedRecord() Record {
	return Record{ID: "J", Spec: Spec{Tasks: 10, Class: Batch}, Phase: Pending, Parts: []Part{
		{Partition: "a/0", First: 0, Count: 6, Phase: Pending}, {Partition: "b/0", First: 6, Count: 4, Phase: Pending}}}
}

// TestRunsOfADividedJob guards against parts that overlap, omit tasks or share an ID.
func TestRunsOfADividedJob(t *testing.T) {
	runs := dividedRecord().Runs()
	assert.Equal(t, len(runs), 2)
	next := int32(0)
	for k, run := range runs {
		assert.Equal(t, run.Spec.FirstIndex, next)
		next += run.Spec.Tasks
		parent, number := run.ID.Parent()
		assert.Equal(t, parent, ID("J"))
		assert.Equal(t, number, k)
	}
	assert.Equal(t, next, int32(10))
	whole := Record{ID: "W", Partition: "a/0"}
	assert.DeepEqual(t, whole.Runs(), []Record{whole})
	_, number := whole.ID.Parent()
	assert.Equal(t, number, -1)
}

// TestJobEndsWithItsLastPart guards against a job that becomes final while a part still runs, or is reported as done
// although a part failed.
func TestJobEndsWithItsLastPart(t *testing.T) {
	for _, test := range []struct {
		name   string
		phases [2]Phase
		want   Phase
	}{
		{"both done", [2]Phase{Done, Done}, Done},
		{"first failed", [2]Phase{Failed, Done}, Failed},
		{"last failed", [2]Phase{Done, Failed}, Failed},
		{"one cancelled", [2]Phase{Cancelled, Done}, Cancelled},
		{"cancelled and failed", [2]Phase{Cancelled, Failed}, Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := dividedRecord()
			for k, phase := range test.phases {
				assert.Equal(t, r.Phase, Pending)
				run := r.Runs()[k]
				run.Phase, run.Succeeded, run.EndedMS = phase, 3, 99
				var changed bool
				r, changed = r.WithRun(run, run.Partition)
				assert.Assert(t, changed)
			}
			assert.Equal(t, r.Phase, test.want)
			assert.Equal(t, r.Succeeded, int32(6))
			assert.Equal(t, r.EndedMS, int64(99))
		})
	}
}

// TestPartMovesOnce guards against a part that runs in two partitions: only the partition that currently runs it may
// move or end it.
func TestPartMovesOnce(t *testing.T) {
	r := dividedRecord()
	run := r.Runs()[1]
	run.Partition = "c/0"
	run.Completed.Add(2)
	moved, changed := r.WithRun(run, "b/0")
	assert.Assert(t, changed)
	assert.Equal(t, moved.Runs()[1].Partition, "c/0")
	assert.Assert(t, moved.Runs()[1].Completed.Contains(2))
	run.Phase = Done
	_, changed = moved.WithRun(run, "b/0")
	assert.Assert(t, !changed)
	assert.Equal(t, r.Parts[1].Partition, "b/0", "the original record was changed")
}
