package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job that waits for good beside a worker that may run it: the worker was down when the advice service
// answered, which gave no ticket for it, and this was taken as its answer for all time.
func TestDenialEndsWhenTheWorkerComesBack(t *testing.T) {
	gang, service := tasks(2, 1000), tasks(1, 1000)
	gang.Gang, service.LongRunning = true, true
	for name, st := range map[string]Step{"task": tasks(1, 1000), "gang": gang, "service": service} {
		t.Run(name+", a new instance", func(t *testing.T) {
			h := newDenied(t, st)
			h.listStart(workerID(0), 2)
			h.renewInstance(0, 2, nil, nil)
			after, worker := h.nextStart(time.Second)
			assert.Equal(t, worker, workerID(0), "after %v", after)
		})
		t.Run(name+", listed again", func(t *testing.T) {
			h := newDenied(t, st)
			listed := h.reports
			h.s.SetWorkers(nil, h.now)
			h.advance(100 * time.Millisecond)
			h.s.SetWorkers(listed, h.now)
			h.renewIdle()
			after, worker := h.nextStart(time.Second)
			assert.Equal(t, worker, workerID(0), "after %v", after)
		})
	}
}

// newDenied returns a cell with one worker, which was denied to a job with the given step.
func newDenied(t *testing.T, st Step) *harness {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{st}})
	h.advance(10 * time.Millisecond)
	h.answerAdvice("none")
	h.advance(time.Second)
	assert.Equal(t, len(h.takeStarts()), 0)
	assert.Equal(t, len(h.advice), 0, "the worker is asked about again and again")
	return h
}

// Guards against a task that is tried on a worker for ever which it may no longer run on: the worker has come back as another
// one, and an earlier permission hides the denial.
func TestDenialOfAnotherInstanceReplacesAPermission(t *testing.T) {
	h := newHarness(t, 40)
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
	h.advance(10 * time.Millisecond)
	first := h.advice[0].Workers[0]
	h.answerAdvice(first)
	h.advance(20 * time.Millisecond)
	run := h.takeStarts()[0]
	assert.Equal(t, run.Worker, first)
	h.confirm(run)
	h.advance(clearingTime)
	h.renew(indexOf(first), []RunningRow{{Run: run.Run}}, nil)
	h.listStart(first, 2)
	h.renewInstance(indexOf(first), 2, nil, nil)
	h.advance(20 * time.Millisecond)
	h.confirm(h.takeStops()...)
	h.renewInstance(indexOf(first), 2, nil, nil)
	other := workerID(0)
	for _, r := range h.reports {
		if !h.s.jobs["a"].steps[0].advice.covers(h.s.workers[r.ID]) {
			other = r.ID
		}
	}
	var worker WorkerID
	for began := h.now; worker == "" && h.now.Sub(began) < 2*avoidance; {
		h.advance(20 * time.Millisecond)
		h.answerAdvice(other)
		if starts := h.takeStarts(); len(starts) > 0 {
			worker = starts[0].Worker
		}
	}
	assert.Equal(t, worker, other)
}
