package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

const (
	// MaxTombstoneLife is the longest time for which a tombstone exists. It is the life of its lease.
	MaxTombstoneLife = 180 * time.Second
	// tombstoneLeasePeriod is how long new tombstones of a node share a lease.
	tombstoneLeasePeriod = 30 * time.Second
	// MinTombstoneLife is the shortest time for which a tombstone exists after its cancellation was acknowledged. A submission
	// must not be accepted that much later than it was sent.
	MinTombstoneLife = MaxTombstoneLife - tombstoneLeasePeriod - maxWriteTime

	// tombstonesPerSecond and tombstoneBurst bound the tombstones that a node writes. Callers may cancel jobs that never
	// existed as often as they like, and each of them takes a write of the platform's store.
	tombstonesPerSecond = 2
	tombstoneBurst      = 60
)

var (
	// ErrTooManyCancels means that callers cancel jobs that don't exist too often. Nothing was written.
	ErrTooManyCancels = errors.Wrap(port.ErrUnavailable, "too many cancellations of jobs that don't exist")
	// ErrJobExists means that the job exists, so that it can be canceled. Nothing was written.
	ErrJobExists = errors.Wrap(port.ErrUnavailable, "the job was accepted meanwhile")
)

// Forbid writes a tombstone for a job that doesn't exist: submissions of the job by the team, of which one may be under way
// anywhere, are refused from then on for at least MinTombstoneLife. Submissions by other teams aren't affected. Until ctx is
// done it repeats calls that fail. Besides the store's errors it fails with ErrTooManyCancels or ErrJobExists.
func (i *Intake) Forbid(ctx context.Context, id cell.JobID, team string) error {
	if !i.tombstoneRate.Allow() {
		i.metrics.tombstones("limited")
		i.limitedLog.Do(func() {
			i.log.Warn("cancellations limited", "subject", string(id), "team", team, "reason", "too many of jobs that don't exist")
		})
		return ErrTooManyCancels
	}
	t := port.Txn{Conditions: []port.Expect{{Key: storekey.Job(id)}, {Key: storekey.Done(id)}},
		Puts: []port.Put{{Key: storekey.Tombstone(id, team), Value: []byte("{}")}}}
	for {
		_, err := i.store.Commit(ctx, t)
		var conflict *port.TxnConflictError
		switch {
		case err == nil:
			i.metrics.tombstones("written")
			return nil
		case errors.As(err, &conflict):
			i.metrics.tombstones("job exists")
			return ErrJobExists
		}
		if !wait.For(ctx, RetryDelay) {
			i.metrics.tombstones("failed")
			return err
		}
	}
}
