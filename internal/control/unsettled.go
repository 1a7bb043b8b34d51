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

// addUnsettled records an attempt of a start without an answer.
func (l *linkState) addUnsettled(run cell.RunID, startMS int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsettled = append(l.unsettled, unsettledStart{run, startMS, now})
}

// takeUnsettled returns the runs that an instance may start late because the order was sent to an earlier one.
func (l *linkState) takeUnsettled(startMS int64, now time.Time) []cell.RunID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []cell.RunID
	l.unsettled = slices.DeleteFunc(l.unsettled, func(u unsettledStart) bool {
		if now.Sub(u.at) > maxStartDelay {
			return true
		}
		if u.startMS != startMS {
			runs = append(runs, u.run)
		}
		return u.startMS != startMS
	})
	return runs
}

// stopUnsettled keeps the instance that has answered from starting runs for which an order was sent to an earlier one.
func (l *workerLink) stopUnsettled(startMS int64) {
	for _, run := range l.takeUnsettled(startMS, time.Now()) {
		l.s.node.options.Log.Info("decision", "subject", run.Task.String(), "decision", "late start prevented", "run", run.Run, "worker", l.ref.ID)
		l.s.spawn(func() { l.send(cell.Order{Kind: cell.OrderStop, Worker: l.ref.ID, Run: run}) })
	}
}
