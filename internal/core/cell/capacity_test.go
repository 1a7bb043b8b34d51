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
