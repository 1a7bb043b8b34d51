package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// In a large cell, the scheduling node leaves the reading of the store to a member, the delegate. What the store returns
// is many times larger than what has changed: workers write their entries again and again, and the scheduling node has
// nearly all accepted jobs already.

const (
	// minSpreadMembers is the number of members from which the scheduling node leaves reads of the store and calls to
	// workers to them.
	minSpreadMembers = 16
	// keepSpreadMembers is the number of members down to which it goes on to do so. A large cell that has lost many nodes
	// must not move all calls to the scheduling node's link at that moment.
	keepSpreadMembers = 4
	// delegateTimeout bounds a call to the delegate. The store may hold a read of changes for a second when it discards its
	// history.
	delegateTimeout = 1500 * time.Millisecond
	// delegateAttempts is the number of delegates that are asked before the scheduling node reads the store itself.
	delegateAttempts = 2
	// delegateHedgeDelay is how long a delegate may take to answer which jobs were accepted and canceled before the next one is
	// asked too. The delegate may be frozen, and a cancellation must reach the scheduler within 3 s.
	delegateHedgeDelay = 500 * time.Millisecond
)

// spreading decides whether a cell is large enough to spread the scheduling node's work over the members.
type spreading struct{ active bool }

// update returns the decision for the current number of members.
func (s *spreading) update(members int) bool {
	s.active = members >= minSpreadMembers || s.active && members >= keepSpreadMembers
	return s.active
}

// delegate returns the address of the member that reads the store for the scheduling node, or "" if there is none. It
// stays the same as long as its calls succeed.
func (m *members) delegate() string { return m.delegateAfter(0) }

// delegateAfter returns the address of the delegate after the given number of further failures.
func (m *members) delegateAfter(failures int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.spreading.update(len(m.list)) {
		return ""
	}
	// The first members may have to take over. The eligible ones come first.
	for i := len(m.list) / 2; i > 0; i-- {
		if x := m.list[(i+m.delegateFailures+failures)%len(m.list)]; !x.ineligible() {
			return x.address
		}
	}
	return ""
}

func (m *members) delegateFailed(address string, err error) {
	m.mu.Lock()
	m.delegateFailures++
	m.mu.Unlock()
	m.s.node.options.Log.Warn("dependency lost", "dependency", "delegate", "address", address, "error", err.Error())
}

// askDelegate calls the delegate, or the next one if that fails. ok is false if none has answered, so that the scheduling
// node has to read the store itself.
func askDelegate[T any](s *activeTerm, call func(context.Context, cellpb.CellClient) (T, error)) (reply T, ok bool) {
	for range delegateAttempts {
		address := s.members.delegate()
		if address == "" {
			break
		}
		ctx, cancel := context.WithTimeout(s.ctx, delegateTimeout)
		reply, err := call(ctx, s.node.peers.client(address))
		cancel()
		if err == nil {
			return reply, true
		}
		s.members.delegateFailed(address, err)
	}
	return reply, false
}

// workersSince returns what has changed in the registry after a revision, from the delegate or from the store itself.
func (s *activeTerm) workersSince(revision int64) (workerChanges, error) {
	if revision >= 0 {
		if reply, ok := askDelegate(s, func(ctx context.Context, c cellpb.CellClient) (*cellpb.WorkersReply, error) {
			return c.Workers(ctx, &cellpb.WorkersRequest{After: revision})
		}); ok {
			return workerChangesFrom(reply), nil
		}
	}
	c, err := s.node.registry.since(s.ctx, revision)
	if err == nil {
		s.node.storeAnswered()
	}
	return c, err
}

// Workers implements cellpb.CellServer.
func (p *peerServer) Workers(ctx context.Context, r *cellpb.WorkersRequest) (*cellpb.WorkersReply, error) {
	c, err := p.node.registry.since(ctx, r.After)
	if err != nil {
		return nil, err
	}
	return workersReply(c), nil
}

func workersReply(c workerChanges) *cellpb.WorkersReply {
	reply := &cellpb.WorkersReply{Revision: c.revision, Full: c.full}
	for _, w := range c.reports {
		reply.Reports = append(reply.Reports, &cellpb.WorkerReport{Id: string(w.ID), Address: w.Address, Service: w.Service, Zone: w.Zone,
			Rack: w.Rack, Labels: w.Labels, MilliCpu: w.Capacity.MilliCPU, MemoryMb: w.Capacity.MemoryMB,
			Accelerators: w.Capacity.Accelerators, Draining: w.Draining, StartMs: w.StartMS})
	}
	for _, id := range c.removed {
		reply.Removed = append(reply.Removed, string(id))
	}
	return reply
}

func workerChangesFrom(reply *cellpb.WorkersReply) workerChanges {
	c := workerChanges{full: reply.Full, revision: reply.Revision}
	for _, r := range reply.Reports {
		w := cell.WorkerReport{ID: cell.WorkerID(r.Id), Address: r.Address, Service: r.Service, Zone: r.Zone, Rack: r.Rack, Labels: r.Labels,
			Draining: r.Draining, StartMS: r.StartMs}
		w.Capacity.MilliCPU, w.Capacity.MemoryMB, w.Capacity.Accelerators = r.MilliCpu, r.MemoryMb, r.Accelerators
		c.reports = append(c.reports, w)
	}
	for _, id := range reply.Removed {
		c.removed = append(c.removed, cell.WorkerID(id))
	}
	return c
}

// Jobs implements cellpb.CellServer.
func (p *peerServer) Jobs(ctx context.Context, r *cellpb.JobsRequest) (*cellpb.JobsReply, error) {
	events, revision, err := p.node.options.Store.Changes(ctx, storekey.In, r.After, 0)
	if errors.Is(err, port.ErrCompacted) {
		return &cellpb.JobsReply{Compacted: true}, nil
	}
	if err != nil {
		return nil, err
	}
	reply := &cellpb.JobsReply{Revision: revision}
	for _, e := range events {
		if e.Deleted {
			continue
		}
		if id, ok := storekey.ID(e.Entry.Key, storekey.Jobs); ok {
			reply.Accepted = append(reply.Accepted, string(id))
		} else if id, ok := storekey.ID(e.Entry.Key, storekey.Cancels); ok {
			reply.Canceled = append(reply.Canceled, string(id))
		}
	}
	return reply, nil
}

// jobChanges returns the records of accepted and canceled jobs that were written after a revision, except for jobs that
// the scheduler knows. It fails with port.ErrCompacted if the store no longer has changes that old.
func (s *activeTerm) jobChanges(after int64) ([]port.Entry, int64, error) {
	reply, ok := s.askJobs(after)
	switch {
	case !ok:
		return s.readJobChanges(after)
	case reply.Compacted:
		return nil, after, port.ErrCompacted
	}
	return s.resolveJobs(reply, after)
}

// jobsAnswer is an answer to the question which jobs were accepted and canceled.
type jobsAnswer struct {
	*cellpb.JobsReply
	second bool // it is the next delegate's
}

// errDelegateSlow means that the next delegate has answered before the current one.
var errDelegateSlow = errors.New("the next delegate has answered first")

// askJobs asks the delegate which jobs were accepted and canceled, and the next one too if there is no answer after
// delegateHedgeDelay. ok is false if neither has answered within delegateTimeout.
func (s *activeTerm) askJobs(after int64) (reply *cellpb.JobsReply, ok bool) {
	delegate, next := s.members.delegate(), s.members.delegateAfter(1)
	if delegate == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(s.ctx, delegateTimeout)
	defer cancel()
	allow := func() bool { return next != "" && next != delegate }
	answer, err := hedge(s.spawn, delegateHedgeDelay, allow, func(second bool) (jobsAnswer, error) {
		address := delegate
		if second {
			address = next
		}
		reply, err := s.node.peers.client(address).Jobs(ctx, &cellpb.JobsRequest{After: after})
		return jobsAnswer{reply, second}, err
	})
	switch {
	case err != nil:
		s.members.delegateFailed(delegate, err)
	case answer.second:
		s.members.delegateFailed(delegate, errDelegateSlow)
	}
	return answer.JobsReply, err == nil
}

// readJobChanges reads the records of accepted and canceled jobs that were written after a revision from the store.
func (s *activeTerm) readJobChanges(after int64) ([]port.Entry, int64, error) {
	events, at, err := s.node.options.Store.Changes(s.ctx, storekey.In, after, 0)
	if err != nil {
		return nil, after, err
	}
	var entries []port.Entry
	for _, e := range events {
		if !e.Deleted {
			entries = append(entries, e.Entry)
		}
	}
	return entries, at, nil
}

// maxJobsFetched is the number of unknown jobs up to which their records are read one by one. After a takeover there may
// be hundreds, because the accepting nodes' messages were lost.
const maxJobsFetched = 4

// resolveJobs applies cancellations of known jobs, and reads the records of the accepted jobs that the scheduler doesn't
// know. If one can't be read, the changes have to be read again.
func (s *activeTerm) resolveJobs(reply *cellpb.JobsReply, after int64) ([]port.Entry, int64, error) {
	var unknown []cell.JobID
	if !s.query(s.ctx, func() {
		for _, id := range reply.Canceled {
			s.core.CancelJob(cell.JobID(id))
		}
		for _, id := range reply.Accepted {
			if !s.core.Knows(cell.JobID(id)) {
				unknown = append(unknown, cell.JobID(id))
			}
		}
	}) {
		return nil, after, s.ctx.Err()
	}
	if len(unknown) > maxJobsFetched {
		return s.readJobChanges(after)
	}
	var entries []port.Entry
	for _, id := range unknown {
		e, err := s.node.options.Store.Get(s.ctx, storekey.Job(id))
		switch {
		case errors.Is(err, port.ErrNotFound): // the job has ended
		case err != nil:
			return nil, after, err
		default:
			entries = append(entries, e)
		}
	}
	for _, id := range reply.Canceled {
		entries = append(entries, port.Entry{Key: storekey.Cancel(cell.JobID(id))})
	}
	return entries, reply.Revision, nil
}
