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

// Guards against a canceled job that runs because the store carries its submission out later than tombstones last. The node that
// sent the submission lives on, or has ended.
func TestCanceledSubmissionIsNotCarriedOutHoweverLate(t *testing.T) {
	for _, ended := range []bool{false, true} {
		for delay := time.Duration(0); delay < 2*MaxTombstoneLife; delay += 5 * time.Second {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				i, other := newTestIntake(t, store), newTestIntake(t, store)
				store.hold = true
				assert.ErrorIs(t, accept(t, i, "red"), port.ErrAcceptanceUnknown)
				store.hold = false
				assert.NilError(t, forbid(t, other, "a", "red"))
				if !ended {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					go i.KeepWindow(ctx)
				}
				time.Sleep(delay)
				store.release()
				assert.Equal(t, store.count(storekey.Jobs), 0, "after %v, ended: %v", delay, ended)
			})
		}
	}
}

// Guards against submissions that fail because a window was replaced or has ended, as after a long silence of the store.
func TestSubmissionOutlivesItsWindow(t *testing.T) {
	for name, lose := range map[string]func(t *testing.T, i *Intake, store *memoryStore){
		"replaced by another process": func(t *testing.T, i *Intake, store *memoryStore) {
			_, err := store.Commit(t.Context(), port.Txn{Puts: []port.Put{{Key: i.window.key}}})
			assert.NilError(t, err)
		},
		"ended": func(t *testing.T, i *Intake, store *memoryStore) {
			store.mu.Lock()
			defer store.mu.Unlock()
			delete(store.entries, i.window.key)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				i := newTestIntake(t, store)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go i.KeepWindow(ctx)
				time.Sleep(windowPeriod / 2)
				lose(t, i, store)
				began := time.Now()
				assert.NilError(t, accept(t, i, "red"))
				assert.Assert(t, time.Since(began) < RetryDelay)
				assert.Equal(t, store.count(storekey.Jobs), 1)
			})
		})
	}
}

// Guards against a submission that waits for a window while the store doesn't answer: it must be refused at once.
func TestSubmissionWithoutWindowIsRefusedWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(t, newMemoryStore())
		i.available = func() bool { return false }
		i.window.drop(i.window.revision)
		began := time.Now()
		assert.ErrorIs(t, accept(t, i, "red"), port.ErrNotAccepted)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Guards against a node whose windows cost more writes than the sum of writes has for them: a grant and a key in each period.
func TestWindowsCostFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		i := newTestIntake(t, store)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		before := store.writes()
		go i.KeepWindow(ctx)
		const periods = 10
		time.Sleep(periods*windowPeriod - time.Second)
		assert.Assert(t, store.writes()-before <= 2*periods, "%d", store.writes()-before)
		assert.Equal(t, store.count(storekey.Windows), 1)
	})
}
