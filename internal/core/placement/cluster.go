package placement

import (
	"cmp"
	"slices"
	"strings"

	"sequoiastall/internal/core/resource"
)

const (
	// candidateLimit bounds the workers that are scored for one request, from each end of the order by free memory.
	candidateLimit = 8
	// perRow bounds the candidates from one row, so that several combinations of free resources are compared.
	perRow = 3
	// rackSample is the number of racks from which a candidate for a service is taken directly.
	rackSample = 10
)

// Cluster holds the workers of a partition and their reservations.
type Cluster struct {
	policy       Policy
	byID         map[string]int32
	entries      []entry
	nodes        []node // parallel to entries
	vacant       []int32
	pools        []*pool // sorted by name
	racks        []*rack // sorted by zone and name
	capacity     resource.Vector
	reserved     resource.Vector
	refusals     refusals
	overReleased int
	stamp        uint64
	visited      int     // of the last search
	request      Request // of the last Place
	scratch      []int32
}

// entry is a worker with its place in the cluster.
type entry struct {
	Worker
	pool     *pool
	rack     *rack
	services []instances // on this worker
	stamp    uint64      // of the last search that took it as a candidate
}

func (e *entry) free() resource.Vector { return e.Capacity.Sub(e.Reserved) }

// instances counts a service's instances.
type instances struct {
	service string
	count   int
}

// rack counts instances by service.
type rack struct {
	zone, name string
	services   map[string]int
	members    []int32 // in ascending order
	stamp      uint64  // of the last search that took a candidate from it
}

func (r *rack) compare(zone, name string) int {
	return cmp.Or(strings.Compare(r.zone, zone), strings.Compare(r.name, name))
}

// pool groups the workers of one hardware pool.
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

// SetPolicy changes the weights of the scores.
func (c *Cluster) SetPolicy(p Policy) { c.policy = p }

// Upsert adds a worker without reservations, or updates all fields but Reserved of a known one.
func (c *Cluster) Upsert(w Worker) {
	n, known := c.byID[w.ID]
	if known {
		w.Reserved = c.entries[n].Reserved
		if w == c.entries[n].Worker {
			return
		}
	}
	c.refusals.clear()
	if !known {
		w.Reserved = resource.Vector{}
		n = c.allocate()
		c.byID[w.ID] = n
		c.entries[n] = entry{Worker: w}
	} else {
		c.detach(n)
		c.entries[n].Worker = w
	}
	c.attach(n)
}

// Remove forgets a worker and its reservations. An unknown ID is ignored.
func (c *Cluster) Remove(id string) {
	n, known := c.byID[id]
	if !known {
		return
	}
	c.refusals.clear() // the worker's number is used again
	c.detach(n)
	delete(c.byID, id)
	c.entries[n] = entry{}
	c.vacant = append(c.vacant, n)
}

func (c *Cluster) allocate() int32 {
	if last := len(c.vacant) - 1; last >= 0 {
		n := c.vacant[last]
		c.vacant = c.vacant[:last]
		return n
	}
	c.entries = append(c.entries, entry{})
	c.nodes = append(c.nodes, node{})
	return int32(len(c.entries) - 1)
}

// attach adds worker n to its pool, rack, totals and index.
func (c *Cluster) attach(n int32) {
	e := &c.entries[n]
	e.pool, e.rack = c.poolNamed(e.Pool), c.rackNamed(e.Zone, e.Rack)
	e.pool.count(&e.Worker, 1)
	at, _ := slices.BinarySearch(e.rack.members, n)
	e.rack.members = slices.Insert(e.rack.members, at, n)
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
	e.pool.count(&e.Worker, -1)
	for _, s := range e.services {
		e.rack.add(s.service, -s.count)
	}
	e.rack.members = slices.DeleteFunc(e.rack.members, func(m int32) bool { return m == n })
	if len(e.rack.members) == 0 {
		c.racks = slices.DeleteFunc(c.racks, func(r *rack) bool { return r == e.rack })
	}
	if e.pool.workers == 0 {
		c.pools = slices.DeleteFunc(c.pools, func(p *pool) bool { return p == e.pool })
	}
	c.capacity = c.capacity.Sub(e.Capacity)
	c.reserved = c.reserved.Sub(e.Reserved)
}

func (c *Cluster) poolNamed(name string) *pool {
	at, found := slices.BinarySearchFunc(c.pools, name, func(p *pool, name string) int { return strings.Compare(p.name, name) })
	if !found {
		c.pools = slices.Insert(c.pools, at, &pool{name: name, index: newIndex()})
	}
	return c.pools[at]
}

func (c *Cluster) rackNamed(zone, name string) *rack {
	at, found := slices.BinarySearchFunc(c.racks, name, func(r *rack, name string) int { return r.compare(zone, name) })
	if !found {
		c.racks = slices.Insert(c.racks, at, &rack{zone: zone, name: name, services: map[string]int{}})
	}
	return c.racks[at]
}

func (r *rack) add(service string, delta int) {
	if left := r.services[service] + delta; left > 0 {
		r.services[service] = left
	} else {
		delete(r.services, service)
	}
}

func (p *pool) count(w *Worker, delta int) {
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

// Reserve takes the request's resources on a worker. It fails with *CapacityError, *UnknownWorkerError or
// *InvalidRequestError and then changes nothing. It asserts the invariant that no host is filled beyond its capacity,
// and ignores the other filters, because work that already runs on a worker has to be taken over.
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
	e.countService(r.Service, 1)
	c.reindex(n)
}

// Release returns what Reserve took. Unknown workers and negative amounts are ignored. An amount above what is reserved
// is cut to it and counted in OverReleased.
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
	e.countService(r.Service, -1)
	c.refusals.improve(n)
	c.reindex(n)
}

// countService adjusts the instances of a service on the worker and in its rack.
func (e *entry) countService(service string, delta int) {
	if service == "" {
		return
	}
	at := slices.IndexFunc(e.services, func(s instances) bool { return s.service == service })
	if at < 0 {
		if delta < 0 {
			return
		}
		at = len(e.services)
		e.services = append(e.services, instances{service: service})
	}
	e.services[at].count += delta
	e.rack.add(service, delta)
	if e.services[at].count == 0 {
		e.services = slices.Delete(e.services, at, at+1)
	}
}

// OverReleased returns how often more was released than was reserved, which is a fault of the caller.
func (c *Cluster) OverReleased() int { return c.overReleased }

// Capacity returns the sum of all workers' capacities.
func (c *Cluster) Capacity() resource.Vector { return c.capacity }

// Free returns the capacity less the reservations, including those of workers that take no new work. Components are
// negative if a worker's capacity shrank below its reservations.
func (c *Cluster) Free() resource.Vector { return c.capacity.Sub(c.reserved) }
