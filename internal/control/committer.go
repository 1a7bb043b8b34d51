package control

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/control/instant"
	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

const (
	// entriesPerTxn is the number of entries available for records in a transaction: the store accepts 32, and one is the
	// scheduler key.
	entriesPerTxn = 31
	// baseTxns is the number of transactions that may be in flight regardless of how many records wait.
	baseTxns = 6
	// maxTxns bounds the transactions in flight. Beyond baseTxns, another one starts only if the records of at least
	// minBacklogForExtraTxn jobs wait. A slow store is thus used in parallel, and a fast one doesn't get a transaction for
	// each record.
	maxTxns               = 20
	minBacklogForExtraTxn = 4
	// commitRetryDelay is the delay before a transaction that got no answer is sent again. It doubles with each attempt up
	// to maxCommitRetryDelay, so that repeated records don't fill a link that is too slow for them.
	commitRetryDelay    = 50 * time.Millisecond
	maxCommitRetryDelay = 400 * time.Millisecond
)

// committer writes the scheduler's records to the store. Each transaction requires that the term is still held and that
// each record still has the revision that this node last wrote, so that a delayed transaction changes nothing.
type committer struct {
	s                 *activeTerm
	inFlight          int                  // number of transactions in flight
	progressRevisions map[cell.JobID]int64 // of the progress records; used only on the scheduler's goroutine
	// jobRevisions holds the revisions of the job records. A node's message about an accepted job may arrive long after
	// the job has ended, so the first progress record of a job requires that the job record still exists.
	jobRevisions map[cell.JobID]int64
}

func newCommitter(s *activeTerm) *committer {
	return &committer{s: s, progressRevisions: map[cell.JobID]int64{}, jobRevisions: map[cell.JobID]int64{}}
}

// flush starts transactions for the records that have to be written.
func (c *committer) flush() {
	for c.mayStart(c.s.core.UnwrittenJobs()) {
		writes := c.s.core.TakeWrites(entriesPerTxn)
		if len(writes) == 0 {
			return
		}
		c.inFlight++
		txn := c.txn(writes)
		c.s.spawn(func() { c.commit(writes, txn) })
	}
}

// mayStart reports whether another transaction may start while the records of the given number of jobs wait.
func (c *committer) mayStart(jobs int) bool {
	return c.inFlight < baseTxns && jobs > 0 || c.inFlight < maxTxns && jobs >= minBacklogForExtraTxn
}

func (c *committer) txn(writes []cell.Write) port.Txn {
	t := port.Txn{Conditions: []port.Expect{{Key: storekey.Scheduler, Revision: c.s.term.revision}}}
	for _, w := range writes {
		t.Conditions = append(t.Conditions, port.Expect{Key: storekey.ProgressOf(w.Job), Revision: c.progressRevisions[w.Job]})
		if c.progressRevisions[w.Job] == 0 {
			t.Conditions = append(t.Conditions, port.Expect{Key: storekey.Job(w.Job), Revision: c.jobRevisions[w.Job]})
		}
		if !w.Final {
			t.Puts = append(t.Puts, port.Put{Key: storekey.ProgressOf(w.Job), Value: w.Value})
			continue
		}
		t.Puts = append(t.Puts, port.Put{Key: storekey.Done(w.Job), Value: w.Value})
		t.Deletes = append(t.Deletes, storekey.Job(w.Job), storekey.Cancel(w.Job), storekey.ProgressOf(w.Job))
	}
	return t
}

// commit sends the transaction until its outcome is known or the term ends.
func (c *committer) commit(writes []cell.Write, t port.Txn) {
	for attempt := 0; ; attempt++ {
		sentAt := instant.Now()
		revision, err := c.s.node.options.Store.Commit(c.s.ctx, t)
		recordSince(c.s.node.metrics.commitTime, sentAt.Monotonic)
		var conflict *port.TxnConflictError
		switch {
		case err == nil:
			c.s.term.confirm(sentAt)
			c.committed(writes, func(cell.Write) int64 { return revision })
			return
		case errors.As(err, &conflict):
			c.resolveConflict(writes, t, conflict, attempt > 0)
			return
		case c.s.ctx.Err() != nil:
			return
		}
		c.s.node.storeFailed(err)
		if attempt%10 == 0 {
			c.s.node.options.Log.Warn("records not written", "records", len(writes), "attempt", attempt, "error", err.Error())
		}
		if !c.s.pause(min(commitRetryDelay<<min(attempt, 3), maxCommitRetryDelay)) {
			return
		}
	}
}

// resolveConflict determines the cause of a conflict: an earlier attempt of this node that was applied, a job that had
// already ended, or the loss of the term.
func (c *committer) resolveConflict(writes []cell.Write, t port.Txn, conflict *port.TxnConflictError, retried bool) {
	holder, ok := conflict.Entry(storekey.Scheduler)
	if !ok || holder.Revision != c.s.term.revision {
		c.s.end(errTermLost)
		return
	}
	if retried && c.alreadyWritten(writes, conflict) {
		c.committed(writes, func(w cell.Write) int64 {
			current, _ := conflict.Entry(storekey.ProgressOf(w.Job))
			return current.Revision
		})
		return
	}
	ended := map[cell.JobID]bool{}
	for _, e := range t.Conditions {
		if id, isJob := storekey.ID(e.Key, storekey.Jobs); isJob {
			current, _ := conflict.Entry(e.Key)
			ended[id] = current.Revision != e.Revision
		}
	}
	for _, w := range writes {
		current, _ := conflict.Entry(storekey.ProgressOf(w.Job))
		if !ended[w.Job] && current.Revision != c.expectedRevision(t, w.Job) {
			c.s.end(errors.Errorf("progress record of job %s was changed by another node", w.Job))
			return
		}
	}
	c.requeue(writes, ended)
}

// alreadyWritten reports whether an earlier attempt wrote the records.
func (c *committer) alreadyWritten(writes []cell.Write, conflict *port.TxnConflictError) bool {
	for _, w := range writes {
		current, exists := conflict.Entry(storekey.ProgressOf(w.Job))
		if w.Final && exists || !w.Final && !bytes.Equal(current.Value, w.Value) {
			return false
		}
	}
	return true
}

// expectedRevision returns the revision of a job's progress record that the transaction required.
func (c *committer) expectedRevision(t port.Txn, id cell.JobID) int64 {
	for _, e := range t.Conditions {
		if e.Key == storekey.ProgressOf(id) {
			return e.Revision
		}
	}
	return 0
}

// requeue drops the jobs that had already ended and returns the other records to the scheduler.
func (c *committer) requeue(writes []cell.Write, ended map[cell.JobID]bool) {
	c.s.post(c.s.ctx, func() {
		c.inFlight--
		for _, w := range writes {
			if !ended[w.Job] {
				c.s.core.WriteFailed(w)
				continue
			}
			delete(c.jobRevisions, w.Job)
			c.s.core.Forget(w.Job, "its job record no longer exists, so the job had already ended")
			c.s.recordWaiters.notify(w.Job)
		}
	})
}

// committed informs the scheduler which records are durable.
func (c *committer) committed(writes []cell.Write, revision func(cell.Write) int64) {
	c.s.node.storeAnswered()
	c.s.post(c.s.ctx, func() {
		c.inFlight--
		for _, w := range writes {
			if w.Final {
				delete(c.progressRevisions, w.Job)
				delete(c.jobRevisions, w.Job)
			} else {
				c.progressRevisions[w.Job] = revision(w)
			}
			c.s.core.WriteCommitted(w)
			c.s.recordWaiters.notify(w.Job)
		}
		c.s.updateAcks()
	})
}
