package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

func newTestNode(name string, cores float64) *Node {
	return &Node{options: Options{Name: name, Cores: cores, MaxLease: 10 * time.Second}}
}

// Guards against tasks that wait for good on a silent worker: calls that were never sent renew nothing, so they must not
// move the moment at which its lease has lapsed.
func TestUnsentCallsDoNotExtendLease(t *testing.T) {
	now := time.Now()
	l := &workerLink{s: &activeTerm{node: newTestNode("a", 1), term: &term{number: 3}}, clock: clockSample{1000, now}, expiresAt: now}
	for _, c := range []struct {
		err   error
		moves bool
	}{{port.ErrUnavailable, false}, {port.ErrNotListening, false}, {port.ErrUnknownOutcome, true}, {nil, true}} {
		l.expiresAt = now
		_, expiry := l.nextRenewal(0)
		assert.Equal(t, l.leaseCalls, 1)
		l.endLeaseCall(expiry, c.err)
		assert.Equal(t, l.leaseCalls, 0)
		assert.Equal(t, l.expiresAt.After(now), c.moves, "%v", c.err)
	}
}

// Guards against a lapse that is declared before the worker's clock, which may be slow, has reached the end of the lease.
func TestLeaseExpiryAllowsForSlowClock(t *testing.T) {
	now := time.Now()
	l := &workerLink{s: &activeTerm{node: newTestNode("a", 1), term: &term{number: 3}}, clock: clockSample{1000, now}}
	due, expiry := l.beginLeaseCall(now)
	assert.Equal(t, due, 1000+workerLease.Milliseconds())
	slow := time.Duration(float64(expiry.Sub(now)) * (1 - maxClockDrift))
	assert.Assert(t, slow > workerLease)
}

// Guards against ends that a restarted worker forgets unseen: it counts them from 1 again, below what its earlier life was
// told to forget.
func TestAckIsSentOnlyToInstanceThatAnswered(t *testing.T) {
	s := &activeTerm{node: newTestNode("a", 1), term: &term{number: 3}, events: make(chan func(), 8), ctx: t.Context()}
	l := &workerLink{s: s, ref: port.WorkerRef{ID: "w"}, acked: make(chan struct{}, 1)}
	answered := func(startMS int64) {
		l.handleRenewal(t.Context(), port.RenewalReply{ClockMS: 1000, Inventory: cell.Inventory{Worker: "w", BornMS: startMS}})
	}
	answered(1)
	l.setAck(57)
	r, expiry := l.nextRenewal(0)
	assert.Equal(t, r.Ack, int64(57))
	l.endLeaseCall(expiry, port.ErrUnknownOutcome)
	l.setAck(58)
	r, expiry = l.nextRenewal(0)
	assert.Equal(t, r.Ack, int64(0))
	l.endLeaseCall(expiry, nil)
	answered(1)
	r, _ = l.nextRenewal(0)
	assert.Equal(t, r.Ack, int64(58))
	answered(2)
	r, _ = l.nextRenewal(0)
	assert.Equal(t, r.Ack, int64(0))
}

// Guards against a weak node that takes the first term before a strong one tries.
func TestNodesWithMoreCoresCampaignFirst(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, newTestNode(name, 0.8).candidacyDelay()+200*time.Millisecond < newTestNode("x", 0.19).candidacyDelay())
	}
}
