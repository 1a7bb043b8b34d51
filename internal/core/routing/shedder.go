package routing

import (
	"time"

	"github.com/pkg/errors"
)

// Errors of Shedder.Enter; the request wasn't run.
var (
	ErrQueueFull = errors.New("too many requests wait for the service")
	ErrTeamFull  = errors.New("too many requests of the team wait for the service")
	ErrClassFull = errors.New("too many requests of the class wait for the service")
	ErrTooLate   = errors.New("the expected wait exceeds the deadline")
)

// intervalWeight is the weight of the newest interval in the mean time between two served requests.
const intervalWeight = 0.1

// Waiter is a request that waits for a permit.
type Waiter struct {
	ID       uint64
	Team     string
	Class    int // lower ones are shed first
	Deadline time.Time
}

// Limits bound the waiting requests of a service at a node.
type Limits struct {
	Total int
	Team  int // of the waiter's team
	Class int // of the waiter's class, 0 for no limit of its own
}

// Shedder is the bounded waiting room of one service. Higher classes are served first; within a class, teams take
// turns. It isn't safe for concurrent use. The zero value is empty.
type Shedder struct {
	waiters  []Waiter // in order of arrival
	turns    map[string]float64
	turn     float64 // of the team served last
	interval time.Duration
	last     time.Time
}

// Len returns the number of waiters.
func (s *Shedder) Len() int { return len(s.waiters) }

// Enter adds a waiter or refuses it. In a full room it takes the place of the newest waiter of a lower class, or of the
// team of its own class that has the most waiters; that one is returned and has been removed.
func (s *Shedder) Enter(w Waiter, l Limits, now time.Time) (shed *Waiter, err error) {
	team, class := 0, 0
	for i := range s.waiters {
		if s.waiters[i].Team == w.Team {
			team++
		}
		if s.waiters[i].Class == w.Class {
			class++
		}
	}
	switch {
	case team >= l.Team:
		return nil, ErrTeamFull
	case l.Class > 0 && class >= l.Class:
		return nil, ErrClassFull
	case now.Add(s.ExpectedWait(w.Team, w.Class, now)).After(w.Deadline):
		return nil, ErrTooLate
	}
	if len(s.waiters) >= l.Total {
		i := s.victim(w)
		if i < 0 {
			return nil, ErrQueueFull
		}
		v := s.waiters[i]
		s.remove(i)
		shed = &v
	}
	s.waiters = append(s.waiters, w)
	return shed, nil
}

// victim returns the index of the waiter that gives way to w, or -1.
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

// ExpectedWait estimates how long a new waiter would wait: 0 while nothing is known about the service's rate.
func (s *Shedder) ExpectedWait(team string, class int, now time.Time) time.Duration {
	if s.interval == 0 {
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
	// Teams take turns: of each other team, as many go first as the own team has in front.
	for _, n := range counts {
		ahead += min(n, own+1)
	}
	// Without a permit becoming free for a while, the rate is at most one in that time.
	interval := max(s.interval, now.Sub(s.last))
	return time.Duration(ahead+own) * interval
}

// Next removes and returns the waiter that is served next; false if none waits. Waiters beyond their deadline stay
// until they leave by themselves, but aren't returned.
func (s *Shedder) Next(now time.Time) (Waiter, bool) {
	best := -1
	for i, x := range s.waiters {
		if !now.Before(x.Deadline) {
			continue
		}
		if best < 0 || x.Class > s.waiters[best].Class ||
			(x.Class == s.waiters[best].Class && s.turnOf(x.Team) < s.turnOf(s.waiters[best].Team)) {
			best = i
		}
	}
	if best < 0 {
		return Waiter{}, false
	}
	w := s.waiters[best]
	s.remove(best)
	if s.turns == nil {
		s.turns = map[string]float64{}
	}
	s.turn = s.turnOf(w.Team)
	s.turns[w.Team] = s.turn + 1
	if len(s.waiters) == 0 {
		clear(s.turns)
		s.turn = 0
	}
	return w, true
}

// turnOf returns a team's turn. A team that wasn't waiting doesn't gain by its absence.
func (s *Shedder) turnOf(team string) float64 { return max(s.turns[team], s.turn) }

// Leave removes a waiter that gave up; false if it was served or shed before.
func (s *Shedder) Leave(id uint64) bool {
	for i := range s.waiters {
		if s.waiters[i].ID == id {
			s.remove(i)
			return true
		}
	}
	return false
}

// Freed notes that a permit became free.
func (s *Shedder) Freed(now time.Time) {
	if !s.last.IsZero() {
		d := now.Sub(s.last)
		if s.interval == 0 {
			s.interval = d
		} else {
			s.interval = time.Duration((1-intervalWeight)*float64(s.interval) + intervalWeight*float64(d))
		}
	}
	s.last = now
}

func (s *Shedder) remove(i int) { s.waiters = append(s.waiters[:i], s.waiters[i+1:]...) }
