package workerproc

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSpecDescribesJob guards against specifications that don't describe their job, and bodies without its steps.
func TestSpecDescribesJob(t *testing.T) {
	j := Job{ID: "0000000100000001", Team: "team", Advised: true, Steps: []Step{
		{Count: 3, CPU: 500, MemMB: 64, Duration: 300 * time.Millisecond, FailRuns: []int{1}, FailProbability: 0.1, Checkpointing: true},
		{Count: 1, After: []int{0}, Gang: true, Label: "a", MaxPerServer: 1, Service: true}}}
	parsed, err := ParseSpec(j.Spec())
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed, j)
	var body struct {
		Spec  string
		Steps []map[string]any
	}
	assert.NilError(t, json.Unmarshal([]byte(j.Body()), &body))
	assert.Equal(t, body.Spec, j.Spec())
	assert.DeepEqual(t, body.Steps[0], map[string]any{"count": 3., "cpu": 500., "mem_mb": 64., "estimate_ms": 300., "checkpointing": true})
	assert.Equal(t, body.Steps[1]["max_unavailable"], 1.)
}

// TestInvalidSpecs guards against invalid specifications and task names that are taken for valid ones.
func TestInvalidSpecs(t *testing.T) {
	for _, spec := range []string{"", "s", `{"steps":1}`} {
		_, err := ParseSpec(spec)
		assert.Assert(t, err != nil, spec)
	}
	for _, name := range []string{"", "1.0.0", "1.0.0.0.0", "1.0.x.0", "1.0.0.-1"} {
		_, err := ParseTask(name)
		assert.Assert(t, err != nil, name)
	}
	name, err := ParseTask("a.0.1.2")
	assert.NilError(t, err)
	assert.Equal(t, name, TaskName{Job: "a", Step: 1, Index: 2})
	assert.Equal(t, name.String(), "a.0.1.2")
}
