package node

import (
	"context"
	"time"
)

// rebalance moves waiting jobs to partitions that have room for them.
func (o *owner) rebalance(ctx context.Context, now time.Time) {
	if o.node.storeFailing.Load() {
		return // a move with an unknown outcome would keep its job from starting until the store answers again
	}
	for _, m := range o.machine.Moves(o.node.partitionSummaries(o.partition), now) {
		o.spawn(func() { o.move(ctx, m.Record, m.To) })
	}
}
