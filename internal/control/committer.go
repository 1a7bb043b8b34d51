package control

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

const (
	// entriesPerTxn is what is left of a transaction's 32 entries beside the scheduler key.
	entriesPerTxn = 31
	// usualTxns transactions are under way at a time without regard to what they hold.
	baseTxns = 6
	// maxTxns transactions are under way at a time, those beyond usualTxns with fullTxn records at least. A slow store is
	// used in parallel, a quick one isn't asked for each record.
	maxTxns               = 20
	minBacklogForExtraTxn = 4
	// commitRetry is the pause before a transaction without an answer is sent again.
	commitRetryDelay = 50 * time.Millisecond
)

// committer makes the scheduler's records durable. Each transaction requires that the term
// lasts and that each record still has the revision that this node gave it, so that a late one changes nothing.
type committer struct {
	s                 *activeTerm
	inFlight          int                  // transactions under way
	progressRevisions map[cell.JobID]int64 // of the records of progress, owned by the scheduler's goroutine
	// accepted holds the revisions of the jobs' own records. News of a job may come long after the job has ended; its first
	// record of progress requires that the job's own record is still there.
	jobRevisions map[cell.JobID]int64
}

func newCommitter(s *activeTerm) *committer {
	return &committer{s: s, progressRevisions: map[cell.JobID]int64{}, jobRevisions: map[cell.JobID]int64{}}
}

// flush begins transactions for what has to be written.
func (c *committer) flush() {
	for c.mayStart(c.s.core.UnwrittenJobs()) {
		writes := c.s.core.TakeWrites(entriesPerTxn)
		if len(writes) == 0 {
			return
		}
		c.inFlight++
		txn := c.txn(writes)
		c.s.tasks.Go(func() { c.commit(writes, txn) })
	}
}

// mayBegin reports whether another transaction may begin while the records of so many jobs wait.
func (c *committer) mayStart(jobs int) bool {
	return c.inFlight < baseTxns && jobs > 0 || c.inFlight < maxTxns && jobs >= minBacklogForExtraTxn
}

func (c *committer) txn(writes []cell.Write) port.Txn {
	t := port.Txn{Expect: []port.Expect{{Key: schedulerKey, Revision: c.s.term.revision}}}
	for _, w := range writes {
		t.Expect = append(t.Expect, port.Expect{Key: progressKey(w.Job), Revision: c.progressRevisions[w.Job]})
		if c.progressRevisions[w.Job] == 0 {
			t.Expect = append(t.Expect, port.Expect{Key: jobKey(w.Job), Revision: c.jobRevisions[w.Job]})
		}
		if !w.Final {
			t.Puts = append(t.Puts, port.Put{Key: progressKey(w.Job), Value: w.Value})
			continue
		}
		t.Puts = append(t.Puts, port.Put{Key: doneKey(w.Job), Value: w.Value})
		t.Deletes = append(t.Deletes, jobKey(w.Job), cancelKey(w.Job), progressKey(w.Job))
	}
	return t
}

// commit repeats the transaction until its outcome is known.
func (c *committer) commit(writes []cell.Write, t port.Txn) {
	for attempt := 0; ; attempt++ {
		began := time.Now()
		revision, err := c.s.node.options.Store.Commit(c.s.ctx, t)
		recordSince(c.s.node.metrics.commitTime, began)
		var conflict *port.TxnConflictError
		switch {
		case err == nil:
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
		if !c.s.pause(commitRetryDelay) {
			return
		}
	}
}

// resolve finds out what a conflict means: this node's own earlier attempt, a job that has ended before, or the loss of
// the term.
func (c *committer) resolveConflict(writes []cell.Write, t port.Txn, conflict *port.TxnConflictError, retried bool) {
	holder, ok := conflict.Entry(schedulerKey)
	if !ok || holder.Revision != c.s.term.revision {
		c.s.end(errTermLost)
		return
	}
	if retried && c.alreadyWritten(writes, conflict) {
		c.committed(writes, func(w cell.Write) int64 {
			current, _ := conflict.Entry(progressKey(w.Job))
			return current.Revision
		})
		return
	}
	ended := map[cell.JobID]bool{}
	for _, e := range t.Expect {
		if id, isJob := idIn(e.Key, jobPrefix); isJob {
			current, _ := conflict.Entry(e.Key)
			ended[id] = current.Revision != e.Revision
		}
	}
	for _, w := range writes {
		current, _ := conflict.Entry(progressKey(w.Job))
		if !ended[w.Job] && current.Revision != c.expectedRevision(t, w.Job) {
			c.s.end(errors.Errorf("progress of %s was changed by another node", w.Job))
			return
		}
	}
	c.requeue(writes, ended)
}

// written reports whether the records have the content of an earlier attempt.
func (c *committer) alreadyWritten(writes []cell.Write, conflict *port.TxnConflictError) bool {
	for _, w := range writes {
		current, exists := conflict.Entry(progressKey(w.Job))
		if w.Final && exists || !w.Final && !bytes.Equal(current.Value, w.Value) {
			return false
		}
	}
	return true
}

// expected returns the revision of a job's progress that the transaction required.
func (c *committer) expectedRevision(t port.Txn, id cell.JobID) int64 {
	for _, e := range t.Expect {
		if e.Key == progressKey(id) {
			return e.Revision
		}
	}
	return 0
}

// notDone forgets the jobs that have ended before and returns the other records to the scheduler.
func (c *committer) requeue(writes []cell.Write, ended map[cell.JobID]bool) {
	c.s.post(c.s.ctx, func() {
		c.inFlight--
		for _, w := range writes {
			if !ended[w.Job] {
				c.s.core.NotRecorded(w)
				continue
			}
			delete(c.jobRevisions, w.Job)
			c.s.core.Forget(w.Job, "its record is gone: the job has ended before")
			c.s.recordWaiters.notify(w.Job)
		}
	})
}

// done tells the scheduler what is durable.
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
			c.s.core.Recorded(w)
			c.s.recordWaiters.notify(w.Job)
		}
		c.s.updateAcks()
	})
}
