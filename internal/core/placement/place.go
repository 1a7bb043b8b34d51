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
	c.placeRequest = r // copied into the cluster, because taking the parameter's address would move it to the heap
	n, d := c.choose(&c.placeRequest)
	if n == none {
		return Decision{}, c.unplaceableError(&c.placeRequest, 1)
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
	if c.MaxTasksWhenEmpty(r) < n {
		return nil, c.unplaceableError(&r, n)
	}
	before := c.negativeCache // entries added while the gang's tasks are reserved may be wrong after their release
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
		decisions, err = nil, c.unplaceableError(&r, n)
	}
	for _, at := range chosen {
		c.release(at, &r)
	}
	c.negativeCache = before
	return decisions, err
}

// choose returns the best candidate, or none. Among equal scores the lowest ID wins.
func (c *Cluster) choose(r *Request) (int32, Decision) {
	c.searchSeq++
	s := search{request: r, spread: r.Service != "", candidates: c.candidateBuf[:0]}
	if c.negativeCache.covers(r) {
		c.searchImproved(&s)
	} else {
		c.searchPools(&s)
		if len(s.candidates) == 0 {
			c.negativeCache.add(r)
		}
	}
	return c.best(r, &s)
}

// searchPools searches the pools for the tightest and the loosest fits, and for a service also other racks.
func (c *Cluster) searchPools(s *search) {
	for _, p := range c.pools {
		if s.request.Pool != "" && p.name != s.request.Pool {
			continue
		}
		s.worstFit, s.want = false, candidateLimit
		c.searchIndex(p.index, s)
		if len(s.candidates) > 0 {
			s.worstFit, s.want = true, candidateLimit
			c.searchIndex(p.index, s)
		}
	}
	if s.spread && len(s.candidates) > 0 {
		c.searchRacks(s)
	}
}

// best scores the candidates and returns the one with the highest score.
func (c *Cluster) best(r *Request, s *search) (int32, Decision) {
	c.candidateBuf, c.visited = s.candidates, s.visited
	best, decision := none, Decision{Considered: s.visited}
	for _, n := range s.candidates {
		e := &c.entries[n]
		inRack := 0
		if r.Service != "" {
			inRack = e.rack.services[r.Service]
		}
		sc := newScoreInput(&e.Worker, r, inRack)
		score, reason := c.policy.score(&sc, r.Service != "")
		if best == none || score > decision.Score || (score == decision.Score && e.ID < decision.Worker) {
			best = n
			decision.Worker, decision.Score, decision.Reason = e.ID, score, reason
		}
	}
	return best, decision
}

// unplaceableError explains why n tasks can't be placed. It uses counters instead of a scan of all workers.
func (c *Cluster) unplaceableError(r *Request, n int) *UnplaceableError {
	e := &UnplaceableError{Never: len(c.byID) > 0 && c.MaxTasksWhenEmpty(*r) < n, Rejected: make(map[string]int, len(filters))}
	total, inPool := len(c.byID), 0
	for _, p := range c.pools {
		if r.Pool != "" && p.name != r.Pool {
			continue
		}
		inPool += p.workers
		e.addRejected(FilterLeaving, p.leaving)
		e.addRejected(FilterQuarantine, p.quarantined)
	}
	e.addRejected(FilterPool, total-inPool)
	for id, avoid := range r.Avoid {
		if at, known := c.byID[id]; known && avoid && rejectedBy(&c.entries[at].Worker, r) == FilterAvoid {
			e.addRejected(FilterAvoid, 1)
		}
	}
	rest := total
	for _, count := range e.Rejected {
		rest -= count
	}
	e.addRejected(FilterFit, rest)
	return e
}

func (e *UnplaceableError) addRejected(name string, workers int) {
	if workers > 0 {
		e.Rejected[name] += workers
	}
}

// MaxTasksWhenEmpty returns how many tasks of the request would fit on the workers of its pool if they were empty.
// Leaving and quarantined workers are included, because leaving ones get replaced and quarantined ones return.
func (c *Cluster) MaxTasksWhenEmpty(r Request) int {
	total := 0
	for _, p := range c.pools {
		if r.Pool != "" && p.name != r.Pool {
			continue
		}
		for _, s := range p.shapes {
			each := maxCopies(r.Resources, s.capacity)
			if each > (math.MaxInt-total)/s.workers {
				return math.MaxInt
			}
			total += each * s.workers
		}
	}
	return total
}

// maxCopies returns how many times v fits into capacity.
func maxCopies(v, capacity resource.Vector) int {
	most := int64(math.MaxInt)
	have := components(capacity)
	for i, want := range components(v) {
		switch {
		case have[i] < 0:
			return 0
		case want > 0:
			most = min(most, have[i]/want)
		}
	}
	return int(most)
}
