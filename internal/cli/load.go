package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/load"
)

// NewLoadCommand returns the command that load-tests a cell and measures the overhead of its control plane.
func NewLoadCommand() *cobra.Command {
	o := load.DefaultOptions()
	var asJSON, capacitySeries bool
	var tables string
	var only []string
	c := &cobra.Command{
		Use:   "load",
		Short: "Put load on a cell and measure the overhead of its control plane",
		Long: "Put load on a cell and measure the overhead of its control plane. Without --platform, a cell is started on loopback: the\n" +
			"platform stand-in, one process of workers for each zone and one process for each node. Jobs are submitted at a constant\n" +
			"rate, whether or not earlier jobs have ended. At the end, the workers' run logs show whether a task was lost or ran twice.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if capacitySeries {
				return runCapacitySeries(c, o.Directory, only)
			}
			if tables != "" {
				return errors.Wrap(load.WriteTables(c.OutOrStdout(), tables), "load")
			}
			r, err := load.Run(c.Context(), o)
			if err != nil {
				return errors.Wrap(err, "load")
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), r)
			}
			return printLoad(c.OutOrStdout(), r)
		},
	}
	f := c.Flags()
	f.BoolVar(&asJSON, "json", false, "print the result as JSON")
	f.BoolVar(&capacitySeries, "slopes", false, "run the measurement series of docs/capacity-partitions.md and print its tables")
	f.StringSliceVar(&only, "only", nil, "measurements of --slopes to run, all by default")
	f.StringVar(&tables, "tables", "", "print the tables of docs/capacity-partitions.md from the results of --slopes in this directory")
	f.StringVar(&o.Platform, "platform", "", "address of a running cell's platform, IP:port; empty starts a cell")
	f.StringSliceVar(&o.Addresses, "node", nil, "HTTP addresses of the running cell's nodes, all registered ones by default")
	f.StringVar(&o.Secret, "secret", "", "secret of a key of the running cell")
	f.StringVar(&o.Queue, "queue", "", "batch queue of the running cell")
	f.StringVar(&o.KeyPrefix, "key-prefix", "", "prefix of the idempotency keys; must differ between runs against the same cell, which keeps the jobs of earlier runs")
	f.StringVar(&o.Directory, "directory", "", "existing directory for the logs, which are kept; a temporary directory by default")
	f.IntVar(&o.Nodes, "nodes", o.Nodes, "number of ingress nodes")
	f.IntVar(&o.Shape.Workers, "workers", o.Shape.Workers, "number of workers in all zones together")
	f.IntVar(&o.Shape.Slots, "slots", o.Shape.Slots, "slots of each worker")
	f.IntVar(&o.Shape.Zones, "zones", o.Shape.Zones, "number of zones")
	f.IntVar(&o.Shape.PartitionsPerZone, "partitions-per-zone", o.Shape.PartitionsPerZone, "number of partitions in each zone")
	f.IntVar(&o.Shape.Teams, "teams", o.Shape.Teams, "number of teams")
	f.IntVar(&o.Shape.Services, "services", o.Shape.Services, "number of services")
	f.IntVar(&o.Shape.Replicas, "replicas", o.Shape.Replicas, "instances of each service")
	f.IntVar(&o.Shape.Concurrency, "concurrency", o.Shape.Concurrency, "requests that an instance serves concurrently")
	f.Float64Var(&o.Shape.LimitFactor, "limit-factor", o.Shape.LimitFactor, "sum of the teams' limits as a multiple of all slots; 0 for no limits")
	f.Float64Var(&o.Rate, "rate", o.Rate, "task starts per second")
	f.IntVar(&o.TasksPerJob, "tasks-per-job", o.TasksPerJob, "tasks in each job")
	f.DurationVar(&o.TaskDuration, "task-duration", o.TaskDuration, "run time of a task")
	f.IntVar(&o.UrgentEvery, "urgent-every", o.UrgentEvery, "submit an urgent job of one task with every Nth job; 0 for none")
	f.Float64Var(&o.RequestRate, "request-rate", o.RequestRate, "requests to services per second")
	f.DurationVar(&o.Warmup, "warmup", o.Warmup, "time before the load starts")
	f.DurationVar(&o.Duration, "duration", o.Duration, "length of the measurement")
	f.DurationVar(&o.Drain, "drain", o.Drain, "maximum time to wait for the jobs to end")
	f.StringVar(&o.Experiment, "experiment", "", "experiment to run during the load: takeover, configuration or allowance")
	return c
}

// runCapacitySeries runs the measurement series and prints its tables. The results are kept if a directory is given.
func runCapacitySeries(c *cobra.Command, directory string, only []string) error {
	if directory == "" {
		temporary, err := os.MkdirTemp("", "sequoiastall-slopes-")
		if err != nil {
			return errors.Wrap(err, "load: create temporary directory")
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		directory = temporary
	}
	if err := load.RunSeries(c.Context(), directory, only, c.ErrOrStderr()); err != nil {
		return errors.Wrap(err, "load")
	}
	return errors.Wrap(load.WriteTables(c.OutOrStdout(), directory), "load")
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write output")
}

// printLoad prints the result of a load test: one row of overhead for each node, then latencies, outcomes and violations.
func printLoad(w io.Writer, r load.Result) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "node\tpartitions\tcontrol B/s\tpeer in/out\tworker in/out\tstore in/out\treads/s\twrites/s\twatches\tCPU %\tRSS MB\theap MB\tstarts/s")
	for _, n := range append(append([]load.NodeResult{}, r.PerNode...), r.Total, r.Mean, r.Worst) {
		b := n.WireBytes
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f/%.0f\t%.0f/%.0f\t%.0f/%.0f\t%.1f\t%.1f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\n", n.Node, n.Partitions,
			n.Control, b["peer/in"], b["peer/out"], b["worker/in"], b["worker/out"], b["store/in"], b["store/out"], n.StoreReads,
			n.StoreWrites, n.Watches, n.CPUPercent, n.RSSMB, n.HeapMB, n.Starts)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write output")
	}
	o := r.Outcome
	fmt.Fprintf(w, "%.0f s, %d slots running, %.1f cores used by other processes\n", r.Seconds, r.Running, r.CPUNoise)
	fmt.Fprintf(w, "waiting: %d tasks, p50 %.0f ms, p99 %.0f ms, max %.0f ms; urgent: %d tasks, p50 %.0f ms, p99 %.0f ms, max %.0f ms\n",
		r.Waiting.Count, r.Waiting.P50MS, r.Waiting.P99MS, r.Waiting.MaxMS, r.Urgent.Count, r.Urgent.P50MS, r.Urgent.P99MS, r.Urgent.MaxMS)
	if q := r.Requests; q.Sent > 0 {
		fmt.Fprintf(w, "requests: %d sent, %d failed, p50 %.1f ms, p99 %.1f ms\n", q.Sent, q.Failed, q.P50MS, q.P99MS)
	}
	fmt.Fprintf(w, "jobs: %d submitted, %d refused, %d done, %d failed, %d unfinished; tasks done: %d, lost: %d, doubled: %d, repeated runs: %d\n",
		o.Submitted, o.Refused, o.Done, o.Failed, o.Unfinished, o.Tasks, o.LostTasks, o.DoubledTasks, o.RepeatedRuns)
	for _, v := range o.Violations {
		fmt.Fprintln(w, "guarantee violated:", v)
	}
	if r.Total.Violations > 0 {
		fmt.Fprintf(w, "invariants violated: %.0f\n", r.Total.Violations)
	}
	if r.Experiment != nil {
		fmt.Fprintln(w, r.Experiment)
	}
	return nil
}
