package node

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

var redAllowance = resource.Vector{Slots: 16, MilliCPU: 46_000, MemoryMB: 97_280}

// newDonor returns a node and the owner of its partition z/0, of whose allowance the red team uses nothing. Its loop
// doesn't run; the test applies the events.
func newDonor(t *testing.T, store port.Store) (*Node, *owner) {
	t.Helper()
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	n := New(Options{ID: "n1", Timing: DefaultTiming()}, Ports{Store: store, Clock: port.SystemClock{}}, noRoutes{}, log, telemetry.NewRegistry(log))
	record := quota.Record{Team: "red", Limit: redAllowance.Scale(2), Parts: map[string]resource.Vector{"z/0": redAllowance, "z/1": redAllowance}}
	value, err := json.Marshal(record)
	assert.NilError(t, err)
	revision, err := store.Put(t.Context(), port.Write{Key: port.AllowancePrefix + "red", Value: value})
	assert.NilError(t, err)
	n.state.putAllowance(record, revision)
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

// applyQueued applies the events in the owner's inbox and those that they cause.
func applyQueued(o *owner) {
	for synctest.Wait(); ; synctest.Wait() {
		e, ok := o.inbox.TryPop()
		if !ok {
			return
		}
		e.apply(o, time.Now())
	}
}

// Guards against allowance that no partition may use: the owner grants it after the requester has stopped waiting.
func TestGrantAfterTheRequestTimedOutIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := newDonor(t, newCountingStore())
		ctx, cancel := context.WithTimeout(t.Context(), n.options.Timing.PeerTimeout)
		defer cancel()
		_, err := n.transferAllowance(ctx, o, quota.AllowanceRequest{Team: "red", From: "z/0", To: "z/1", Amount: resource.Vector{Slots: 10}})
		assert.ErrorIs(t, err, port.ErrUnavailable)
		applyQueued(o)
		assert.DeepEqual(t, o.pendingGrants["red"], resource.Vector{})
		entry, _ := n.state.allowance("red")
		assert.DeepEqual(t, entry.record.Parts["z/0"], redAllowance)
	})
}

// Guards against a move that is applied twice: the store has applied it, its answer is lost, and another write follows
// before the node writes again. The receiving partition would use allowance that the donor uses as well.
func TestMoveFollowedByAnotherWriteIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{countingStore: newCountingStore(), answers: []error{nil, port.ErrUnknownOutcome}}
		n, o := newDonor(t, store)
		otherMove := func() {
			entry, err := store.Get(t.Context(), port.AllowancePrefix+"red")
			assert.NilError(t, err)
			var record quota.Record
			assert.NilError(t, json.Unmarshal(entry.Value, &record))
			record, err = record.Move("z/1", "z/0", resource.Vector{Slots: 1})
			assert.NilError(t, err)
			value, err := json.Marshal(record.WrittenBy("other"))
			assert.NilError(t, err)
			_, err = store.countingStore.Put(t.Context(), port.Write{Key: port.AllowancePrefix + "red", Value: value})
			assert.NilError(t, err)
		}
		go func() {
			time.Sleep(syncRetry / 2)
			otherMove()
		}()
		go func() {
			synctest.Wait()
			applyQueued(o)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), n.options.Timing.PeerTimeout)
		defer cancel()
		reply, err := n.transferAllowance(ctx, o, quota.AllowanceRequest{Team: "red", From: "z/0", To: "z/1", Amount: resource.Vector{Slots: 5}})
		assert.NilError(t, err)
		assert.Equal(t, reply.Moved, resource.Vector{Slots: 5})
		entry, _ := n.state.allowance("red")
		assert.Equal(t, entry.record.Parts["z/0"].Slots, redAllowance.Slots-5+1)
		applyQueued(o)
		assert.DeepEqual(t, o.pendingGrants["red"], resource.Vector{})
	})
}
