package control

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// Get implements port.TxnStore. It blocks until ctx is done.
func (s *unresponsiveStore) Get(ctx context.Context, _ string) (port.Entry, error) {
	<-ctx.Done()
	return port.Entry{}, ctx.Err()
}

// A node that the store rejects can't read the new holder from it. The node must learn of its successor from the
// successor itself, or it continues its term and keeps its members attached.
func TestTermEndsWhenSuccessorReportsLaterTerm(t *testing.T) {
	successor, _, _ := newIsolatedNode()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	cellpb.RegisterCellServer(server, &peerServer{node: successor})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	defer server.Stop()

	n, _, _ := newIsolatedNode()
	defer n.peers.close()
	n.storeFailures.Store(circuitOpenThreshold)
	ctx, end := context.WithCancelCause(t.Context())
	s := &activeTerm{node: n, term: &term{number: 4}, ctx: ctx, end: end}
	m := newMembers(s)
	m.successors = []string{listener.Addr().String()}
	assert.Assert(t, !m.successorTookOver())
	successor.membership.Store(&membership{term: 5, lastContact: time.Now()})
	m.awaitSuccessor()
	assert.ErrorIs(t, context.Cause(ctx), errTermLost)
}

// endingStore is an empty store whose lease expires once a worker's renewal is in flight.
type endingStore struct {
	port.TxnStore
	renewing chan struct{}
}

func (s *endingStore) Page(context.Context, string, string) (port.Page, error) {
	return port.Page{Revision: 1}, nil
}

func (s *endingStore) Get(context.Context, string) (port.Entry, error) { return port.Entry{}, nil }

func (s *endingStore) Changes(context.Context, string, int64, time.Duration) ([]port.WatchEvent, int64, error) {
	return nil, 1, nil
}

func (s *endingStore) KeepAlive(ctx context.Context, _ port.LeaseID) error {
	select {
	case <-s.renewing:
		return port.ErrLeaseLapsed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// blockedWorkers answers no renewal before released is closed.
type blockedWorkers struct {
	port.LeasedWorkers
	renewing, released chan struct{}
	once               sync.Once
}

func (w *blockedWorkers) Renew(context.Context, port.WorkerRef, port.Renewal) (port.RenewalReply, error) {
	w.once.Do(func() { close(w.renewing) })
	<-w.released
	return port.RenewalReply{}, port.ErrUnknownOutcome
}

// oneWorker is a registry with one worker.
type oneWorker struct{ port.ConfigSource }

func (oneWorker) Workers(context.Context) ([]cell.WorkerReport, int64, error) {
	return []cell.WorkerReport{{ID: "w", Address: "127.0.0.1:1", StartMS: 1}}, 1, nil
}

func (oneWorker) WorkerChanges(_ context.Context, after int64) ([]port.WorkerChange, int64, error) {
	return nil, after, nil
}

// A node must be able to follow the next holder before the last call of its own term has ended.
func TestTermEndsWhileCallsAreInFlight(t *testing.T) {
	renewing := make(chan struct{})
	workers := &blockedWorkers{renewing: renewing, released: make(chan struct{})}
	n, _, _ := newIsolatedNode()
	n.options.Store, n.options.Workers, n.registry.source = &endingStore{renewing: renewing}, workers, oneWorker{}
	err := n.schedule(t.Context(), &term{number: 1}, time.Now())
	assert.ErrorContains(t, err, "lapsed")
	assert.Assert(t, !n.Scheduling())
	close(workers.released)
	n.endedTerms.Wait()
}

// Guards against a takeover that waits for the timeouts of members that were lost together with the scheduling node.
func TestHalfOfTheMembersConfirmTheLoss(t *testing.T) {
	lost := hearsAnswer{reply: &cellpb.HearsReply{Term: 4, SilenceMs: 700}}
	heard := hearsAnswer{reply: &cellpb.HearsReply{Term: 4, SilenceMs: 80}}
	failed := hearsAnswer{err: errTermLost}
	for _, test := range []struct {
		answers         []hearsAnswer // the other members never answer
		asked           int
		alive, answered bool
	}{
		{[]hearsAnswer{lost, lost}, 4, false, true},
		{[]hearsAnswer{failed, lost, lost, lost, lost}, 8, false, true},
		{[]hearsAnswer{lost, heard}, 8, true, true},
		{[]hearsAnswer{failed, failed}, 2, false, false},
		{[]hearsAnswer{failed, lost, failed}, 3, false, true},
		{nil, 0, false, true},
	} {
		answers := make(chan hearsAnswer, len(test.answers))
		for _, a := range test.answers {
			answers <- a
		}
		alive, answered := evaluateAnswers(answers, test.asked, 4)
		assert.Equal(t, alive, test.alive)
		assert.Equal(t, answered, test.answered)
	}
}

// holderStore has a record of the scheduling node.
type holderStore struct {
	port.TxnStore
	revision int64
}

func (s *holderStore) Get(context.Context, string) (port.Entry, error) {
	return port.Entry{Key: storekey.Scheduler, Value: []byte(`{"v":1,"node":"b","address":"127.0.0.1:2","term":5}`), Revision: s.revision}, nil
}

// Guards against nodes far down in the succession that follow a new scheduling node only after their own turn to take over
// would have come, seconds later in a large cell.
func TestNewHolderIsFollowedBeforeTheOwnTurn(t *testing.T) {
	for _, test := range []struct {
		revision int64
		turn     bool
	}{{8, false}, {7, true}} {
		synctest.Test(t, func(t *testing.T) {
			n, _, _ := newIsolatedNode()
			n.store.TxnStore = &holderStore{revision: test.revision}
			members := make([]string, maxSuccession)
			members[maxSuccession-1] = n.options.Address
			n.membership.Store(&membership{term: 4, members: members})
			began := time.Now()
			assert.Equal(t, n.awaitCandidacy(t.Context(), &holder{revision: 7}), test.turn)
			if test.turn {
				assert.Equal(t, time.Since(began), (maxSuccession-1)*candidacyStep)
			} else {
				assert.Equal(t, time.Since(began), holderCheckInterval)
			}
		})
	}
}
