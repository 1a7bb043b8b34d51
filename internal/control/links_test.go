package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

func testNode(name string, strength float64) *Node {
	return &Node{options: Options{Name: name, Strength: strength, LeaseMax: 10 * time.Second}}
}

// Guards against tasks that wait for good on a silent worker: calls that were never sent renew nothing, so they must not
// move the moment at which its lease has lapsed.
func TestOnlyCallsThatMayHaveBeenSentMoveTheLapse(t *testing.T) {
	now := time.Now()
	l := &workerLink{s: &scheduling{node: testNode("a", 1), term: &term{number: 3}}, clock: clockSample{1000, now}, lapseAt: now}
	for _, c := range []struct {
		err   error
		moves bool
	}{{port.ErrUnavailable, false}, {port.ErrNotListening, false}, {port.ErrUnknownOutcome, true}, {nil, true}} {
		l.lapseAt = now
		_, lapse := l.renewal(0)
		assert.Equal(t, l.calls, 1)
		l.called(lapse, c.err)
		assert.Equal(t, l.calls, 0)
		assert.Equal(t, l.lapseAt.After(now), c.moves, "%v", c.err)
	}
}

// Guards against a lapse that is declared before the worker's clock, which may be slow, has reached the end of the lease.
func TestLapseAllowsForASlowClock(t *testing.T) {
	now := time.Now()
	l := &workerLink{s: &scheduling{node: testNode("a", 1), term: &term{number: 3}}, clock: clockSample{1000, now}}
	due, lapse := l.due(now)
	assert.Equal(t, due, 1000+workerLease.Milliseconds())
	slow := time.Duration(float64(lapse.Sub(now)) * (1 - clockDrift))
	assert.Assert(t, slow > workerLease)
}

// Guards against ends that a restarted worker forgets unseen: it counts them from 1 again, below what its earlier life was
// told to forget.
func TestAckIsForTheLifeThatAnswered(t *testing.T) {
	s := &scheduling{node: testNode("a", 1), term: &term{number: 3}, events: make(chan func(), 8), ctx: t.Context()}
	l := &workerLink{s: s, ref: port.WorkerRef{ID: "w"}, acked: make(chan struct{}, 1)}
	answered := func(born int64) {
		l.renewed(t.Context(), port.RenewalReply{ClockMS: 1000, Inventory: cell.Inventory{Worker: "w", BornMS: born}})
	}
	answered(1)
	l.setAck(57)
	r, lapse := l.renewal(0)
	assert.Equal(t, r.Ack, int64(57))
	l.called(lapse, port.ErrUnknownOutcome)
	l.setAck(58)
	r, lapse = l.renewal(0)
	assert.Equal(t, r.Ack, int64(0))
	l.called(lapse, nil)
	answered(1)
	r, _ = l.renewal(0)
	assert.Equal(t, r.Ack, int64(58))
	answered(2)
	r, _ = l.renewal(0)
	assert.Equal(t, r.Ack, int64(0))
}

// Guards against a weak node that takes the first term before a strong one tries.
func TestStrongNodesTryFirst(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, testNode(name, 0.8).rankDelay()+200*time.Millisecond < testNode("x", 0.19).rankDelay())
	}
}
