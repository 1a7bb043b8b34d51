package cli

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/port"
)

const (
	// writeAttempts and retryDelay bound the search for the outcome of a write whose answer was lost.
	writeAttempts = 10
	retryDelay    = 300 * time.Millisecond
)

// current is what the store holds at a moment.
type current struct {
	entry    port.Entry // zero if nothing was published yet
	document configuration.Document
	set      object.Set
}

// readCurrent reads the published set. A store without one yields revision 0 and an empty set.
func readCurrent(ctx context.Context, store port.Store) (current, error) {
	entry, err := store.Get(ctx, configuration.StoreKey)
	if errors.Is(err, port.ErrNotFound) {
		return current{}, nil
	}
	if err != nil {
		return current{}, errors.Wrap(err, "read the published configuration")
	}
	document, err := configuration.Unmarshal(entry.Value)
	if err != nil {
		return current{}, err
	}
	set, err := document.Decode()
	return current{entry: entry, document: document, set: set}, err
}

// publication is one attempt to replace the published set.
type publication struct {
	store    port.Store
	sleep    func(ctx context.Context, d time.Duration) error
	base     current
	document configuration.Document
}

// write puts the document in place of the base. The same compare-and-swap is repeated until its outcome is known: it
// takes effect at most once, and the document's writer tells whether it did. It fails with ExitConflict,
// ExitUnavailable (nothing was changed) or ExitUnknown.
func (p *publication) write(ctx context.Context) error {
	value, err := p.document.Marshal()
	if err != nil {
		return err
	}
	w := port.Write{Key: configuration.StoreKey, Value: value, Condition: port.IfAbsent}
	if p.base.entry.Revision != 0 {
		w.Condition, w.Revision = port.IfRevision, p.base.entry.Revision
	}
	uncertain := false // an earlier attempt may have taken effect
	for attempt := range writeAttempts {
		if attempt > 0 {
			if err = p.sleep(ctx, retryDelay); err != nil {
				break
			}
		}
		_, err = p.store.Put(ctx, w)
		var conflict *port.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			return p.resolve(conflict.Current, uncertain)
		case errors.Is(err, port.ErrUnavailable):
			if !uncertain {
				return &ExitError{Code: ExitUnavailable, Err: errors.Wrap(err, "publish: nothing was changed")}
			}
		default:
			uncertain = true
		}
		if done, outcome := p.reread(ctx); done {
			return outcome
		}
	}
	return &ExitError{Code: ExitUnknown, Err: errors.Wrapf(err, "publish: revision %d may have come into force; "+
		"read the published set before publishing again", p.document.Revision)}
}

// reread looks whether the store shows the outcome. The base still being there shows nothing: the write may be on its
// way.
func (p *publication) reread(ctx context.Context) (done bool, outcome error) {
	entry, err := p.store.Get(ctx, configuration.StoreKey)
	if err != nil || entry.Revision == p.base.entry.Revision {
		return false, nil
	}
	return true, p.resolve(&entry, true)
}

// resolve concludes the outcome from an entry that isn't the base.
func (p *publication) resolve(entry *port.Entry, uncertain bool) error {
	if entry == nil && uncertain {
		return exitf(ExitUnknown, "publish: the published configuration was deleted; whether this set was revision %d before that is unknown",
			p.document.Revision)
	}
	if entry == nil {
		return exitf(ExitConflict, "publish: the published configuration was deleted meanwhile; nothing was changed")
	}
	found, err := configuration.Unmarshal(entry.Value)
	if err != nil {
		return err
	}
	switch {
	case found.Writer == p.document.Writer:
		return nil
	case uncertain && found.Revision != p.document.Revision:
		return exitf(ExitUnknown, "publish: revision %d is now published by somebody else; whether this set was revision %d before that is unknown",
			found.Revision, p.document.Revision)
	}
	return exitf(ExitConflict, "publish: conflict: somebody else published revision %d while this set was based on revision %d; nothing was changed",
		found.Revision, p.base.document.Revision)
}
