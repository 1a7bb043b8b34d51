package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// releases are the ways in which all runs on a worker are released.
var releases = map[string]func(h *harness, id WorkerID){
	"lease":      func(h *harness, id WorkerID) { h.s.WorkerLeaseExpired(id, h.now) },
	"terminated": func(h *harness, id WorkerID) { h.s.WorkerTerminated(id, 1, h.now) },
}

// startInFlight returns a harness with two workers and a start order whose outcome isn't known.
func startInFlight(t *testing.T) (*harness, Order) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	return h, h.takeStarts()[0]
}

// Guards against a second run of a task whose worker's runs were released while the start of the first one was in flight.
func TestRunIsKeptWhileItsStartIsInFlight(t *testing.T) {
	for name, release := range releases {
		t.Run(name, func(t *testing.T) {
			h, o := startInFlight(t)
			release(h, o.Worker)
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 0)
			h.confirm(o)
			h.renew(indexOf(o.Worker), []RunningRow{{Run: o.Run}}, nil)
			h.stopAll()
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 1)
		})
	}
}

// Guards against a task that waits for good for a start that was never sent.
func TestRunIsReleasedIfItsStartWasNotSent(t *testing.T) {
	for name, release := range releases {
		t.Run(name, func(t *testing.T) {
			h, o := startInFlight(t)
			release(h, o.Worker)
			h.s.ApplyOrderOutcome(o, OrderNotSent, h.now)
			h.advance(20 * time.Millisecond)
			again := h.takeStarts()
			assert.Equal(t, len(again), 1)
			assert.Equal(t, again[0].Run.Run, 2)
		})
	}
}

// Guards against a task that waits for good for an unanswered start on a worker that has ended or is never reached again.
func TestUnansweredStartIsReleasedByTheNextReport(t *testing.T) {
	for name, release := range releases {
		t.Run(name, func(t *testing.T) {
			h, o := startInFlight(t)
			release(h, o.Worker)
			h.s.ApplyOrderOutcome(o, OrderUnanswered, h.now)
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 0)
			release(h, o.Worker)
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 1)
		})
	}
}

// Guards against an order to the earlier address of a worker that has restarted: the answer of another worker there must not
// release the runs of the current instance.
func TestOutcomeForAnEarlierInstanceReleasesNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	first := h.takeStarts()[0]
	h.renewInstance(0, 2, nil, nil)
	h.listStart(workerID(0), 2)
	h.addJob(Job{ID: "b", Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	second := h.takeStarts()[0]
	assert.Equal(t, second.Run.Task.Job, JobID("b"))
	h.confirm(second)
	h.s.ApplyOrderOutcome(first, OrderInstanceTerminated, h.now)
	assert.Assert(t, !h.s.workers[workerID(0)].terminated)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	assert.Equal(t, h.s.jobs["b"].steps[0].tasks[0].phase, taskRunning)
}

// Guards against a task that starts elsewhere although its run may go on or be done: the start was in flight when its worker was
// taken for ended, and its outcome doesn't show that no attempt was carried out.
func TestRunIsKeptIfTheOutcomeLeavesItOpen(t *testing.T) {
	for name, apply := range map[string]func(h *harness, o Order){
		"stale": func(h *harness, o Order) { h.s.ApplyOrderOutcome(o, OrderStale, h.now) },
		"repeated": func(h *harness, o Order) {
			o.Repeated = true
			h.s.ApplyOrderOutcome(o, OrderRefused, h.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, o := startInFlight(t)
			h.s.WorkerTerminated(o.Worker, 1, h.now)
			apply(h, o)
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 0)
		})
	}
}

// Guards against runs that are taken for ended while they go on: another worker answers at the address of a registry entry of an
// earlier instance, which was read late.
func TestAnswerAtTheAddressOfAnEarlierEntryReleasesNothing(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 2, 4000)
	h.renewInstance(0, 2, nil, nil)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	h.confirm(h.takeStarts()...)
	h.listInstance(0, 1, 4000)
	h.s.WorkerTerminated(workerID(0), 2, h.now)
	assert.Equal(t, h.s.jobs["a"].steps[0].tasks[0].phase, taskRunning)
}
