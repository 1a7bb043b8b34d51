package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/control/intake"
	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
	"sequoiastall/internal/wait"
)

const (
	// submitTimeout is how long a node tries to write a job's record before it refuses the job.
	submitTimeout = 1200 * time.Millisecond
	// maxWaitingCountAge is the maximum age of the numbers of waiting jobs that callers are given.
	maxWaitingCountAge = 1500 * time.Millisecond
)

// Config implements port.JobService.
func (n *Node) Config() *cell.Config {
	if c := n.config.Load(); c != nil {
		return c.Config
	}
	return nil
}

// Ready implements port.JobService.
func (n *Node) Ready() bool {
	if n.stopping.Load() || n.config.Load() == nil {
		return false
	}
	m := n.membership.Load()
	return n.storeAge() < maxReadyAge || m != nil && time.Since(m.lastContact) < maxReadyAge
}

// Stopping implements port.JobService.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Submit implements port.JobService. A job is accepted once its record is durable.
func (n *Node) Submit(ctx context.Context, j cell.Job) error {
	record, err := cell.EncodeJob(j)
	if err != nil {
		return errors.Wrap(port.ErrNotAccepted, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	began := time.Now()
	revision, err := n.intake.Accept(ctx, intake.Submission{ID: j.ID, Team: j.Team, Record: record})
	recordSince(n.metrics.submitTime, began)
	n.metrics.submitted(err)
	outcome := "accepted"
	if err != nil {
		outcome = "refused"
	}
	attrs := []any{"subject", string(j.ID), "decision", outcome, "queue", j.Queue, "team", j.Team, "config", n.Config().Version,
		"took_ms", time.Since(began).Milliseconds()}
	if err != nil {
		attrs = append(attrs, "reason", err.Error(), "store_age_ms", n.storeAge().Milliseconds())
	}
	n.options.Log.Info("decision", attrs...)
	if err == nil && revision != 0 {
		n.notifyScheduler(ctx, &cellpb.MemberMessage{AcceptedJob: record, Revision: revision})
	}
	return err
}

// notifyScheduler sends a message about a job to the scheduling node. If the message is lost, the scheduling node finds
// the change in the store.
func (n *Node) notifyScheduler(ctx context.Context, m *cellpb.MemberMessage) {
	if s := n.activeTerm.Load(); s != nil {
		if len(m.AcceptedJob) > 0 {
			s.addAcceptedJob(m.AcceptedJob, m.Revision)
		} else {
			s.post(ctx, func() { s.core.CancelJob(cell.JobID(m.CanceledJob)) })
		}
		return
	}
	select {
	case n.outbox <- m:
	default:
		n.options.Log.Warn("news dropped", "reason", "the buffer to the scheduling node is full")
	}
}

// Cancel implements port.JobService. The cancellation is acknowledged once its record is durable.
func (n *Node) Cancel(ctx context.Context, id cell.JobID, team string) (known bool, err error) {
	for {
		known, err = n.tryCancel(ctx, id, team)
		if err == nil || errors.Is(err, intake.ErrTooManyCancels) || !wait.For(ctx, intake.RetryDelay) {
			break
		}
	}
	outcome := "canceled"
	if errors.Is(err, intake.ErrTooManyCancels) {
		return false, err // logged there, with a limit
	}
	if err != nil {
		n.options.Log.Info("decision", "subject", string(id), "decision", "cancel refused", "reason", err.Error())
		return false, err
	}
	if !known {
		outcome = "cancel of an unknown job"
	}
	n.options.Log.Info("decision", "subject", string(id), "decision", outcome, "team", team)
	return known, nil
}

func (n *Node) tryCancel(ctx context.Context, id cell.JobID, team string) (known bool, err error) {
	e, err := n.store.Get(ctx, storekey.Job(id))
	if errors.Is(err, port.ErrNotFound) {
		return n.cancelAbsent(ctx, id, team)
	}
	if err != nil {
		return false, err
	}
	j, err := cell.DecodeJob(e.Value)
	if err != nil || !hasAccess(team, j.Team) {
		return false, err
	}
	_, err = n.store.Commit(ctx, port.Txn{Conditions: []port.Expect{{Key: storekey.Job(id), Revision: e.Revision}},
		Puts: []port.Put{{Key: storekey.Cancel(id), Value: []byte("{}")}}})
	var conflict *port.TxnConflictError
	if errors.As(err, &conflict) {
		return true, nil // the job has ended in the meantime
	}
	if err != nil {
		return false, err
	}
	n.notifyScheduler(ctx, &cellpb.MemberMessage{CanceledJob: string(id)})
	return true, nil
}

// cancelAbsent cancels a job that isn't accepted: it has ended, or it is unknown. Its submission may still be under way then,
// in a node that stands still or in the store, and must not be accepted after the cancellation was acknowledged.
func (n *Node) cancelAbsent(ctx context.Context, id cell.JobID, team string) (known bool, err error) {
	r, err := n.finalRecord(ctx, id)
	if errors.Is(err, port.ErrNotFound) {
		return false, n.intake.Forbid(ctx, id, team)
	}
	return err == nil && hasAccess(team, r.Team), err
}

// hasAccess reports whether a caller may access a job. team is empty for a caller without a key, which only open queues
// allow. owner is empty for a job that was submitted without a key.
func hasAccess(team, owner string) bool { return owner == "" || team == owner }

// finalRecord returns the final record of a job. It fails with port.ErrNotFound if there is none.
func (n *Node) finalRecord(ctx context.Context, id cell.JobID) (cell.FinalRecord, error) {
	e, err := n.store.Get(ctx, storekey.Done(id))
	if err != nil {
		return cell.FinalRecord{}, err
	}
	return cell.DecodeFinal(e.Value)
}

// finalPhase returns the phase of a job that has ended.
func (n *Node) finalPhase(ctx context.Context, id cell.JobID, team string) (cell.Phase, bool, error) {
	r, err := n.finalRecord(ctx, id)
	if errors.Is(err, port.ErrNotFound) {
		return "", false, nil
	}
	if err != nil || !hasAccess(team, r.Team) {
		return "", false, err
	}
	return r.Phase, true, nil
}

// State implements port.JobService. It asks the scheduling node, and reads the store if that node doesn't answer or
// doesn't have the job.
func (n *Node) State(ctx context.Context, id cell.JobID, team string) (cell.Phase, bool, error) {
	defer recordSince(n.metrics.stateTime, time.Now())
	if state := n.liveState(ctx, id); state.Known {
		return state.Phase, hasAccess(team, state.Team), nil
	}
	var err error
	for {
		var phase cell.Phase
		var known bool
		if phase, known, err = n.storedState(ctx, id, team); err == nil {
			if !known {
				n.options.Log.Info("decision", "subject", string(id), "decision", "unknown job", "team", team)
			}
			return phase, known, nil
		}
		if !wait.For(ctx, intake.RetryDelay) {
			return "", false, err
		}
	}
}

// liveState returns a job's state from the scheduling node. The state is empty if that node doesn't answer or doesn't
// have the job.
func (n *Node) liveState(ctx context.Context, id cell.JobID) cell.JobState {
	if s := n.activeTerm.Load(); s != nil {
		state, _ := s.state(ctx, id)
		return state
	}
	m := n.membership.Load()
	if m == nil || time.Since(m.lastContact) > heartbeatTimeout {
		return cell.JobState{}
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout+maxRecordWait)
	defer cancel()
	reply, err := n.peers.client(m.address).State(call, &cellpb.StateRequest{Job: string(id)})
	if err != nil {
		return cell.JobState{}
	}
	return cell.JobState{Known: reply.Known, Phase: cell.Phase(reply.Phase), Team: reply.Team}
}

// storedState returns a job's phase from its records. The job may end between two reads, so its final record is read
// last.
func (n *Node) storedState(ctx context.Context, id cell.JobID, team string) (cell.Phase, bool, error) {
	e, err := n.store.Get(ctx, storekey.Job(id))
	if errors.Is(err, port.ErrNotFound) {
		return n.finalPhase(ctx, id, team)
	}
	if err != nil {
		return "", false, err
	}
	j, err := cell.DecodeJob(e.Value)
	if err != nil || !hasAccess(team, j.Team) {
		return "", false, err
	}
	p, err := n.store.Get(ctx, storekey.ProgressOf(id))
	switch {
	case err == nil:
		phase, err := cell.DecodePhase(p.Value)
		return phase, err == nil, err
	case errors.Is(err, port.ErrNotFound):
		if phase, known, err := n.finalPhase(ctx, id, team); err != nil || known {
			return phase, known, err
		}
		return cell.Pending, true, nil
	}
	return "", false, err
}

// Waiting implements port.JobService.
func (n *Node) Waiting(ctx context.Context, queue string) (int64, error) {
	for {
		if m := n.membership.Load(); m != nil && time.Since(m.waitingCountedAt) < maxWaitingCountAge {
			return m.waiting[queue], nil
		}
		if !wait.For(ctx, intake.RetryDelay) {
			return 0, errors.Wrap(port.ErrUnavailable, "no node schedules")
		}
	}
}
