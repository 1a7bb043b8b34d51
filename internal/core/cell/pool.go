package cell

import "sequoiastall/internal/core/resource"

const (
	// withheldDivisor bounds the capacity that is withheld for steps that don't fit yet to this fraction (1/n) of the pool,
	// but one step may always withhold capacity.
	withheldDivisor = 5
	// claimedDivisor bounds the capacity that is claimed by steps whose advice is pending to this fraction (1/n) of the
	// pool, but one step may always claim capacity.
	claimedDivisor = 5
	// turnoverDivisor is the fraction (1/n) of the pool that is expected to come free while advice is pending.
	turnoverDivisor = 10
	// maxMostlyFreeLoad is the allocated share of a pool's capacity below which most of it counts as free. It is above one
	// half, because capacity is allocated before its task runs.
	maxMostlyFreeLoad = 0.6
)

// pool is the state of one pass over the workers of one service. What steps take, claim or withhold there leaves other
// services alone.
type pool struct {
	used, capacity  resource.Vector // of the workers that answer
	freeCPU         int64           // thousandths of a core that are free for the remaining steps
	turnoverCPU     int64           // thousandths of a core that are expected to come free soon
	withholdableCPU int64           // thousandths of a core that may still be withheld for steps that don't fit yet
	claimableCPU    int64           // thousandths of a core that steps whose advice is pending may still claim
	maxFree         resource.Vector // maximum free amount of each resource on any worker
	maxCapacity     resource.Vector // maximum capacity of each resource on any usable worker
}

// poolOf returns the pool of a service.
func (p *placementPass) poolOf(service string) *pool {
	found := p.pools[service]
	if found == nil {
		if p.pools == nil { // before the first pass
			p.pools = map[string]*pool{}
		}
		found = &pool{}
		p.pools[service] = found
	}
	return found
}

// addLoad adds a worker that answers.
func (p *pool) addLoad(w *worker) {
	p.capacity = p.capacity.Add(w.Capacity)
	p.used = p.used.Add(w.Capacity.Sub(w.free))
}

// addFree adds the free capacity of a worker on which tasks may be placed, if only as the last resort.
func (p *pool) addFree(w *worker) {
	p.freeCPU += max(0, w.free.MilliCPU)
	p.maxFree = p.maxFree.Max(w.free)
}

// addUsable adds a usable worker to what may be claimed and withheld.
func (p *pool) addUsable(w *worker) {
	p.turnoverCPU += w.Capacity.MilliCPU / turnoverDivisor
	p.withholdableCPU += w.Capacity.MilliCPU / withheldDivisor
	p.claimableCPU += w.Capacity.MilliCPU / claimedDivisor
	p.maxCapacity = p.maxCapacity.Max(w.Capacity)
}

// mostlyFree reports whether most of the pool's capacity is free.
func (p *pool) mostlyFree() bool { return p.used.DominantShare(p.capacity) < maxMostlyFreeLoad }
