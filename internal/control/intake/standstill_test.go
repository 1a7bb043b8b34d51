package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/port"
)

// Guards against a canceled job that runs because its submission waited in the socket of a process that stood still for longer
// than tombstones last. The submission may be read before or after the standstill is noticed.
func TestNoSubmissionIsAcceptedAfterALongStandstill(t *testing.T) {
	for name, wake := range map[string]func(t *testing.T, i *Intake){
		"before it is noticed": func(*testing.T, *Intake) {},
		"after it is noticed":  func(t *testing.T, i *Intake) { i.WatchStandstill(t.Context()); <-i.StoodStill() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				i := newTestIntake(t, store)
				time.Sleep(MaxTombstoneLife) // nothing notes that the process runs
				assert.NilError(t, i.OpenWindow(t.Context()))
				wake(t, i)
				assert.ErrorIs(t, accept(t, i, "red"), port.ErrNotAccepted)
				assert.Equal(t, store.count(storekey.Jobs), 0)
			})
		})
	}
}

// Guards against a node that ends after a pause that the tombstones outlast.
func TestShortStandstillIsBorne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(t, newMemoryStore())
		time.Sleep(standstillLimit - standstillTick)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go i.WatchStandstill(ctx)
		time.Sleep(time.Hour)
		assert.NilError(t, i.OpenWindow(t.Context()))
		assert.NilError(t, accept(t, i, "red"))
		select {
		case <-i.StoodStill():
			t.Fatal("stood still")
		default:
		}
	})
}

// Guards against a change of one of the bounds that lets a submission be carried out after the tombstone of its job has ended.
func TestTombstonesOutlastSubmissions(t *testing.T) {
	const (
		unread = 20*time.Second + 30*time.Second // the longest time in which a client may send a head and a body
		tries  = 2 * time.Second                 // of the node, to write the record
	)
	assert.Assert(t, standstillLimit+unread+tries+windowLease+windowLeasePeriod+maxWriteTime < MinTombstoneLife)
}
