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

// retryDelay is the delay between two attempts to write a job's record.
const retryDelay = 60 * time.Millisecond

// ErrStoreSilent means that a call wasn't sent because the store doesn't answer.
var ErrStoreSilent = errors.Wrap(port.ErrUnavailable, "the store doesn't answer this node")

// Submission is a job to be accepted.
type Submission struct {
	ID     cell.JobID
	Team   string // empty if it was submitted without a key
	Record []byte
}

// txn returns the transaction that accepts the job unless it was accepted before or its team has canceled it.
func (s Submission) txn() port.Txn {
	return port.Txn{
		Conditions: []port.Expect{{Key: storekey.Job(s.ID)}, {Key: storekey.Done(s.ID)}, {Key: storekey.Tombstone(s.ID, s.Team)}},
		Puts:       []port.Put{{Key: storekey.Job(s.ID), Value: s.Record}},
	}
}

// Accept writes the record of a job and returns its revision. If the job was accepted earlier, the returned revision is 0.
// Until ctx is done it repeats calls that fail. It fails with port.ErrNotAccepted, port.ErrCanceled or
// port.ErrAcceptanceUnknown.
func (i *Intake) Accept(ctx context.Context, s Submission) (revision int64, err error) {
	t := s.txn()
	outcomeUnknown := false
	for {
		revision, err = i.store.Commit(ctx, t)
		var conflict *port.TxnConflictError
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			return 0, s.resolve(conflict)
		case errors.Is(err, port.ErrUnknownOutcome):
			outcomeUnknown = true
		case errors.Is(err, ErrStoreSilent) && !outcomeUnknown:
			return 0, errors.Wrap(port.ErrNotAccepted, err.Error())
		}
		if !wait.For(ctx, retryDelay) {
			if outcomeUnknown {
				return 0, errors.Wrap(port.ErrAcceptanceUnknown, err.Error())
			}
			return 0, errors.Wrap(port.ErrNotAccepted, err.Error())
		}
	}
}

// resolve returns nil if the conflict shows that the job was accepted earlier, possibly by an earlier attempt. A tombstone
// excludes that, because it is written only while the job doesn't exist.
func (s Submission) resolve(conflict *port.TxnConflictError) error {
	if _, canceled := conflict.Entry(storekey.Tombstone(s.ID, s.Team)); canceled {
		return port.ErrCanceled
	}
	return nil
}
