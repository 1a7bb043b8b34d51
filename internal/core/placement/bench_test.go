package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiastall/internal/core/job"
)

// load keeps a cluster at the target size's density: 37,000 running tasks of 190 teams on 1,300 workers.
type load struct {
	c       *Cluster
	rng     *rand.Rand
	running []running
	target  int // tasks to keep running; when full, every placement is kept
	full    bool
	last    Request
	chosen  string
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

func newLoad(workers int, full bool) *load {
	l := &load{
		c: NewCluster(Policy{Packing: 1, Share: 1, Waiting: 0.2}), rng: rand.New(rand.NewPCG(1, 2)),
		target: targetTasks * workers / targetWorkers, full: full,
	}
	for i := range workers {
		w := Worker{ID: fmt.Sprintf("w%04d", i), Zone: "z", Rack: fmt.Sprint(i / 6), Pool: "general", Capacity: vec(64, 72000, 288000, 0)}
		if i%10 == 9 {
			w.Pool, w.Capacity.Accelerators = "accelerated", 4
		}
		l.c.Upsert(w)
	}
	for misses := 0; misses < 200 && (full || len(l.running) < l.target); {
		if l.place() {
			misses = 0
			l.keep()
		} else {
			misses++
		}
	}
	return l
}

// request draws a task: three in five are batch, one in five each service and gang.
func (l *load) request(rng *rand.Rand) Request {
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

// draw prepares the next request.
func (l *load) draw() { l.last = l.request(l.rng) }

func (l *load) decide() bool {
	d, err := l.c.Place(l.last)
	l.chosen = d.Worker
	return err == nil
}

func (l *load) place() bool {
	l.draw()
	return l.decide()
}

func (l *load) keep() {
	if err := l.c.Reserve(l.chosen, l.last); err != nil {
		panic(err)
	}
	l.running = append(l.running, running{l.chosen, l.last})
}

// settle keeps the last placement. Beyond the target, or every tenth time when full, a random task ends.
func (l *load) settle() {
	if l.chosen != "" {
		l.keep()
	}
	if (l.full && l.rng.IntN(10) == 0) || (!l.full && len(l.running) > l.target) {
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
				l := newLoad(workers, full)
				h := hdrhistogram.New(1, int64(time.Second), 3)
				placed, considered := 0, 0
				b.ReportAllocs()
				for b.Loop() {
					l.draw()
					start := time.Now()
					if l.decide() {
						placed++
					}
					_ = h.RecordValue(int64(time.Since(start)))
					considered += l.c.visited
					l.settle()
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

// BenchmarkPlaceAllocs measures the allocations of decisions alone, placed and refused.
func BenchmarkPlaceAllocs(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			l := newLoad(targetWorkers, full)
			l.draw()
			b.ReportAllocs()
			for b.Loop() {
				l.decide()
			}
		})
	}
}
