package routing

import (
	"time"

	"github.com/pkg/errors"
)

// Errors of Shedder.Enter. The request wasn't run.
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

// Shedder is the bounded queue of requests that wait for a permit of one service. Higher classes are served first;
// within a class, teams are served round-robin. It isn't safe for concurrent use. The zero value is empty.
type Shedder struct {
	waiters      []Waiter // in order of arrival
	virtualTimes map[string]float64
	virtualTime  float64 // of the team that was served last
	meanInterval time.Duration
	lastFreed    time.Time
}

// Len returns the number of waiters.
func (s *Shedder) Len() int { return len(s.waiters) }

// Enter queues w or rejects it. If the queue is full, it evicts and returns the newest waiter of the team that has the
// most waiters in the lowest class. If that is w's own class, it does so only if that team still has at least as many
// waiters there as w's team then has.
func (s *Shedder) Enter(w Waiter, l Limits, now time.Time) (shed *Waiter, err error) {
	teamCount, classCount := 0, 0
	for i := range s.waiters {
		if s.waiters[i].Team == w.Team {
			teamCount++
		}
		if s.waiters[i].Class == w.Class {
			classCount++
		}
	}
	switch {
	case teamCount >= l.Team:
		return nil, ErrTeamFull
	case l.Class > 0 && classCount >= l.Class:
		return nil, ErrClassFull
	case now.Add(s.ExpectedWait(w.Team, w.Class, now)).After(w.Deadline):
		return nil, ErrTooLate
	}
	if len(s.waiters) >= l.Total {
		i := s.victim(w)
		if i < 0 {
			return nil, ErrQueueFull
		}
		evicted := s.waiters[i]
		s.remove(i)
		shed = &evicted
	}
	s.waiters = append(s.waiters, w)
	return shed, nil
}

// victim returns the index of the waiter that is evicted in favor of w, or -1.
func (s *Shedder) victim(w Waiter) int {
	lowest := w.Class
	counts := map[string]int{}
	for _, x := range s.waiters {
		lowest = min(lowest, x.Class)
	}
	for _, x := range s.waiters {
		if x.Class == lowest {
			counts[x.Team]++
		}
	}
	victim := -1
	for i, x := range s.waiters {
		if x.Class != lowest || (lowest == w.Class && counts[x.Team] <= counts[w.Team]+1) {
			continue
		}
		if victim < 0 || counts[x.Team] >= counts[s.waiters[victim].Team] {
			victim = i
		}
	}
	return victim
}

// ExpectedWait estimates how long a new waiter would wait. It returns 0 while the service's rate is unknown.
func (s *Shedder) ExpectedWait(team string, class int, now time.Time) time.Duration {
	if s.meanInterval == 0 {
		return 0
	}
	ahead, own := 0, 0
	counts := map[string]int{}
	for _, x := range s.waiters {
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
	interval := max(s.meanInterval, now.Sub(s.lastFreed))
	return time.Duration(ahead+own) * interval
}

// Next removes and returns the waiter that is served next, or returns false if there is none. Waiters past their
// deadline are never returned; they stay queued until Leave is called for them.
func (s *Shedder) Next(now time.Time) (Waiter, bool) {
	next := -1
	for i, x := range s.waiters {
		if !now.Before(x.Deadline) {
			continue
		}
		if next < 0 || x.Class > s.waiters[next].Class ||
			(x.Class == s.waiters[next].Class && s.teamVirtualTime(x.Team) < s.teamVirtualTime(s.waiters[next].Team)) {
			next = i
		}
	}
	if next < 0 {
		return Waiter{}, false
	}
	w := s.waiters[next]
	s.remove(next)
	if s.virtualTimes == nil {
		s.virtualTimes = map[string]float64{}
	}
	s.virtualTime = s.teamVirtualTime(w.Team)
	s.virtualTimes[w.Team] = s.virtualTime + 1
	if len(s.waiters) == 0 {
		clear(s.virtualTimes)
		s.virtualTime = 0
	}
	return w, true
}

// teamVirtualTime returns a team's virtual time for fair queueing. It is at least the time of the team that was served
// last, so that a team gains no credit while it has no waiters.
func (s *Shedder) teamVirtualTime(team string) float64 {
	return max(s.virtualTimes[team], s.virtualTime)
}

// Leave removes a waiter that gave up. It returns false if the waiter has already been served or shed.
func (s *Shedder) Leave(id uint64) bool {
	for i := range s.waiters {
		if s.waiters[i].ID == id {
			s.remove(i)
			return true
		}
	}
	return false
}

// Freed records that a permit became free.
func (s *Shedder) Freed(now time.Time) {
	if !s.lastFreed.IsZero() {
		d := now.Sub(s.lastFreed)
		if s.meanInterval == 0 {
			s.meanInterval = d
		} else {
			s.meanInterval = time.Duration((1-intervalSmoothing)*float64(s.meanInterval) + intervalSmoothing*float64(d))
		}
	}
	s.lastFreed = now
}

func (s *Shedder) remove(i int) { s.waiters = append(s.waiters[:i], s.waiters[i+1:]...) }
