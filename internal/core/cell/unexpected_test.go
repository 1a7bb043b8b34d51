package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// giveUpRun starts a task of three cores on the only worker and releases it by a lease that counts as expired.
func giveUpRun(t *testing.T) (*harness, RunID) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 3000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.confirm(o)
	h.s.WorkerLeaseExpired(o.Worker, h.now)
	return h, o.Run
}

// Guards against starts beyond a worker's capacity beside a run that was given up and goes on until it has been stopped.
func TestUnexpectedRunOccupiesCapacity(t *testing.T) {
	h, run := giveUpRun(t)
	h.s.CancelJob("a")
	h.addJob(Job{ID: "b", Steps: []Step{tasks(2, 1500)}})
	stops := h.renew(0, []RunningRow{{Run: run}}, nil)
	assert.Equal(t, len(stops), 1)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, nil, []EndedRow{{Number: 1, Run: run, Kind: EndStopped}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 2)
}

// Guards against a second run of a task beside one that was given up and goes on.
func TestTaskWaitsForItsUnexpectedRun(t *testing.T) {
	h, run := giveUpRun(t)
	h.registerWorkers(2, false)
	h.renew(1, nil, nil)
	h.renew(0, []RunningRow{{Run: run}}, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, nil, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a decided start of a task that goes out after its earlier run has turned out to go on.
func TestUnsentStartIsRevokedIfAnEarlierRunGoesOn(t *testing.T) {
	h, run := giveUpRun(t)
	h.registerWorkers(2, false)
	h.renew(1, nil, nil)
	assert.Equal(t, len(h.decide()), 0)
	h.renew(0, []RunningRow{{Run: run}}, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, nil, []EndedRow{{Number: 1, Run: run, Kind: EndStopped}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against placing tasks beside a run whose job, and therefore whose needs, the scheduler doesn't know.
func TestNothingIsPlacedBesideAnUnknownRun(t *testing.T) {
	h := newHarness(t, 1)
	unknown := RunID{TaskID{"unknown", 0, 0}, 1}
	h.renew(0, []RunningRow{{Run: unknown}}, nil)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, nil, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a task that waits for good for a run that ended without a trace: the worker restarted, its lease expired, or it
// left the registry.
func TestUnexpectedRunEndsWithItsWorker(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"restart": func(h *harness) { h.renewInstance(0, 2, nil, nil) },
		"lease":   func(h *harness) { h.s.WorkerLeaseExpired(workerID(0), h.now) },
		"gone": func(h *harness) {
			h.s.WorkerTerminated(workerID(0), 1, h.now)
			h.s.ForgetIdleWorkers()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, run := giveUpRun(t)
			h.renew(0, []RunningRow{{Run: run}}, nil)
			end(h)
			report := h.workerReport(1)
			h.s.SetWorkers([]WorkerReport{report}, h.now)
			h.renew(1, nil, nil)
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 1)
			assert.Equal(t, len(h.s.WorkersInUse()), 1)
		})
	}
}

// Guards against a worker that is forgotten, and not called any more, while an unexpected run goes on there.
func TestWorkerWithAnUnexpectedRunIsKept(t *testing.T) {
	h, run := giveUpRun(t)
	h.renew(0, []RunningRow{{Run: run}}, nil)
	h.s.SetWorkers(nil, h.now)
	assert.Equal(t, len(h.s.WorkersInUse()), 1)
	h.renew(0, nil, []EndedRow{{Number: 1, Run: run, Kind: EndStopped}})
	h.s.ForgetIdleWorkers()
	assert.Equal(t, len(h.s.WorkersInUse()), 0)
}

// Guards against an inventory that was requested before an unexpected run was first listed and makes its capacity free.
func TestEarlierInventoryDoesNotEndAnUnexpectedRun(t *testing.T) {
	h, run := giveUpRun(t)
	requested := h.s.OrderSequence()
	h.renew(0, []RunningRow{{Run: run}}, nil)
	h.s.ApplyInventory(Inventory{Worker: workerID(0), StartMS: 1, RequestSequence: requested}, h.now)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
}

// Guards against a delay of a task's next run by a late inventory that lists the earlier run as running, although that one has
// ended or was found to be gone.
func TestLateInventoryListsNoUnexpectedRun(t *testing.T) {
	for name, ended := range map[string]bool{"ended": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 3000)}})
			h.advance(0)
			o := h.takeStarts()[0]
			h.confirm(o)
			requested := h.s.OrderSequence()
			if ended {
				h.renew(0, nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndFailed}})
			} else {
				h.renew(0, nil, nil)
			}
			late := Inventory{Worker: o.Worker, StartMS: 1, RequestSequence: requested, Running: []RunningRow{{Run: o.Run}}}
			assert.Equal(t, len(h.s.ApplyInventory(late, h.now)), 0)
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 1)
		})
	}
}

// Guards against a successor that places tasks beside members of a gang whose end it knows from the record and whose workers
// still list them.
func TestSuccessorCountsListedMembersOfADoneGang(t *testing.T) {
	h := newHarness(t, 2)
	gang := tasks(2, 3000)
	gang.Gang = true
	job := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{gang}, AcceptedMS: start.UnixMilli()}
	h.addJob(job)
	h.advance(0)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 2)
	h.confirm(orders...)
	h.renew(indexOf(orders[0].Worker), nil, []EndedRow{{Number: 1, Run: orders[0].Run, Kind: EndDone}})
	h.now = h.now.Add(2 * writeDelay)
	h.s.Advance(h.now)
	h.commitRecords()

	h.s = h.newScheduler()
	assert.NilError(t, h.s.AddJob(job, h.records["a"], h.now))
	h.s.SetWorkers(h.reports, h.now)
	h.addJob(Job{ID: "b", Steps: []Step{tasks(1, 4000)}})
	h.renew(indexOf(orders[1].Worker), []RunningRow{{Run: orders[1].Run}}, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(indexOf(orders[1].Worker), nil, []EndedRow{{Number: 1, Run: orders[1].Run, Kind: EndDone}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against starts beside an unexpected run that is still listed: the inventory was requested before another run was known to
// have ended.
func TestUnexpectedRunOutlastsALateInventoryThatListsIt(t *testing.T) {
	h, run := giveUpRun(t)
	h.renew(0, []RunningRow{{Run: run}}, nil)
	h.addJob(Job{ID: "b", Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	other := h.takeStarts()
	assert.Equal(t, len(other), 1)
	h.confirm(other...)
	requested := h.s.OrderSequence()
	h.renew(0, []RunningRow{{Run: run}}, []EndedRow{{Number: 1, Run: other[0].Run, Kind: EndDone}})
	h.s.ApplyInventory(Inventory{Worker: workerID(0), StartMS: 1, RequestSequence: requested, Running: []RunningRow{{Run: run}, {Run: other[0].Run}}}, h.now)
	h.addJob(Job{ID: "c", Steps: []Step{tasks(1, 3000)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
}

// Guards against a start beside a run of an unknown job, whose needs aren't known, because the start was decided before.
func TestDecidedStartIsDroppedBesideAnUnknownRun(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 3000)}})
	assert.Equal(t, len(h.decide()), 0)
	h.renew(0, []RunningRow{{Run: RunID{TaskID{"unknown", 0, 0}, 1}}}, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, nil, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}
