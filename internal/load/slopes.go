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

// measurement is one run of the series behind docs/CAPACITY.md.
type measurement struct {
	name   string
	change func(*Options)
}

// targetSize sets the size of the design page's target. Its 37,000 running tasks are not reached; 7,400 instances run.
func targetSize(o *Options) {
	o.Nodes = 24
	o.Shape = Shape{Zones: 5, PartitionsPerZone: 5, Workers: 1300, Slots: 32, Teams: 190, Services: 190, Replicas: 39, Concurrency: 1, LimitFactor: 3}
}

func workers(n, slots int) func(*Options) {
	return func(o *Options) { o.Shape.Workers, o.Shape.Slots = n, slots }
}

func peak(n int, rate float64) func(*Options) {
	return func(o *Options) {
		workers(n, 32)(o)
		o.Rate, o.UrgentEvery = rate, 2
	}
}

func nodes(n int) func(*Options) { return func(o *Options) { o.Nodes = n } }

func teams(n int) func(*Options) { return func(o *Options) { o.Shape.Teams = n } }

func partitions(perZone int) func(*Options) {
	return func(o *Options) { o.Shape.Workers, o.Shape.PartitionsPerZone = 200, perZone }
}

// series lists the runs. Each takes 20 to 40 s.
func series() []measurement {
	return []measurement{
		{"today-idle", func(*Options) {}}, {"workers-200", workers(200, 8)}, {"workers-600", workers(600, 8)},
		{"workers-1300", workers(1300, 8)}, {"target-idle", targetSize},
		{"target-peak", func(o *Options) {
			targetSize(o)
			o.Rate, o.TasksPerJob, o.TaskDuration, o.UrgentEvery = 480, 100, 2*time.Second, 2
		}},
		{"nodes-14", nodes(14)}, {"nodes-24", nodes(24)}, {"teams-60", teams(60)}, {"teams-190", teams(190)},
		{"partitions-12", partitions(3)}, {"partitions-24", partitions(6)},
		{"rate-120", peak(200, 120)}, {"rate-480", peak(200, 480)},
		{"takeover-idle", func(o *Options) { o.Rate, o.TasksPerJob, o.Experiment = 20, 5, "takeover" }},
		{"takeover-loaded", func(o *Options) {
			workers(200, 32)(o)
			o.Shape.PartitionsPerZone, o.Rate, o.Experiment = 3, 200, "takeover"
		}},
		{"configuration-today", func(o *Options) { o.Experiment = "configuration" }},
		{"configuration-target", func(o *Options) { targetSize(o); o.Experiment = "configuration" }},
		{"allowance-today", func(o *Options) { o.Experiment, o.Duration = "allowance", 16*time.Second }},
		{"allowance-target", func(o *Options) {
			workers(200, 32)(o)
			o.Shape.Zones, o.Shape.PartitionsPerZone, o.Shape.Teams = 5, 5, 30
			o.Experiment, o.Duration = "allowance", 16*time.Second
		}},
	}
}

// RunSeries runs the measurements whose names are given, all if there are none, one after the other, and writes each
// result to a file in the directory.
func RunSeries(ctx context.Context, directory string, names []string, progress io.Writer) error {
	for _, m := range series() {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		o := DefaultOptions()
		o.Warmup, o.Duration, o.Drain = 5*time.Second, 10*time.Second, 12*time.Second
		m.change(&o)
		fmt.Fprintln(progress, "measuring", m.name)
		r, err := Run(ctx, o)
		if err != nil {
			return errors.Wrap(err, m.name)
		}
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.Wrap(err, m.name)
		}
		if err := os.WriteFile(filepath.Join(directory, m.name+".json"), data, 0o644); err != nil {
			return errors.Wrap(err, m.name)
		}
	}
	return nil
}

// readSeries reads the results that are in a directory.
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
		return nil, errors.Errorf("%s holds no results of the series", directory)
	}
	return results, nil
}

// line is a least-squares fit of y = Base + Slope*x. Error is the largest deviation of a point in relation to the
// largest y.
type line struct{ Base, Slope, Error float64 }

func fit(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return line{Base: sy / n}
	}
	l := line{Slope: (n*sxy - sx*sy) / spread}
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

// slope is a figure of a result against a size of the cell, over several runs.
type slope struct {
	figure string
	unit   string
	runs   []string
	x, y   func(Result) float64
}

func slopes() []slope {
	fleet := []string{"today-idle", "workers-200", "workers-600", "workers-1300"}
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
		{"store bytes/s of a node", "worker", fleet, ofWorkers, func(r Result) float64 { return wire(r.Mean, "store") }},
		{"worker bytes/s of all nodes", "worker", fleet, ofWorkers, func(r Result) float64 { return wire(r.Total, "worker") }},
		{"worker messages/s of all nodes", "worker", fleet, ofWorkers, func(r Result) float64 { return r.Total.Messages["worker/out"] }},
		{"CPU % of all nodes", "worker", fleet, ofWorkers, func(r Result) float64 { return r.Total.CPUPercent }},
		{"resident MB of all nodes", "worker", fleet, ofWorkers, func(r Result) float64 { return r.Total.RSSMB }},
		{"store reads/s", "worker", fleet, ofWorkers, func(r Result) float64 { return r.Total.StoreReads }},
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

// WriteTables prints the tables of docs/CAPACITY.md from the results in a directory.
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

// writeSlope prints a fit over the runs that are there, if there are at least two.
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
	l := fit(x, y)
	fmt.Fprintf(w, "| %s | %s | %.4g | %.4g | %.0f%% | %d |\n", s.figure, s.unit, l.Base, l.Slope, l.Error*100, len(x))
}
