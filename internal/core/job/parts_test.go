package job

import (
	"testing"

	"gotest.tools/v3/assert"
)

func dividedRecord() Record {
	return Record{ID: "J", Spec: Spec{Tasks: 10, Class: Batch}, Phase: Pending, Parts: []Part{
		{Partition: "a/0", First: 0, Count: 6, Phase: Pending}, {Partition: "b/0", First: 6, Count: 4, Phase: Pending}}}
}

// TestPartRecordsOfADividedJob guards against parts that overlap, omit tasks or share an ID.
func TestPartRecordsOfADividedJob(t *testing.T) {
	parts := dividedRecord().PartRecords()
	assert.Equal(t, len(parts), 2)
	next := int32(0)
	for k, part := range parts {
		assert.Equal(t, part.Spec.FirstIndex, next)
		next += part.Spec.Tasks
		parent, number := part.ID.Parent()
		assert.Equal(t, parent, ID("J"))
		assert.Equal(t, number, k)
	}
	assert.Equal(t, next, int32(10))
	whole := Record{ID: "W", Partition: "a/0"}
	assert.DeepEqual(t, whole.PartRecords(), []Record{whole})
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
				part := r.PartRecords()[k]
				part.Phase, part.Succeeded, part.EndedMS = phase, 3, 99
				var changed bool
				r, changed = r.WithPart(part, part.Partition)
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
	part := r.PartRecords()[1]
	part.Partition = "c/0"
	part.Completed.Add(2)
	moved, changed := r.WithPart(part, "b/0")
	assert.Assert(t, changed)
	assert.Equal(t, moved.PartRecords()[1].Partition, "c/0")
	assert.Assert(t, moved.PartRecords()[1].Completed.Contains(2))
	part.Phase = Done
	_, changed = moved.WithPart(part, "b/0")
	assert.Assert(t, !changed)
	assert.Equal(t, r.Parts[1].Partition, "b/0", "the original record was changed")
}
