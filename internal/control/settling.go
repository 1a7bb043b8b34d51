package control

import (
	"context"
	"time"

	"sequoiastall/internal/core/cell"
)

// maxRecordWait is how long a status answer waits for the final record of a job that has just ended. Callers often
// request the status right after the last task has ended. The record is written soon after that, and an answer without
// the end would be corrected only by their next request, much later.
const maxRecordWait = 300 * time.Millisecond

// maxReportDelay is how long a worker's report of an ended run may be in transit. A status answer for a job whose
// remaining tasks are all running waits that long, so that it includes all runs that ended before the request.
const maxReportDelay = 25 * time.Millisecond

// recordWaiters lets status requests wait until a record of a job has been written. It must be used only on the
// scheduler's goroutine.
type recordWaiters map[cell.JobID]chan struct{}

// wait returns a channel that is closed when the next record of the job has been written.
func (w recordWaiters) wait(id cell.JobID) <-chan struct{} {
	if w[id] == nil {
		w[id] = make(chan struct{})
	}
	return w[id]
}

// notify wakes the requests that wait for a record of the job.
func (w recordWaiters) notify(id cell.JobID) {
	if c := w[id]; c != nil {
		close(c)
		delete(w, id)
	}
}

// state returns a job's state as callers may see it. It waits for the final record of a job that has ended, and for
// reports of ended runs that may be in transit from the workers. ok is false if the state isn't loaded yet or the term
// ended.
func (s *activeTerm) state(ctx context.Context, id cell.JobID) (answer cell.JobState, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, maxRecordWait)
	defer cancel()
	reported := time.After(maxReportDelay)
	for {
		var state cell.JobState // declared for each query, whose function may still run after query has returned
		var changed <-chan struct{}
		if !s.query(ctx, func() {
			if state = s.core.State(id); state.AwaitingFinalRecord || state.MayEnd {
				changed = s.recordWaiters.wait(id)
			}
		}) {
			return cell.JobState{}, false
		}
		if !state.AwaitingFinalRecord && (!state.MayEnd || reported == nil) {
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
