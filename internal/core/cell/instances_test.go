package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against starts beyond the capacity of a worker that has restarted with less of it, before the registry is read again.
func TestRestartedWorkerIsNotUsedByItsEarlierEntry(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(2, 1500)}})
	h.renewInstance(0, 2, nil, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0, "the registry still lists the earlier instance")
	h.listInstance(0, 2, 2000)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a registry entry of an earlier instance that gives a worker its earlier capacity back.
func TestEntryOfEarlierInstanceIsNotUsed(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 2, 1000)
	h.renewInstance(0, 2, nil, nil)
	h.listInstance(0, 1, 4000)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(2, 1000)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.listInstance(0, 2, 1000)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a worker whose wall clock has gone back at its restart: its earlier entry must not count as another restart.
func TestUnchangedEntryIsNoRestart(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 5, 4000)
	h.renewInstance(0, 5, nil, nil)
	h.renewInstance(0, 2, nil, nil)
	h.listInstance(0, 5, 4000)
	assert.Equal(t, h.s.workers[workerID(0)].StartMS, int64(2))
	assert.Assert(t, h.s.workers[workerID(0)].reached)
}

// Guards against a start on a worker whose registry entry has become that of another instance since the placement.
func TestDecidedStartIsDroppedIfAnotherInstanceIsListed(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 2, 4000)
	h.renewInstance(0, 2, nil, nil)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	assert.Equal(t, len(h.decide()), 0)
	h.commitRecords()
	h.listInstance(0, 1, 4000)
	assert.Equal(t, len(h.decide()), 0)
	h.listInstance(0, 2, 4000)
	h.advance(20 * time.Millisecond)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run.Run, 2)
}

// Guards against a late inventory of an earlier instance that makes the worker that instance again: its runs were stopped, and
// the living instance was told to forget ends that it had never reported.
func TestLateInventoryOfEarlierInstanceIsIgnored(t *testing.T) {
	for name, starts := range map[string][2]int64{"rising": {1, 2}, "clock went back": {2, 1}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.listInstance(0, starts[0], 4000)
			h.renewInstance(0, starts[0], nil, nil)
			requested := h.s.OrderSequence()
			h.renewInstance(0, starts[1], nil, nil)
			h.listInstance(0, starts[1], 4000)
			h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
			h.advance(20 * time.Millisecond)
			o := h.takeStarts()[0]
			h.confirm(o)
			late := Inventory{Worker: o.Worker, StartMS: starts[0], RequestSequence: requested,
				Ended: []EndedRow{{Number: 7, Run: RunID{TaskID{"gone", 0, 0}, 1}, Kind: EndDone}}}
			assert.Equal(t, len(h.s.ApplyInventory(late, h.now)), 0)
			cursor, _ := h.s.AckCursor(o.Worker)
			assert.Equal(t, cursor, int64(0))
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStops()), 0)
		})
	}
}

// Guards against an inventory that was requested before the worker's lease expired and makes it usable again, with runs listed
// that were released.
func TestInventoryRequestedBeforeReleaseIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.confirm(o)
	requested := h.s.OrderSequence()
	h.s.WorkerLeaseExpired(o.Worker, h.now)
	late := Inventory{Worker: o.Worker, StartMS: 1, RequestSequence: requested, Running: []RunningRow{{Run: o.Run}}}
	assert.Equal(t, len(h.s.ApplyInventory(late, h.now)), 0)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, nil, nil)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a worker that was taken for ended and stays unused although its instance answers.
func TestWorkerThatAnswersIsNotTerminated(t *testing.T) {
	h := newHarness(t, 1)
	h.s.WorkerTerminated(workerID(0), 1, h.now)
	h.renew(0, nil, nil)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against a restart that isn't noticed because the worker's registry entry states no start: the acknowledgment of the
// earlier instance reached the next one.
func TestRestartIsNoticedWithoutAStartInTheRegistry(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 0, 4000)
	h.renewInstance(0, 1, nil, []EndedRow{{Number: 3, Run: RunID{TaskID{"gone", 0, 0}, 1}, Kind: EndDone}})
	h.renewInstance(0, 2, nil, nil)
	cursor, _ := h.s.AckCursor(workerID(0))
	assert.Equal(t, cursor, int64(0))
}

// Guards against a late inventory of an earlier instance after its worker was forgotten and has come back.
func TestLateInventoryAfterTheWorkerWasForgottenIsIgnored(t *testing.T) {
	h := newHarness(t, 0)
	h.listInstance(0, 1, 4000)
	requested := h.s.OrderSequence()
	h.s.SetWorkers(nil, h.now)
	h.listInstance(0, 2, 4000)
	h.s.ApplyInventory(Inventory{Worker: workerID(0), StartMS: 1, RequestSequence: requested}, h.now)
	assert.Equal(t, h.s.workers[workerID(0)].StartMS, int64(2))
}
