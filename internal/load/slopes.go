package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// measurement is one run of the series from which the tables of docs/capacity-partitions.md are made.
type measurement struct {
	name      string
	configure func(*Options)
}

// targetSize sets the target size of the design page. The target's 37,000 running tasks are not reached; 7,400
// instances run.
func targetSize(o *Options) {
	o.Nodes = 24
	o.Shape = Shape{Zones: 5, PartitionsPerZone: 5, Workers: 1300, Slots: 32, Teams: 190, Services: 190, Replicas: 39, Concurrency: 1, LimitFactor: 3}
}

func withWorkers(n, slots int) func(*Options) {
	return func(o *Options) { o.Shape.Workers, o.Shape.Slots = n, slots }
}

// withPeakLoad sets n workers of 32 slots each, a rate of task starts per second, and an urgent job with every second
// job.
func withPeakLoad(n int, rate float64) func(*Options) {
	return func(o *Options) {
		withWorkers(n, 32)(o)
		o.Rate, o.UrgentEvery = rate, 2
	}
}

func withNodes(n int) func(*Options) { return func(o *Options) { o.Nodes = n } }

func withTeams(n int) func(*Options) { return func(o *Options) { o.Shape.Teams = n } }

func withPartitions(perZone int) func(*Options) {
	return func(o *Options) { o.Shape.Workers, o.Shape.PartitionsPerZone = 200, perZone }
}

// series returns the measurements in order. Each takes 20 to 40 s.
func series() []measurement {
	return []measurement{
		{"today-idle", func(*Options) {}}, {"workers-200", withWorkers(200, 8)}, {"workers-600", withWorkers(600, 8)},
		{"workers-1300", withWorkers(1300, 8)}, {"target-idle", targetSize},
		{"target-peak", func(o *Options) {
			targetSize(o)
			o.Rate, o.TasksPerJob, o.TaskDuration, o.UrgentEvery = 480, 100, 2*time.Second, 2
		}},
		{"nodes-14", withNodes(14)}, {"nodes-24", withNodes(24)}, {"teams-60", withTeams(60)}, {"teams-190", withTeams(190)},
		{"partitions-12", withPartitions(3)}, {"partitions-24", withPartitions(6)},
		{"rate-120", withPeakLoad(200, 120)}, {"rate-480", withPeakLoad(200, 480)},
		{"takeover-idle", func(o *Options) { o.Rate, o.TasksPerJob, o.Experiment = 20, 5, "takeover" }},
		{"takeover-loaded", func(o *Options) {
			withWorkers(200, 32)(o)
			o.Shape.PartitionsPerZone, o.Rate, o.Experiment = 3, 200, "takeover"
		}},
		{"configuration-today", func(o *Options) { o.Experiment = "configuration" }},
		{"configuration-target", func(o *Options) { targetSize(o); o.Experiment = "configuration" }},
		{"allowance-today", func(o *Options) { o.Experiment, o.Duration = "allowance", 16*time.Second }},
		{"allowance-target", func(o *Options) {
			withWorkers(200, 32)(o)
			o.Shape.Zones, o.Shape.PartitionsPerZone, o.Shape.Teams = 5, 5, 30
			o.Experiment, o.Duration = "allowance", 16*time.Second
		}},
	}
}

// RunSeries runs the measurements with the given names one after another, or all if no names are given, and writes each
// result to a file in the directory. Failed runs don't prevent later ones; they are reported at the end.
func RunSeries(ctx context.Context, directory string, names []string, progress io.Writer) error {
	var failed []string
	for _, m := range series() {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		o := DefaultOptions()
		o.Warmup, o.Duration, o.Drain = 5*time.Second, 10*time.Second, 12*time.Second
		m.configure(&o)
		fmt.Fprintln(progress, "measuring", m.name)
		r, err := Run(ctx, o)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			fmt.Fprintln(progress, m.name, "failed:", err)
			failed = append(failed, m.name)
			continue
		}
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.Wrap(err, m.name)
		}
		if err := os.WriteFile(filepath.Join(directory, m.name+".json"), data, 0o644); err != nil {
			return errors.Wrap(err, m.name)
		}
	}
	if len(failed) > 0 {
		return errors.Errorf("%d measurements failed: %v", len(failed), failed)
	}
	return nil
}

// readSeries reads the results that a directory contains.
func readSeries(directory string) (map[string]Result, error) {
	results := map[string]Result{}
	for _, m := range series() {
		data, err := os.ReadFile(filepath.Join(directory, m.name+".json"))
		if errors.Is(err, os.ErrNotExist) || err == nil && len(data) == 0 {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, m.name)
		}
		var r Result
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, errors.Wrap(err, m.name)
		}
		results[m.name] = r
	}
	if len(results) == 0 {
		return nil, errors.Errorf("%s contains no results of the series", directory)
	}
	return results, nil
}

// linearFit is a least-squares fit of y = Base + Slope*x. Error is the ratio of the largest deviation of a point to the
// largest absolute y.
type linearFit struct{ Base, Slope, Error float64 }

func fit(x, y []float64) linearFit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return linearFit{Base: sy / n}
	}
	l := linearFit{Slope: (n*sxy - sx*sy) / denominator}
	l.Base = (sy - l.Slope*sx) / n
	largest, deviation := 0.0, 0.0
	for i := range x {
		largest = max(largest, math.Abs(y[i]))
		deviation = max(deviation, math.Abs(y[i]-l.Base-l.Slope*x[i]))
	}
	if largest > 0 {
		l.Error = deviation / largest
	}
	return l
}

// slope describes a fit of a result's figure against a size of the cell over several runs.
type slope struct {
	figure string
	unit   string
	runs   []string
	x, y   func(Result) float64
}

func slopes() []slope {
	byWorkers := []string{"today-idle", "workers-200", "workers-600", "workers-1300"}
	byNodes := []string{"today-idle", "nodes-14", "nodes-24"}
	byTeams := []string{"today-idle", "teams-60", "teams-190"}
	byPartitions := []string{"workers-200", "partitions-12", "partitions-24"}
	byRate := []string{"workers-200", "rate-120", "rate-480"}
	wire := func(n NodeResult, kind string) float64 { return n.WireBytes[kind+"/in"] + n.WireBytes[kind+"/out"] }
	ofWorkers := func(r Result) float64 { return float64(r.Shape.Workers) }
	ofNodes := func(r Result) float64 { return float64(r.Nodes) }
	ofTeams := func(r Result) float64 { return float64(r.Shape.Teams) }
	ofPartitions := func(r Result) float64 { return float64(r.Shape.Zones * r.Shape.PartitionsPerZone) }
	ofStarts := func(r Result) float64 { return r.Total.Starts }
	return []slope{
		{"store bytes/s of a node", "worker", byWorkers, ofWorkers, func(r Result) float64 { return wire(r.Mean, "store") }},
		{"worker bytes/s of all nodes", "worker", byWorkers, ofWorkers, func(r Result) float64 { return wire(r.Total, "worker") }},
		{"worker messages/s of all nodes", "worker", byWorkers, ofWorkers, func(r Result) float64 { return r.Total.Messages["worker/out"] }},
		{"CPU % of all nodes", "worker", byWorkers, ofWorkers, func(r Result) float64 { return r.Total.CPUPercent }},
		{"resident MB of all nodes", "worker", byWorkers, ofWorkers, func(r Result) float64 { return r.Total.RSSMB }},
		{"store reads/s", "worker", byWorkers, ofWorkers, func(r Result) float64 { return r.Total.StoreReads }},
		{"peer bytes/s of a node", "node", byNodes, ofNodes, func(r Result) float64 { return wire(r.Mean, "peer") }},
		{"CPU % of a node", "node", byNodes, ofNodes, func(r Result) float64 { return r.Mean.CPUPercent }},
		{"store reads/s", "node", byNodes, ofNodes, func(r Result) float64 { return r.Total.StoreReads }},
		{"store writes/s", "node", byNodes, ofNodes, func(r Result) float64 { return r.Total.StoreWrites }},
		{"store bytes/s of a node", "team", byTeams, ofTeams, func(r Result) float64 { return wire(r.Mean, "store") }},
		{"peer bytes/s of a node", "partition", byPartitions, ofPartitions, func(r Result) float64 { return wire(r.Mean, "peer") }},
		{"CPU % of a node", "partition", byPartitions, ofPartitions, func(r Result) float64 { return r.Mean.CPUPercent }},
		{"control bytes/s of all nodes", "start/s", byRate, ofStarts, func(r Result) float64 { return r.Total.Control }},
		{"CPU % of all nodes", "start/s", byRate, ofStarts, func(r Result) float64 { return r.Total.CPUPercent }},
		{"store writes/s", "start/s", byRate, ofStarts, func(r Result) float64 { return r.Total.StoreWrites }},
		{"store bytes/s of a node", "start/s", byRate, ofStarts, func(r Result) float64 { return wire(r.Mean, "store") }},
	}
}

// WriteTables writes the tables of docs/capacity-partitions.md from the results in a directory.
func WriteTables(w io.Writer, directory string) error {
	results, err := readSeries(directory)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "| run | nodes | workers | partitions | teams | starts/s | control B/s per node, mean / worst | of it store / peer / worker, mean | reads/s | writes/s | watches | CPU % per node, mean / worst | resident MB, worst | heap MB, worst | other cores |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, m := range series() {
		if r, found := results[m.name]; found {
			writeRun(w, m.name, r)
		}
	}
	fmt.Fprintln(w, "\n| run | waiting p50 / p99 ms | urgent p50 / p99 ms | jobs done / submitted | unfinished | failed | lost | doubled | repeated runs | guarantees violated |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, m := range series() {
		if r, found := results[m.name]; found && r.Outcome.Submitted > 0 {
			o := r.Outcome
			fmt.Fprintf(w, "| %s | %.0f / %.0f | %.0f / %.0f | %d / %d | %d | %d | %d | %d | %d | %d |\n", m.name, r.Waiting.P50MS, r.Waiting.P99MS,
				r.Urgent.P50MS, r.Urgent.P99MS, o.Done, o.Submitted, o.Unfinished, o.Failed, o.LostTasks, o.DoubledTasks, o.RepeatedRuns, len(o.Violations))
		}
	}
	fmt.Fprintln(w)
	for _, m := range series() {
		if r, found := results[m.name]; found && r.Experiment != nil {
			fmt.Fprintf(w, "- %s: %s\n", m.name, r.Experiment)
		}
	}
	fmt.Fprintln(w, "\n| figure | per | base | slope | largest deviation | runs |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, s := range slopes() {
		writeSlope(w, s, results)
	}
	return nil
}

func writeRun(w io.Writer, name string, r Result) {
	wire := func(kind string) float64 { return r.Mean.WireBytes[kind+"/in"] + r.Mean.WireBytes[kind+"/out"] }
	fmt.Fprintf(w, "| %s | %d | %d | %d | %d | %.0f | %.0f / %.0f | %.0f / %.0f / %.0f | %.1f | %.1f | %.0f | %.2f / %.2f | %.0f | %.0f | %.1f |\n",
		name, r.Nodes, r.Shape.Workers, r.Shape.Zones*r.Shape.PartitionsPerZone, r.Shape.Teams, r.Total.Starts, r.Mean.Control,
		r.Worst.Control, wire("store"), wire("peer"), wire("worker"), r.Total.StoreReads, r.Total.StoreWrites, r.Total.Watches,
		r.Mean.CPUPercent, r.Worst.CPUPercent, r.Worst.RSSMB, r.Worst.HeapMB, r.CPUNoise)
}

// writeSlope writes a table row with the fit over the available runs, if there are at least two.
func writeSlope(w io.Writer, s slope, results map[string]Result) {
	var x, y []float64
	for _, name := range s.runs {
		if r, found := results[name]; found {
			x, y = append(x, s.x(r)), append(y, s.y(r))
		}
	}
	if len(x) < 2 {
		return
	}
	l, deviation := fit(x, y), "two runs only"
	if len(x) > 2 {
		deviation = fmt.Sprintf("%.0f%%", l.Error*100)
	}
	fmt.Fprintf(w, "| %s | %s | %.4g | %.4g | %s | %d |\n", s.figure, s.unit, l.Base, l.Slope, deviation, len(x))
}
