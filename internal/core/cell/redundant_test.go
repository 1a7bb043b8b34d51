package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startAgain starts a task, releases its run by a lease that counts as expired, and starts it on another worker.
func startAgain(t *testing.T) (h *harness, first, second Order) {
	h = newHarness(t, 2)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 3000)}})
	h.advance(0)
	first = h.takeStarts()[0]
	h.confirm(first)
	h.s.WorkerLeaseExpired(first.Worker, h.now)
	h.advance(20 * time.Millisecond)
	second = h.takeStarts()[0]
	return h, first, second
}

// Guards against a later run that goes on, and whose room is given away, after an earlier run of its task has turned out to be
// done.
func TestLaterRunOfADoneTaskIsStopped(t *testing.T) {
	h, first, second := startAgain(t)
	h.confirm(second)
	h.renew(indexOf(second.Worker), []RunningRow{{Run: second.Run, Percent: 10}}, nil)
	h.renew(indexOf(first.Worker), nil, []EndedRow{{Number: 1, Run: first.Run, Kind: EndDone}})
	h.advance(20 * time.Millisecond)
	stops := h.takeStops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, second.Run)
	assert.Equal(t, h.s.State("a").Phase, Completed)
	h.confirm(stops...)
	used := h.s.workers[second.Worker]
	assert.Equal(t, used.free.MilliCPU, int64(1000), "it still runs")
	h.renew(indexOf(second.Worker), nil, []EndedRow{{Number: 1, Run: second.Run, Kind: EndStopped}})
	assert.Equal(t, used.free.MilliCPU, int64(4000))
	h.advance(50 * time.Millisecond)
	assert.Equal(t, h.finals["a"].Phase, Completed)
}

// Guards against freeing the room of a later run whose start is still on its way when an earlier run turns out to be done.
func TestLaterStartOfADoneTaskIsStoppedAfterItsOutcome(t *testing.T) {
	h, first, second := startAgain(t)
	h.renew(indexOf(first.Worker), nil, []EndedRow{{Number: 1, Run: first.Run, Kind: EndDone}})
	h.renew(indexOf(second.Worker), nil, nil)
	used := h.s.workers[second.Worker]
	assert.Equal(t, used.free.MilliCPU, int64(1000), "the order's outcome isn't known")
	h.confirm(second)
	h.advance(20 * time.Millisecond)
	stops := h.takeStops()
	assert.Equal(t, len(stops), 1)
	h.confirm(stops...)
	h.renew(indexOf(second.Worker), nil, nil)
	assert.Equal(t, used.free.MilliCPU, int64(4000))
}

// Guards against freeing the room of a later run on the same worker as the run that is done.
func TestLaterRunOnTheSameWorkerKeepsItsRoom(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 3000)}})
	h.advance(0)
	first := h.takeStarts()[0]
	h.confirm(first)
	h.s.WorkerLeaseExpired(first.Worker, h.now)
	h.renew(0, nil, nil)
	h.advance(20 * time.Millisecond)
	second := h.takeStarts()[0]
	h.confirm(second)
	h.renew(0, []RunningRow{{Run: second.Run}}, []EndedRow{{Number: 1, Run: first.Run, Kind: EndDone}})
	assert.Equal(t, h.s.workers[workerID(0)].free.MilliCPU, int64(1000))
}

// Guards against a later run of a gang that goes on after an earlier one has turned out to be done.
func TestLaterRunOfADoneGangIsStopped(t *testing.T) {
	h := newHarness(t, 3)
	gang := tasks(2, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Steps: []Step{gang}})
	h.advance(0)
	first := h.takeStarts()
	assert.Equal(t, len(first), 2)
	h.confirm(first...)
	for _, o := range first {
		h.s.WorkerLeaseExpired(o.Worker, h.now)
	}
	h.renewIdle()
	h.advance(50 * time.Millisecond)
	second := h.takeStarts()
	assert.Equal(t, len(second), 2)
	h.confirm(second...)
	h.renew(indexOf(first[0].Worker), nil, []EndedRow{{Number: 1, Run: first[0].Run, Kind: EndDone}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStops()), 2)
}
