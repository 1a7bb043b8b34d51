package routing

import (
	"time"

	"github.com/pkg/errors"
)

// Errors of WaitQueue.Enter. The request wasn't run.
var (
	ErrQueueFull = errors.New("too many requests wait for the service")
	ErrTeamFull  = errors.New("too many requests of the team wait for the service")
	ErrClassFull = errors.New("too many requests of the class wait for the service")
	ErrTooLate   = errors.New("the expected wait exceeds the deadline")
)

// intervalSmoothing is the weight of the newest interval in the moving average of the time between two freed permits.
const intervalSmoothing = 0.1

// Waiter is a request that waits for a permit.
type Waiter struct {
	ID       uint64
	Team     string
	Class    int // lower classes are shed first
	Deadline time.Time
}

// Limits bound the waiting requests of a service at a node.
type Limits struct {
	Total int
	Team  int // of the waiter's team
	Class int // of the waiter's class, 0 for no limit of its own
}

// WaitQueue is the bounded queue of requests that wait for a permit of one service. Higher classes are served first;
// within a class, teams are served round-robin. It isn't safe for concurrent use. The zero value is empty.
type WaitQueue struct {
	waiters      []Waiter // in order of arrival
	virtualTimes map[string]float64
	virtualTime  float64 // of the team that was served last
	meanInterval time.Duration
	lastFreed    time.Time
}

// Len returns the number of waiters.
func (q *WaitQueue) Len() int { return len(q.waiters) }

// Enter queues w or rejects it. If the queue is full, it evicts and returns the newest waiter of the team that has the
// most waiters in the lowest class. If that is w's own class, it does so only if that team still has at least as many
// waiters there as w's team then has.
func (q *WaitQueue) Enter(w Waiter, l Limits, now time.Time) (shed *Waiter, err error) {
	teamCount, classCount := 0, 0
	for i := range q.waiters {
		if q.waiters[i].Team == w.Team {
			teamCount++
		}
		if q.waiters[i].Class == w.Class {
			classCount++
		}
	}
	switch {
	case teamCount >= l.Team:
		return nil, ErrTeamFull
	case l.Class > 0 && classCount >= l.Class:
		return nil, ErrClassFull
	case now.Add(q.ExpectedWait(w.Team, w.Class, now)).After(w.Deadline):
		return nil, ErrTooLate
	}
	if len(q.waiters) >= l.Total {
		i := q.victim(w)
		if i < 0 {
			return nil, ErrQueueFull
		}
		evicted := q.waiters[i]
		q.remove(i)
		shed = &evicted
	}
	q.waiters = append(q.waiters, w)
	return shed, nil
}

// victim returns the index of the waiter that is evicted in favor of w, or -1.
func (q *WaitQueue) victim(w Waiter) int {
	lowest := w.Class
	counts := map[string]int{}
	for _, x := range q.waiters {
		lowest = min(lowest, x.Class)
	}
	for _, x := range q.waiters {
		if x.Class == lowest {
			counts[x.Team]++
		}
	}
	victim := -1
	for i, x := range q.waiters {
		if x.Class != lowest || (lowest == w.Class && counts[x.Team] <= counts[w.Team]+1) {
			continue
		}
		if victim < 0 || counts[x.Team] >= counts[q.waiters[victim].Team] {
			victim = i
		}
	}
	return victim
}

// ExpectedWait estimates how long a new waiter would wait. It returns 0 while the service's rate is unknown.
func (q *WaitQueue) ExpectedWait(team string, class int, now time.Time) time.Duration {
	if q.meanInterval == 0 {
		return 0
	}
	ahead, own := 0, 0
	counts := map[string]int{}
	for _, x := range q.waiters {
		switch {
		case x.Class > class:
			ahead++
		case x.Class == class && x.Team == team:
			own++
		case x.Class == class:
			counts[x.Team]++
		}
	}
	// With round-robin, each other team is served at most once for each waiter of this team, the new one included.
	for _, n := range counts {
		ahead += min(n, own+1)
	}
	// If no permit has become free for a while, the rate is at most one permit in that time.
	interval := max(q.meanInterval, now.Sub(q.lastFreed))
	return time.Duration(ahead+own) * interval
}

// Next removes and returns the waiter that is served next, or returns false if there is none. Waiters past their
// deadline are never returned; they stay queued until Leave is called for them.
func (q *WaitQueue) Next(now time.Time) (Waiter, bool) {
	next := -1
	for i, x := range q.waiters {
		if !now.Before(x.Deadline) {
			continue
		}
		if next < 0 || x.Class > q.waiters[next].Class ||
			(x.Class == q.waiters[next].Class && q.teamVirtualTime(x.Team) < q.teamVirtualTime(q.waiters[next].Team)) {
			next = i
		}
	}
	if next < 0 {
		return Waiter{}, false
	}
	w := q.waiters[next]
	q.remove(next)
	if q.virtualTimes == nil {
		q.virtualTimes = map[string]float64{}
	}
	q.virtualTime = q.teamVirtualTime(w.Team)
	q.virtualTimes[w.Team] = q.virtualTime + 1
	if len(q.waiters) == 0 {
		clear(q.virtualTimes)
		q.virtualTime = 0
	}
	return w, true
}

// teamVirtualTime returns a team's virtual time for fair queueing. It is at least the time of the team that was served
// last, so that a team gains no credit while it has no waiters.
func (q *WaitQueue) teamVirtualTime(team string) float64 {
	return max(q.virtualTimes[team], q.virtualTime)
}

// Leave removes a waiter that gave up. It returns false if the waiter has already been served or shed.
func (q *WaitQueue) Leave(id uint64) bool {
	for i := range q.waiters {
		if q.waiters[i].ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// RecordFreedPermit records that a permit became free.
func (q *WaitQueue) RecordFreedPermit(now time.Time) {
	if !q.lastFreed.IsZero() {
		d := now.Sub(q.lastFreed)
		if q.meanInterval == 0 {
			q.meanInterval = d
		} else {
			q.meanInterval = time.Duration((1-intervalSmoothing)*float64(q.meanInterval) + intervalSmoothing*float64(d))
		}
	}
	q.lastFreed = now
}

func (q *WaitQueue) remove(i int) { q.waiters = append(q.waiters[:i], q.waiters[i+1:]...) }
