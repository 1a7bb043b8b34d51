package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job that fails because two of its workers crashed by themselves: the second crash comes after its run has
// been at work for a while, which no inventory has shown yet.
func TestRunOnProbationIsProbedOnce(t *testing.T) {
	h := newHarness(t, 6)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	first := h.nextStarts()
	h.confirm(first...)
	h.advance(clearingTime)
	assert.Equal(t, len(h.s.Advance(h.now).Probes), 0, "no worker has crashed under the task")
	h.crash(first[0].Worker)

	second := h.nextStarts()
	assert.Equal(t, len(second), 1)
	h.confirm(second...)
	var probes []WorkerID
	for range 30 {
		h.now = h.now.Add(10 * time.Millisecond)
		probes = append(probes, h.s.Advance(h.now).Probes...)
	}
	assert.DeepEqual(t, probes, []WorkerID{second[0].Worker})
	h.renew(indexOf(second[0].Worker), []RunningRow{{Run: second[0].Run, Percent: 10}}, nil)
	h.crash(second[0].Worker)
	assert.Assert(t, h.s.State("a").Phase != Failed)
}
