package intake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/port"
)

const (
	// windowLease bounds how late the store may carry out a submission. It is shorter than MinTombstoneLife by more than the time
	// that a submission may take until it is sent to the store.
	windowLease = 60 * time.Second
	// windowLeasePeriod is how long new windows, of this and other nodes, share a lease.
	windowLeasePeriod = time.Second
	// windowPeriod is the interval at which a node opens a new window. While the store is silent the last one stays open for at
	// least windowLease-windowPeriod-windowLeasePeriod-maxWriteTime.
	windowPeriod = 20 * time.Second
	// windowRetryDelay is the delay after a failure to open a window.
	windowRetryDelay = 120 * time.Millisecond
)

// window is a key of the store that must be unchanged when a submission of this node is carried out. Its lease ends it, also
// if the node has ended. Without it, the store could carry out a submission after the tombstone of its job has ended.
type window struct {
	key  string
	lost chan struct{} // signals that a window is needed

	mu       sync.Mutex
	revision int64         // 0 while none is known to be open
	opened   chan struct{} // closed when one is opened
}

func newWindow(node string) *window {
	return &window{key: storekey.Window(node), lost: make(chan struct{}, 1), opened: make(chan struct{})}
}

// current returns the revision of the open window, and otherwise waits until one is opened or ctx is done.
func (w *window) current(ctx context.Context) (int64, error) {
	for {
		w.mu.Lock()
		revision, opened := w.revision, w.opened
		w.mu.Unlock()
		if revision != 0 {
			return revision, nil
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return 0, errors.Wrap(port.ErrUnavailable, "no submission window is open")
		}
	}
}

// isOpen reports whether a window is known to be open.
func (w *window) isOpen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision != 0
}

func (w *window) set(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = revision
	close(w.opened)
	w.opened = make(chan struct{})
}

// drop forgets a window that has ended or was replaced, and requests another one.
func (w *window) drop(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision != revision {
		return
	}
	w.revision = 0
	select {
	case w.lost <- struct{}{}:
	default:
	}
}

// OpenWindow replaces the node's window. Submissions that were sent under the former one aren't carried out any more.
func (i *Intake) OpenWindow(ctx context.Context) error {
	revision, err := i.store.Commit(ctx, port.Txn{Puts: []port.Put{{Key: i.window.key, Value: []byte("{}")}}})
	if err != nil {
		i.metrics.windows("failed")
		return err
	}
	i.metrics.windows("opened")
	i.window.set(revision)
	return nil
}

// KeepWindow opens a window at regular intervals, and at once when one is needed, until ctx is done.
func (i *Intake) KeepWindow(ctx context.Context) {
	for ctx.Err() == nil {
		pause := windowPeriod
		if err := i.OpenWindow(ctx); err != nil {
			pause = windowRetryDelay
			i.windowLog.Do(func() { i.log.Warn("submission window not opened", "error", err.Error()) })
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-i.window.lost:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
