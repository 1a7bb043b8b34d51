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

// RetryDelay is the delay between two attempts to serve a caller's request.
const RetryDelay = 60 * time.Millisecond

// ErrStoreSilent means that a call wasn't sent because the store doesn't answer.
var ErrStoreSilent = errors.Wrap(port.ErrUnavailable, "the store doesn't answer this node")

// Submission is a job to be accepted.
type Submission struct {
	ID     cell.JobID
	Team   string // empty if it was submitted without a key
	Record []byte
}

// txn returns the transaction that accepts the job unless it was accepted before, its team has canceled it, or the window
// isn't open any more.
func (s Submission) txn(window port.Expect) port.Txn {
	return port.Txn{
		Conditions: []port.Expect{{Key: storekey.Job(s.ID)}, {Key: storekey.Done(s.ID)}, {Key: storekey.Tombstone(s.ID, s.Team)}, window},
		Puts:       []port.Put{{Key: storekey.Job(s.ID), Value: s.Record}},
	}
}

// Accept writes the record of a job and returns its revision. If the job was accepted earlier, the returned revision is 0.
// Until ctx is done it repeats calls that fail. It fails with port.ErrNotAccepted, port.ErrCanceled or
// port.ErrAcceptanceUnknown.
func (i *Intake) Accept(ctx context.Context, s Submission) (revision int64, err error) {
	outcomeUnknown := false
	for {
		revision, err = i.attempt(ctx, s)
		switch {
		case err == nil || errors.Is(err, port.ErrCanceled):
			return revision, err
		case errors.Is(err, port.ErrUnknownOutcome):
			outcomeUnknown = true
		case (errors.Is(err, ErrStoreSilent) || errors.Is(err, errStoodStill)) && !outcomeUnknown:
			return 0, errors.Wrap(port.ErrNotAccepted, err.Error())
		case errors.Is(err, errWindowLost) && ctx.Err() == nil:
			continue
		}
		if !wait.For(ctx, RetryDelay) {
			if outcomeUnknown {
				return 0, errors.Wrap(port.ErrAcceptanceUnknown, err.Error())
			}
			return 0, errors.Wrap(port.ErrNotAccepted, err.Error())
		}
	}
}

// errWindowLost means that nothing was written because the node's window isn't open any more.
var errWindowLost = errors.Wrap(port.ErrUnavailable, "the submission window has ended")

// attempt tries once to write the record of a job.
func (i *Intake) attempt(ctx context.Context, s Submission) (revision int64, err error) {
	if !i.window.isOpen() && !i.available() {
		return 0, ErrStoreSilent
	}
	window, err := i.window.current(ctx)
	if err != nil {
		return 0, err
	}
	// A standstill after this check ends the window.
	if i.standstill.tooLong() {
		return 0, errStoodStill
	}
	revision, err = i.store.Commit(ctx, s.txn(port.Expect{Key: i.window.key, Revision: window}))
	var conflict *port.TxnConflictError
	if !errors.As(err, &conflict) {
		return revision, err
	}
	if err := s.resolve(conflict); !errors.Is(err, errWindowLost) {
		return 0, err
	}
	i.metrics.windows("lost")
	i.window.drop(window)
	return 0, errWindowLost
}

// resolve returns nil if the conflict shows that the job was accepted earlier, possibly by an earlier attempt. A tombstone
// excludes that, because it is written only while the job doesn't exist.
func (s Submission) resolve(conflict *port.TxnConflictError) error {
	if _, canceled := conflict.Entry(storekey.Tombstone(s.ID, s.Team)); canceled {
		return port.ErrCanceled
	}
	for _, key := range []string{storekey.Job(s.ID), storekey.Done(s.ID)} {
		if _, exists := conflict.Entry(key); exists {
			return nil
		}
	}
	return errWindowLost
}
