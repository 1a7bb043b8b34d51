package proof

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/standin/workerproc"
)

// Guards against a job that runs after its cancellation was acknowledged: a node that stands still has its submission in a
// socket and reads it when it wakes, whether it schedules or not.
func TestNodeThatStoodStillDoesNotAcceptACanceledJob(t *testing.T) {
	t.Parallel()
	for name, scheduling := range map[string]bool{"scheduling node": true, "other node": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newSoakCell(t, 1)
			c.eventually("every node answers", func() bool {
				for _, n := range c.nodes {
					if status, _ := c.call(n, keyOf("team"), http.MethodGet, "/plain/", "", callTimeout); status != http.StatusOK {
						return false
					}
				}
				return c.schedulingNode() != nil
			})
			scheduler := c.schedulingNode()
			frozen, other := scheduler, c.nodeBut(scheduler)
			if !scheduling {
				frozen, other = other, frozen
			}
			j := newSoakService(0, 0)
			frozen.signal(syscall.SIGSTOP)
			defer frozen.signal(syscall.SIGCONT)
			c.attempt(j, frozen, 300*time.Millisecond)
			assert.Assert(t, !j.accepted)
			c.eventually("the cancellation is acknowledged", func() bool {
				status, _ := c.call(other, j.key, http.MethodDelete, j.path, "", callTimeout)
				return status == http.StatusGone
			})
			frozen.signal(syscall.SIGCONT)
			second := newSoakJob(rand.New(rand.NewPCG(1, 1)), 1, 1)
			c.eventually("the node that woke accepts another job", func() bool {
				c.attempt(second, frozen, callTimeout)
				return second.accepted
			})
			c.eventually("that job ends", func() bool { return c.checkState(second, other) })
			status, _ := c.call(frozen, j.key, http.MethodGet, j.path, "", callTimeout)
			assert.Equal(t, status, http.StatusGone)
			assert.Assert(t, !c.checker.HasStarted(j.ID))
			assert.Equal(t, len(c.checker.Violations(workerproc.Now())), 0)
		})
	}
}

// longStandstill is a pause after which a node must not accept what waits in its sockets.
const longStandstill = 32 * time.Second

// Guards against the same after a pause that outlasts what the cancellation has left in the store: the node must end without
// accepting anything.
func TestNodeEndsAfterALongStandstill(t *testing.T) {
	t.Parallel()
	c := newSoakCell(t, 1)
	frozen := c.nodes[0]
	c.eventually("the node answers", func() bool {
		status, _ := c.call(frozen, keyOf("team"), http.MethodGet, "/plain/", "", callTimeout)
		return status == http.StatusOK
	})
	process := frozen.current()
	frozen.signal(syscall.SIGSTOP)
	j := newSoakService(0, 0)
	c.attempt(j, frozen, 300*time.Millisecond)
	time.Sleep(longStandstill)
	frozen.signal(syscall.SIGCONT)
	process.wait(t)
	assert.Equal(t, len(process.matchingLines(t, `"stood still"`)), 1)
	for _, n := range c.nodes[1:] {
		status, _ := c.call(n, j.key, http.MethodGet, j.path, "", callTimeout)
		assert.Equal(t, status, http.StatusGone)
	}
	assert.Assert(t, !c.checker.HasStarted(j.ID))
}

// nodeBut returns a node other than the given one.
func (c *soakCell) nodeBut(n *soakNode) *soakNode {
	if c.nodes[0] != n {
		return c.nodes[0]
	}
	return c.nodes[1]
}
