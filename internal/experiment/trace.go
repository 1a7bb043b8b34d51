// Package experiment measures how good the decisions of the scheduling policy are. It replays seeded traces of a cell in
// virtual time against partition.Machine and a fake of the workers, without sockets and without waiting.
package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// workerCapacity is that of the workers of both deployments.
var workerCapacity = resource.Vector{Slots: 8, MilliCPU: 16000, MemoryMB: 32768}

// workersPerRack is that of both deployments.
const workersPerRack = 6

// Times of a trace, from its beginning. The load is light until busyFrom, above the cell's capacity until busyUntil, and
// then nothing more is submitted.
const (
	busyFrom     = 2 * time.Minute
	busyUntil    = 10 * time.Minute
	traceEnd     = 14 * time.Minute
	deadlineTime = 690 * time.Second
	lightLoad    = 0.4
)

// epoch is the virtual time at which traces begin.
var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// Job is a job of a trace with what the scheduler isn't told: how it really behaves.
type Job struct {
	Record    job.Record
	Actual    resource.Vector // use of each task
	Durations []time.Duration // run time of each task
	Never     bool            // it can never run
}

// Submitted returns the virtual time of submission.
func (j *Job) Submitted() time.Time { return j.Record.Submitted() }

// kind is work of one queue and team that behaves alike.
type kind struct {
	spec     job.Spec
	actual   resource.Vector
	mean     time.Duration
	tasks    [2]int32
	work     float64 // fraction of the team's share that it demands while the cell is busy
	deadline bool
}

// generator draws a trace.
type generator struct {
	rng  *rand.Rand
	jobs []*Job
	set  object.Set
}

// Trace returns the jobs of a seeded trace for a cell with this object set and number of workers, in the order of their
// submission. The same arguments yield the same trace.
func Trace(set object.Set, workers int, seed uint64) []*Job {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 0x5e0a)), set: set}
	weights := 0.0
	for _, s := range set.Shares {
		weights += s.Weight
	}
	free := freeSlots(set, workers)
	for _, share := range set.Shares {
		for _, k := range g.kinds(share.Team) {
			g.submissions(k, k.work*free*share.Weight/weights)
		}
	}
	g.urgent()
	g.never()
	slices.SortStableFunc(g.jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Record.SubmittedMS, b.Record.SubmittedMS), cmp.Compare(a.Record.ID, b.Record.ID))
	})
	return g.jobs
}

// freeSlots returns the slots that a set's services leave.
func freeSlots(set object.Set, workers int) float64 {
	free := float64(workers) * float64(workerCapacity.Slots)
	for _, s := range set.Services {
		free -= float64(s.Replicas) * float64(max(s.Resources.Slots, int64(s.Concurrency)))
	}
	return free
}

// kinds draws the kinds of batch work and gangs of a team: two for each queue that it may use.
func (g *generator) kinds(team string) []kind {
	queues := slices.DeleteFunc(slices.Clone(g.set.Queues), func(q object.Queue) bool {
		return !(q.Open || q.Team == team) || q.Priority == object.Urgent || (q.Class != object.ClassBatch && q.Class != object.ClassGang)
	})
	var kinds []kind
	for _, q := range queues {
		for n := range 2 {
			kinds = append(kinds, g.kind(q, team, n, 2*len(queues)))
		}
	}
	return kinds
}

func (g *generator) kind(q object.Queue, team string, n, kinds int) kind {
	slots := int64(1)
	if g.rng.IntN(4) == 0 {
		slots = 2
	}
	// A slot has 2 cores and 4 GB; work that needs more of one resource than of the others strands some of them.
	size := resource.Vector{Slots: slots, MilliCPU: slots * (500 + g.rng.Int64N(2000)), MemoryMB: slots * (1000 + g.rng.Int64N(4000))}
	k := kind{
		spec: job.Spec{Team: team, Queue: q.Name, Name: fmt.Sprintf("kind-%d", n), Class: job.Class(q.Class),
			Idempotent: true, Resources: size},
		actual: resource.Vector{Slots: slots, MilliCPU: g.misjudge(size.MilliCPU, 0.4, 1.6), MemoryMB: g.misjudge(size.MemoryMB, 0.4, 1.5)},
		mean:   time.Duration(15+g.rng.IntN(90)) * time.Second,
		tasks:  [2]int32{4, 40},
		work:   1.5 / float64(kinds),
	}
	k.spec.DurationMS = g.misjudge(k.mean.Milliseconds(), 0.3, 4)
	if g.rng.IntN(6) == 0 {
		k.spec.DurationMS = 0
	}
	switch {
	case q.Class == object.ClassGang:
		k.tasks, k.work = [2]int32{6, 20}, 0.25
	case !q.Open && g.set.Cell.Policy.Waiting > g.set.Cell.Policy.Packing:
		// Where waiting counts most, a team's own batch work has to end before the morning. It is less than its share.
		k.deadline, k.work = true, 0.35
	}
	return k
}

// misjudge returns an amount that is off by a factor between low and high, evenly distributed on a logarithmic scale.
func (g *generator) misjudge(amount int64, low, high float64) int64 {
	return int64(float64(amount) * low * math.Pow(high/low, g.rng.Float64()))
}

// submissions draws jobs that keep the given number of slots busy on average while the cell is busy.
func (g *generator) submissions(k kind, slots float64) {
	mean := float64(k.tasks[0]+k.tasks[1]) / 2
	gap := mean * k.mean.Seconds() * float64(k.spec.Resources.Slots) / slots // between submissions, in seconds
	for at := 0.0; ; {
		step := g.rng.ExpFloat64() * gap
		if at < busyFrom.Seconds() {
			step /= lightLoad
		}
		if at += step; at >= busyUntil.Seconds() {
			return
		}
		g.add(k, time.Duration(at*float64(time.Second)), k.tasks[0]+g.rng.Int32N(k.tasks[1]-k.tasks[0]+1))
	}
}

func (g *generator) add(k kind, at time.Duration, tasks int32) *Job {
	j := &Job{Record: job.Record{ID: job.NewID(k.spec.Team, fmt.Sprint(len(g.jobs))), Spec: k.spec, Phase: job.Pending,
		SubmittedMS: epoch.Add(at).UnixMilli()}, Actual: k.actual}
	j.Record.Spec.Tasks = tasks
	if k.deadline {
		j.Record.Spec.DeadlineMS = epoch.Add(deadlineTime).UnixMilli()
	}
	for range tasks {
		j.Durations = append(j.Durations, time.Duration(float64(k.mean)*(0.5+g.rng.Float64())))
	}
	g.jobs = append(g.jobs, j)
	return j
}

// urgent draws a small urgent job every 15 seconds or so, from the teams that may submit one. The jobs are small in
// relation to the teams' limits, which hold for urgent work too.
func (g *generator) urgent() {
	var kinds []kind
	for _, q := range g.set.Queues {
		if q.Class != object.ClassBatch || q.Priority != object.Urgent {
			continue
		}
		for _, t := range g.set.Teams {
			if q.Open || q.Team == t.Name {
				size := resource.Vector{Slots: 1 + g.rng.Int64N(2), MilliCPU: 2000, MemoryMB: 4000}
				kinds = append(kinds, kind{spec: job.Spec{Team: t.Name, Queue: q.Name, Name: "urgent", Class: job.Batch, Urgent: true,
					Idempotent: true, Resources: size, DurationMS: 10_000}, actual: size, mean: 10 * time.Second})
			}
		}
	}
	for at := 60.0; len(kinds) > 0 && at < busyUntil.Seconds(); at += 30 * g.rng.Float64() {
		g.add(kinds[g.rng.IntN(len(kinds))], time.Duration(at*float64(time.Second)), 1+g.rng.Int32N(6))
	}
}

// never draws jobs that can't run on any worker, or as a gang in any partition.
func (g *generator) never() {
	for at := time.Minute; at < busyUntil; at += 100 * time.Second {
		team := g.set.Teams[g.rng.IntN(len(g.set.Teams))].Name
		size := resource.Vector{Slots: 1, MilliCPU: workerCapacity.MilliCPU + 1, MemoryMB: 1000}
		if g.rng.IntN(2) == 0 {
			size = resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: workerCapacity.MemoryMB * 2}
		}
		k := kind{spec: job.Spec{Team: team, Queue: "never", Name: "never", Class: job.Batch, Idempotent: true, Resources: size},
			actual: size, mean: time.Minute}
		g.add(k, at, 1+g.rng.Int32N(10)).Never = true
	}
}

func hostNamed(zone string, n int) port.Host {
	return port.Host{ID: fmt.Sprintf("%s-w%03d", zone, n), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, n/workersPerRack), State: port.HostLive}
}

func compareStrings(a, b string) int { return strings.Compare(a, b) }

func compareTasks(a, b job.TaskID) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Index, b.Index))
}
