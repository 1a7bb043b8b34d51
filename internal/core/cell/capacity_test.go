package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

// setCapacities registers the workers with the given capacities in thousandths of a core.
func (h *harness) setCapacities(milliCPU ...int64) {
	var vectors []resource.Vector
	for _, c := range milliCPU {
		vectors = append(vectors, resource.Vector{MilliCPU: c, MemoryMB: 8000})
	}
	h.setCapacityVectors(vectors...)
}

func (h *harness) setCapacityVectors(capacities ...resource.Vector) {
	var reports []WorkerReport
	for i, c := range capacities {
		reports = append(reports, WorkerReport{ID: workerID(i), Address: "a", Service: "pool", Rack: "r1-1", Capacity: c, StartMS: 1})
	}
	h.s.SetWorkers(reports, h.now)
}

// decide advances the clock to the next pass and returns the start orders, without making any record durable.
func (h *harness) decide() []Order {
	h.now = h.now.Add(minPassInterval)
	h.collect(h.s.Advance(h.now))
	return h.takeStarts()
}

// startsOn returns the number of start orders for a worker.
func startsOn(orders []Order, worker int) int {
	n := 0
	for _, o := range orders {
		if o.Worker == workerID(worker) {
			n++
		}
	}
	return n
}

// decisionLog records the attributes of the decisions of one kind.
type decisionLog struct {
	discardEvents
	decision string
	lines    []map[string]any
}

func (l *decisionLog) LogDecision(_, decision string, attrs ...any) {
	if decision != l.decision {
		return
	}
	line := map[string]any{}
	for i := 0; i < len(attrs); i += 2 {
		line[attrs[i].(string)] = attrs[i+1]
	}
	l.lines = append(l.lines, line)
}

// Guards against a change of capacity that leaves no trace in the log.
func TestChangeOfCapacityIsLogged(t *testing.T) {
	h := newHarness(t, 0)
	log := &decisionLog{decision: "worker capacity changed"}
	h.s.events = log
	h.addWorkers(1, false)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(3, 1000)}})
	h.advance(0)
	h.registerWorkers(1, false)
	assert.Equal(t, len(log.lines), 0)
	h.setCapacities(2000)
	assert.Equal(t, len(log.lines), 1)
	for key, want := range map[string]any{"mcpu": int64(2000), "mcpu_before": int64(4000), "mcpu_used": int64(3000), "overcommitted": true, "runs": 3} {
		assert.Equal(t, log.lines[0][key], want, key)
	}
	h.setCapacities(4000)
	assert.Equal(t, len(log.lines), 2)
	assert.Equal(t, log.lines[1]["overcommitted"], false)
}

// Guards against capacity that has grown again and stays unused until the next full check of all workers.
func TestGrownCapacityIsUsedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.setCapacities(0)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(2, 1000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.advance(10 * time.Millisecond)
	h.setCapacities(4000)
	h.decide()
	h.commitRecords()
	assert.Equal(t, len(h.decide()), 2)
}

// Guards against starting a task whose intent was being recorded when its worker's capacity shrank, or whose record had
// just become durable.
func TestDecidedStartsAreRevokedWhenCapacityShrinks(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		h := newHarness(t, 2)
		h.addJob(Job{ID: "a", Steps: []Step{tasks(8, 1000)}})
		assert.Equal(t, len(h.decide()), 0)
		if recorded {
			h.commitRecords()
		}
		h.setCapacities(1000, 4000)
		if !recorded {
			h.commitRecords()
		}
		orders := h.decide()
		assert.Equal(t, startsOn(orders, 0), 1, "recorded before: %v", recorded)
		assert.Equal(t, startsOn(orders, 1), 4)
		h.advance(200 * time.Millisecond)
		assert.Equal(t, len(h.takeStarts()), 0)
		h.setCapacities(4000, 4000)
		h.advance(10 * time.Millisecond)
		assert.Equal(t, len(h.takeStarts()), 3, "the revoked tasks start as soon as there is room")
		assert.Equal(t, len(h.takeStops()), 0)
	}
}

// Guards against capacity in memory or accelerators that isn't looked at, and against starts on a worker that reports no
// capacity at all.
func TestStartsAreRevokedInEachResource(t *testing.T) {
	for _, smaller := range []resource.Vector{{MilliCPU: 4000, MemoryMB: 250, Accelerators: 2}, {MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1},
		{MilliCPU: 1500, MemoryMB: 8000, Accelerators: 2}, {}} {
		h := newHarness(t, 1)
		h.setCapacityVectors(resource.Vector{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 2})
		step := tasks(2, 1000)
		step.Each.MemoryMB, step.Each.Accelerators = 200, 1
		h.addJob(Job{ID: "a", Steps: []Step{step}})
		h.decide()
		h.setCapacityVectors(smaller)
		h.commitRecords()
		want := 1
		if smaller.IsZero() {
			want = 0
		}
		assert.Equal(t, len(h.decide()), want, "%+v", smaller)
	}
}

// Guards against new work on a worker on which more runs than fits, and against runs that no longer count while they are
// being stopped.
func TestOvercommittedWorkerGetsNoWorkUntilItsRunsAreGone(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(2, 1500)}})
	h.advance(0)
	runs := h.takeStarts()
	assert.Equal(t, len(runs), 2)
	for _, o := range runs {
		h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	}
	h.setCapacities(2000)
	h.addJob(Job{ID: "b", Steps: []Step{tasks(1, 500)}})
	running := []RunningRow{{Run: runs[0].Run}, {Run: runs[1].Run}}
	h.renew(0, running, nil)
	h.advance(200 * time.Millisecond)
	h.s.CancelJob("a")
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.takeStops()), 2)
	h.renew(0, running, nil)
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0, "the runs are only being stopped")
	h.renew(0, running[1:], []EndedRow{{Number: 1, Run: runs[0].Run, Kind: EndStopped}})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1, "1.5 of 2 cores are in use")
}

// Guards against repeating an unanswered start after the capacity has shrunk, and against placing the task elsewhere
// although the first order may have been carried out.
func TestUnansweredStartIsStoppedWhenCapacityShrinks(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 3000)}})
	h.advance(0)
	first := h.takeStarts()
	assert.Equal(t, len(first), 1)
	h.setCapacities(1000)
	h.s.ApplyOrderOutcome(first[0], OrderUnanswered, h.now)
	h.renew(0, nil, nil)
	h.advance(2 * orderRetryInterval)
	assert.Equal(t, len(h.takeStarts()), 0, "the start isn't repeated")
	stops := h.takeStops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, first[0].Run)
	h.setCapacities(4000)
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0, "the stop isn't answered yet")
	h.s.ApplyOrderOutcome(stops[0], OrderDone, h.now)
	h.renew(0, nil, nil)
	h.advance(200 * time.Millisecond)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run.Run, 2)
}

// Guards against stopping a run that its worker has confirmed, and against revoking a start that may be carried out while
// revoking one that was never sent is enough.
func TestStartsThatWereNotSentAreRevokedFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	sent := h.takeStarts()
	assert.Equal(t, len(sent), 1)
	h.s.ApplyOrderOutcome(sent[0], OrderUnanswered, h.now)
	h.renew(0, nil, nil)
	h.addJob(Job{ID: "b", Steps: []Step{tasks(2, 1000)}})
	h.decide()
	h.setCapacities(2000)
	h.commitRecords()
	h.now = h.now.Add(orderRetryInterval)
	orders := h.decide()
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].Run, sent[0].Run)
	assert.Equal(t, orders[1].Run.Task.Job, JobID("b"))
	assert.Equal(t, len(h.takeStops()), 0)
}

// Guards against a gang of which some members start although a worker of another member can't hold that one any more.
func TestGangIsRevokedAsAWholeWhenCapacityShrinks(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		h := newHarness(t, 3)
		gang := tasks(3, 3000)
		gang.Gang = true
		h.addJob(Job{ID: "a", Steps: []Step{gang}})
		h.decide()
		if recorded {
			h.commitRecords()
		}
		h.setCapacities(4000, 4000, 2000)
		h.advance(10 * time.Millisecond)
		h.advance(200 * time.Millisecond)
		assert.Equal(t, len(h.takeStarts()), 0, "recorded before: %v", recorded)
		assert.Equal(t, len(h.takeStops()), 0, "no member was sent a start")
		h.setCapacities(4000, 4000, 4000)
		h.advance(gangRescanInterval)
		assert.Equal(t, len(h.takeStarts()), 3)
	}
}

// Guards against starting tasks that hold capacity while they wait for a ticket, after that capacity has shrunk.
func TestReservedTasksAreRevokedWhenCapacityShrinks(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newHarness(t, 2)
		step := tasks(2, 3000)
		step.Gang = gang
		h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{step}})
		// The first answer names the workers, the tickets then lapse, and the tasks hold capacity while new ones are asked for.
		h.advance(0)
		h.setCapacities(0, 0)
		h.answerAdvice()
		h.advance(2 * ticketValidity)
		h.setCapacities(4000, 4000)
		h.advance(10 * time.Millisecond)
		h.advance(10 * time.Millisecond)
		reserved := 0
		for _, w := range h.s.workers {
			reserved += len(w.tasks)
		}
		assert.Equal(t, reserved, 2, "gang: %v", gang)
		h.setCapacities(4000, 2000)
		h.answerAdvice()
		h.advance(10 * time.Millisecond)
		h.answerAdvice()
		h.advance(10 * time.Millisecond)
		orders := h.takeStarts()
		assert.Equal(t, startsOn(orders, 1), 0, "gang: %v", gang)
		if gang {
			assert.Equal(t, len(orders), 0)
		} else {
			assert.Equal(t, len(orders), 1)
		}
		assert.Equal(t, len(h.takeStops()), 0)
	}
}

// Guards against a successor that learns of a smaller capacity, or of a capacity at all, only after it has loaded the
// records, and starts more than fits beside the recorded runs.
func TestSuccessorCountsRecordedRunsAgainstSmallerCapacity(t *testing.T) {
	h := newHarness(t, 1)
	job := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{tasks(3, 1000)}, AcceptedMS: start.UnixMilli()}
	h.addJob(job)
	h.advance(0)
	runs := h.takeStarts()
	assert.Equal(t, len(runs), 3)

	h.s = h.newScheduler()
	assert.NilError(t, h.s.AddJob(job, h.records["a"], h.now))
	h.addJob(Job{ID: "b", Steps: []Step{tasks(2, 1000)}})
	h.renew(0, []RunningRow{{Run: runs[0].Run}, {Run: runs[1].Run}}, nil)
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0, "the worker's capacity isn't known yet")
	h.setCapacities(2000)
	h.renew(0, []RunningRow{{Run: runs[0].Run}, {Run: runs[1].Run}}, nil)
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0, "two runs fill the worker, the third one isn't there")
	h.renew(0, []RunningRow{{Run: runs[1].Run}}, []EndedRow{{Number: 1, Run: runs[0].Run, Kind: EndDone}})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a job that ends, or that holds up others, because no worker can hold it for a while.
func TestJobThatFitsNoWorkerNowStaysPending(t *testing.T) {
	h := newHarness(t, 2)
	h.setCapacities(1000, 500)
	h.addJob(Job{ID: "large", Queue: urgentQueue, Steps: []Step{tasks(1, 3000)}})
	h.addJob(Job{ID: "small", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Run.Task.Job, JobID("small"))
	h.advance(10 * time.Second)
	assert.Equal(t, h.s.State("large").Phase, Pending)
	h.setCapacities(1000, 4000)
	h.advance(10 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against best-effort tasks whose reservation is ignored when capacity shrinks: their memory counts like that of
// other tasks.
func TestBestEffortStartsAreRevokedWhenCapacityShrinks(t *testing.T) {
	h := newHarness(t, 1)
	step := tasks(2, 1000)
	step.BestEffort, step.Each.MemoryMB = true, 3000
	h.addJob(Job{ID: "a", Steps: []Step{step}})
	h.decide()
	h.setCapacityVectors(resource.Vector{MilliCPU: 4000, MemoryMB: 4000})
	h.commitRecords()
	assert.Equal(t, len(h.decide()), 1)
}

// Guards against starts that were decided before the registry became unreadable and go out when their records become
// durable again, although the capacity of their worker may have shrunk in the meantime.
func TestStartsWaitForACurrentRegistry(t *testing.T) {
	h := newHarness(t, 1)
	h.s.options.MaxRegistryAge = 3 * time.Second
	h.s.RegistryRead(h.now)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(4, 1000)}})
	h.decide()
	h.now = h.now.Add(5 * time.Second)
	h.commitRecords()
	assert.Equal(t, len(h.decide()), 0)
	h.setCapacities(1000)
	h.s.RegistryRead(h.now)
	assert.Equal(t, len(h.decide()), 1)
	assert.Equal(t, len(h.takeStops()), 0)
}
