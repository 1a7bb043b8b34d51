package experiment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// size is a cell of which one partition is measured.
type size struct {
	workers, partitions, teams, waiting int // waiting jobs in the partition
	slots                               int64
}

// sizes are the present size and the target size. 37,000 running tasks on 1300 workers are 28 on each.
var sizes = []size{
	{workers: 50, partitions: 4, teams: 6, waiting: 200, slots: 8},
	{workers: 1300, partitions: 24, teams: 190, waiting: 3000, slots: 32},
}

// BenchmarkCycle measures the cycles of one partition of a full cell with a backlog of all teams: between two cycles some
// tasks end, and others take their places.
func BenchmarkCycle(b *testing.B) {
	const endsPerCycle = 8
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workers=%d", s.workers), func(b *testing.B) {
			o, f, now := fullPartition(b, s)
			rng := rand.New(rand.NewPCG(1, 2))
			started := 0
			var spent, longest time.Duration
			for b.Loop() {
				b.StopTimer()
				now = now.Add(step)
				for range endsPerCycle {
					endOne(f, o.workers[rng.IntN(len(o.workers))], now)
				}
				o.exchange(f, now)
				o.receive(now)
				b.StartTimer()
				begun := time.Now()
				report := o.machine.Cycle(now)
				took := time.Since(begun)
				b.StopTimer()
				spent, longest = spent+took, max(longest, took)
				for _, d := range report.Decisions {
					if d.Kind == partition.DecideStart {
						started++
					}
				}
				o.exchange(f, now)
				o.receive(now)
				b.StartTimer()
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(max(1, started)), "µs/placement")
			b.ReportMetric(float64(longest.Microseconds()), "µs/longest")
			b.ReportMetric(float64(started)/spent.Seconds(), "placements/s")
		})
	}
}

// endOne ends the task of a worker that would end first.
func endOne(f *fleet, w *fakeWorker, now time.Time) {
	var first *attempt
	for _, a := range w.running {
		if first == nil || a.endsAt.Before(first.endsAt) || (a.endsAt.Equal(first.endsAt) && compareTasks(a.task, first.task) < 0) {
			first = a
		}
	}
	if first != nil {
		first.endsAt = now
		f.end(w, first)
	}
}

// ignore is an observer that does nothing.
type ignore struct{}

func (ignore) started(*attempt, time.Time) {}
func (ignore) ended(*attempt, time.Time)   {}

// fullPartition returns a partition whose workers are full and whose teams all have a backlog.
func fullPartition(b *testing.B, s size) (*owner, *fleet, time.Time) {
	b.Helper()
	f := &fleet{byID: map[string]*fakeWorker{}, jobs: map[job.ID]*Job{}, runningOf: map[*Job]int{}, watch: ignore{}}
	capacity := resource.Vector{Slots: s.slots, MilliCPU: s.slots * 2000, MemoryMB: s.slots * 4096}
	var hosts []port.Host
	for i := range s.workers / s.partitions {
		w := &fakeWorker{host: hostNamed("a", i), capacity: capacity, running: map[job.TaskID]*attempt{}}
		f.workers, hosts = append(f.workers, w), append(hosts, w.host)
	}
	m := partition.New(partition.Options{Partition: "a/0", Node: "node", Timing: partition.DefaultTiming()}, epoch)
	c := partition.Config{Policy: placement.Policy{Packing: 1, Share: 1, Waiting: 1}, Teams: map[string]partition.Team{}}
	for t := range s.teams {
		c.Teams[teamName(t)] = partition.Team{Weight: 1 + float64(t%4)}
	}
	m.SetConfig(c, epoch)
	m.SetHosts(hosts, epoch)
	m.LoadProgress(partition.Progress{}, 0)
	m.JobsLoaded()
	m.SetCellCapacity(capacity.Scale(int64(s.workers)))
	for _, w := range f.workers {
		m.Acquired(w.host.ID, w.inventory(), epoch, epoch)
	}
	m.StateVerified()
	rng := rand.New(rand.NewPCG(3, 4))
	for t := range s.teams {
		m.SetAllowance(teamName(t), quota.Unlimited)
	}
	for i := range s.waiting {
		addBenchJob(m, f, rng, i, s.teams)
	}
	o := &owner{name: "a/0", machine: m, workers: f.workers}
	now := epoch
	for range 30 {
		now = now.Add(step)
		m.Cycle(now)
		o.exchange(f, now)
		o.receive(now)
	}
	return o, f, now
}

func teamName(t int) string { return fmt.Sprintf("team-%03d", t) }

func addBenchJob(m *partition.Machine, f *fleet, rng *rand.Rand, i, teams int) {
	k := kind{spec: job.Spec{Team: teamName(i % teams), Queue: "q", Name: fmt.Sprint(i % 7), Class: job.Batch, Idempotent: true,
		Resources: resource.Vector{Slots: 1, MilliCPU: 500 + rng.Int64N(1500), MemoryMB: 1000 + rng.Int64N(3000)}, DurationMS: 60_000}}
	if i%50 == 49 {
		k.spec.Class = job.Gang
	}
	j := &Job{Record: job.Record{ID: job.NewID(k.spec.Team, fmt.Sprint(i)), Spec: k.spec, Phase: job.Pending,
		SubmittedMS: epoch.Add(time.Duration(i) * time.Millisecond).UnixMilli()}, Actual: k.spec.Resources}
	j.Record.Spec.Tasks = 5 + rng.Int32N(100)
	if k.spec.Class == job.Gang {
		j.Record.Spec.Tasks = 10
	}
	for range j.Record.Spec.Tasks {
		j.Durations = append(j.Durations, time.Hour)
	}
	f.jobs[j.Record.ID] = j
	m.SetJob(j.Record, epoch)
}
