package placement

import (
	"cmp"
	"slices"
	"strings"

	"sequoiastall/internal/core/resource"
)

const (
	// candidateLimit bounds the candidates from one search of a pool's index. Each pool is searched for the tightest fits
	// and then for the loosest ones.
	candidateLimit = 8
	// rowCandidateLimit bounds the candidates from one row of the index, so that workers with different combinations of
	// free resources are compared.
	rowCandidateLimit = 3
	// rackSampleSize is the number of racks that are searched directly for a candidate for a service instance.
	rackSampleSize = 10
)

// Cluster holds the workers of a partition and their reservations.
type Cluster struct {
	policy        Policy
	byID          map[string]int32
	entries       []entry
	treapNodes    []treapNode // parallel to entries
	freeEntries   []int32     // indices in entries that can be reused
	pools         []*pool     // sorted by name
	racks         []*rack     // sorted by zone and name
	capacity      resource.Vector
	reserved      resource.Vector
	negativeCache negativeCache
	overReleased  int
	searchSeq     uint64  // number of the current search
	visited       int     // workers examined by the last search
	placeRequest  Request // copy of the argument of the last Place
	candidateBuf  []int32 // reused by searches
}

// entry is a worker with its pool, its rack and the service instances on it.
type entry struct {
	Worker
	pool       *pool
	rack       *rack
	services   []serviceCount // instances on this worker
	lastSearch uint64         // number of the last search that took it as a candidate
}

func (e *entry) free() resource.Vector { return e.Capacity.Sub(e.Reserved) }

// serviceCount is the number of a service's instances.
type serviceCount struct {
	service string
	count   int
}

// rack holds the workers of a rack and counts the instances of each service on them.
type rack struct {
	zone, name string
	services   map[string]int
	workers    []int32 // indices in ascending order
	lastSearch uint64  // number of the last search that took a candidate from it
}

func (r *rack) compare(zone, name string) int {
	return cmp.Or(strings.Compare(r.zone, zone), strings.Compare(r.name, name))
}

// pool holds the index and the counters of one hardware pool.
type pool struct {
	name                          string
	index                         *index
	workers, leaving, quarantined int
	shapes                        []shape
}

// shape counts the workers of a pool with the same capacity.
type shape struct {
	capacity resource.Vector
	workers  int
}

// NewCluster returns an empty cluster.
func NewCluster(p Policy) *Cluster {
	return &Cluster{policy: p, byID: map[string]int32{}}
}

// SetPolicy sets the weights of the score plugins.
func (c *Cluster) SetPolicy(p Policy) { c.policy = p }

// Upsert adds a worker without reservations, or updates all fields of a known worker except Reserved.
func (c *Cluster) Upsert(w Worker) {
	n, known := c.byID[w.ID]
	if known {
		w.Reserved = c.entries[n].Reserved
		if w == c.entries[n].Worker {
			return
		}
	}
	c.negativeCache.clear()
	if !known {
		w.Reserved = resource.Vector{}
		n = c.allocateEntry()
		c.byID[w.ID] = n
		c.entries[n] = entry{Worker: w}
	} else {
		c.detach(n)
		c.entries[n].Worker = w
	}
	c.attach(n)
}

// Remove removes a worker and its reservations. An unknown ID is ignored.
func (c *Cluster) Remove(id string) {
	n, known := c.byID[id]
	if !known {
		return
	}
	c.negativeCache.clear() // index n will be reused for another worker
	c.detach(n)
	delete(c.byID, id)
	c.entries[n] = entry{}
	c.freeEntries = append(c.freeEntries, n)
}

func (c *Cluster) allocateEntry() int32 {
	if last := len(c.freeEntries) - 1; last >= 0 {
		n := c.freeEntries[last]
		c.freeEntries = c.freeEntries[:last]
		return n
	}
	c.entries = append(c.entries, entry{})
	c.treapNodes = append(c.treapNodes, treapNode{})
	return int32(len(c.entries) - 1)
}

// attach adds worker n to its pool and rack, to the totals and to the index.
func (c *Cluster) attach(n int32) {
	e := &c.entries[n]
	e.pool, e.rack = c.getOrCreatePool(e.Pool), c.getOrCreateRack(e.Zone, e.Rack)
	e.pool.updateCounts(&e.Worker, 1)
	at, _ := slices.BinarySearch(e.rack.workers, n)
	e.rack.workers = slices.Insert(e.rack.workers, at, n)
	for _, s := range e.services {
		e.rack.services[s.service] += s.count
	}
	c.capacity = c.capacity.Add(e.Capacity)
	c.reserved = c.reserved.Add(e.Reserved)
	c.reindex(n)
}

// detach undoes attach.
func (c *Cluster) detach(n int32) {
	c.unindex(n)
	e := &c.entries[n]
	e.pool.updateCounts(&e.Worker, -1)
	for _, s := range e.services {
		e.rack.addInstances(s.service, -s.count)
	}
	e.rack.workers = slices.DeleteFunc(e.rack.workers, func(m int32) bool { return m == n })
	if len(e.rack.workers) == 0 {
		c.racks = slices.DeleteFunc(c.racks, func(r *rack) bool { return r == e.rack })
	}
	if e.pool.workers == 0 {
		c.pools = slices.DeleteFunc(c.pools, func(p *pool) bool { return p == e.pool })
	}
	c.capacity = c.capacity.Sub(e.Capacity)
	c.reserved = c.reserved.Sub(e.Reserved)
}

func (c *Cluster) getOrCreatePool(name string) *pool {
	at, found := slices.BinarySearchFunc(c.pools, name, func(p *pool, name string) int { return strings.Compare(p.name, name) })
	if !found {
		c.pools = slices.Insert(c.pools, at, &pool{name: name, index: newIndex()})
	}
	return c.pools[at]
}

func (c *Cluster) getOrCreateRack(zone, name string) *rack {
	at, found := slices.BinarySearchFunc(c.racks, name, func(r *rack, name string) int { return r.compare(zone, name) })
	if !found {
		c.racks = slices.Insert(c.racks, at, &rack{zone: zone, name: name, services: map[string]int{}})
	}
	return c.racks[at]
}

func (r *rack) addInstances(service string, delta int) {
	if left := r.services[service] + delta; left > 0 {
		r.services[service] = left
	} else {
		delete(r.services, service)
	}
}

func (p *pool) updateCounts(w *Worker, delta int) {
	p.workers += delta
	switch {
	case w.Leaving:
		p.leaving += delta
	case w.Quarantined:
		p.quarantined += delta
	}
	at := slices.IndexFunc(p.shapes, func(s shape) bool { return s.capacity == w.Capacity })
	if at < 0 {
		at = len(p.shapes)
		p.shapes = append(p.shapes, shape{capacity: w.Capacity})
	}
	p.shapes[at].workers += delta
	if p.shapes[at].workers == 0 {
		p.shapes = slices.Delete(p.shapes, at, at+1)
	}
}

// Worker returns the worker with the given ID.
func (c *Cluster) Worker(id string) (Worker, bool) {
	n, known := c.byID[id]
	if !known {
		return Worker{}, false
	}
	return c.entries[n].Worker, true
}

// Workers returns all workers sorted by ID.
func (c *Cluster) Workers() []Worker {
	workers := make([]Worker, 0, len(c.byID))
	for _, n := range c.byID {
		workers = append(workers, c.entries[n].Worker)
	}
	slices.SortFunc(workers, func(a, b Worker) int { return strings.Compare(a.ID, b.ID) })
	return workers
}

// Reserve reserves the request's resources on a worker. It changes nothing if it fails, which it does with
// *CapacityError, *UnknownWorkerError or *InvalidRequestError. It enforces the invariant that no host is filled beyond
// its capacity, but applies no other filter, because tasks that already run on a worker have to be accounted for.
func (c *Cluster) Reserve(worker string, r Request) error {
	n, known := c.byID[worker]
	if !known {
		return &UnknownWorkerError{worker}
	}
	if r.Resources.HasNegative() {
		return &InvalidRequestError{r.Resources}
	}
	e := &c.entries[n]
	if !r.Resources.Fits(e.free()) {
		return &CapacityError{Worker: worker, Wanted: r.Resources, Reserved: e.Reserved, Capacity: e.Capacity}
	}
	c.reserve(n, &r)
	return nil
}

func (c *Cluster) reserve(n int32, r *Request) {
	e := &c.entries[n]
	e.Reserved = e.Reserved.Add(r.Resources)
	c.reserved = c.reserved.Add(r.Resources)
	e.addInstances(r.Service, 1)
	c.reindex(n)
}

// Release frees what Reserve reserved. Unknown workers and negative amounts are ignored. An amount above what is
// reserved is reduced to it and counted in OverReleased.
func (c *Cluster) Release(worker string, r Request) {
	n, known := c.byID[worker]
	if !known || r.Resources.HasNegative() {
		return
	}
	c.release(n, &r)
}

func (c *Cluster) release(n int32, r *Request) {
	e := &c.entries[n]
	amount := r.Resources.Min(e.Reserved)
	if amount != r.Resources {
		c.overReleased++
	}
	e.Reserved = e.Reserved.Sub(amount)
	c.reserved = c.reserved.Sub(amount)
	e.addInstances(r.Service, -1)
	c.negativeCache.markImproved(n)
	c.reindex(n)
}

// addInstances adjusts the instances of a service on the worker and in its rack.
func (e *entry) addInstances(service string, delta int) {
	if service == "" {
		return
	}
	at := slices.IndexFunc(e.services, func(s serviceCount) bool { return s.service == service })
	if at < 0 {
		if delta < 0 {
			return
		}
		at = len(e.services)
		e.services = append(e.services, serviceCount{service: service})
	}
	e.services[at].count += delta
	e.rack.addInstances(service, delta)
	if e.services[at].count == 0 {
		e.services = slices.Delete(e.services, at, at+1)
	}
}

// OverReleased returns how often more was released than was reserved, which indicates a bug in the caller.
func (c *Cluster) OverReleased() int { return c.overReleased }

// Capacity returns the sum of all workers' capacities.
func (c *Cluster) Capacity() resource.Vector { return c.capacity }

// Free returns the total capacity minus the reservations, including workers that take no new tasks. Components may be
// negative if a worker's capacity shrank below its reservations.
func (c *Cluster) Free() resource.Vector { return c.capacity.Sub(c.reserved) }
