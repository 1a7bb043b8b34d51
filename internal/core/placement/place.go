package placement

import (
	"math"

	"sequoiastall/internal/core/resource"
)

// Place chooses a worker for one task without reserving anything. It fails with *UnplaceableError or
// *InvalidRequestError.
func (c *Cluster) Place(r Request) (Decision, error) {
	if r.Resources.HasNegative() {
		return Decision{}, &InvalidRequestError{r.Resources}
	}
	c.request = r // a copy in the cluster, because a parameter would be moved to the heap
	n, d := c.choose(&c.request)
	if n == none {
		return Decision{}, c.unplaceable(&c.request, 1)
	}
	return d, nil
}

// PlaceGang chooses workers for n tasks of the same request, or for none, without reserving anything. It fails with
// *UnplaceableError or *InvalidRequestError.
func (c *Cluster) PlaceGang(r Request, n int) ([]Decision, error) {
	if r.Resources.HasNegative() || n < 0 {
		return nil, &InvalidRequestError{r.Resources}
	}
	if n == 0 {
		return nil, nil
	}
	if c.LargestFit(r) < n {
		return nil, c.unplaceable(&r, n)
	}
	before := c.refusals // what is refused beside the gang's tasks may fit without them
	decisions := make([]Decision, 0, n)
	chosen := make([]int32, 0, n)
	for range n {
		at, d := c.choose(&r)
		if at == none {
			break
		}
		c.reserve(at, &r)
		chosen = append(chosen, at)
		decisions = append(decisions, d)
	}
	var err error
	if len(chosen) < n {
		decisions, err = nil, c.unplaceable(&r, n)
	}
	for _, at := range chosen {
		c.release(at, &r)
	}
	c.refusals = before
	return decisions, err
}

// choose returns the best candidate, or none. Equal scores are decided by the lower ID.
func (c *Cluster) choose(r *Request) (int32, Decision) {
	c.stamp++
	s := search{request: r, spread: r.Service != "", found: c.scratch[:0]}
	if c.refusals.covers(r) {
		c.collectImproved(&s)
	} else {
		c.collectAll(&s)
		if len(s.found) == 0 {
			c.refusals.add(r)
		}
	}
	return c.best(r, &s)
}

// collectAll searches the pools for the tightest fits, for the loosest ones, and for other racks.
func (c *Cluster) collectAll(s *search) {
	for _, p := range c.pools {
		if s.request.Pool != "" && p.name != s.request.Pool {
			continue
		}
		s.loose, s.want = false, candidateLimit
		c.collect(p.index, s)
		if len(s.found) > 0 {
			s.loose, s.want = true, candidateLimit
			c.collect(p.index, s)
		}
	}
	if s.spread && len(s.found) > 0 {
		c.sampleRacks(s)
	}
}

// best scores the candidates.
func (c *Cluster) best(r *Request, s *search) (int32, Decision) {
	c.scratch, c.visited = s.found, s.visited
	best, decision := none, Decision{Considered: s.visited}
	for _, n := range s.found {
		e := &c.entries[n]
		inRack := 0
		if r.Service != "" {
			inRack = e.rack.services[r.Service]
		}
		sc := newScoring(&e.Worker, r, inRack)
		score, reason := c.policy.score(&sc, r.Service != "")
		if best == none || score > decision.Score || (score == decision.Score && e.ID < decision.Worker) {
			best = n
			decision.Worker, decision.Score, decision.Reason = e.ID, score, reason
		}
	}
	return best, decision
}

// unplaceable explains why n tasks can't be placed, from counters instead of a scan of all workers.
func (c *Cluster) unplaceable(r *Request, n int) *UnplaceableError {
	e := &UnplaceableError{Never: len(c.byID) > 0 && c.LargestFit(*r) < n, Rejected: make(map[string]int, len(filters))}
	total, member := len(c.byID), 0
	for _, p := range c.pools {
		if r.Pool != "" && p.name != r.Pool {
			continue
		}
		member += p.workers
		e.add(FilterLeaving, p.leaving)
		e.add(FilterQuarantine, p.quarantined)
	}
	e.add(FilterPool, total-member)
	for id, avoid := range r.Avoid {
		if at, known := c.byID[id]; known && avoid && rejectedBy(&c.entries[at].Worker, r) == FilterAvoid {
			e.add(FilterAvoid, 1)
		}
	}
	rest := total
	for _, count := range e.Rejected {
		rest -= count
	}
	e.add(FilterFit, rest)
	return e
}

func (e *UnplaceableError) add(name string, workers int) {
	if workers > 0 {
		e.Rejected[name] += workers
	}
}

// LargestFit returns how many tasks of the request would fit on the workers of its pool if they were empty. Leaving and
// quarantined workers count, because others replace them or they return.
func (c *Cluster) LargestFit(r Request) int {
	total := 0
	for _, p := range c.pools {
		if r.Pool != "" && p.name != r.Pool {
			continue
		}
		for _, s := range p.shapes {
			each := copies(r.Resources, s.capacity)
			if each > (math.MaxInt-total)/s.workers {
				return math.MaxInt
			}
			total += each * s.workers
		}
	}
	return total
}

// copies returns how often v fits into capacity.
func copies(v, capacity resource.Vector) int {
	most := int64(math.MaxInt)
	have := amounts(capacity)
	for i, want := range amounts(v) {
		switch {
		case have[i] < 0:
			return 0
		case want > 0:
			most = min(most, have[i]/want)
		}
	}
	return int(most)
}
