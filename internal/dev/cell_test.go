package dev

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
)

func exampleSet(t testing.TB, name string) object.Set {
	t.Helper()
	dir := "../../examples/" + name
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	var files []object.File
	for _, e := range entries {
		data, err := os.ReadFile(dir + "/" + e.Name())
		assert.NilError(t, err)
		files = append(files, object.File{Name: e.Name(), Data: data})
	}
	set, problems := object.Validate(files)
	assert.Equal(t, len(problems), 0, "%v", problems)
	return set
}

// TestEndToEnd guards against a cell in which a kind of work doesn't run to its end: a request, a batch job and a gang,
// sent to different nodes.
func TestEndToEnd(t *testing.T) {
	o := DefaultOptions(exampleSet(t, "gatecare"))
	o.Nodes, o.WorkersPerZone = 3, 6
	// CELL_LOG prints the logs of all nodes to stderr.
	if os.Getenv("CELL_LOG") != "" {
		o.Log = os.Stderr
	}
	cell, err := Start(o)
	assert.NilError(t, err)
	defer cell.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := func(i int, secret string) *callerclient.Client { return cell.Client(i, secret, http.DefaultClient) }

	batch, err := client(0, "example-harbour-batch").Submit(ctx, "batch-1", job.Spec{Queue: "harbour-reports", Class: job.Batch,
		Tasks: 20, Resources: resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 512}, DurationMS: 200, Idempotent: true})
	assert.NilError(t, err)
	gang, err := client(1, "example-river").Submit(ctx, "gang-1", job.Spec{Queue: "river-survey", Class: job.Gang,
		Tasks: 8, Resources: resource.Vector{Slots: 2, MilliCPU: 2000, MemoryMB: 512}, DurationMS: 200, Idempotent: true})
	assert.NilError(t, err)
	single, err := client(2, "example-dockyard").Submit(ctx, "once-1", job.Spec{Queue: "shared-reports", Class: job.Batch,
		Tasks: 5, Resources: resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 512}, DurationMS: 100})
	assert.NilError(t, err)
	for id, secret := range map[job.ID]string{batch.ID: "example-harbour-batch", gang.ID: "example-river", single.ID: "example-dockyard"} {
		status, err := client(0, secret).Wait(ctx, id)
		assert.NilError(t, err)
		assert.Equal(t, status.Phase, job.Done, status.Reason)
		assert.Equal(t, status.Succeeded, status.Spec.Tasks)
	}

	for i := range cell.Nodes {
		var body struct{ Path string }
		for {
			data, err := client(i, "example-canal").Call(ctx, http.MethodGet, "/services/canal-plans/gates/7", nil, nil)
			if err == nil {
				assert.NilError(t, json.Unmarshal(data, &body))
				break
			}
			assert.NilError(t, ctx.Err(), err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, body.Path, "/gates/7")
	}
	assert.DeepEqual(t, cell.Runs.Violations(cell.Capacity()), []string(nil))
}
