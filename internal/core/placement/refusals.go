package placement

import (
	"slices"

	"sequoiastall/internal/core/resource"
)

const (
	refusalLimit  = 8 // refused requests that are remembered
	improvedLimit = 8 // workers that may gain free resources before all is forgotten
)

// refusals remembers requests that fitted nowhere. In a full cell most requests ask for at least as much as one of
// them, and then only the workers that have gained free resources since need to be looked at.
type refusals struct {
	known    [refusalLimit]refusal
	count    int
	next     int // the entry to be overwritten when all are in use
	improved [improvedLimit]int32
	gained   int // entries of improved in use
}

// refusal is a request that no worker of the pool could hold.
type refusal struct {
	pool string
	need resource.Vector
}

// covers reports whether only the improved workers can hold the request.
func (f *refusals) covers(r *Request) bool {
	for i := range f.known[:f.count] {
		if k := &f.known[i]; (k.pool == "" || k.pool == r.Pool) && k.need.Fits(r.Resources) {
			return true
		}
	}
	return false
}

// add remembers a refusal. The worker that a task avoids may hold other tasks, so that such refusals tell nothing.
func (f *refusals) add(r *Request) {
	if len(r.Avoid) > 0 {
		return
	}
	at := f.count
	if f.count < refusalLimit {
		f.count++
	} else {
		at, f.next = f.next, (f.next+1)%refusalLimit
	}
	f.known[at] = refusal{r.Pool, r.Resources}
}

// improve notes that worker n has gained free resources.
func (f *refusals) improve(n int32) {
	switch {
	case f.count == 0 || slices.Contains(f.improved[:f.gained], n):
	case f.gained == improvedLimit:
		f.clear()
	default:
		f.improved[f.gained] = n
		f.gained++
	}
}

func (f *refusals) clear() { *f = refusals{} }

// collectImproved offers the improved workers, which are the only ones that can hold a covered request.
func (c *Cluster) collectImproved(s *search) {
	s.spread = false
	for _, n := range c.refusals.improved[:c.refusals.gained] {
		s.visited++
		c.offer(n, s)
	}
}
