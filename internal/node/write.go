package node

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sequoiastall/internal/port"
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
