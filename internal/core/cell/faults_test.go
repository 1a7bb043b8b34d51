package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against holding back the start order of a new run because an order of the previous run was never answered.
func TestNewRunStartsDespiteUnansweredOrder(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	first := h.takeStarts()
	assert.Equal(t, len(first), 1)
	// The answer to the first order is still outstanding when the worker lists the end of the run.
	h.renew(0, nil, []EndedRow{{Number: 1, Run: first[0].Run, Kind: EndFailed}})
	h.advance(time.Millisecond * 20)
	second := h.takeStarts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Run.Run, 2)
}

// Guards against treating a gang member as stalled that has finished its work and waits for slower members.
func TestFinishedMemberWaitsForItsGang(t *testing.T) {
	h := newHarness(t, 2)
	gang := tasks(2, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Steps: []Step{gang}})
	h.advance(0)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 2)
	for _, o := range orders {
		h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	}
	for i := range 10 {
		for _, o := range orders {
			percent := float64(100)
			if indexOf(o.Worker) == 1 {
				percent = float64(10 * i)
			}
			h.renew(indexOf(o.Worker), []RunningRow{{Run: o.Run, Percent: percent}}, nil)
		}
		h.advance(time.Second)
	}
	assert.Equal(t, len(h.takeStops()), 0)
}

// Guards against tasks that stay on a worker which accepts orders but makes no progress.
func TestStalledRunMovesToAnotherWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	for range 4 {
		h.advance(time.Second)
		h.renew(indexOf(o.Worker), []RunningRow{{Run: o.Run}}, nil)
	}
	stops := h.takeStops()
	assert.Assert(t, len(stops) > 0)
	h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndStopped}})
	h.advance(time.Millisecond * 20)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Worker != o.Worker)
}

// Guards against counting a failure twice and showing a job as failed too early: a new lease holder sees an end again that
// its predecessor has counted, because the worker lists it until it is acknowledged.
func TestSuccessorCountsFailureOnce(t *testing.T) {
	h := newHarness(t, 1)
	job := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{tasks(1, 1000)}, AcceptedMS: start.UnixMilli()}
	h.addJob(job)
	h.advance(0)
	o := h.takeStarts()[0]
	end := EndedRow{Number: 1, Run: o.Run, Kind: EndFailed}
	h.renew(0, nil, []EndedRow{end})
	h.commitRecords()

	h.s = h.newScheduler()
	assert.NilError(t, h.s.AddJob(job, h.records["a"], h.now))
	h.registerWorkers(1, false)
	h.renew(0, nil, []EndedRow{end})
	h.advance(time.Millisecond * 20)
	state := h.s.State("a")
	assert.Assert(t, state.Known)
	assert.Equal(t, state.Phase, Running)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against starting a task on a worker that began draining while the intent was being recorded.
func TestRecordedIntentIsDroppedOnDrainingWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.now = h.now.Add(minPassInterval)
	h.collect(h.s.Advance(h.now))
	h.registerWorkers(1, true) // drains while the record is being written
	h.advance(time.Millisecond * 20)
	assert.Equal(t, len(h.takeStarts()), 0)
}

// Guards against start orders whose ticket expired while the store was unavailable. Workers reject them and the platform
// charges for them.
func TestIntentWithExpiredTicketIsDropped(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	assert.Equal(t, len(h.advice), 1)
	h.s.ApplyAdvice(h.advice[0], []Ticket{{workerID(0), "t"}}, h.now, ticketValidity, false, h.now)
	h.now = h.now.Add(minPassInterval)
	h.collect(h.s.Advance(h.now))
	assert.Assert(t, h.s.UnwrittenJobs() > 0)
	h.now = h.now.Add(ticketValidity + time.Second) // the store doesn't answer
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 0)
	assert.Equal(t, len(h.advice), 2)
}

// Guards against suspending placement for good after a job was forgotten: the store refuses the record of a job that had
// ended before, and with no other unwritten record nothing would reset the write stall.
func TestForgottenJobDoesNotBlockPlacement(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "ended", Steps: []Step{tasks(1, 1000)}})
	h.now = h.now.Add(minPassInterval)
	h.collect(h.s.Advance(h.now))
	writes := h.s.TakeWrites(31)
	assert.Equal(t, len(writes), 1)
	h.s.Forget("ended", "test")
	h.now = h.now.Add(10 * writeStallTimeout)
	h.addJob(Job{ID: "next", Steps: []Step{tasks(1, 4000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a job that is forgotten while it has a further unwritten change, which then blocks placement for good.
func TestForgottenJobWithUnwrittenChangeDoesNotBlockPlacement(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "ended", Steps: []Step{tasks(1, 1000)}})
	h.now = h.now.Add(minPassInterval)
	h.collect(h.s.Advance(h.now))
	assert.Equal(t, len(h.s.TakeWrites(31)), 1)
	h.s.CancelJob("ended") // a change while the write of the job's intent is in progress
	h.s.Forget("ended", "test")
	for range 3 {
		h.advance(writeStallTimeout)
	}
	h.addJob(Job{ID: "next", Steps: []Step{tasks(1, 4000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 1)
	_, recorded := h.records["ended"]
	assert.Assert(t, !recorded, "a forgotten job must not be recorded again")
}

// Guards against a forgotten job that is recorded again, because of a change that was unwritten when it was forgotten.
func TestForgottenJobIsNotRecordedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "ended", Steps: []Step{tasks(1, 1000)}})
	h.now = h.now.Add(minPassInterval)
	h.collect(h.s.Advance(h.now))
	h.s.Forget("ended", "test")
	h.advance(writeStallTimeout)
	assert.Equal(t, len(h.records)+len(h.finals), 0)
	assert.Equal(t, h.s.UnwrittenJobs(), 0)
}

// Guards against starting the next run of a task while an unanswered order may still start the previous one, which has to
// be stopped first.
func TestUnansweredStartIsStoppedBeforeTheNextRun(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	for range 6 {
		h.s.ApplyOrderOutcome(o, OrderUnanswered, h.now)
		h.advance(500 * time.Millisecond)
		if next := h.takeStarts(); len(next) == 1 {
			assert.Equal(t, next[0].Run, o.Run, "a start is repeated for the same run only")
		}
	}
	stops := h.takeStops()
	assert.Assert(t, len(stops) > 0)
	h.s.ApplyOrderOutcome(stops[len(stops)-1], OrderDone, h.now)
	h.renew(indexOf(o.Worker), nil, nil) // requested after the stop, so the run is known not to exist
	h.advance(20 * time.Millisecond)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run.Run, 2)
}

// Guards against a second run while the first may still exist on a worker that is unregistered but whose lease hasn't
// expired.
func TestRunOnUnlistedWorkerWaitsForItsLease(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 3000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	h.s.SetWorkers(nil, h.now)
	h.advance(time.Second)
	h.registerWorkers(2, false)
	h.renew(1-indexOf(o.Worker), nil, nil)
	h.advance(time.Second)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.s.WorkerLeaseExpired(o.Worker, h.now)
	h.renew(indexOf(o.Worker), nil, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a delayed order for an earlier instance of a worker: after a restart, each of the worker's runs is stopped
// before the task is started again.
func TestRestartedWorkerGetsStopOrdersForEarlierRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(o, OrderUnanswered, h.now)
	h.s.ApplyInventory(Inventory{Worker: o.Worker, StartMS: 2, RequestSequence: h.s.OrderSequence()}, h.now)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	assert.Equal(t, len(h.takeStops()), 1)
}

// Guards against placing tasks repeatedly on an unreachable worker.
func TestTaskLeavesUnreachableWorkerAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(o, OrderNotSent, h.now)
	h.advance(20 * time.Millisecond)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Worker != o.Worker)
	h.renew(indexOf(o.Worker), nil, nil)
	h.addJob(Job{ID: "b", Steps: []Step{tasks(2, 3500)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1, "it answers again and is used again")
}

// Guards against counting runs as stalled on a worker that is cut off: it merely reports no progress.
func TestUnresponsiveWorkerCountsNoStalls(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	h.renew(indexOf(o.Worker), []RunningRow{{Run: o.Run, Percent: 10}}, nil)
	h.s.WorkerUnresponsive(o.Worker, h.now)
	for range 4 {
		h.advance(time.Second)
	}
	assert.Equal(t, len(h.takeStops()), 0)
	h.renew(indexOf(o.Worker), []RunningRow{{Run: o.Run, Percent: 60}}, nil)
	h.advance(time.Second)
	assert.Equal(t, len(h.takeStops()), 0)
}

// Guards against a gang that keeps its reserved capacity for good: a call for advice fails, and the next pass, before the
// call may be repeated, reserves capacity for which no ticket can be requested.
func TestGangReleasesCapacityAfterFailedAdvice(t *testing.T) {
	h := newHarness(t, 2)
	blockers := h.startService("blocker", plainQueue, tasks(2, 4000))
	gang := tasks(2, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{gang}})
	h.advance(0)
	h.answerAdvice()
	h.advance(2 * ticketValidity) // the tickets have expired
	h.advice = nil
	for _, o := range blockers {
		h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndDone}})
	}
	h.advance(50 * time.Millisecond) // there is capacity, and new tickets are requested
	requests := h.advice
	assert.Assert(t, len(requests) > 0)
	h.advice = nil
	for _, r := range requests {
		h.s.ApplyAdvice(r, nil, h.now, 0, true, h.now)
	}
	for range 10 {
		h.advance(20 * time.Millisecond)
		h.answerAdvice()
	}
	h.advance(10 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 2)
}

// Guards against a refused start that ends the longer pause of a worker which fails what it runs.
func TestRefusedStartKeepsLongerPause(t *testing.T) {
	h := newHarness(t, 1)
	w := h.s.workers[workerID(0)]
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	w.faults.until = h.now.Add(10 * time.Second)
	h.s.ApplyOrderOutcome(o, OrderRefused, h.now)
	assert.Assert(t, !w.usable(h.now.Add(5*time.Second)))
}

// Guards against a late success that ends the pause of the worker of the current run, which had no part in it.
func TestLateSuccessIsCreditedToItsWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	first := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(first, OrderDone, h.now)
	h.s.WorkerLeaseExpired(first.Worker, h.now)
	h.advance(20 * time.Millisecond)
	second := h.takeStarts()[0]
	assert.Assert(t, second.Worker != first.Worker)
	early, late := h.s.workers[first.Worker], h.s.workers[second.Worker]
	early.faults.streak, late.faults.streak = 1, 1
	h.renew(indexOf(first.Worker), nil, []EndedRow{{Number: 1, Run: first.Run, Kind: EndDone}})
	assert.Equal(t, early.faults.streak, 0)
	assert.Equal(t, late.faults.streak, 1)
}

// Guards against a gang that waits for good: one of its members was reserved on a worker that restarted while the advice was
// on its way, and the others kept their reservations.
func TestReservedGangIsReleasedWhenAWorkerRestarts(t *testing.T) {
	h := newHarness(t, 2)
	gang := tasks(2, 3000)
	gang.Gang = true
	blockers := h.startService("blocker", plainQueue, tasks(2, 4000))
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{gang}})
	h.advance(0)
	h.answerAdvice()
	h.advance(2 * ticketValidity) // the tickets have expired
	h.advice = nil
	for _, o := range blockers {
		h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndDone}})
	}
	h.advance(50 * time.Millisecond) // there is capacity, and new tickets are requested
	assert.Assert(t, len(h.advice) > 0)
	h.renewInstance(0, 2, nil, nil)
	h.listStart(workerID(0), 2)
	for range 10 {
		h.answerAdvice()
		h.advance(50 * time.Millisecond)
	}
	assert.Equal(t, len(h.takeStarts()), 2)
}

// Guards against a forgotten job that keeps its workers' ends from being acknowledged for good.
func TestForgottenJobDoesNotBlockAcknowledgments(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "late", Steps: []Step{tasks(1, 9000)}})
	h.renew(0, nil, []EndedRow{{Number: 1, Run: RunID{TaskID{"late", 0, 0}, 3}, Kind: EndStopped}})
	h.now = h.now.Add(2 * writeDelay)
	h.s.Advance(h.now)
	assert.Equal(t, len(h.s.TakeWrites(31)), 1)
	h.s.Forget("late", "ended")
	cursor, pending := h.s.AckCursor(workerID(0))
	assert.Equal(t, cursor, int64(1))
	assert.Assert(t, !pending)
}

// Guards against ends that are never acknowledged because their job was deleted while its record was being written.
func TestDeletedJobDoesNotBlockAcknowledgments(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndDone}})
	for range 5 {
		h.advance(2 * writeDelay)
	}
	assert.Equal(t, h.s.State("a").Phase, Completed)
	h.now = h.now.Add(h.s.options.EndedRetention - time.Second)
	other := 1 - indexOf(o.Worker)
	h.renew(other, nil, []EndedRow{{Number: 1, Run: RunID{o.Run.Task, 0}, Kind: EndLapsed}})
	h.now = h.now.Add(2 * writeDelay)
	h.s.Advance(h.now)
	writes := h.s.TakeWrites(31)
	assert.Equal(t, len(writes), 1)
	h.now = h.now.Add(2 * time.Second) // the store answers after the end of the retention
	h.s.Advance(h.now)
	h.s.WriteCommitted(writes[0])
	cursor, _ := h.s.AckCursor(workerID(other))
	assert.Equal(t, cursor, int64(1))
}

// Guards against a stopped run that holds its worker for good, because each inventory of an idle worker was requested
// before the latest answer to the repeated stop order.
func TestRepeatedStopOrdersDoNotOutdateInventories(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 4000)}})
	h.advance(0)
	h.s.ApplyOrderOutcome(h.takeStarts()[0], OrderUnanswered, h.now)
	h.s.CancelJob("a")
	for range 5 {
		requested := h.s.OrderSequence()
		h.advance(answeredRetryInterval)
		for _, stop := range h.takeStops() {
			h.s.ApplyOrderOutcome(stop, OrderDone, h.now)
		}
		h.s.ApplyInventory(Inventory{Worker: workerID(0), StartMS: 1, RequestSequence: requested}, h.now)
	}
	assert.Equal(t, h.s.WorkersInUse()[0].Runs, 0)
}

// Guards against a second run of a task whose first run has ended as done: its start was answered as stale, and the worker
// began to drain before it listed the end.
func TestStaleStartIsNotRequeuedBeforeItsEndIsListed(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.s.ApplyOrderOutcome(o, OrderStale, h.now)
	h.reports[indexOf(o.Worker)].Draining = true
	h.s.SetWorkers(h.reports, h.now)
	h.advance(answeredRetryInterval)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndDone}})
	assert.Equal(t, h.s.State("a").AwaitingFinalRecord, true)
}
