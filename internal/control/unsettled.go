package control

import (
	"slices"
	"time"

	"sequoiastall/internal/core/cell"
)

// unsettledStart is an attempt of a start order that got no answer. It may be carried out late. An instance that has stopped
// the run refuses it, but the next instance of the worker knows nothing of that.
type unsettledStart struct {
	run     cell.RunID
	startMS int64 // the instance to which the order was sent
	at      time.Time
}

// maxStartDelay is how long after its outcome was taken for unknown a start may be carried out.
const maxStartDelay = 10 * time.Second

func (u unsettledStart) expired(now time.Time) bool { return now.Sub(u.at) > maxStartDelay }

// unsettledStarts holds the unsettled starts of a term by worker. It outlasts the links, because a worker may leave and come
// back under its ID. It must be used only on the scheduler's goroutine.
type unsettledStarts map[cell.WorkerID][]unsettledStart

func (u unsettledStarts) add(worker cell.WorkerID, start unsettledStart) {
	u[worker] = append(u[worker], start)
}

// take removes and returns the starts that an instance of a worker may carry out late because they were sent to an earlier one.
func (u unsettledStarts) take(worker cell.WorkerID, startMS int64, now time.Time) []unsettledStart {
	var taken, kept []unsettledStart
	for _, start := range u[worker] {
		switch {
		case start.expired(now):
		case start.startMS == startMS:
			kept = append(kept, start)
		default:
			taken = append(taken, start)
		}
	}
	u.set(worker, kept)
	return taken
}

func (u unsettledStarts) set(worker cell.WorkerID, starts []unsettledStart) {
	if len(starts) == 0 {
		delete(u, worker)
		return
	}
	u[worker] = starts
}

// prune drops the starts that can't be carried out any more.
func (u unsettledStarts) prune(now time.Time) {
	for worker, starts := range u {
		u.set(worker, slices.DeleteFunc(starts, func(s unsettledStart) bool { return s.expired(now) }))
	}
}

// stopUnsettled keeps the instance that has answered from carrying out starts that were sent to an earlier one. A stop without
// an answer is repeated after the next inventory.
func (l *workerLink) stopUnsettled(startMS int64) {
	for _, start := range l.s.unsettled.take(l.ref.ID, startMS, time.Now()) {
		l.s.node.options.Log.Info("decision", "subject", start.run.Task.String(), "decision", "late start prevented", "run", start.run.Run, "worker", l.ref.ID)
		l.s.spawn(func() {
			outcome, _ := l.send(cell.Order{Kind: cell.OrderStop, Worker: l.ref.ID, Instance: startMS, Run: start.run})
			if outcome == cell.OrderUnanswered || outcome == cell.OrderNotSent || outcome == cell.OrderOutdated {
				l.s.post(l.s.ctx, func() { l.s.unsettled.add(l.ref.ID, start) })
			}
		})
	}
}
