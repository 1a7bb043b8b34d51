package cell

import (
	"testing"

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
