package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withdrawAll takes back all requests for advice, as if every node were busy, and returns them.
func (h *harness) withdrawAll() []AdviceRequest {
	requests := h.advice
	h.advice = nil
	for _, r := range requests {
		h.s.WithdrawAdvice(r)
	}
	return requests
}

// Guards against a job that stands still in a mostly free cell because requests of higher-ranked steps keep all nodes busy.
func TestAdviceOfAStepThatStandsStillComesFirst(t *testing.T) {
	h := newHarness(t, 4)
	over := h.overRateJobs()
	began := h.now
	var last []AdviceRequest
	for h.now.Sub(began) < standstillLimit+100*time.Millisecond {
		h.advance(100 * time.Millisecond)
		last = h.withdrawAll()
	}
	h.addJob(Job{ID: "later", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	requests := h.withdrawAll()
	later := requests[len(requests)-1]
	assert.Equal(t, later.Step.Job, JobID("later"))
	assert.Assert(t, last[0].Step.Job != "later" && over[last[0].Step.Job])
	assert.Assert(t, last[0].Before(later))
	assert.Assert(t, !later.Before(last[0]))
}

// overRateJobs adds jobs of a team until one is above its submission rate, and returns those that are.
func (h *harness) overRateJobs() map[JobID]bool {
	over := map[JobID]bool{}
	for _, id := range []JobID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		h.addJob(Job{ID: id, Team: "slow", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
		if h.s.jobs[id].overRate {
			over[id] = true
			return over
		}
		h.s.CancelJob(id)
	}
	h.t.Fatal("no job is above the rate")
	return nil
}

// Guards against a job that stands still because each call names a few workers, and few of many may run it.
func TestFewAdmittedWorkersAreFoundInFewCalls(t *testing.T) {
	const workers, mostCalls = 300, 7
	h := newHarness(t, workers)
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
	only := workerID(workers - 1)
	calls := 0
	for len(h.takeStarts()) == 0 {
		h.advance(rescanInterval)
		calls += len(h.advice)
		h.answerAdvice(only)
		assert.Assert(t, calls <= mostCalls)
	}
}
