package control

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// recordingWorkers answers every call and counts them.
type recordingWorkers struct {
	port.LeasedWorkers
	renewals, starts atomic.Int64
	last             atomic.Pointer[port.Renewal]
	err              error
}

func (r *recordingWorkers) Renew(_ context.Context, w port.WorkerRef, renewal port.Renewal) (port.RenewalReply, error) {
	r.renewals.Add(1)
	r.last.Store(&renewal)
	return port.RenewalReply{ClockMS: 7, Inventory: cell.Inventory{Worker: w.ID, StartMS: 3}}, r.err
}

func (r *recordingWorkers) Start(context.Context, port.WorkerRef, port.Start) (int64, error) {
	r.starts.Add(1)
	return 7, r.err
}

// newTestCarriers returns n carriers in four zones that answer every call as DONE.
func newTestCarriers(t *testing.T, n int) (*carriers, *recordingWorkers, []func()) {
	direct := &recordingWorkers{}
	c := newCarriers(direct, spreading{})
	var leave []func()
	for i := range n {
		x, left := c.join(fmt.Sprint("node-", i), fmt.Sprint("zone-", i%4))
		leave = append(leave, left)
		go x.answer(t.Context())
	}
	return c, direct, leave
}

// answer replies to all calls, except to those of a worker named "lost".
func (x *carrier) answer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-x.out:
			if call.Worker == "lost" {
				continue
			}
			x.mu.Lock()
			if waiting := x.pending[call.Id]; waiting != nil {
				waiting <- &cellpb.CarriedReply{Id: call.Id, Outcome: cellpb.CarriedReply_DONE, ClockMs: 5, Inventory: &cellpb.CarriedInventory{StartMs: 1}}
			}
			x.mu.Unlock()
		}
	}
}

func refs(n int) []port.WorkerRef {
	var list []port.WorkerRef
	for i := range n {
		list = append(list, port.WorkerRef{ID: cell.WorkerID(fmt.Sprint("i-", i)), Address: "a", Zone: fmt.Sprint("zone-", i%4)})
	}
	return list
}

// Guards against a scheduling node that makes most calls itself, against carriers in other zones, and against a carrier
// that leaves and moves more than its own workers.
func TestWorkersAreSpreadOverCarriersOfTheirZone(t *testing.T) {
	c, _, leave := newTestCarriers(t, 24)
	workers := refs(480)
	before, share := map[cell.WorkerID]string{}, map[string]int{}
	for _, w := range workers {
		x := c.choose(w, false)
		assert.Assert(t, x != nil)
		assert.Equal(t, x.zone, w.Zone)
		before[w.ID] = x.name
		share[x.name]++
	}
	for name, n := range share {
		assert.Assert(t, n < 3*480/24, "%s has %d workers", name, n)
	}
	leave[0]()
	for _, w := range workers {
		if x := c.choose(w, false); before[w.ID] != "node-0" {
			assert.Equal(t, x.name, before[w.ID])
		} else {
			assert.Equal(t, x.zone, w.Zone)
		}
	}
}

// Guards against spreading the calls of a small cell, where it only adds a hop.
func TestSmallCellCallsDirectly(t *testing.T) {
	c, direct, _ := newTestCarriers(t, minSpreadMembers-1)
	_, err := c.Renew(t.Context(), refs(1)[0], port.Renewal{}, false)
	assert.NilError(t, err)
	assert.Equal(t, direct.renewals.Load(), int64(1))
}

// Guards against moving all calls to the scheduling node's own link at the moment at which a large cell has lost many
// nodes.
func TestLargeCellStaysSpreadWithoutManyNodes(t *testing.T) {
	c, _, leave := newTestCarriers(t, minSpreadMembers)
	assert.Assert(t, c.choose(refs(1)[0], false) != nil)
	for _, left := range leave[:minSpreadMembers-keepSpreadMembers] {
		left()
	}
	assert.Assert(t, c.choose(refs(1)[0], false) != nil)
	leave[minSpreadMembers-1]()
	assert.Assert(t, c.choose(refs(1)[0], false) == nil)
}

// Guards against a lease that isn't renewed, one on the clock of the worker's earlier instance, or a start that is taken for
// not sent, because the carrier was lost.
func TestLostCarrierLosesNoLease(t *testing.T) {
	c, direct, _ := newTestCarriers(t, 24)
	lost := port.WorkerRef{ID: "lost", Address: "a", Zone: "zone-1"}
	began := time.Now()
	reply, err := c.Renew(t.Context(), lost, port.Renewal{Token: 1, LeaseEndMS: 5, Ack: 3}, false)
	assert.NilError(t, err)
	assert.Equal(t, reply.ClockMS, int64(7), "made directly after two carriers")
	assert.Equal(t, direct.renewals.Load(), int64(1))
	assert.Equal(t, direct.last.Load().LeaseEndMS, int64(0), "the worker may have restarted by then, and its clock starts anew")
	assert.Assert(t, time.Since(began) < 3*time.Second)
	c.paths["lost"] = 0
	_, err = c.Start(t.Context(), lost, port.Start{}, false)
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	assert.Assert(t, !errors.Is(err, port.ErrUnavailable))
	assert.Equal(t, direct.starts.Load(), int64(0), "the carrier may still execute the start, so the scheduler decides")
}

// Guards against a lease that is taken for expired too early: the carrier that was lost may have renewed it, although the repeated
// call was refused.
func TestRefusalAfterALostCarrierLeavesTheOutcomeUnknown(t *testing.T) {
	for _, refusal := range []error{port.ErrConnectionRefused, port.ErrUnavailable} {
		c, direct, _ := newTestCarriers(t, 24)
		direct.err = refusal
		lost := port.WorkerRef{ID: "lost", Address: "a", Zone: "zone-1"}
		_, err := c.Renew(t.Context(), lost, port.Renewal{Token: 1, LeaseEndMS: 5}, false)
		assert.ErrorIs(t, err, port.ErrUnknownOutcome)
		assert.Assert(t, !errors.Is(err, refusal))
		assert.Equal(t, direct.renewals.Load(), int64(1))
	}
}

// Guards against moving the calls to the scheduling node's own link when that link is what makes the carriers' replies
// late, and against workers that stay on direct calls after a short disruption.
func TestSlowOwnLinkDoesNotMoveCallsToIt(t *testing.T) {
	c, _, _ := newTestCarriers(t, 24)
	w := refs(1)[0]
	for _, x := range c.list {
		c.suspend(x)
	}
	assert.Assert(t, c.choose(w, false) != nil)
	c.reroute(w)
	c.reroute(w)
	assert.Assert(t, c.choose(w, false) == nil)
	_, err := c.Start(t.Context(), w, port.Start{}, false)
	assert.NilError(t, err)
	assert.Assert(t, c.choose(w, false) != nil)
}

// Guards against calls that wait for a carrier whose stream has ended.
func TestCallsOfAGoneCarrierEndAtOnce(t *testing.T) {
	c, _, _ := newTestCarriers(t, 24)
	lost := port.WorkerRef{ID: "lost", Address: "a", Zone: "zone-2"}
	x := c.choose(lost, false)
	time.AfterFunc(20*time.Millisecond, func() { c.memberLost(x.name) })
	began := time.Now()
	_, err := c.Start(t.Context(), lost, port.Start{}, false)
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	assert.Assert(t, time.Since(began) < orderDuration)
}

// Guards against a call that is made again on the path on which the first has no answer.
func TestSecondCallTakesAnotherPath(t *testing.T) {
	c, _, _ := newTestCarriers(t, 24)
	for _, w := range refs(40) {
		assert.Assert(t, c.choose(w, true) != c.choose(w, false))
	}
}

// Guards against outcomes that change their meaning on the way: a start that wasn't executed must not become one that
// may have been, nor the other way round.
func TestOutcomesSurviveTheWire(t *testing.T) {
	for _, err := range []error{port.ErrUnknownOutcome, port.ErrUnavailable, port.ErrConnectionRefused, port.ErrFenced, port.ErrStaleRun, port.ErrRefused,
		port.ErrNoTicket, port.ErrInstanceChanged, port.ErrMalformed} {
		got := errorOf(replyOf(1, errors.Wrap(err, "detail")))
		for _, other := range outcomes {
			assert.Equal(t, errors.Is(got, other.err), errors.Is(err, other.err), "%v as %v", err, other.err)
		}
	}
	assert.NilError(t, errorOf(replyOf(1, nil)))
	assert.ErrorIs(t, errorOf(replyOf(1, errors.New("other"))), port.ErrUnknownOutcome)
	assert.ErrorIs(t, errorOf(&cellpb.CarriedReply{Outcome: 99}), port.ErrUnknownOutcome)
}

// Guards against a carrier that was paused and then executes the calls that lay in its buffers, and against one that
// refuses all calls after a step of a clock.
func TestCallsThatWaitedInAPausedCarrierAreRefused(t *testing.T) {
	var f delayFilter
	const offset = 400 // difference of the clocks
	for i := range int64(10) {
		assert.Assert(t, !f.late(1000+i, 1000+i+offset+i%3))
	}
	assert.Assert(t, f.late(2000, 2000+offset+4000), "the carrier was paused for 4 s")
	assert.Assert(t, f.late(2100, 2000+offset+4000))
	assert.Assert(t, !f.late(6000, 6000+offset))
	refused := 0
	for i := range int64(100) {
		if f.late(7000+i, 7000+i+offset+2400) {
			refused++
		}
	}
	assert.Assert(t, refused > 0 && refused < 20, "%d calls were refused after a step of 2.4 s", refused)
}

// Guards against an order that is executed seconds after its outcome was taken for unknown: it had waited in the queue to a carrier
// whose stream accepted nothing, and its message was stamped only when it was sent.
func TestQueuedCallThatWasGivenUpIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCarriers(&recordingWorkers{}, spreading{})
		x, _ := c.join("node-0", "zone-0")
		givenUp := &cellpb.CarriedCall{Worker: "w", Call: &cellpb.CarriedCall_Start{Start: &cellpb.CarriedStart{}}}
		_, err := c.exchange(t.Context(), x, givenUp, orderDuration)
		assert.ErrorIs(t, err, port.ErrUnknownOutcome)
		fresh := &cellpb.CarriedCall{Worker: "w", Call: &cellpb.CarriedCall_Start{Start: &cellpb.CarriedStart{}}}
		go func() { _, _ = c.exchange(t.Context(), x, fresh, orderDuration) }() // nobody answers
		synctest.Wait()
		calls := x.awaited(batchOf(x.out, <-x.out))
		assert.Equal(t, len(calls), 1)
		assert.Equal(t, calls[0].Id, fresh.Id)
		time.Sleep(time.Second)
	})
}

// Guards against calls and replies that get lost between the scheduling node and a real stream of a member, and against
// a member that gets calls after it has announced that it leaves.
func TestMemberCarriesCalls(t *testing.T) {
	_, member, s, stop := newCarryingPair(t)
	defer stop()
	workers := &recordingWorkers{}
	member.options.Workers = workers
	waitUntil(t, func() bool { return s.carriers.count() == 1 })
	ctx := t.Context()
	x := s.carriers.list[0]
	for range 200 {
		reply, err := s.carriers.exchange(ctx, x, &cellpb.CarriedCall{Worker: "w", Call: &cellpb.CarriedCall_Renew{Renew: &cellpb.CarriedRenewal{}}}, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, renewalReplyFrom("w", reply).Inventory.StartMS, int64(3))
	}
	assert.Equal(t, workers.renewals.Load(), int64(200))
	member.Leave()
	waitUntil(t, func() bool { return s.carriers.count() == 0 })
	_, err := s.carriers.exchange(ctx, x, &cellpb.CarriedCall{Worker: "w", Call: &cellpb.CarriedCall_Renew{Renew: &cellpb.CarriedRenewal{}}}, time.Minute)
	assert.NilError(t, err, "calls that were already on their way are answered")
}

func (c *carriers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.list)
}

// newCarryingPair returns a scheduling node with its term and a member that offers itself as a carrier.
func newCarryingPair(t *testing.T) (scheduling, member *Node, s *activeTerm, stop func()) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	scheduling, _, _ = newIsolatedNode()
	ctx, end := context.WithCancelCause(t.Context())
	s = &activeTerm{node: scheduling, term: &term{number: 1}, ctx: ctx, end: end, carriers: newCarriers(&recordingWorkers{}, spreading{})}
	scheduling.activeTerm.Store(s)
	server := grpc.NewServer(serverOptions(scheduling.options.Log)...)
	cellpb.RegisterCellServer(server, &peerServer{node: scheduling})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	member, _, _ = newIsolatedNode()
	carrying, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { member.keepCarrying(carrying, listener.Addr().String()); close(ended) }()
	return scheduling, member, s, func() {
		cancel()
		<-ended
		end(nil)
		server.Stop()
		member.peers.close()
	}
}

// Guards against a member that takes over only when the calls that it carries have ended, which may take more than a
// second: the cell would be without a scheduling node until then.
func TestTakeoverDoesNotWaitForCarriedCalls(t *testing.T) {
	m := newMemberCell(t, 0)
	s := m.s
	s.carriers = newCarriers(&recordingWorkers{}, spreading{})
	s.node.activeTerm.Store(s)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(serverOptions(s.node.options.Log)...)
	cellpb.RegisterCellServer(server, &peerServer{node: s.node})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	defer server.Stop()

	member, _, _ := newIsolatedNode()
	defer member.peers.close()
	workers := &blockedWorkers{renewing: make(chan struct{}), released: make(chan struct{})}
	member.options.Workers = workers
	attached := make(chan bool, 1)
	go func() {
		takeOver, _ := member.attach(t.Context(), &holder{Address: listener.Addr().String(), Term: s.term.number})
		attached <- takeOver
	}()
	stopHeartbeats := make(chan struct{})
	defer close(stopHeartbeats)
	go func() {
		for {
			select {
			case <-stopHeartbeats:
				return
			case <-time.After(heartbeatInterval / 4):
				m.sendHeartbeats()
			}
		}
	}()
	waitUntil(t, func() bool { return s.carriers.count() == 1 })
	go func() { // its outcome isn't known: the carrier ends
		_, _ = s.carriers.exchange(t.Context(), s.carriers.list[0], &cellpb.CarriedCall{Call: &cellpb.CarriedCall_Renew{Renew: &cellpb.CarriedRenewal{}}}, time.Minute)
	}()
	<-workers.renewing
	m.mu.Lock()
	resign := m.message()
	resign.Resign = true
	m.list[0].send(resign)
	m.mu.Unlock()
	assert.Assert(t, <-attached, "the member was asked to take over")
	close(workers.released)
	member.endedTerms.Wait()
}

// waitUntil polls a condition. The result doesn't depend on how long it takes.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition didn't become true within a minute")
		}
	}
}
