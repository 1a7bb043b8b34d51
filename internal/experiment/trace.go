// Package experiment measures the quality of the scheduling policy's decisions. It replays seeded traces of a cell in
// virtual time against partition.Machine and simulated workers, without sockets or real-time waits.
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

// workerCapacity is the capacity of each worker in both deployments.
var workerCapacity = resource.Vector{Slots: 8, MilliCPU: 16000, MemoryMB: 32768}

// workersPerRack is the number of workers in each rack of both deployments.
const workersPerRack = 6

// Times of a trace, relative to its start. The load is light, lightLoad times the busy load, until busyFrom, and above
// the cell's capacity until busyUntil; after that no more jobs are submitted. Jobs with a deadline have to end by
// deadlineAfter, 90 s after busyUntil.
const (
	busyFrom      = 2 * time.Minute
	busyUntil     = 10 * time.Minute
	traceEnd      = 14 * time.Minute
	deadlineAfter = 690 * time.Second
	lightLoad     = 0.4
)

// epoch is the virtual time at which traces start.
var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// Job is a job of a trace together with its actual behaviour, which isn't passed to the scheduler.
type Job struct {
	Record     job.Record
	Actual     resource.Vector // actual resource usage of each task
	Durations  []time.Duration // actual run time of each task
	Infeasible bool            // no worker or partition can ever run it
}

// Submitted returns the virtual time of submission.
func (j *Job) Submitted() time.Time { return j.Record.Submitted() }

// workload describes jobs of one queue and team that have the same parameters.
type workload struct {
	spec          job.Spec
	actual        resource.Vector
	meanDuration  time.Duration
	tasks         [2]int32
	demandOfShare float64 // fraction of the team's share that it demands while the cell is busy
	deadline      bool
}

// generator generates a trace.
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
		for _, w := range g.workloads(share.Team) {
			g.addJobs(w, w.demandOfShare*free*share.Weight/weights)
		}
	}
	g.addUrgentJobs()
	g.addInfeasibleJobs()
	slices.SortStableFunc(g.jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Record.SubmittedMS, b.Record.SubmittedMS), cmp.Compare(a.Record.ID, b.Record.ID))
	})
	return g.jobs
}

// freeSlots returns the number of slots that the set's services leave free.
func freeSlots(set object.Set, workers int) float64 {
	free := float64(workers) * float64(workerCapacity.Slots)
	for _, s := range set.Services {
		free -= float64(s.Replicas) * float64(max(s.Resources.Slots, int64(s.Concurrency)))
	}
	return free
}

// workloads draws a team's batch and gang workloads: two for each queue that the team may use.
func (g *generator) workloads(team string) []workload {
	queues := slices.DeleteFunc(slices.Clone(g.set.Queues), func(q object.Queue) bool {
		return !(q.Open || q.Team == team) || q.Priority == object.Urgent || (q.Class != object.ClassBatch && q.Class != object.ClassGang)
	})
	var workloads []workload
	for _, q := range queues {
		for n := range 2 {
			workloads = append(workloads, g.workload(q, team, n, 2*len(queues)))
		}
	}
	return workloads
}

func (g *generator) workload(q object.Queue, team string, n, count int) workload {
	slots := int64(1)
	if g.rng.IntN(4) == 0 {
		slots = 2
	}
	// A slot corresponds to 2 cores and 4 GB. Work that needs more of one resource than of the others leaves some of the
	// others stranded.
	size := resource.Vector{Slots: slots, MilliCPU: slots * (500 + g.rng.Int64N(2000)), MemoryMB: slots * (1000 + g.rng.Int64N(4000))}
	w := workload{
		spec: job.Spec{Team: team, Queue: q.Name, Name: fmt.Sprintf("kind-%d", n), Class: job.Class(q.Class),
			Idempotent: true, Resources: size},
		actual:        resource.Vector{Slots: slots, MilliCPU: g.misestimate(size.MilliCPU, 0.4, 1.6), MemoryMB: g.misestimate(size.MemoryMB, 0.4, 1.5)},
		meanDuration:  time.Duration(15+g.rng.IntN(90)) * time.Second,
		tasks:         [2]int32{4, 40},
		demandOfShare: 1.5 / float64(count),
	}
	w.spec.DurationMS = g.misestimate(w.meanDuration.Milliseconds(), 0.3, 4)
	if g.rng.IntN(6) == 0 {
		w.spec.DurationMS = 0
	}
	switch {
	case q.Class == object.ClassGang:
		w.tasks, w.demandOfShare = [2]int32{6, 20}, 0.25
	case !q.Open && g.set.Cell.Policy.Waiting > g.set.Cell.Policy.Packing:
		// Where the policy weights waiting time above packing, the batch work in a team's own queue has to end before
		// the morning. It needs less than the team's share.
		w.deadline, w.demandOfShare = true, 0.35
	}
	return w
}

// misestimate multiplies an amount by a random factor between low and high, distributed uniformly on a logarithmic
// scale.
func (g *generator) misestimate(amount int64, low, high float64) int64 {
	return int64(float64(amount) * low * math.Pow(high/low, g.rng.Float64()))
}

// addJobs draws jobs that occupy the given number of slots on average during the busy period.
func (g *generator) addJobs(w workload, slots float64) {
	mean := float64(w.tasks[0]+w.tasks[1]) / 2
	gap := mean * w.meanDuration.Seconds() * float64(w.spec.Resources.Slots) / slots // mean time between submissions, in seconds
	for at := 0.0; ; {
		step := g.rng.ExpFloat64() * gap
		if at < busyFrom.Seconds() {
			step /= lightLoad
		}
		if at += step; at >= busyUntil.Seconds() {
			return
		}
		g.addJob(w, time.Duration(at*float64(time.Second)), w.tasks[0]+g.rng.Int32N(w.tasks[1]-w.tasks[0]+1))
	}
}

func (g *generator) addJob(w workload, at time.Duration, tasks int32) *Job {
	j := &Job{Record: job.Record{ID: job.NewID(w.spec.Team, fmt.Sprint(len(g.jobs))), Spec: w.spec, Phase: job.Pending,
		SubmittedMS: epoch.Add(at).UnixMilli()}, Actual: w.actual}
	j.Record.Spec.Tasks = tasks
	if w.deadline {
		j.Record.Spec.DeadlineMS = epoch.Add(deadlineAfter).UnixMilli()
	}
	for range tasks {
		j.Durations = append(j.Durations, time.Duration(float64(w.meanDuration)*(0.5+g.rng.Float64())))
	}
	g.jobs = append(g.jobs, j)
	return j
}

// addUrgentJobs draws a small urgent job about every 15 seconds, from the teams that may submit one. The jobs are small
// in relation to the teams' limits, which apply to urgent work too.
func (g *generator) addUrgentJobs() {
	var workloads []workload
	for _, q := range g.set.Queues {
		if q.Class != object.ClassBatch || q.Priority != object.Urgent {
			continue
		}
		for _, t := range g.set.Teams {
			if q.Open || q.Team == t.Name {
				size := resource.Vector{Slots: 1 + g.rng.Int64N(2), MilliCPU: 2000, MemoryMB: 4000}
				workloads = append(workloads, workload{spec: job.Spec{Team: t.Name, Queue: q.Name, Name: "urgent", Class: job.Batch, Urgent: true,
					Idempotent: true, Resources: size, DurationMS: 10_000}, actual: size, meanDuration: 10 * time.Second})
			}
		}
	}
	for at := 60.0; len(workloads) > 0 && at < busyUntil.Seconds(); at += 30 * g.rng.Float64() {
		g.addJob(workloads[g.rng.IntN(len(workloads))], time.Duration(at*float64(time.Second)), 1+g.rng.Int32N(6))
	}
}

// addInfeasibleJobs draws jobs that can't run on any worker, or as a gang in any partition.
func (g *generator) addInfeasibleJobs() {
	for at := time.Minute; at < busyUntil; at += 100 * time.Second {
		team := g.set.Teams[g.rng.IntN(len(g.set.Teams))].Name
		size := resource.Vector{Slots: 1, MilliCPU: workerCapacity.MilliCPU + 1, MemoryMB: 1000}
		if g.rng.IntN(2) == 0 {
			size = resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: workerCapacity.MemoryMB * 2}
		}
		w := workload{spec: job.Spec{Team: team, Queue: "never", Name: "never", Class: job.Batch, Idempotent: true, Resources: size},
			actual: size, meanDuration: time.Minute}
		g.addJob(w, at, 1+g.rng.Int32N(10)).Infeasible = true
	}
}

func newHost(zone string, n int) port.Host {
	return port.Host{ID: fmt.Sprintf("%s-w%03d", zone, n), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, n/workersPerRack), State: port.HostLive}
}

func compareStrings(a, b string) int { return strings.Compare(a, b) }

func compareTasks(a, b job.TaskID) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Index, b.Index))
}
