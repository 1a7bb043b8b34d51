package placement

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
)

// TestMain fixes the seed of the property test unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func vec(slots, cpu, memory, accelerators int64) resource.Vector {
	return resource.Vector{Slots: slots, MilliCPU: cpu, MemoryMB: memory, Accelerators: accelerators}
}

// TestPlaceAgreesWithScan changes a cluster at random and compares placements with a scan of all workers. It guards
// against an index that misses a worker that fits, returns one that doesn't, miscounts rejections or overfills a host.
func TestPlaceAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCluster(Policy{Packing: 1, Waiting: rapid.Float64Range(0, 1).Draw(t, "waiting")})
		amount := func(name string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, name) }
		type placed struct {
			worker string
			r      Request
		}
		var running []placed
		request := func() Request {
			r := Request{Pool: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "pool"), Service: rapid.SampledFrom([]string{"", "s", "t"}).Draw(t, "service")}
			r.Resources = vec(amount("slots", 4), amount("cpu", 8), amount("memory", 8), amount("accelerators", 1))
			r.Avoid = map[string]bool{rapid.SampledFrom([]string{"0", "1", "none"}).Draw(t, "avoid"): true}
			return r
		}
		t.Repeat(map[string]func(*rapid.T){
			"upsert": func(t *rapid.T) {
				n := rapid.IntRange(0, 30).Draw(t, "worker")
				c.Upsert(Worker{
					ID: fmt.Sprint(n), Rack: fmt.Sprint(n % 6), Pool: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"),
					Capacity: vec(amount("slots", 70), amount("cpu", 20), amount("memory", 20), amount("accelerators", 9)),
					Leaving:  rapid.Bool().Draw(t, "leaving"), Quarantined: rapid.Bool().Draw(t, "quarantined"),
				})
			},
			"remove": func(t *rapid.T) { c.Remove(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "worker"))) },
			"place": func(t *rapid.T) {
				r := request()
				expectPlace(t, c, r)
				if d, err := c.Place(r); err == nil {
					assert.NilError(t, c.Reserve(d.Worker, r))
					running = append(running, placed{d.Worker, r})
				}
			},
			"gang": func(t *rapid.T) {
				r, n, before := request(), rapid.IntRange(1, 6).Draw(t, "tasks"), c.Workers()
				d, err := c.PlaceGang(r, n)
				assert.DeepEqual(t, before, c.Workers())
				if err != nil {
					return
				}
				assert.Equal(t, len(d), n)
				for _, one := range d {
					assert.NilError(t, c.Reserve(one.Worker, r))
					running = append(running, placed{one.Worker, r})
				}
			},
			"release": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				at := rapid.IntRange(0, len(running)-1).Draw(t, "task")
				c.Release(running[at].worker, running[at].r)
				running = append(running[:at], running[at+1:]...)
			},
			"": func(t *rapid.T) { expectTotals(t, c) },
		})
	})
}

// expectPlace compares a decision with a scan of all workers through the filters.
func expectPlace(t *rapid.T, c *Cluster, r Request) {
	rejected, fits, never := map[string]int{}, map[string]bool{}, true
	for _, w := range c.Workers() {
		if name := rejectedBy(&w, &r); name != "" {
			rejected[name]++
		} else {
			fits[w.ID] = true
		}
		never = never && (rejectPool(&w, &r) || !r.Resources.Fits(w.Capacity))
	}
	d, err := c.Place(r)
	if len(fits) > 0 {
		assert.NilError(t, err)
		assert.Assert(t, fits[d.Worker], "%s doesn't pass the filters", d.Worker)
		return
	}
	var unplaceable *UnplaceableError
	assert.Assert(t, errors.As(err, &unplaceable))
	assert.DeepEqual(t, unplaceable.Rejected, rejected)
	assert.Equal(t, unplaceable.Never, never && len(c.Workers()) > 0)
}

// expectTotals compares the running totals and the service counts with the workers.
func expectTotals(t *rapid.T, c *Cluster) {
	var capacity, reserved resource.Vector
	instances := map[string]int{}
	for _, w := range c.Workers() {
		capacity, reserved = capacity.Add(w.Capacity), reserved.Add(w.Reserved)
		for _, s := range c.entries[c.byID[w.ID]].services {
			instances[w.Rack+"/"+s.service] += s.count
		}
	}
	assert.Equal(t, c.Capacity(), capacity)
	assert.Equal(t, c.Free(), capacity.Sub(reserved))
	byRack := map[string]int{}
	for _, r := range c.racks {
		for service, count := range r.services {
			byRack[r.name+"/"+service] += count
		}
	}
	assert.DeepEqual(t, byRack, instances)
}

// TestReserve guards against an overfilled host and against a failed reservation that changes the cluster.
func TestReserve(t *testing.T) {
	for _, test := range []struct {
		name   string
		worker string
		wanted resource.Vector
		want   string
	}{
		{"fits exactly", "w", vec(4, 4, 4, 0), ""},
		{"too much of one resource", "w", vec(1, 1, 5, 0), "worker w can't hold"},
		{"unknown worker", "x", vec(1, 1, 1, 0), "worker x isn't in the cluster"},
		{"negative", "w", vec(-1, 1, 1, 0), "negative amount"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewCluster(Policy{Packing: 1})
			c.Upsert(Worker{ID: "w", Capacity: vec(8, 8, 8, 0)})
			assert.NilError(t, c.Reserve("w", Request{Resources: vec(4, 4, 4, 0)}))
			before := c.Workers()
			err := c.Reserve(test.worker, Request{Resources: test.wanted})
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
			assert.DeepEqual(t, before, c.Workers())
		})
	}
}

// TestUpsertKeepsReservations guards against a capacity report that drops the reservations of running tasks, and against
// placing on a worker whose capacity shrank below its reservations.
func TestUpsertKeepsReservations(t *testing.T) {
	c := NewCluster(Policy{Packing: 1})
	c.Upsert(Worker{ID: "w", Capacity: vec(8, 8, 8, 0), Reserved: vec(7, 7, 7, 0)})
	assert.NilError(t, c.Reserve("w", Request{Resources: vec(6, 6, 6, 0)}))
	c.Upsert(Worker{ID: "w", Capacity: vec(4, 8, 8, 0)})
	w, _ := c.Worker("w")
	assert.Equal(t, w.Reserved, vec(6, 6, 6, 0))
	_, err := c.Place(Request{Resources: vec(0, 1, 1, 0)})
	assert.ErrorContains(t, err, "no worker can take the task now: workers rejected by filter: fit 1")
	c.Release("w", Request{Resources: vec(7, 0, 0, 0)})
	assert.Equal(t, c.OverReleased(), 1)
	assert.Equal(t, c.Free(), vec(4, 2, 2, 0))
}

// TestMaxTasksWhenEmpty guards against reporting a job as impossible that an empty cluster could run, and the reverse.
func TestMaxTasksWhenEmpty(t *testing.T) {
	c := NewCluster(Policy{})
	for i := range 3 {
		c.Upsert(Worker{ID: fmt.Sprint(i), Pool: "big", Capacity: vec(8, 16, 32, 0), Leaving: i == 0})
	}
	c.Upsert(Worker{ID: "s", Pool: "small", Capacity: vec(2, 4, 4, 0)})
	for _, test := range []struct {
		pool string
		need resource.Vector
		want int
	}{
		{"big", vec(1, 5, 1, 0), 9}, {"big", vec(9, 1, 1, 0), 0}, {"small", vec(1, 1, 1, 0), 2},
		{"", vec(1, 4, 4, 0), 13}, {"absent", vec(1, 1, 1, 0), 0}, {"big", vec(1, 1, 1, 1), 0},
	} {
		assert.Equal(t, c.MaxTasksWhenEmpty(Request{Pool: test.pool, Resources: test.need}), test.want, "%+v", test)
	}
}

// TestSpreadOverRacks guards against instances of a service that share a rack while other racks have none.
func TestSpreadOverRacks(t *testing.T) {
	c := NewCluster(Policy{Packing: 1})
	for i := range 54 {
		c.Upsert(Worker{ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 6), Capacity: vec(8, 16000, 32000, 0)})
	}
	perRack := map[string]int{}
	for range 27 {
		r := Request{Service: "s", Resources: vec(1, 1000, 1000, 0)}
		d, err := c.Place(r)
		assert.NilError(t, err)
		assert.NilError(t, c.Reserve(d.Worker, r))
		w, _ := c.Worker(d.Worker)
		perRack[w.Rack]++
	}
	for name, count := range perRack {
		assert.Equal(t, count, 3, "rack %s", name)
	}
}

// TestSearchCostGrowth guards against a search cost that grows with the number of workers: the mean and the 99th
// percentile of the workers examined per decision may at most triple from 50 to 1,300 workers.
func TestSearchCostGrowth(t *testing.T) {
	for _, full := range []bool{false, true} {
		small, large := measureSearchCost(50, full), measureSearchCost(1300, full)
		t.Logf("full=%v: considered per decision: 50 workers %+v, 1300 workers %+v", full, small, large)
		assert.Assert(t, large.mean <= 3*small.mean, "mean grew from %.1f to %.1f", small.mean, large.mean)
		assert.Assert(t, large.p99 <= 3*small.p99, "99th percentile grew from %d to %d", small.p99, large.p99)
	}
}

type searchCost struct {
	mean     float64
	p99, max int64
}

func measureSearchCost(workers int, full bool) searchCost {
	l := newWorkload(workers, full)
	h := hdrhistogram.New(1, targetWorkers, 3)
	for range 5000 {
		l.drawAndPlace()
		_ = h.RecordValue(int64(l.c.visited))
		l.applyPlacement()
	}
	return searchCost{h.Mean(), h.ValueAtQuantile(99), h.Max()}
}

// TestPackingAgainstScan guards against placements that score much worse than the best worker found by a full scan.
func TestPackingAgainstScan(t *testing.T) {
	l := newWorkload(200, false)
	rng := rand.New(rand.NewPCG(3, 4))
	chosen, best := 0.0, 0.0
	for range 500 {
		r := l.randomRequest(rng)
		if d, err := l.c.Place(r); err == nil {
			assert.Assert(t, d.Score > 0)
			chosen += d.Score
			best += bestScore(l.c, r)
		}
		l.drawAndPlace()
		l.applyPlacement()
	}
	t.Logf("mean score is %.4f of the best", chosen/best)
	assert.Assert(t, chosen > 0)
	assert.Assert(t, chosen >= 0.95*best, "mean score is %.3f of the best", chosen/best)
}

func bestScore(c *Cluster, r Request) float64 {
	best := 0.0
	for i := range c.entries {
		if e := &c.entries[i]; rejectedBy(&e.Worker, &r) == "" {
			s := newScoreInput(&e.Worker, &r, e.rack.services[r.Service])
			score, _ := c.policy.score(&s, r.Service != "")
			best = max(best, score)
		}
	}
	return best
}
