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
	// writeAttempts is the number of attempts of a write while its outcome is unknown because the response was lost, and
	// retryDelay the pause between them.
	writeAttempts = 10
	retryDelay    = 300 * time.Millisecond
)

// publishedConfig is the configuration in the store at the time of a read.
type publishedConfig struct {
	entry    port.Entry // zero if nothing has been published yet
	document configuration.Document
	set      object.Set
}

// readPublished reads the published configuration. If there is none, it returns revision 0 and an empty set.
func readPublished(ctx context.Context, store port.Store) (publishedConfig, error) {
	entry, err := store.Get(ctx, configuration.StoreKey)
	if errors.Is(err, port.ErrNotFound) {
		return publishedConfig{}, nil
	}
	if err != nil {
		return publishedConfig{}, errors.Wrap(err, "read the published configuration")
	}
	document, err := configuration.Unmarshal(entry.Value)
	if err != nil {
		return publishedConfig{}, err
	}
	set, err := document.Decode()
	return publishedConfig{entry: entry, document: document, set: set}, err
}

// publication replaces the published set by a new one.
type publication struct {
	store    port.Store
	sleep    func(ctx context.Context, d time.Duration) error
	base     publishedConfig // the configuration to replace
	document configuration.Document
}

// write replaces the base by the document with a compare-and-swap, and repeats it until its outcome is known. The
// compare-and-swap takes effect at most once; whether it did is recognized by the document's writer, which is unique to
// the publication. write fails with ExitConflict, ExitUnavailable (nothing was changed) or ExitUnknown.
func (p *publication) write(ctx context.Context) error {
	value, err := p.document.Marshal()
	if err != nil {
		return err
	}
	w := port.Write{Key: configuration.StoreKey, Value: value, Condition: port.IfAbsent}
	if p.base.entry.Revision != 0 {
		w.Condition, w.Revision = port.IfRevision, p.base.entry.Revision
	}
	mayHaveApplied := false // an earlier attempt may have taken effect
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
			return p.resolveOutcome(conflict.Current, mayHaveApplied)
		case errors.Is(err, port.ErrUnavailable):
			if !mayHaveApplied {
				return &ExitError{Code: ExitUnavailable, Err: errors.Wrap(err, "publish: nothing was changed")}
			}
		default:
			mayHaveApplied = true
		}
		if known, outcome := p.readOutcome(ctx); known {
			return outcome
		}
	}
	return &ExitError{Code: ExitUnknown, Err: errors.Wrapf(err, "publish: revision %d may have come into force; "+
		"read the published set before publishing again", p.document.Revision)}
}

// readOutcome reads the published configuration and returns the outcome of the write if the configuration shows it. If
// the base is still published, the outcome remains unknown, because the write may still be in transit.
func (p *publication) readOutcome(ctx context.Context) (known bool, outcome error) {
	entry, err := p.store.Get(ctx, configuration.StoreKey)
	if err != nil || entry.Revision == p.base.entry.Revision {
		return false, nil
	}
	return true, p.resolveOutcome(&entry, true)
}

// resolveOutcome determines the outcome of the write from an entry that was found in place of the base, nil if the
// configuration was deleted.
func (p *publication) resolveOutcome(entry *port.Entry, mayHaveApplied bool) error {
	if entry == nil && mayHaveApplied {
		return exitErrorf(ExitUnknown, "publish: the published configuration was deleted; whether this set was revision %d before that is unknown",
			p.document.Revision)
	}
	if entry == nil {
		return exitErrorf(ExitConflict, "publish: the published configuration was deleted meanwhile; nothing was changed")
	}
	found, err := configuration.Unmarshal(entry.Value)
	if err != nil {
		return err
	}
	switch {
	case found.Writer == p.document.Writer:
		return nil
	case mayHaveApplied && found.Revision != p.document.Revision:
		return exitErrorf(ExitUnknown, "publish: revision %d is now published by somebody else; whether this set was revision %d before that is unknown",
			found.Revision, p.document.Revision)
	}
	return exitErrorf(ExitConflict, "publish: conflict: somebody else published revision %d while this set was based on revision %d; nothing was changed",
		found.Revision, p.base.document.Revision)
}
