package node

import (
	"context"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/resource"
)

const (
	// stuckAfter is how long a job waits in its partition before another one may take it.
	stuckAfter = 5 * time.Second
	// maxMoves bounds the jobs that a partition gives away in one round. Each costs a write to the store.
	maxMoves = 8
)

// rebalance moves waiting jobs of which nothing runs to partitions that have room for them. So a job also leaves a
// partition that has lost its workers.
func (o *owner) rebalance(ctx context.Context, now time.Time) {
	if o.node.storeFailing.Load() {
		return // a move whose outcome isn't known would keep its job from starting until the store is back
	}
	remote := o.node.remoteSummaries(o.partition)
	moves := 0
	for _, r := range o.machine.Stuck(now, stuckAfter) {
		target := betterPartition(remote, r.Spec)
		if target == "" {
			continue
		}
		record := o.machine.Movable(r.ID, now)
		if record == nil {
			continue
		}
		o.spawn(func() { o.move(ctx, *record, target) })
		if moves++; moves >= maxMoves {
			return
		}
	}
}

// betterPartition returns a settled partition without a backlog that has room for the job, empty if there is none.
func betterPartition(remote []membership.Summary, spec job.Spec) string {
	need := spec.Resources
	if spec.Class == job.Gang {
		need = need.Scale(int64(spec.Tasks))
	}
	best, bestFree := "", 0.0
	for _, s := range remote {
		var backlog resource.Vector
		for _, t := range s.Teams {
			backlog = backlog.Add(t.Backlog)
		}
		if free := s.Free.DominantShare(s.Capacity); s.Settled && backlog.IsZero() && need.Fits(s.Free) && free > bestFree {
			best, bestFree = s.Partition, free
		}
	}
	return best
}
