package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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

// Guards against a weak node that takes the first term before a strong one tries.
func TestStrongNodesTryFirst(t *testing.T) {
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, testNode(name, 0.8).rankDelay()+200*time.Millisecond < testNode("x", 0.19).rankDelay())
	}
}
