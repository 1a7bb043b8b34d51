package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standstillRule is how long a job may have nothing running although there is capacity that it may use.
const standstillRule = 3 * time.Second

// setAside makes workers fail so often that they are set aside for maxFaultPause.
func (h *harness) setAside(workers ...int) {
	for _, i := range workers {
		w := h.s.workers[workerID(i)]
		for w.faults.backoff < maxFaultPause {
			h.s.recordFault(w, "a run failed")
		}
	}
}

// Guards against a task that stands still for 4 s beside the only worker that may run it, because another one that is set
// aside was never named to the advice service.
func TestTaskDoesNotWaitForAWorkerWithoutAdvice(t *testing.T) {
	h := newHarness(t, 8)
	h.setAside(7)
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	h.answerAdvice(workerID(0))
	assert.Equal(t, h.failNext(), workerID(0))
	after, worker := h.nextStart(standstillRule)
	assert.Equal(t, worker, workerID(0), "after %v", after)
}
