package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/port"
)

// rebalance moves waiting jobs to partitions that have room for them.
func (o *owner) rebalance(ctx context.Context, now time.Time) {
	for _, m := range o.machine.Moves(o.node.remoteSummaries(o.partition), now) {
		o.spawn(func() { o.move(ctx, m.Record, m.To) })
	}
}

// move writes the new partition into the job's record, together with the progress so far.
func (o *owner) move(ctx context.Context, record job.Record, target string) {
	change := func(r job.Record) (job.Record, bool) {
		if r.Phase.Final() || r.CancelRequested || r.Partition != o.partition {
			return r, false
		}
		r.Partition, r.Completed, r.Undecided = target, record.Completed, record.Undecided
		return r, true
	}
	entry, err := o.node.changeJob(ctx, record.ID, change)
	// While the outcome isn't known the job must not start here: the other partition may have it.
	for errors.Is(err, port.ErrUnknownOutcome) && sleep(ctx, acquireRetry) {
		entry, err = o.node.changeJob(ctx, record.ID, change)
	}
	if err != nil || entry.record.Partition == o.partition {
		o.send(moveFailed{record.ID})
		return
	}
	o.log.Info("placement", "decision", "move", "job", string(record.ID), "team", record.Spec.Team, "to", target,
		"reason", "nothing of it could start here, and the other partition has room")
}
