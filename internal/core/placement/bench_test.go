package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiastall/internal/core/job"
)

// workload keeps a cluster at the density of the target size: 37,000 running tasks of 190 teams on 1,300 workers.
type workload struct {
	c             *Cluster
	rng           *rand.Rand
	running       []running
	targetRunning int // tasks to keep running; if full, every placement is kept
	full          bool
	drawn         Request
	chosen        string
}

type running struct {
	worker string
	r      Request
}

var teams = func() (names [190]string) {
	for i := range names {
		names[i] = fmt.Sprintf("team%03d", i)
	}
	return names
}()

const (
	targetWorkers = 1300
	targetTasks   = 37000
)

func newWorkload(workers int, full bool) *workload {
	l := &workload{
		c: NewCluster(Policy{Packing: 1, Share: 1, Waiting: 0.2}), rng: rand.New(rand.NewPCG(1, 2)),
		targetRunning: targetTasks * workers / targetWorkers, full: full,
	}
	for i := range workers {
		w := Worker{ID: fmt.Sprintf("w%04d", i), Zone: "z", Rack: fmt.Sprint(i / 6), Pool: "general", Capacity: vec(64, 72000, 288000, 0)}
		if i%10 == 9 {
			w.Pool, w.Capacity.Accelerators = "accelerated", 4
		}
		l.c.Upsert(w)
	}
	for misses := 0; misses < 200 && (full || len(l.running) < l.targetRunning); {
		if l.drawAndPlace() {
			misses = 0
			l.reserveChosen()
		} else {
			misses++
		}
	}
	return l
}

// randomRequest returns a request for a random task: three in five are batch, one in five each service and gang.
func (l *workload) randomRequest(rng *rand.Rand) Request {
	team := teams[rng.IntN(len(teams))]
	r := Request{Team: team, Pool: "general", Class: job.Batch}
	if rng.IntN(2) == 0 {
		r.Pool = ""
	}
	r.Resources = vec(1, 250*(1+rng.Int64N(16)), 512*(1+rng.Int64N(32)), 0)
	switch rng.IntN(5) {
	case 0:
		r.Class, r.Service = job.Service, team
		r.Resources.Slots = 1 + rng.Int64N(2)
	case 1:
		r.Class = job.Gang
		if rng.IntN(20) == 0 {
			r.Pool, r.Resources.Accelerators = "accelerated", 1
		}
	}
	return r
}

// draw sets drawn to the next random request.
func (l *workload) draw() { l.drawn = l.randomRequest(l.rng) }

func (l *workload) placeDrawn() bool {
	d, err := l.c.Place(l.drawn)
	l.chosen = d.Worker
	return err == nil
}

func (l *workload) drawAndPlace() bool {
	l.draw()
	return l.placeDrawn()
}

func (l *workload) reserveChosen() {
	if err := l.c.Reserve(l.chosen, l.drawn); err != nil {
		panic(err)
	}
	l.running = append(l.running, running{l.chosen, l.drawn})
}

// applyPlacement reserves the last placement. Above the target, or one time in ten if full, a random task ends.
func (l *workload) applyPlacement() {
	if l.chosen != "" {
		l.reserveChosen()
	}
	if (l.full && l.rng.IntN(10) == 0) || (!l.full && len(l.running) > l.targetRunning) {
		at := l.rng.IntN(len(l.running))
		l.c.Release(l.running[at].worker, l.running[at].r)
		l.running[at] = l.running[len(l.running)-1]
		l.running = l.running[:len(l.running)-1]
	}
}

// BenchmarkPlace measures one decision; ns/op includes the reservation and the release.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{50, targetWorkers} {
		for _, full := range []bool{false, true} {
			state := "nearly-full"
			if full {
				state = "full"
			}
			b.Run(fmt.Sprintf("workers=%d/%s", workers, state), func(b *testing.B) {
				l := newWorkload(workers, full)
				h := hdrhistogram.New(1, int64(time.Second), 3)
				placed, considered := 0, 0
				b.ReportAllocs()
				for b.Loop() {
					l.draw()
					start := time.Now()
					if l.placeDrawn() {
						placed++
					}
					_ = h.RecordValue(int64(time.Since(start)))
					considered += l.c.visited
					l.applyPlacement()
				}
				b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
				b.ReportMetric(h.Mean(), "mean-ns")
				b.ReportMetric(float64(considered)/float64(b.N), "considered/op")
				b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
				b.ReportMetric(float64(len(l.running)), "running")
			})
		}
	}
}

// BenchmarkPlaceAllocs measures the allocations of decisions without reservations, whether a worker is found or not.
func BenchmarkPlaceAllocs(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			l := newWorkload(targetWorkers, full)
			l.draw()
			b.ReportAllocs()
			for b.Loop() {
				l.placeDrawn()
			}
		})
	}
}
