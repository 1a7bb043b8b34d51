package runcheck

import (
	"slices"
	"time"
)

// Fault is an interval in which a fault can explain a late reaction of the scheduler.
type Fault struct {
	checker *Checker
	from    time.Duration
	to      time.Duration // 0: it is in effect
	workers []string      // that it concerns; none: all
}

// BeginFault records that a fault takes effect. It concerns the given workers, or everything if none is given.
func (c *Checker) BeginFault(at time.Duration, workers ...string) *Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &Fault{checker: c, from: at, workers: workers}
	c.faults = append(c.faults, f)
	return f
}

// End records that the scheduler can react in time again.
func (f *Fault) End(at time.Duration) {
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	f.to = at
}

type interval struct{ from, to time.Duration }

// calm returns the parts of an interval in which no fault concerns a worker, nor did until settle before. An empty worker
// stands for all.
func calm(faults []*Fault, whole interval, worker string, settle time.Duration) []interval {
	disturbed := []interval{}
	for _, f := range faults {
		if worker != "" && len(f.workers) > 0 && !slices.Contains(f.workers, worker) {
			continue
		}
		end := f.to + settle
		if f.to == 0 {
			end = whole.to
		}
		disturbed = append(disturbed, interval{f.from, end})
	}
	slices.SortFunc(disturbed, func(a, b interval) int { return int(a.from - b.from) })
	var parts []interval
	from := whole.from
	for _, d := range disturbed {
		if d.from >= whole.to {
			break
		}
		if d.from > from {
			parts = append(parts, interval{from, d.from})
		}
		from = max(from, d.to)
	}
	if from < whole.to {
		parts = append(parts, interval{from, whole.to})
	}
	return parts
}

// calmTime returns how much of the time between two moments was calm for a worker.
func (j *judge) calmTime(from, to time.Duration, worker string) time.Duration {
	var sum time.Duration
	for _, part := range calm(j.faults, interval{from, to}, worker, j.rules.Settle) {
		sum += part.to - part.from
	}
	return sum
}

// longestCalm returns the longest time without any fault between two moments.
func (j *judge) longestCalm(from, to time.Duration) time.Duration {
	var longest time.Duration
	for _, part := range calm(j.faults, interval{from, to}, "", 0) {
		longest = max(longest, part.to-part.from)
	}
	return longest
}
