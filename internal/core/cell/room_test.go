package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

// Guards against capacity that is withheld on a worker for more tasks than it can ever hold, and is missing on another one.
func TestNoMoreIsWithheldThanAWorkerCanHold(t *testing.T) {
	h := newHarness(t, 2)
	h.setCapacities(4000, 8000)
	h.startService("busy", plainQueue, tasks(3, 4000))
	gang := tasks(3, 3500)
	gang.Gang = true
	h.addJob(Job{ID: "gang", Queue: urgentQueue, Steps: []Step{gang}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, h.s.workers[workerID(0)].withheld.MilliCPU, int64(3500))
	assert.Equal(t, h.s.workers[workerID(1)].withheld.MilliCPU, int64(7000))
}

// Guards against a count of the tasks that a worker can hold that leaves out its capacity, the step's limit of tasks on one
// worker, or what the step has there already.
func TestTasksFitting(t *testing.T) {
	w := &worker{WorkerReport: WorkerReport{ID: "w", Capacity: resource.Vector{MilliCPU: 4000, MemoryMB: 1000}}}
	for _, c := range []struct {
		name                                               string
		tasks, maxPerWorker, running, fitting, fittingIdle int
		milliCPU, freeMilliCPU                             int64
	}{
		{name: "capacity", tasks: 8, milliCPU: 1000, freeMilliCPU: 2500, fitting: 2, fittingIdle: 4},
		{name: "number of tasks", tasks: 3, milliCPU: 100, freeMilliCPU: 2500, fitting: 3, fittingIdle: 3},
		{name: "limit", tasks: 8, milliCPU: 1000, maxPerWorker: 1, freeMilliCPU: 2500, fitting: 1, fittingIdle: 1},
		{name: "limit and running tasks", tasks: 8, milliCPU: 1000, maxPerWorker: 3, running: 2, freeMilliCPU: 2000, fitting: 1, fittingIdle: 1},
		{name: "limit reached", tasks: 8, milliCPU: 1000, maxPerWorker: 2, running: 2, freeMilliCPU: 2000},
		{name: "running tasks", tasks: 8, milliCPU: 1000, running: 3, freeMilliCPU: 1000, fitting: 1, fittingIdle: 1},
		{name: "nothing free", tasks: 8, milliCPU: 1000, freeMilliCPU: -500, fittingIdle: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := tasks(c.tasks, c.milliCPU)
			spec.MaxPerWorker = c.maxPerWorker
			st := newJob(Job{Steps: []Step{spec}}, start).steps[0]
			if c.running > 0 {
				st.tasksPerWorker[w.ID] = c.running
			}
			assert.Equal(t, st.tasksFitting(w, resource.Vector{MilliCPU: c.freeMilliCPU, MemoryMB: 1000}), c.fitting)
			assert.Equal(t, st.tasksOnIdle(w), c.fittingIdle)
		})
	}
}

// Guards against a gang that waits for up to 16 s for workers that are set aside, because another worker may run a part of it.
func TestLastResortCountsTheRoomForAGang(t *testing.T) {
	h := newLabelledHarness(t, 2)
	h.setAside(0)
	h.addJob(Job{ID: "fill", Steps: []Step{tasks(7, 3000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 7)
	gang := labelled(tasks(2, 1000))
	gang.Gang, gang.MaxPerWorker = true, 1
	h.addJob(Job{ID: "a", Steps: []Step{gang}})
	after, worker := h.nextStart(maxFaultPause)
	assert.Assert(t, worker != "" && after < 2*minFaultPause, "%s after %v", worker, after)
}
