package partition

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/resource"
)

// TestDivide guards against tasks that are lost or duplicated by the division, against dividing a job that fits into
// its home partition, and against parts in partitions that can't run them.
func TestDivide(t *testing.T) {
	slots := func(n int64) resource.Vector { return resource.Vector{Slots: n} }
	summary := func(name string, capacity, free int64) membership.Summary {
		return membership.Summary{Partition: name, Workers: 1, Settled: true, Capacity: slots(capacity), Free: slots(free)}
	}
	unsettled := summary("u/0", 96, 96)
	unsettled.Settled = false
	for _, test := range []struct {
		name       string
		tasks      int32
		partitions []membership.Summary
		want       map[string]int32
	}{
		{"fits at home", 40, []membership.Summary{summary("a/0", 96, 40), summary("b/0", 96, 96)}, nil},
		{"small", 6, []membership.Summary{summary("a/0", 96, 0), summary("b/0", 96, 96)}, nil},
		{"uses free room", 60, []membership.Summary{summary("a/0", 96, 20), summary("b/0", 96, 50)}, map[string]int32{"a/0": 20, "b/0": 40}},
		{"divides the rest by capacity", 300, []membership.Summary{summary("a/0", 100, 0), summary("b/0", 200, 0)}, map[string]int32{"a/0": 100, "b/0": 200}},
		{"passes over what is unsettled", 60, []membership.Summary{summary("a/0", 96, 20), unsettled}, nil},
		{"passes over what is too small", 60, []membership.Summary{summary("a/0", 96, 20), summary("b/0", 0, 0)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := job.Spec{Class: job.Batch, Tasks: test.tasks, Resources: slots(1)}
			parts := DivideJob(test.partitions, "a/0", spec)
			assert.Equal(t, len(parts), len(test.want))
			next := int32(0)
			for _, p := range parts {
				assert.Equal(t, p.First, next)
				assert.Equal(t, p.Count, test.want[p.Partition])
				next += p.Count
			}
			if len(parts) > 0 {
				assert.Equal(t, next, test.tasks)
			}
		})
	}
}
