package control

import (
	"context"
	"time"

	"sequoiastall/internal/core/cell"
)

// settleWait is how long the answer about a job that has just ended waits until its end is durable. Callers ask right
// after the last task, and their next question comes much later than the record.
const maxRecordWait = 300 * time.Millisecond

// reportLag is how long a worker's report of an end may be under way. The answer about a job all of whose tasks run waits
// that long, so that it allows for all ends before the question.
const maxReportDelay = 25 * time.Millisecond

// settling lets questions about ended jobs wait for the jobs' final records. It belongs to the scheduler's goroutine.
type recordWaiters map[cell.JobID]chan struct{}

// wait returns a channel that is closed when a record of the job has been written.
func (w recordWaiters) wait(id cell.JobID) <-chan struct{} {
	if w[id] == nil {
		w[id] = make(chan struct{})
	}
	return w[id]
}

// written wakes those who wait for a record of the job.
func (w recordWaiters) notify(id cell.JobID) {
	if c := w[id]; c != nil {
		close(c)
		delete(w, id)
	}
}

// state returns a job as callers may see it. It waits for the final record of a job that has ended, and for the reports
// that may just be on their way from its workers. It reports false if the state isn't loaded yet or the term ended.
func (s *activeTerm) state(ctx context.Context, id cell.JobID) (answer cell.JobState, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, maxRecordWait)
	defer cancel()
	reported := time.After(maxReportDelay)
	for {
		var state cell.JobState // the question may still write it after ask has given up
		var changed <-chan struct{}
		if !s.query(ctx, func() {
			if state = s.core.State(id); state.Settling || state.MayEnd {
				changed = s.recordWaiters.wait(id)
			}
		}) {
			return cell.JobState{}, false
		}
		if !state.Settling && (!state.MayEnd || reported == nil) {
			return state, true
		}
		select {
		case <-changed:
		case <-reported:
			reported = nil
		case <-ctx.Done():
			return state, true
		case <-s.ctx.Done():
			return cell.JobState{}, false
		}
	}
}
