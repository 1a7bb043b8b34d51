package demo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/standin/worker"
)

// Report holds the results of a run.
type Report struct {
	Nodes    int              `json:"nodes"`
	Workers  int              `json:"workers"`
	Capacity resource.Vector  `json:"capacity"`
	TookMS   int64            `json:"took_ms"` // from the earliest to the latest first start of a task
	Waiting  []Waiting        `json:"waiting"`
	Packing  Packing          `json:"packing"`
	Teams    []TeamUsage      `json:"teams"`
	Requests []RequestOutcome `json:"requests"`
	Broken   []string         `json:"broken"` // violated guarantees
}

// Waiting holds the waiting times of a class of work: the time from a job's submission to the first start of each of
// its tasks.
type Waiting struct {
	Class string `json:"class"`
	Jobs  int    `json:"jobs"`
	Tasks int    `json:"tasks"`
	Runs  int    `json:"runs"` // more than Tasks if tasks were preempted and resumed
	Latency
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Packing is the use of the cell's slots in percent.
type Packing struct {
	PeakPercent float64 `json:"peak_percent"`
	// MeanPercent is the mean over the time during which tasks waited.
	MeanPercent float64 `json:"mean_percent"`
	// HostPercent is the mean use of the workers that ran at least one task, over the same time.
	HostPercent float64 `json:"host_percent"`
}

// TeamUsage compares a team's usage with its share and limit. Amounts are in slots.
type TeamUsage struct {
	Team         string  `json:"team"`
	SharePercent float64 `json:"share_percent"` // its weight as a percentage of the sum of all weights
	MeanPercent  float64 `json:"mean_percent"`  // its part of the slots in use while tasks waited
	Mean         float64 `json:"mean"`
	Peak         int64   `json:"peak"`
	Limit        int64   `json:"limit,omitempty"`
}

// RequestOutcome counts the tries of requests with the same outcome.
type RequestOutcome struct {
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"outcome"`
	Code       string `json:"code,omitempty"`
	Count      int    `json:"count"`
	Latency
}

func (d *demo) report(runs []worker.Run, jobs []*plannedJob, tries []requestTry) Report {
	r := Report{Nodes: len(d.cell.Nodes), Workers: len(d.cell.Capacity()), Broken: []string{}}
	r.Broken = append(r.Broken, d.violations...)
	for _, v := range d.cell.Capacity() {
		r.Capacity = r.Capacity.Add(v)
	}
	r.Waiting = waitingTimes(runs, jobs)
	teams := d.teamsOf(jobs)
	from, to := waitingWindow(runs, jobs)
	r.TookMS = to.Sub(from).Milliseconds()
	use := newUsage(runs, teams, from, to)
	capacity := d.cell.Capacity()
	r.Packing = use.packing(r.Capacity.Slots, capacity)
	weights := 0.0
	for _, t := range d.set.Teams {
		quota, _ := d.index.Team(t.Name)
		weights += quota.Weight
	}
	for _, t := range d.set.Teams {
		quota, _ := d.index.Team(t.Name)
		u := TeamUsage{Team: t.Name, SharePercent: 100 * quota.Weight / weights}
		if level := use.teams[t.Name]; level != nil {
			u.Mean, u.Peak = level.mean(), level.peak
		}
		if mean := use.total.mean(); mean > 0 {
			u.MeanPercent = 100 * u.Mean / mean
		}
		if quota.Limited {
			u.Limit = quota.Limit.Slots
		}
		r.Teams = append(r.Teams, u)
	}
	r.Requests = requestOutcomes(tries)
	return r
}

// quantiles collects the latencies of a class of work or of requests.
type quantiles struct{ h *hdrhistogram.Histogram }

func newQuantiles() quantiles {
	const digits = 3
	return quantiles{hdrhistogram.New(1, (10 * time.Minute).Microseconds(), digits)}
}

func (q quantiles) add(t time.Duration) {
	// RecordValue fails only for values beyond the histogram's range of 10 minutes, and no run takes that long.
	_ = q.h.RecordValue(max(0, t.Microseconds()))
}

func (q quantiles) latency() Latency {
	return Latency{P50MS: float64(q.h.ValueAtQuantile(50)) / 1000, P99MS: float64(q.h.ValueAtQuantile(99)) / 1000}
}

// firstStarts returns the time at which each task started first.
func firstStarts(runs []worker.Run) map[job.TaskID]time.Time {
	starts := map[job.TaskID]time.Time{}
	for _, r := range runs {
		if at, known := starts[r.Task]; !known || r.Start.Before(at) {
			starts[r.Task] = r.Start
		}
	}
	return starts
}

func waitingTimes(runs []worker.Run, jobs []*plannedJob) []Waiting {
	starts, count := firstStarts(runs), map[job.ID]int{}
	for _, r := range runs {
		count[r.Task.Job]++
	}
	var out []Waiting
	for _, c := range []class{classUrgent, classBatch, classGang} {
		w, q := Waiting{Class: string(c)}, newQuantiles()
		for _, j := range jobs {
			if j.class != c {
				continue
			}
			w.Jobs++
			w.Tasks += int(j.spec.Tasks)
			w.Runs += count[j.status.ID]
			for i := range j.spec.Tasks {
				if at, started := starts[job.TaskID{Job: j.status.ID, Index: i}]; started {
					q.add(at.Sub(j.status.Submitted()))
				}
			}
		}
		w.Latency = q.latency()
		out = append(out, w)
	}
	return out
}

// waitingWindow returns the period during which tasks of the jobs waited: from the earliest to the latest first start
// of a task.
func waitingWindow(runs []worker.Run, jobs []*plannedJob) (from, to time.Time) {
	isPlanned := map[job.ID]bool{}
	for _, j := range jobs {
		isPlanned[j.status.ID] = true
	}
	for task, at := range firstStarts(runs) {
		if !isPlanned[task.Job] {
			continue
		}
		if from.IsZero() || at.Before(from) {
			from = at
		}
		if at.After(to) {
			to = at
		}
	}
	return from, to
}

func requestOutcomes(tries []requestTry) []RequestOutcome {
	type key struct {
		idempotent    bool
		outcome, code string
	}
	latencies, counts := map[key]quantiles{}, map[key]int{}
	var order []key
	for _, x := range tries {
		k := key{x.idempotent, x.outcome, x.code}
		if counts[k] == 0 {
			order, latencies[k] = append(order, k), newQuantiles()
		}
		counts[k]++
		latencies[k].add(x.latency)
	}
	var out []RequestOutcome
	for _, k := range order {
		out = append(out, RequestOutcome{Idempotent: k.idempotent, Outcome: k.outcome, Code: k.code, Count: counts[k], Latency: latencies[k].latency()})
	}
	return out
}
