package node

import (
	"context"
	"slices"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/partition"
)

// divide spreads the tasks of a batch job over several partitions if the chosen one has no room for all of them.
func (n *Node) divide(r job.Record) job.Record {
	if r.Spec.Class != job.Batch {
		return r
	}
	if parts := partition.DivideJob(n.demandSummaries(), r.Partition, r.Spec); len(parts) > 1 {
		r.Partition, r.Parts = "", parts
	}
	return r
}

// statusOfRun returns a run's status from the owner of its partition, or from the cached record if the owner doesn't
// answer.
func (n *Node) statusOfRun(ctx context.Context, r job.Record) job.Status {
	if r.Phase.Final() {
		return job.Status{Record: r, Phase: r.Phase}
	}
	var status job.Status
	var err error
	if address, known := n.ownerAddresses()[r.Partition]; known && address != "" {
		status, err = n.ports.Peers.JobStatus(ctx, address, r.ID)
	} else {
		status, err = n.JobStatus(ctx, r.ID)
	}
	if err != nil {
		waiting := "the owner of partition " + r.Partition + " doesn't answer"
		return job.Status{Record: r, Phase: r.Phase, Pending: r.Spec.Tasks, Waiting: waiting}
	}
	return status
}

// combineStatuses combines the statuses of a job's runs.
func combineStatuses(r job.Record, runs []job.Status) job.Status {
	if len(r.Parts) == 0 {
		return runs[0]
	}
	all := job.Status{Record: r, Phase: r.Phase, Workers: map[string]int{}}
	all.Succeeded, all.Unknown = 0, 0
	for _, s := range runs {
		all.Pending += s.Pending
		all.Running += s.Running
		all.Succeeded += s.Succeeded
		all.Unknown += s.Unknown
		for w, tasks := range s.Workers {
			all.Workers[w] += tasks
		}
		if s.StartedMS != 0 && (all.StartedMS == 0 || s.StartedMS < all.StartedMS) {
			all.StartedMS = s.StartedMS
		}
		if s.Waiting != "" && all.Waiting == "" {
			all.Waiting = s.Waiting
		}
		if !r.Phase.Final() && s.Phase != job.Pending {
			all.Phase = job.Running
		}
	}
	return all
}

// replaceRun writes the end or the move of a run into its job's record, and returns the resulting record.
func (n *Node) replaceRun(ctx context.Context, run job.Record, from string) (job.Record, error) {
	id, _ := run.ID.Parent()
	entry, err := n.updateJob(ctx, id, func(r job.Record) (job.Record, bool) { return r.WithPart(run, from) })
	return entry.record, err
}

// move writes the new partition of a run and its progress so far into the job's record.
func (o *owner) move(ctx context.Context, run job.Record, target string) {
	run.Partition = target
	// Read first: if the store doesn't answer, the move fails here, before a write whose outcome would be unknown.
	id, _ := run.ID.Parent()
	if _, err := o.node.readJob(ctx, id); err != nil {
		o.send(moveFailed{run.ID})
		return
	}
	// While the outcome is unknown the run must not start here, because the other partition may have it.
	var record job.Record
	err := repeatUntilDecided(ctx, acquireRetry, func() (err error) {
		record, err = o.node.replaceRun(ctx, run, o.partition)
		return err
	})
	moved := err == nil && slices.ContainsFunc(record.PartRecords(),
		func(r job.Record) bool { return r.ID == run.ID && r.Partition == target })
	if !moved {
		o.send(moveFailed{run.ID})
		return
	}
	o.log.Info("placement", "decision", "move", "job", string(run.ID), "team", run.Spec.Team, "to", target,
		"reason", "nothing of it could start here, and the other partition has room")
}
