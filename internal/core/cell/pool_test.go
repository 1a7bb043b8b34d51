package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const idleService = "idle"

// newTwoServices returns a cell with four workers of one service and one of another.
func newTwoServices(t *testing.T) *harness {
	h := newHarness(t, 5)
	h.reports[4].Service = idleService
	h.s.SetWorkers(h.reports, h.now)
	return h
}

// fillPool starts tasks on the four workers as far as claims leave room for them.
func (h *harness) fillPool() {
	h.addJob(Job{ID: "busy", Steps: []Step{tasks(4, 4000)}})
	h.advance(20 * time.Millisecond)
	h.takeStarts()
}

// addIdleServiceJob adds a job of a task for the idle service.
func (h *harness) addIdleServiceJob() {
	j := Job{ID: "idle", Queue: "a queue of the other service", Team: "team", Service: idleService, Steps: []Step{tasks(1, 1000)}, AcceptedMS: h.now.UnixMilli(),
		Terms: testConfig().Queue(plainQueue).Terms()}
	assert.NilError(h.t, h.s.AddJob(j, nil, h.now))
}

// Guards against a job of an idle service that waits while steps of a full one wait for advice: their claims were taken off
// what is free in the whole cell.
func TestPendingAdviceHoldsBackNoOtherService(t *testing.T) {
	h := newTwoServices(t)
	for i := range 4 {
		h.addJob(Job{ID: JobID(fmt.Sprint("pending-", i)), Queue: advisedQueue, Steps: []Step{tasks(4, 1000)}})
	}
	h.advance(20 * time.Millisecond)
	assert.Assert(t, len(h.advice) > 0)
	h.fillPool()
	h.addIdleServiceJob()
	h.advance(20 * time.Millisecond)
	h.advance(20 * time.Millisecond)
	starts := h.takeStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker, workerID(4))
}

// Guards against steps of a full service that ask for advice because of what is free on the workers of another one.
func TestFullServiceAsksForNoAdvice(t *testing.T) {
	h := newTwoServices(t)
	h.fillPool()
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.advice), 0)
}

// Guards against a panic of a scheduler that takes over while the store is down: a job stands still before the first pass.
func TestStandstillBeforeTheFirstPass(t *testing.T) {
	h := newHarness(t, 0)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.s.jobs["a"].version++
	h.s.markDirty(h.s.jobs["a"])
	h.s.TakeWrites(0)
	h.now = h.now.Add(standstillLimit + writeStallTimeout)
	h.s.Advance(h.now)
	assert.Assert(t, h.s.placementSuspended)
	assert.Assert(t, h.s.pass.startedAt.IsZero())
}
