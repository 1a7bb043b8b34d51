package node

import (
	"context"
	"encoding/json"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

// Submit stores a job before acknowledging it. The key in the store is derived from the team and the caller's
// idempotency key, so that of several submissions, at any nodes, one creates the job and the others find it.
func (n *Node) Submit(ctx context.Context, team, key string, spec job.Spec) (job.Status, error) {
	config := n.currentConfig()
	if config == nil {
		return job.Status{}, errors.Wrap(gateway.ErrNotAccepted, "no configuration is in force")
	}
	spec, err := admit(config, spec)
	if err != nil {
		return job.Status{}, err
	}
	record := job.Record{ID: job.NewID(team, key), Key: key, Spec: spec, Partition: n.choosePartition(config, spec),
		SubmittedMS: n.ports.Clock.Now().UnixMilli(), Phase: job.Pending, Writer: n.nextWriterID()}
	if record.Partition == "" {
		return job.Status{}, errors.Wrap(gateway.ErrNotAccepted, "no partition is known")
	}
	record = n.divide(record)
	stored, found, err := n.findIfStoreFailing(ctx, record.ID)
	if err == nil && !found {
		stored, err = n.createJob(ctx, record)
	}
	if err != nil {
		return job.Status{}, err
	}
	if stored.Key != key || stored.Spec.Team != team || !reflect.DeepEqual(stored.Spec, spec) {
		return job.Status{}, gateway.ErrConflict
	}
	n.log.Info("job", "action", "accepted", "job", string(stored.ID), "team", team, "queue", spec.Queue,
		"partitions", stored.Partitions(), "tasks", spec.Tasks, "repeated", stored.Writer != record.Writer)
	return job.Status{Record: stored, Phase: stored.Phase, Pending: stored.Spec.Tasks}, nil
}

// findIfStoreFailing reads the job before it is written if the last store call had no answer. If a write isn't
// answered, it is unknown whether the job exists. If a read isn't answered, the job definitely wasn't accepted by this
// call.
func (n *Node) findIfStoreFailing(ctx context.Context, id job.ID) (job.Record, bool, error) {
	if !n.storeFailing.Load() {
		return job.Record{}, false, nil
	}
	entry, err := n.readJob(ctx, id)
	switch {
	case err == nil:
		return entry.record, true, nil
	case errors.Is(err, gateway.ErrNotFound):
		return job.Record{}, false, nil
	}
	return job.Record{}, false, errors.Wrap(gateway.ErrNotAccepted, "the store doesn't answer")
}

// createJob writes the record if there is none. After an unknown outcome it repeats the write, which can succeed at
// most once, until the context is done.
func (n *Node) createJob(ctx context.Context, r job.Record) (job.Record, error) {
	uncertain := false
	for {
		revision, stored, err := put(ctx, n, port.Write{Key: port.JobPrefix + string(r.ID), Condition: port.IfAbsent}, r)
		switch {
		case err == nil:
			n.state.putJob(r, revision)
			n.notifyOwners(port.JobPrefix + string(r.ID))
			return r, nil
		case stored != nil:
			return stored.record, nil
		case errors.Is(err, port.ErrUnavailable) && !uncertain:
			return job.Record{}, errors.Wrap(gateway.ErrNotAccepted, "the store doesn't answer")
		}
		uncertain = true
		if !wait.For(ctx, syncRetry) {
			return job.Record{}, errors.Wrap(port.ErrUnknownOutcome, "the store hasn't confirmed the job")
		}
	}
}

// admit completes a job specification from its queue, and rejects a job that can never run under the configuration.
func admit(config *configuration.Active, spec job.Spec) (job.Spec, error) {
	q, found := config.Index.Queue(spec.Queue)
	switch {
	case !found:
		return spec, errors.Wrapf(gateway.ErrInvalid, "unknown queue %q", spec.Queue)
	case string(q.Class) != string(spec.Class):
		return spec, errors.Wrapf(gateway.ErrInvalid, "queue %s takes class %s, not %s", q.Name, q.Class, spec.Class)
	case spec.Tasks > q.TaskLimit():
		return spec, errors.Wrapf(gateway.ErrInvalid, "queue %s takes at most %d tasks in a job", q.Name, q.TaskLimit())
	}
	if _, known := config.Index.Team(spec.Team); !known {
		return spec, errors.Wrapf(gateway.ErrInvalid, "unknown team %q", spec.Team)
	}
	if _, known := config.Index.Pool(spec.Pool); !known && spec.Pool != "" {
		return spec, errors.Wrapf(gateway.ErrInvalid, "unknown pool %q", spec.Pool)
	}
	spec.Pool = partition.PoolLabel(config.Index, spec.Pool)
	spec.Urgent = q.Priority == object.Urgent
	spec.Resources.Slots = max(1, spec.Resources.Slots)
	spec.FirstIndex = 0
	if len(spec.Payload) == 0 {
		spec.Payload = nil // as decoded from the store, so that a repeated submission compares equal
	}
	limit, limited := limitOf(config, spec.Team)
	need := spec.Resources
	if spec.Class == job.Gang {
		need = need.Scale(int64(spec.Tasks))
	}
	if limited && !need.Fits(limit) {
		return spec, errors.Wrapf(gateway.ErrInvalid, "it needs more at once than the limit of team %s", spec.Team)
	}
	return spec, nil
}

// choosePartition returns the partition for a new job.
func (n *Node) choosePartition(config *configuration.Active, spec job.Spec) string {
	if best := partition.ChoosePartition(n.addNoise(n.demandSummaries()), spec); best != "" {
		return best
	}
	if partitions := n.partitionsOf(config); len(partitions) > 0 {
		return string(partitions[0])
	}
	return ""
}

// Status returns a job's status from its final record, from the owners of its partitions, or else from the cached
// record.
func (n *Node) Status(ctx context.Context, id job.ID) (job.Status, error) {
	entry, found := n.state.job(id)
	if !found {
		record, err := n.readJob(ctx, id)
		if err != nil {
			return job.Status{}, err
		}
		entry = record
	}
	r := entry.record
	if r.Phase.Final() {
		return job.Status{Record: r, Phase: r.Phase}, nil
	}
	var runs []job.Status
	for _, run := range r.PartRecords() {
		runs = append(runs, n.statusOfRun(ctx, run))
	}
	return combineStatuses(r, runs), nil
}

func (n *Node) readJob(ctx context.Context, id job.ID) (jobEntry, error) {
	call, cancel := context.WithTimeout(ctx, n.options.Timing.StoreTimeout)
	defer cancel()
	e, err := n.ports.Store.Get(call, port.JobPrefix+string(id))
	n.recordStoreResult(err)
	if errors.Is(err, port.ErrNotFound) {
		return jobEntry{}, gateway.ErrNotFound
	}
	if err != nil {
		return jobEntry{}, err
	}
	var r job.Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return jobEntry{}, errors.Wrap(err, "job record")
	}
	n.state.putJob(r, e.Revision)
	return jobEntry{r, e.Revision}, nil
}

// Cancel writes the cancel request into the job's record, which the state watch delivers to the owners of its
// partitions.
func (n *Node) Cancel(ctx context.Context, id job.ID) (job.Status, error) {
	entry, err := n.updateJob(ctx, id, func(r job.Record) (job.Record, bool) {
		if r.Phase.Final() || r.CancelRequested {
			return r, false
		}
		r.CancelRequested = true
		return r, true
	})
	if err != nil {
		return job.Status{}, err
	}
	n.log.Info("job", "action", "cancel", "job", string(id))
	return job.Status{Record: entry.record, Phase: entry.record.Phase}, nil
}

// finishJob writes the final record of a job. The owner calls it again until the record appears in the store.
func (n *Node) finishJob(ctx context.Context, final job.Record) {
	_, err := n.replaceRun(ctx, final, final.Partition)
	if err != nil {
		n.log.Warn("final record not written yet", "job", string(final.ID), "error", err)
		return
	}
	n.log.Info("job", "action", "ended", "job", string(final.ID), "phase", string(final.Phase), "succeeded", final.Succeeded,
		"unknown", final.Unknown, "reason", final.Reason)
	n.metrics.JobEnded(string(final.Phase))
}

// updateJob changes a record by compare-and-swap. change returns false if nothing has to be written. After an unknown
// outcome it writes again: either the second write succeeds, or its conflict shows the record as the first one left it.
func (n *Node) updateJob(ctx context.Context, id job.ID, change func(job.Record) (job.Record, bool)) (jobEntry, error) {
	entry, found := n.state.job(id)
	if !found {
		var err error
		if entry, err = n.readJob(ctx, id); err != nil {
			return jobEntry{}, err
		}
	}
	uncertain := false
	for tries := 0; tries < maxConflicts; tries++ {
		next, write := change(entry.record)
		if !write {
			return entry, nil
		}
		next.Writer = n.nextWriterID()
		revision, current, err := n.putJob(ctx, next, entry.revision)
		switch {
		case err == nil:
			n.state.putJob(next, revision)
			n.notifyOwners(port.JobPrefix + string(id))
			return jobEntry{next, revision}, nil
		case current != nil:
			entry = *current
			n.state.putJob(entry.record, entry.revision)
		case errors.Is(err, port.ErrUnavailable) && !uncertain:
			return jobEntry{}, errors.Wrap(gateway.ErrNotAccepted, "the store doesn't answer")
		default:
			uncertain = uncertain || errors.Is(err, port.ErrUnknownOutcome)
			if !uncertain || !wait.For(ctx, syncRetry) {
				return jobEntry{}, err
			}
		}
	}
	return jobEntry{}, errors.Wrapf(port.ErrUnknownOutcome, "job %s: not confirmed in %d tries", id, maxConflicts)
}

func (n *Node) putJob(ctx context.Context, r job.Record, revision int64) (int64, *jobEntry, error) {
	written, current, err := put(ctx, n,
		port.Write{Key: port.JobPrefix + string(r.ID), Condition: port.IfRevision, Revision: revision}, r)
	var conflict *port.ConflictError
	if errors.As(err, &conflict) && current == nil {
		return 0, nil, gateway.ErrNotFound
	}
	return written, current, err
}

// deleteExpiredJobs deletes final records that are older than JobRetention, a few per call, for one partition of this
// node.
func (n *Node) deleteExpiredJobs(ctx context.Context, partition string) {
	const maxDeletions = 20
	cutoff := n.ports.Clock.Now().Add(-n.options.Timing.JobRetention)
	deleted := 0
	for _, r := range n.state.allJobs() {
		if r.Partitions()[0] != partition || !r.Phase.Final() || time.UnixMilli(r.EndedMS).After(cutoff) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, n.options.Timing.StoreTimeout)
		err := n.ports.Store.Delete(call, port.JobPrefix+string(r.ID), 0)
		cancel()
		if deleted++; err != nil || deleted >= maxDeletions {
			return
		}
	}
}
