package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/gateway"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

// put writes a record with the key and the condition of w and returns its revision. If the condition fails, the error
// is a *port.ConflictError and current is the record under the key, nil if there is none.
func put[T any](ctx context.Context, n *Node, w port.Write, record T) (revision int64, current *entry[T], err error) {
	if w.Value, err = json.Marshal(record); err != nil {
		return 0, nil, errors.Wrap(err, w.Key)
	}
	call, cancel := context.WithTimeout(ctx, n.options.Timing.StoreTimeout)
	defer cancel()
	revision, err = n.ports.Store.Put(call, w)
	n.recordStoreResult(err)
	var conflict *port.ConflictError
	if !errors.As(err, &conflict) || conflict.Current == nil {
		return revision, nil, err
	}
	current = &entry[T]{revision: conflict.Current.Revision}
	if err := json.Unmarshal(conflict.Current.Value, &current.record); err != nil {
		return 0, nil, errors.Wrap(err, w.Key)
	}
	return 0, current, conflict
}

// isUndecided reports whether an error leaves open what a write has done: its own outcome is unknown, or it wasn't sent,
// which says nothing about an earlier attempt.
func isUndecided(err error) bool {
	return errors.Is(err, port.ErrUnknownOutcome) || errors.Is(err, port.ErrUnavailable) || errors.Is(err, gateway.ErrNotAccepted)
}

// repeatUntilDecided calls write again after an attempt with an unknown outcome, until an attempt decides. write must be
// able to take effect at most once. If ctx ends first, the outcome stays unknown.
func repeatUntilDecided(ctx context.Context, pause time.Duration, write func() error) error {
	err := write()
	if !errors.Is(err, port.ErrUnknownOutcome) {
		return err
	}
	for wait.For(ctx, pause) {
		if err = write(); !isUndecided(err) {
			return err
		}
	}
	return errors.Wrap(port.ErrUnknownOutcome, "the store didn't answer in time")
}
