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

// benchSize is the size of a cell, one partition of which is measured.
type benchSize struct {
	workers, partitions, teams, waiting int // waiting jobs in the partition
	slots                               int64
}

// benchSizes are the current size and the target size. The target's 37,000 running tasks on 1300 workers mean 28 tasks
// per worker.
var benchSizes = []benchSize{
	{workers: 50, partitions: 4, teams: 6, waiting: 200, slots: 8},
	{workers: 1300, partitions: 24, teams: 190, waiting: 3000, slots: 32},
}

// BenchmarkCycle measures the scheduling cycles of one partition of a full cell in which every team has a backlog:
// between two cycles some tasks end, and each cycle starts others in their place.
func BenchmarkCycle(b *testing.B) {
	const endsPerCycle = 8
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", s.workers), func(b *testing.B) {
			o, f, now := fullPartition(b, s)
			rng := rand.New(rand.NewPCG(1, 2))
			started := 0
			var spent, longest time.Duration
			for b.Loop() {
				b.StopTimer()
				now = now.Add(step)
				for range endsPerCycle {
					endNextTask(f, o.workers[rng.IntN(len(o.workers))], now)
				}
				o.syncWorkers(f, now)
				o.applyResponses(now)
				b.StartTimer()
				startedAt := time.Now()
				report := o.machine.Cycle(now)
				took := time.Since(startedAt)
				b.StopTimer()
				spent, longest = spent+took, max(longest, took)
				for _, d := range report.Decisions {
					if d.Kind == partition.DecideStart {
						started++
					}
				}
				o.syncWorkers(f, now)
				o.applyResponses(now)
				b.StartTimer()
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(max(1, started)), "µs/placement")
			b.ReportMetric(float64(longest.Microseconds()), "µs/longest")
			b.ReportMetric(float64(started)/spent.Seconds(), "placements/s")
		})
	}
}

// endNextTask ends the task of a worker that is due to end first.
func endNextTask(f *fleet, w *fakeWorker, now time.Time) {
	var first *attempt
	for _, a := range w.running {
		if first == nil || a.endsAt.Before(first.endsAt) || (a.endsAt.Equal(first.endsAt) && compareTasks(a.task, first.task) < 0) {
			first = a
		}
	}
	if first != nil {
		first.endsAt = now
		f.endAttempt(w, first)
	}
}

// noopObserver is an observer that does nothing.
type noopObserver struct{}

func (noopObserver) started(*attempt, time.Time) {}
func (noopObserver) ended(*attempt, time.Time)   {}

// fullPartition returns a partition whose workers are full and in which every team has a backlog.
func fullPartition(b *testing.B, s benchSize) (*owner, *fleet, time.Time) {
	b.Helper()
	f := &fleet{byID: map[string]*fakeWorker{}, jobs: map[job.ID]*Job{}, runningOf: map[*Job]int{}, observer: noopObserver{}}
	capacity := resource.Vector{Slots: s.slots, MilliCPU: s.slots * 2000, MemoryMB: s.slots * 4096}
	var hosts []port.Host
	for i := range s.workers / s.partitions {
		w := &fakeWorker{host: newHost("a", i), capacity: capacity, running: map[job.TaskID]*attempt{}}
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
		o.syncWorkers(f, now)
		o.applyResponses(now)
	}
	return o, f, now
}

func teamName(t int) string { return fmt.Sprintf("team-%03d", t) }

func addBenchJob(m *partition.Machine, f *fleet, rng *rand.Rand, i, teams int) {
	w := workload{spec: job.Spec{Team: teamName(i % teams), Queue: "q", Name: fmt.Sprint(i % 7), Class: job.Batch, Idempotent: true,
		Resources: resource.Vector{Slots: 1, MilliCPU: 500 + rng.Int64N(1500), MemoryMB: 1000 + rng.Int64N(3000)}, DurationMS: 60_000}}
	if i%50 == 49 {
		w.spec.Class = job.Gang
	}
	j := &Job{Record: job.Record{ID: job.NewID(w.spec.Team, fmt.Sprint(i)), Spec: w.spec, Phase: job.Pending,
		SubmittedMS: epoch.Add(time.Duration(i) * time.Millisecond).UnixMilli()}, Actual: w.spec.Resources}
	j.Record.Spec.Tasks = 5 + rng.Int32N(100)
	if w.spec.Class == job.Gang {
		j.Record.Spec.Tasks = 10
	}
	for range j.Record.Spec.Tasks {
		j.Durations = append(j.Durations, time.Hour)
	}
	f.jobs[j.Record.ID] = j
	m.SetJob(j.Record, epoch)
}
