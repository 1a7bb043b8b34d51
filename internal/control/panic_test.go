package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// Guards against an error of the program in one event that ends the process: only the term ends, and its state is built
// anew by the next one.
func TestPanicInSchedulerEndsOnlyTheTerm(t *testing.T) {
	n, _, _ := newIsolatedNode()
	renewing := make(chan struct{})
	workers := &blockedWorkers{renewing: renewing, released: make(chan struct{})}
	close(workers.released)
	n.options.Store, n.options.Workers, n.registry.source = &holdingStore{}, workers, oneWorker{}
	ended := make(chan error, 1)
	go func() { ended <- n.schedule(t.Context(), &term{number: 1}, time.Now()) }()
	waitUntil(t, func() bool { s := n.activeTerm.Load(); return s != nil && s.loaded.Load() })
	s := n.activeTerm.Load()
	s.post(t.Context(), func() { panic("unexpected") })
	assert.ErrorIs(t, <-ended, errPanic)
	assert.Assert(t, !s.query(t.Context(), func() {}), "callers don't wait for the ended term")
	n.endedTerms.Wait()
}

// holdingStore is an empty store that grants every renewal of the term.
type holdingStore struct{ endingStore }

func (*holdingStore) KeepAlive(context.Context, port.LeaseID) error { return nil }

// Guards against a job whose record makes the scheduler panic and that way ends each term after the other.
func TestJobThatPanicsIsSetAside(t *testing.T) {
	n, _, _ := newIsolatedNode()
	s := &activeTerm{node: n, term: &term{number: 1}}
	s.committer = newCommitter(s)
	// Without a scheduler, adding any job panics.
	record, err := cell.EncodeJob(cell.Job{ID: "a", Steps: []cell.Step{{Count: 1}}})
	assert.NilError(t, err)
	s.addJob(port.Entry{Key: storekey.Job("a"), Value: record, Revision: 1}, nil)
}

// panickingWorkers panics in every renewal.
type panickingWorkers struct{ recordingWorkers }

func (*panickingWorkers) Renew(context.Context, port.WorkerRef, port.Renewal) (port.RenewalReply, error) {
	panic("unexpected")
}

// Guards against one worker's answer that ends a carrier, and against a scheduling node that takes a call with unknown
// effect for one that wasn't made.
func TestPanicInOneCarriedCallLeavesTheOthers(t *testing.T) {
	_, member, s, stop := newCarryingPair(t)
	defer stop()
	member.options.Workers = &panickingWorkers{}
	waitUntil(t, func() bool { return s.carriers.count() == 1 })
	x := s.carriers.list[0]
	renew := &cellpb.CarriedCall{Worker: "w", Call: &cellpb.CarriedCall_Renew{Renew: &cellpb.CarriedRenewal{}}}
	reply, err := s.carriers.exchange(t.Context(), x, renew, time.Minute)
	assert.NilError(t, err)
	assert.ErrorIs(t, errorOf(reply), port.ErrUnknownOutcome)
	start := &cellpb.CarriedCall{Worker: "w", Call: &cellpb.CarriedCall_Start{Start: &cellpb.CarriedStart{Run: &cellpb.CarriedRun{Job: "a"}}}}
	reply, err = s.carriers.exchange(t.Context(), x, start, time.Minute)
	assert.NilError(t, err)
	assert.NilError(t, errorOf(reply))
}
