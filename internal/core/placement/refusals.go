package placement

import (
	"slices"

	"sequoiastall/internal/core/resource"
)

const (
	negativeCacheSize = 8 // cached requests
	improvedLimit     = 8 // workers that may gain free resources before the cache is cleared
)

// negativeCache holds requests that fitted on no worker. In a full cell most requests ask for at least as much as one of
// them, and then only the workers that have gained free resources since need to be searched.
type negativeCache struct {
	entries       [negativeCacheSize]unplaceableRequest
	count         int
	next          int // entry to overwrite when all are in use
	improved      [improvedLimit]int32
	improvedCount int // elements of improved in use
}

// unplaceableRequest is a request that fitted on no worker of the pool.
type unplaceableRequest struct {
	pool      string
	resources resource.Vector
}

// covers reports whether the request asks for at least as much as a cached one, so that only improved workers can fit it.
func (nc *negativeCache) covers(r *Request) bool {
	for i := range nc.entries[:nc.count] {
		if e := &nc.entries[i]; (e.pool == "" || e.pool == r.Pool) && e.resources.Fits(r.Resources) {
			return true
		}
	}
	return false
}

// add caches a request that fitted on no worker. Requests that exclude workers are skipped, because other tasks may still
// fit on those workers.
func (nc *negativeCache) add(r *Request) {
	if len(r.Avoid) > 0 {
		return
	}
	at := nc.count
	if nc.count < negativeCacheSize {
		nc.count++
	} else {
		at, nc.next = nc.next, (nc.next+1)%negativeCacheSize
	}
	nc.entries[at] = unplaceableRequest{r.Pool, r.Resources}
}

// markImproved records that worker n has gained free resources.
func (nc *negativeCache) markImproved(n int32) {
	switch {
	case nc.count == 0 || slices.Contains(nc.improved[:nc.improvedCount], n):
	case nc.improvedCount == improvedLimit:
		nc.clear()
	default:
		nc.improved[nc.improvedCount] = n
		nc.improvedCount++
	}
}

func (nc *negativeCache) clear() { *nc = negativeCache{} }

// searchImproved examines the improved workers, the only ones that can fit a request covered by the cache.
func (c *Cluster) searchImproved(s *search) {
	s.spread = false
	for _, n := range c.negativeCache.improved[:c.negativeCache.improvedCount] {
		s.visited++
		c.tryAdd(n, s)
	}
}
