package workerclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/standin/worker"
	"sequoiastall/internal/workerclient"
)

const lease = time.Minute

func start(t *testing.T, count int) (*worker.Fleet, *workerclient.Client) {
	t.Helper()
	f, err := worker.NewFleet(worker.FleetOptions{
		Count: count, RackSize: 6, Listen: "127.0.0.1:0",
		Worker: worker.Options{
			Zone: "a", Pool: "large", Connections: 64, Capacity: resource.Vector{Slots: 8, MilliCPU: 16_000, MemoryMB: 32_000},
		},
	})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	c := workerclient.New(port.SystemClock{}, connection.Options{})
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	return f, c
}

func tasks(n int32) []port.TaskStart {
	var out []port.TaskStart
	for i := range n {
		out = append(out, port.TaskStart{Index: i, Attempt: 1})
	}
	return out
}

// Guards against fields that are lost or swapped in the conversion, and responses mapped to the wrong error.
func TestCallsRoundTrip(t *testing.T) {
	f, c := start(t, 1)
	ctx, host := t.Context(), f.Hosts()[0]
	inv, err := c.Acquire(ctx, host, "n1", lease, lease)
	assert.NilError(t, err)
	assert.DeepEqual(t, inv.Capacity, resource.Vector{Slots: 8, MilliCPU: 16_000, MemoryMB: 32_000})
	assert.Equal(t, inv.Connections, int64(64))
	assert.Equal(t, inv.Pool, "large")
	_, err = c.Acquire(ctx, host, "n2", lease, lease)
	var held *port.LeaseHeldError
	assert.Assert(t, errors.As(err, &held))
	assert.Equal(t, held.Holder, "n1")
	assert.Assert(t, held.For > 0 && held.For <= lease)

	batch := port.StartGroup{Job: "j", Reserved: resource.Vector{Slots: 4, MemoryMB: 10}, Payload: []byte(`{"memory_mb":77}`), Duration: lease, Tasks: tasks(3)}
	service := port.StartGroup{Job: "s", Service: true, Concurrency: 2, Tasks: tasks(1)}
	s := port.Sync{Token: inv.Token, Node: "n1", Starts: []port.StartGroup{batch, service}, WantUsage: true}
	r, err := c.Sync(ctx, host, s)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Refusals, []port.Refusal{{Task: job.TaskID{Job: "j", Index: 2}, Attempt: 1, Code: port.RefusedCapacity}})
	assert.Assert(t, r.Events[0].Record.Address != "")
	assert.Equal(t, len(r.Usage), 3)

	stop := port.Sync{Token: inv.Token, Node: "n1", SeenThrough: r.Events[0].Sequence, Commands: []port.Command{
		{Task: job.TaskID{Job: "j"}, Attempt: 1, Action: port.Checkpoint},
		{Task: job.TaskID{Job: "j", Index: 1}, Attempt: 1, Action: port.Throttle},
	}}
	r, err = c.Sync(ctx, host, stop)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Events), 1)
	assert.Equal(t, r.Events[0].Record.State, port.TaskCheckpointed)
	assert.Assert(t, len(r.Events[0].Record.Checkpoint) > 0)
	again, err := c.Acquire(ctx, host, "n1", lease, lease)
	assert.NilError(t, err)
	assert.Equal(t, again.Token, inv.Token+1)
	assert.Equal(t, again.Sequence, r.Events[0].Sequence)
	throttled := 0
	for _, record := range again.Tasks {
		if record.Throttled {
			throttled++
		}
	}
	assert.Equal(t, throttled, 1)

	_, err = c.Sync(ctx, host, stop)
	assert.ErrorIs(t, err, port.ErrFenced)
	assert.NilError(t, c.Release(ctx, host, "n1", again.Token))
	_, err = c.Acquire(ctx, host, "n2", lease, lease)
	assert.NilError(t, err)
}

// Guards against input that the worker rejects as invalid being retried forever, or converted into another command.
func TestInvalidInput(t *testing.T) {
	f, c := start(t, 1)
	ctx, host := t.Context(), f.Hosts()[0]
	var invalid *workerclient.InvalidError
	_, err := c.Acquire(ctx, host, "", lease, lease)
	assert.Assert(t, errors.As(err, &invalid))
	_, err = c.Sync(ctx, host, port.Sync{Commands: []port.Command{{Action: 99}}})
	assert.Assert(t, errors.As(err, &invalid))
	_, err = c.Acquire(ctx, port.Host{ID: "w", Address: "nowhere"}, "n1", lease, lease)
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

// Guards against a lost response being reported as no effect, and against keeping a connection that no longer responds.
func TestOutcomesAndReconnect(t *testing.T) {
	f, c := start(t, 2)
	ctx, host, w := t.Context(), f.Hosts()[0], f.Workers()[0]
	inv, err := c.Acquire(ctx, host, "n1", lease, lease)
	assert.NilError(t, err)

	w.SilenceConnections()
	_, err = c.Sync(ctx, host, port.Sync{Token: inv.Token, Node: "n1"})
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	_, err = c.Sync(ctx, host, port.Sync{Token: inv.Token, Node: "n1"})
	assert.NilError(t, err)

	w.Freeze(true)
	_, err = c.Sync(ctx, host, port.Sync{Token: inv.Token, Node: "n1"})
	assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	w.Freeze(false)
	_, err = c.Sync(ctx, host, port.Sync{Token: inv.Token, Node: "n1"})
	assert.NilError(t, err)

	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = c.Sync(cancelled, host, port.Sync{Token: inv.Token, Node: "n1"})
	assert.ErrorIs(t, err, port.ErrUnavailable)
	f.Workers()[1].Stop()
	_, err = c.Acquire(ctx, f.Hosts()[1], "n1", lease, lease)
	assert.ErrorIs(t, err, port.ErrUnavailable)
	assert.NilError(t, c.Close())
	_, err = c.Acquire(ctx, host, "n1", lease, lease)
	assert.ErrorIs(t, err, port.ErrUnavailable)
}

// Guards against a fleet whose workers share state or whose racks have the wrong size.
func TestFleet(t *testing.T) {
	f, c := start(t, 13)
	racks := map[string]int{}
	for _, h := range f.Hosts() {
		racks[h.Rack]++
		inv, err := c.Acquire(t.Context(), h, "n1", lease, lease)
		assert.NilError(t, err)
		_, err = c.Sync(t.Context(), h, port.Sync{Token: inv.Token, Node: "n1", Starts: []port.StartGroup{
			{Job: job.ID("j-" + h.ID), Reserved: resource.Vector{Slots: 4}, Tasks: tasks(2)},
		}})
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, racks, map[string]int{"a-r0": 6, "a-r1": 6, "a-r2": 1})
	assert.Equal(t, len(f.Log().Runs()), 26)
	assert.Equal(t, len(f.Log().Violations(f.Capacity())), 0)
	_, err := worker.NewFleet(worker.FleetOptions{Count: 1, Listen: "127.0.0.1:0"})
	assert.ErrorContains(t, err, "racks of 0")
}
