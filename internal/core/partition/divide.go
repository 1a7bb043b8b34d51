package partition

import (
	"math"
	"slices"
	"strings"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/resource"
)

// minPartTasks is the smallest number of tasks in a part of a divided job. Each part costs one write to the store when
// it ends.
const minPartTasks = 4

// DivideJob splits a batch job into parts for several partitions. It returns nil if the job's home partition is
// unusable or has free capacity for all tasks, the job is too small, or fewer than two partitions would get a part.
// Free capacity is used first, that of the home partition before the others in order of size; the remaining tasks are
// divided in proportion to capacity.
func DivideJob(partitions []membership.Summary, home string, spec job.Spec) []job.Part {
	usable := slices.DeleteFunc(slices.Clone(partitions), func(s membership.Summary) bool {
		return !s.Settled || s.Workers == 0 || tasksThatFit(s.Capacity, spec.Resources) == 0
	})
	at := slices.IndexFunc(usable, func(s membership.Summary) bool { return s.Partition == home })
	if at < 0 || spec.Tasks < 2*minPartTasks || tasksThatFit(usable[at].Free, spec.Resources) >= spec.Tasks {
		return nil
	}
	slices.SortFunc(usable, func(a, b membership.Summary) int {
		switch {
		case a.Partition == home:
			return -1
		case b.Partition == home:
			return 1
		}
		if d := tasksThatFit(b.Free, spec.Resources) - tasksThatFit(a.Free, spec.Resources); d != 0 {
			return int(d)
		}
		return strings.Compare(a.Partition, b.Partition)
	})
	shares := divideTasks(usable, spec)
	var parts []job.Part
	first := int32(0)
	for i, n := range shares {
		if n > 0 {
			parts = append(parts, job.Part{Partition: usable[i].Partition, First: first, Count: n, Phase: job.Pending})
			first += n
		}
	}
	if len(parts) < 2 {
		return nil
	}
	return parts
}

// divideTasks returns the number of tasks for each partition.
func divideTasks(usable []membership.Summary, spec job.Spec) []int32 {
	shares := make([]int32, len(usable))
	left := spec.Tasks
	total := int64(0)
	for i, s := range usable {
		n := min(left, tasksThatFit(s.Free, spec.Resources))
		if n < minPartTasks {
			n = 0
		}
		shares[i] = n
		left -= n
		total += int64(tasksThatFit(s.Capacity, spec.Resources))
	}
	for i := range usable {
		if left <= 0 || total == 0 {
			break
		}
		own := int64(tasksThatFit(usable[i].Capacity, spec.Resources))
		n := int32((int64(left)*own + total - 1) / total)
		total -= own
		if shares[i]+n < minPartTasks && i > 0 {
			shares[0] += n
		} else {
			shares[i] += n
		}
		left -= n
	}
	return shares
}

// tasksThatFit returns how many tasks of a size fit into an amount of resources, as if it were on one host.
func tasksThatFit(amount, size resource.Vector) int32 {
	n := int64(math.MaxInt32)
	for _, c := range [...][2]int64{{amount.Slots, size.Slots}, {amount.MilliCPU, size.MilliCPU}, {amount.MemoryMB, size.MemoryMB},
		{amount.Accelerators, size.Accelerators}} {
		if c[1] > 0 {
			n = min(n, max(0, c[0]/c[1]))
		}
	}
	return int32(n)
}
