package intake

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// Guards against a job that runs although its cancellation was acknowledged: the submission was read by a node that had stood
// still, after the cancellation.
func TestCanceledSubmissionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		assert.NilError(t, forbid(t, newTestIntake(t, store), "a", "red"))
		time.Sleep(MinTombstoneLife)
		err := accept(t, newTestIntake(t, store), "red")
		assert.ErrorIs(t, err, port.ErrCanceled)
		assert.ErrorIs(t, err, port.ErrNotAccepted)
		assert.Equal(t, store.count(storekey.Jobs), 0)
	})
}

// Guards against the same with a submission that the store carries out late, after its node was told nothing.
func TestCanceledSubmissionInTheStoreIsNotCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		i := newTestIntake(t, store)
		store.hold = true
		assert.ErrorIs(t, accept(t, i, "red"), port.ErrAcceptanceUnknown)
		store.hold = false
		assert.NilError(t, forbid(t, newTestIntake(t, store), "a", "red"))
		store.release()
		assert.Equal(t, store.count(storekey.Jobs), 0)
	})
}

// Guards against a caller who cancels the IDs of others and so keeps their jobs from being accepted.
func TestCancellationLeavesJobsOfOthersAlone(t *testing.T) {
	for _, other := range []string{"blue", ""} {
		store := newMemoryStore()
		i := newTestIntake(t, store)
		assert.NilError(t, forbid(t, i, "a", "red"))
		assert.NilError(t, accept(t, i, other))
		assert.Equal(t, store.count(storekey.Jobs), 1, "job of %q", other)
	}
}

// Guards against an unknown outcome of a cancellation that takes effect after the job was accepted.
func TestLateTombstoneDoesNotFollowAnAcceptedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		i := newTestIntake(t, store)
		store.hold = true
		assert.ErrorIs(t, forbid(t, i, "a", "red"), port.ErrUnknownOutcome)
		store.hold = false
		assert.NilError(t, accept(t, i, "red"))
		store.release()
		assert.Equal(t, store.count(storekey.Tombstones), 0)
		assert.ErrorIs(t, forbid(t, i, "a", "red"), ErrJobExists)
		assert.NilError(t, accept(t, i, "red"), "the same submission again")
	})
}

// Guards against tombstones that fill the store: they end by themselves, share leases, and are limited in number.
func TestTombstonesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		i := newTestIntake(t, store)
		const second, limit = 10, tombstoneBurst + tombstonesPerSecond*int(MaxTombstoneLife/time.Second)
		most, leases := 0, 0
		for n := range 400 * second {
			if err := forbid(t, i, cell.JobID(fmt.Sprintf("%016x", n)), "red"); err != nil {
				assert.ErrorIs(t, err, ErrTooManyCancels)
			}
			most, leases = max(most, store.count(storekey.Tombstones)), max(leases, len(store.leaseEnd))
			time.Sleep(time.Second / second)
		}
		assert.Assert(t, most <= limit, "%d of %d", most, limit)
		assert.Assert(t, most > limit/2, "%d of %d", most, limit)
		assert.Assert(t, leases <= int(MaxTombstoneLife/tombstoneLeasePeriod)+1, "%d", leases)
		time.Sleep(MaxTombstoneLife)
		assert.Equal(t, store.count(storekey.Tombstones), 0)
	})
}

// Guards against an acknowledged cancellation whose tombstone ends soon, because the node stood still or the store was slow after
// its lease was chosen.
func TestTombstoneUnderAnOldLeaseIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		i := newTestIntake(t, store)
		store.slow = tombstoneLeasePeriod + 2*maxWriteTime
		assert.ErrorIs(t, forbid(t, i, "a", "red"), port.ErrUnknownOutcome)
		store.slow = 0
		assert.NilError(t, forbid(t, i, "a", "red"))
		time.Sleep(MinTombstoneLife)
		assert.Equal(t, store.count(storekey.Tombstones), 1)
	})
}

// Guards against a lease that the store has dropped and that makes every cancellation fail from then on.
func TestLapsedLeaseIsReplaced(t *testing.T) {
	store := newMemoryStore()
	i := newTestIntake(t, store)
	assert.NilError(t, forbid(t, i, "a", "red"))
	clear(store.leaseEnd)
	before := store.commits
	assert.NilError(t, forbid(t, i, "b", "red"))
	assert.Equal(t, store.commits-before, 2)
}
