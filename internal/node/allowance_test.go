package node

import (
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

var redAllowance = resource.Vector{Slots: 16, MilliCPU: 46_000, MemoryMB: 97_280}

// newDonor returns a node and the owner of its partition z/0, of whose allowance the red team uses nothing. Its loop
// doesn't run.
func newDonor(t *testing.T, store port.Store) (*Node, *owner) {
	t.Helper()
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	n := New(Options{ID: "n1", Timing: DefaultTiming()}, Ports{Store: store, Clock: port.SystemClock{}}, noRoutes{}, log, telemetry.NewRegistry(log))
	o := newOwner(n, "z/0", func() {})
	o.verified = true
	o.machine.SetAllowance("red", redAllowance)
	t.Cleanup(func() { close(o.done) })
	return n, o
}

// Guards against a gang that waits forever because the allowance that it lacks isn't requested while the partition has
// slack of at least the same size.
func TestNeedBelowTheSlackIsRequested(t *testing.T) {
	n, o := newDonor(t, newCountingStore())
	o.requestAllowance(partition.AllowanceNeed{Team: "red", Amount: resource.Vector{Slots: 6}, Blocking: resource.Vector{Slots: 6}})
	assert.DeepEqual(t, n.allowanceNeeds.take(), map[needKey]resource.Vector{{"z/0", "red"}: {Slots: 6}})
	o.requestAllowance(partition.AllowanceNeed{Team: "red", Amount: resource.Vector{MilliCPU: 29_500, MemoryMB: 15_104}})
	assert.Equal(t, len(n.allowanceNeeds.take()), 0, "CPU and memory that hold nothing back")
}
