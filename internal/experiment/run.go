package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/partition"
)

// Bounds that a scheduler has to meet.
const (
	UrgentBound      = 3200 * time.Millisecond // longest waiting time of urgent work
	PackingBound     = 0.95                    // lowest packing in relation to the offline bound
	ShareBound       = 0.02                    // largest deviation of a team from its share, as a fraction of the cell
	MaxStartsPerTask = 1.25                    // starts per task; more means that tasks preempt one another in turns
)

// DefaultWorkers is the number of workers of both deployments.
const DefaultWorkers = 50

// Class holds the waiting times of a class of work: the time from submission to the first start of each task. Tasks
// that haven't started at the end of the trace count with their age.
type Class struct {
	Class   string        `json:"class"`
	Tasks   int           `json:"tasks"`
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
	Longest time.Duration `json:"longest_ns"`
	Waiting int           `json:"waiting"` // not started at the end
}

// Result holds the figures of one run.
type Result struct {
	Cell         string        `json:"cell"`
	Scheduler    string        `json:"scheduler"`
	Partitions   int           `json:"partitions"`
	Workers      int           `json:"workers"`
	Seed         uint64        `json:"seed"`
	Classes      []Class       `json:"classes"`
	Packing      float64       `json:"packing"`          // mean, in relation to best fit decreasing with actual sizes
	Reserved     float64       `json:"reserved"`         // the same with the larger of declared and actual sizes
	ShareMean    float64       `json:"share_mean"`       // mean deviation of teams from their shares, as a fraction of the cell
	ShareLargest float64       `json:"share_largest"`    // largest deviation of a team, averaged over a minute
	FullTime     time.Duration `json:"full_ns"`          // time in whole minutes during which the cell was full
	Deadlines    int           `json:"deadlines"`        // jobs with a deadline
	Missed       int           `json:"missed"`           // jobs that ended after their deadline or not at all
	Ended        int           `json:"ended"`            // jobs that ended, of those that can run
	Jobs         int           `json:"jobs"`             // jobs that can run
	Preempted    int           `json:"preempted"`        // tasks checkpointed or stopped
	Moves        int           `json:"moves"`            // jobs that moved to another partition
	Attempts     float64       `json:"attempts"`         // starts per task that started
	Overloaded   float64       `json:"overloaded"`       // fraction of the samples of workers in which tasks use more memory than the worker has
	Overfull     int           `json:"overfull"`         // starts that a worker refused because it lacked capacity or already ran the task
	Violations   []string      `json:"faults,omitempty"` // violated invariants
}

// Class returns the waiting times of the class with the given name.
func (r *Result) Class(name string) Class {
	for _, c := range r.Classes {
		if c.Class == name {
			return c
		}
	}
	return Class{Class: name}
}

// Options configure a run.
type Options struct {
	Workers int
	Seed    uint64
	Single  bool // one partition with all workers instead of one for each zone
}

// Run replays a seeded trace against the scheduling policy of the given object set.
func Run(set object.Set, o Options) (Result, error) {
	index, err := object.NewIndex(set)
	if err != nil {
		return Result{}, errors.Wrap(err, "experiment")
	}
	if len(set.Zones) == 0 || len(set.Teams) == 0 || len(set.Shares) == 0 {
		return Result{}, errors.New("experiment: the object set needs zones, teams and shares")
	}
	if o.Workers < len(set.Zones) || freeSlots(set, o.Workers) < 1 {
		return Result{}, errors.Errorf("experiment: %d workers are too few for the zones and services of the set", o.Workers)
	}
	var c *cell
	result := replay(set, index, o, func(f *fleet, r *recorder) scheduler {
		c = newCell(set, index, f, o.Single)
		r.teamOf = func(id job.ID) string { return c.teamOf[id] }
		return c
	})
	result.Scheduler, result.Partitions, result.Moves, result.Violations = "sequoiastall", len(c.partitions), c.moves, c.violations
	result.Preempted = c.decisions[partition.DecideCheckpoint] + c.decisions[partition.DecideStop]
	return result, nil
}

// replay runs a trace to its end in virtual time and returns the measured figures.
func replay(set object.Set, index *object.Index, o Options, newScheduler func(*fleet, *recorder) scheduler) Result {
	var zones []string
	for _, z := range set.Zones {
		zones = append(zones, z.Name)
	}
	r := newRecorder(index, o.Workers)
	f := newFleet(zones, o.Workers, r)
	r.fleet = f
	trace := Trace(set, o.Workers, o.Seed)
	for _, j := range trace {
		f.jobs[j.Record.ID] = j
	}
	s := newScheduler(f, r)
	next := 0
	for now := epoch; now.Before(epoch.Add(traceEnd)); now = now.Add(step) {
		f.endDueAttempts(now)
		for ; next < len(trace) && !trace[next].Submitted().After(now); next++ {
			r.submitted(trace[next])
			s.submit(trace[next], now)
		}
		s.step(now)
		if now.Sub(epoch)%sampleInterval == 0 {
			r.sample(now)
		}
	}
	result := r.result(epoch.Add(traceEnd))
	result.Cell, result.Workers, result.Seed, result.Overfull = set.Cell.Name, o.Workers, o.Seed, f.refusedStarts
	return result
}

func (r *recorder) result(end time.Time) Result {
	var result Result
	waiting := map[string]int{}
	starts := 0
	for _, p := range r.submissionOrder {
		if p.job.Infeasible {
			continue
		}
		result.Jobs++
		if !p.doneAt.IsZero() {
			result.Ended++
		}
		if d := p.job.Record.Spec.DeadlineMS; d != 0 {
			result.Deadlines++
			if p.doneAt.IsZero() || p.doneAt.UnixMilli() > d {
				result.Missed++
			}
		}
		class := classOf(p.job)
		for _, started := range p.started {
			if !started {
				waiting[class]++
				r.waitingTimes[class] = append(r.waitingTimes[class], end.Sub(p.job.Submitted()))
			} else {
				starts++
			}
		}
	}
	for _, class := range []string{"urgent", "gang", "batch"} {
		waits := r.waitingTimes[class]
		result.Classes = append(result.Classes, Class{Class: class, Tasks: len(waits), P50: quantile(waits, 0.5),
			P99: quantile(waits, 0.99), Longest: quantile(waits, 1), Waiting: waiting[class]})
	}
	result.Packing, result.Reserved, result.ShareMean = mean(r.packingRatios), mean(r.reservedRatios), mean(r.shareDeviations)
	if len(r.shareDeviations) > 0 {
		result.ShareLargest = slices.Max(r.shareDeviations)
	}
	result.FullTime = time.Duration(len(r.shareDeviations)/max(1, len(r.index.Teams()))) * shareWindow
	result.Attempts = float64(r.attempts) / float64(max(1, starts))
	result.Overloaded = float64(r.overloadedSamples) / float64(max(1, r.samples))
	return result
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Table formats the results as a text table.
func Table(results []Result) string {
	text := fmt.Sprintf("%-13s %-14s %2s %4s | %8s %8s %9s | %17s %17s | %7s %8s | %11s %11s | %9s %9s %8s %5s %8s\n", "cell", "scheduler", "p",
		"seed", "urgent50", "urgent99", "longest", "gang p50/p99", "batch p50/p99", "packing", "reserved", "share mean", "share max",
		"missed", "ended", "preempt", "moves", "overload")
	for i := range results {
		r := &results[i]
		u, g, b := r.Class("urgent"), r.Class("gang"), r.Class("batch")
		text += fmt.Sprintf("%-13s %-14s %2d %4d | %8s %8s %9s | %8s %8s %8s %8s | %6.1f%% %7.1f%% | %10.2f%% %10.2f%% | %4d/%-4d %4d/%-4d %8d %5d %7.2f%%\n",
			r.Cell, r.Scheduler, r.Partitions, r.Seed, formatSeconds(u.P50), formatSeconds(u.P99), formatSeconds(u.Longest), formatSeconds(g.P50), formatSeconds(g.P99), formatSeconds(b.P50),
			formatSeconds(b.P99), 100*r.Packing, 100*r.Reserved, 100*r.ShareMean, 100*r.ShareLargest, r.Missed, r.Deadlines, r.Ended, r.Jobs, r.Preempted,
			r.Moves, 100*r.Overloaded)
	}
	return text
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }
