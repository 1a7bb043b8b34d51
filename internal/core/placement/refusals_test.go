package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNegativeCacheAgreesWithScan guards against a cached request that rejects others after resources were released. The
// cluster is full, so that nearly every request is covered by a cached one.
func TestNegativeCacheAgreesWithScan(t *testing.T) {
	for _, workers := range []int{3, 20} {
		l, covered, placed := newWorkload(workers, true), 0, 0
		for range 4000 {
			l.draw()
			if l.c.negativeCache.covers(&l.drawn) {
				covered++
			}
			fits := 0
			for _, w := range l.c.Workers() {
				if rejectedBy(&w, &l.drawn) == "" {
					fits++
				}
			}
			if l.placeDrawn() {
				placed++
			}
			assert.Equal(t, l.chosen != "", fits > 0)
			l.applyPlacement()
		}
		t.Logf("%d workers: %d of 4000 requests covered, %d placed", workers, covered, placed)
		assert.Assert(t, covered > 1000 && placed > 100)
	}
}

// TestNegativeCacheInvalidation guards against a cached request that stays valid after a change of the cluster, or that
// rejects requests it doesn't cover.
func TestNegativeCacheInvalidation(t *testing.T) {
	small, large := vec(1, 1, 1, 0), vec(4, 4, 4, 0)
	for _, test := range []struct {
		name   string
		change func(c *Cluster)
		next   Request
		fits   bool
	}{
		{"nothing changes", func(*Cluster) {}, Request{Pool: "p", Resources: large}, false},
		{"smaller request", func(*Cluster) {}, Request{Pool: "p", Resources: small}, true},
		{"other pool", func(*Cluster) {}, Request{Pool: "q", Resources: large}, true},
		{"any pool", func(*Cluster) {}, Request{Resources: large}, true},
		{"release", func(c *Cluster) { c.Release("a", Request{Resources: large}) }, Request{Pool: "p", Resources: large}, true},
		{"larger worker", func(c *Cluster) { c.Upsert(Worker{ID: "a", Pool: "p", Capacity: vec(10, 10, 10, 0)}) }, Request{Pool: "p", Resources: large}, true},
		{"new worker", func(c *Cluster) { c.Upsert(Worker{ID: "c", Pool: "p", Capacity: large}) }, Request{Pool: "p", Resources: large}, true},
		{"end of a quarantine", func(c *Cluster) { c.Upsert(Worker{ID: "d", Pool: "p", Capacity: large}) }, Request{Pool: "p", Resources: large}, true},
		{"replaced worker", func(c *Cluster) {
			c.Remove("a")
			c.Upsert(Worker{ID: "e", Pool: "p", Capacity: large})
		}, Request{Pool: "p", Resources: large}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewCluster(Policy{Packing: 1})
			c.Upsert(Worker{ID: "a", Pool: "p", Capacity: vec(6, 6, 6, 0)})
			c.Upsert(Worker{ID: "b", Pool: "q", Capacity: large})
			c.Upsert(Worker{ID: "d", Pool: "p", Capacity: large, Quarantined: true})
			assert.NilError(t, c.Reserve("a", Request{Resources: large}))
			_, err := c.Place(Request{Pool: "p", Resources: large})
			assert.ErrorContains(t, err, "fit 1, pool 1, quarantine 1")
			test.change(c)
			_, err = c.Place(test.next)
			assert.Equal(t, err == nil, test.fits)
		})
	}
}
