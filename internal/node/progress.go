package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

// saveProgress writes the partition's progress document when it is due.
func (o *owner) saveProgress(ctx context.Context, now time.Time) {
	interval := o.node.options.Timing.ProgressInterval
	if o.machine.ProgressUrgent() {
		interval = o.node.options.Timing.IntentInterval // a write carries all intents of the interval
	}
	if o.writingProgress || now.Sub(o.lastProgressWrite) < interval {
		return
	}
	doc, revision, ok := o.machine.BuildProgress()
	if !ok {
		return
	}
	o.writingProgress, o.lastProgressWrite = true, now
	doc.Writer = o.node.nextWriterID()
	o.spawn(func() { o.writeProgress(ctx, doc, revision) })
}

// writeProgress repeats the write of a document until the outcome is known. A repeated write can't take effect twice.
func (o *owner) writeProgress(ctx context.Context, doc partition.Progress, revision int64) {
	write := port.Write{Key: port.ProgressPrefix + o.partition, Value: doc.Encode(), Condition: port.IfRevision,
		Revision: revision}
	if revision == 0 {
		write.Condition = port.IfAbsent
	}
	for {
		call, cancel := context.WithTimeout(ctx, o.node.options.Timing.StoreTimeout)
		written, err := o.node.ports.Store.Put(call, write)
		cancel()
		o.node.recordStoreResult(err)
		var conflict *port.ConflictError
		switch {
		case err == nil:
			o.send(progressSaved{written})
			return
		case errors.As(err, &conflict):
			o.resolveConflict(ctx, doc, conflict)
			return
		case errors.Is(err, port.ErrUnavailable):
			o.send(progressFailed{})
			return
		}
		if !wait.For(ctx, syncRetry) {
			o.send(progressFailed{})
			return
		}
	}
}

// resolveConflict handles a failed condition. If the stored document is this owner's own write, the write succeeded;
// otherwise the machine merges what another owner wrote.
func (o *owner) resolveConflict(ctx context.Context, doc partition.Progress, conflict *port.ConflictError) {
	if conflict.Current == nil {
		o.send(progressFailed{})
		o.send(progressRead{partition.Progress{}, 0})
		return
	}
	current, err := partition.DecodeProgress(conflict.Current.Value)
	if err == nil && current.Writer == doc.Writer {
		o.send(progressSaved{conflict.Current.Revision})
		return
	}
	o.send(progressFailed{})
	if err != nil {
		o.log.Error("progress document can't be read", "error", err)
		return
	}
	o.log.Warn("progress document was written by another owner", "writer", current.Writer)
	o.send(progressRead{current, conflict.Current.Revision})
	o.catchUp(ctx)
}

// verify makes sure that the node's cache is as recent as the owner's start. A former owner may have granted allowances
// and written progress shortly before.
func (o *owner) verify(ctx context.Context) {
	defer o.background.Done()
	o.catchUp(ctx)
}

// catchUp brings the machine's copies of the records and of the progress document up to date with the store. Both come
// from the cache, which applies changes in the store's order. It retries until that succeeds or ctx is done.
func (o *owner) catchUp(ctx context.Context) {
	for o.node.barrier(ctx) != nil {
		if !wait.For(ctx, acquireRetry) {
			return
		}
	}
	p, _ := o.node.state.progressOf(o.partition)
	o.send(progressRead(p))
	o.send(stateVerified{})
}

// rereadProgress brings the progress document and the records up to date, for instance when a worker has seen a later
// document than this owner. Reading the document alone would make it more recent than the records of the jobs, of which
// one may have moved to another partition.
func (o *owner) rereadProgress(ctx context.Context) {
	if o.node.barrier(ctx) == nil {
		p, _ := o.node.state.progressOf(o.partition)
		o.send(progressRead(p))
		o.send(stateVerified{})
	}
}
