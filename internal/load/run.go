package load

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/standin/worker"
	"sequoiastall/internal/wait"
)

// Options configure a load run.
type Options struct {
	Shape        Shape
	Nodes        int
	Rate         float64 // of task starts per second
	TasksPerJob  int
	TaskDuration time.Duration
	UrgentEvery  int     // submit an urgent job of one task with every UrgentEvery-th job; 0 for none
	RequestRate  float64 // of requests to services per second
	Warmup       time.Duration
	Duration     time.Duration // of the measurement
	Drain        time.Duration // longest wait for the jobs to end
	Experiment   string        // takeover, configuration, allowance or empty

	// Platform is the address of a running cell's platform; a cell is started if it is empty.
	Platform  string
	Addresses []string // of the running cell's nodes, all registered ones if empty
	Secret    string   // of a key of the running cell
	Queue     string   // of the running cell, of class batch
	Directory string   // for logs, which are kept; a temporary one that is removed if it is empty
	KeyPrefix string   // of idempotency keys, so that runs against the same cell use different keys
}

// DefaultOptions returns options for a cell of the current size.
func DefaultOptions() Options {
	return Options{Shape: Shape{Zones: 4, PartitionsPerZone: 1, Workers: 50, Slots: 8, Teams: 6, Services: 6, Replicas: 4, Concurrency: 4, LimitFactor: 3},
		Nodes: 7, Rate: 0, TasksPerJob: 50, TaskDuration: time.Second, Warmup: 6 * time.Second, Duration: 20 * time.Second,
		Drain: 20 * time.Second}
}

func (o Options) validate() error {
	s := o.Shape
	switch {
	case s.Zones < 1 || s.PartitionsPerZone < 1 || s.Workers < 1 || s.Slots < 1 || s.Teams < 1 || s.Services < 0 || s.Replicas < 0 || s.Concurrency < 1 || s.LimitFactor < 0:
		return errors.Errorf("shape is out of range: %+v", s)
	case o.Platform == "" && (o.Nodes < 1 || o.Nodes > 64 || s.Workers > 4000):
		return errors.Errorf("a cell of %d nodes and %d workers can't be started; at most 64 nodes and 4000 workers", o.Nodes, s.Workers)
	case o.Rate < 0 || o.RequestRate < 0 || o.TasksPerJob < 1 || o.TaskDuration < 0 || o.UrgentEvery < 0:
		return errors.New("rates and durations must not be negative, and a job needs at least one task")
	case o.Duration <= 0 || o.Warmup < 0 || o.Drain < 0:
		return errors.New("duration must be positive, warmup and drain must not be negative")
	case o.Platform != "" && o.Rate > 0 && (o.Secret == "" || o.Queue == ""):
		return errors.New("jobs for a running cell need a secret and a queue")
	case o.Platform != "" && o.Experiment != "":
		return errors.New("experiments need a cell that the load command starts itself")
	}
	return nil
}

// attach connects to a running cell.
func attach(ctx context.Context, o Options) (*cell, error) {
	c := &cell{platformAddress: o.Platform, http: newHTTPClient(), shape: o.Shape, options: o}
	for _, a := range o.Addresses {
		c.nodes = append(c.nodes, &nodeRef{id: a, address: a})
	}
	var err error
	if c.store, err = platform.New(o.Platform, connection.Options{}); err != nil {
		return nil, err
	}
	if len(c.nodes) > 0 {
		return c, nil
	}
	if err := c.findNodes(ctx, 1); err != nil {
		_ = c.store.Close()
		return nil, err
	}
	return c, nil
}

// Run generates load on a cell and measures it.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	connect := startCell
	if o.Platform != "" {
		connect = attach
	}
	c, err := connect(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer c.stop()
	if len(c.nodes) == 0 {
		return Result{}, errNoNodes
	}
	if !wait.For(ctx, o.Warmup) {
		return Result{}, ctx.Err()
	}
	return c.measure(ctx, o)
}

// measure runs the load, samples the nodes at the start and the end of the measurement period, and checks the outcome.
func (c *cell) measure(ctx context.Context, o Options) (Result, error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	jobs := &submitter{cell: c, options: o}
	serviceRequests := &requestSender{cell: c, options: o}
	var wg conc.WaitGroup
	wg.Go(func() { jobs.run(loadCtx) })
	wg.Go(func() { serviceRequests.run(loadCtx) })
	if o.Rate > 0 {
		wait.For(ctx, min(o.Warmup, 3*time.Second)) // the rate of starts takes a while to become steady
	}
	before, err := c.sample(ctx)
	if err != nil {
		return Result{}, err
	}
	machineBefore, runBefore := machineCPUSeconds(), c.runCPUSeconds()
	result := Result{Shape: o.Shape, Nodes: len(c.nodes), Rate: o.Rate}
	startedAt := time.Now()
	if result.Experiment, err = c.runExperiment(ctx, o); err != nil {
		return Result{}, err
	}
	if !wait.For(ctx, o.Duration-time.Since(startedAt)) && ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	after, err := c.sample(ctx)
	if err != nil {
		return Result{}, err
	}
	result.Seconds = time.Since(startedAt).Seconds()
	result.CPUNoise = max(0, (machineCPUSeconds()-machineBefore)-(c.runCPUSeconds()-runBefore)) / result.Seconds
	result.Running = c.runningSlots(ctx)
	c.addNodeResults(ctx, &result, before, after)
	stop()
	wg.Wait()
	result.Requests = serviceRequests.summary()
	return result, c.checkOutcome(ctx, o, jobs.sent, &result)
}

// sample reads the metrics of the nodes that respond.
func (c *cell) sample(ctx context.Context) (map[string]Sample, error) {
	samples := map[string]Sample{}
	var last error
	for _, n := range c.nodes {
		s, err := scrape(ctx, c.http, n.address)
		if err != nil {
			last = err
			continue
		}
		samples[n.id] = s
	}
	if len(samples) == 0 {
		return nil, errors.Wrap(last, "no node returned its metrics")
	}
	return samples, nil
}

func (c *cell) addNodeResults(ctx context.Context, r *Result, before, after map[string]Sample) {
	owned := map[string]int{}
	if views, err := c.nodeViews(ctx); err == nil {
		for _, v := range views {
			owned[v.ID] = len(v.Partitions)
		}
	}
	for _, n := range c.nodes {
		b, inBefore := before[n.id]
		a, inAfter := after[n.id]
		if !inBefore || !inAfter {
			continue
		}
		result := nodeResult(n.id, b, a)
		result.Partitions = owned[n.id]
		r.PerNode = append(r.PerNode, result)
	}
	r.aggregate()
}

// runningSlots returns the number of slots that all teams use, as reported by the first node, which has it from
// gossip. It returns 0 if that node doesn't respond.
func (c *cell) runningSlots(ctx context.Context) int64 {
	var teams []gateway.TeamView
	if err := c.getJSON(ctx, c.nodes[0].address, "/v1/teams", c.cellSecret(), &teams); err != nil {
		return 0
	}
	total := int64(0)
	for _, t := range teams {
		total += t.Running
	}
	return total
}

// checkOutcome waits for the jobs to end, stops the cell and checks the run logs against the guarantees. On a cell that
// this tool didn't start it only waits.
func (c *cell) checkOutcome(ctx context.Context, o Options, sent []submission, r *Result) error {
	done := c.awaitJobs(ctx, o, sent, &r.Outcome)
	if o.Platform != "" {
		return nil
	}
	c.stopNodes()
	names := make([]string, 0, len(c.workers))
	for _, p := range c.workers {
		names = append(names, strings.TrimSuffix(p.logPath, ".log"))
	}
	c.stopWorkers()
	var runs []worker.Run
	for _, name := range names {
		workerRuns, err := worker.ReadRuns(name + ".runs")
		if err != nil {
			return err
		}
		runs = append(runs, workerRuns...)
	}
	checkRuns(runs, sent, done, o.Shape, r)
	return nil
}

// awaitJobs waits until the accepted jobs have ended and returns those that are done.
func (c *cell) awaitJobs(ctx context.Context, o Options, sent []submission, out *Outcome) map[job.ID]bool {
	deadline := time.Now().Add(o.Drain)
	done := map[job.ID]bool{}
	for _, s := range sent {
		out.Submitted++
		if !s.accepted() {
			out.Refused++
			continue
		}
		phase := c.awaitJob(ctx, s, deadline)
		switch {
		case phase == job.Done:
			out.Done++
			out.Tasks += int(s.tasks)
			done[s.id] = true
		case phase.Final():
			out.Failed++
		default:
			out.Unfinished++
		}
	}
	return done
}

func (c *cell) awaitJob(ctx context.Context, s submission, deadline time.Time) job.Phase {
	for {
		for i := range c.nodes {
			var status job.Status
			if c.getJSON(ctx, c.nodes[(s.node+i)%len(c.nodes)].address, "/v1/jobs/"+string(s.id), s.secret, &status) != nil {
				continue
			}
			if status.Phase.Final() {
				return status.Phase
			}
			break
		}
		if time.Now().After(deadline) || !wait.For(ctx, pollInterval) {
			return job.Running
		}
	}
}

// checkRuns checks that each task of a done job has succeeded, that no task succeeded twice or ran twice at the same
// time, and that no worker exceeded its capacity.
func checkRuns(runs []worker.Run, sent []submission, done map[job.ID]bool, shape Shape, r *Result) {
	started, succeeded := map[job.TaskID]time.Time{}, map[job.TaskID]int{}
	capacity := map[string]resource.Vector{}
	for _, run := range runs {
		capacity[run.Worker] = resource.Vector{Slots: int64(shape.Slots), MilliCPU: int64(shape.Slots) * 2000, MemoryMB: int64(shape.Slots) * 4096}
		first, known := started[run.Task]
		if known {
			r.Outcome.RepeatedRuns++
		}
		if !known || run.Start.Before(first) {
			started[run.Task] = run.Start
		}
		if run.State == port.TaskSucceeded {
			succeeded[run.Task]++
		}
	}
	var waiting, urgent []time.Duration
	for _, s := range sent {
		for i := range s.tasks {
			id := job.TaskID{Job: s.id, Index: i}
			at, ran := started[id]
			switch {
			case ran && s.urgent:
				urgent = append(urgent, at.Sub(s.at))
			case ran:
				waiting = append(waiting, at.Sub(s.at))
			}
			if done[s.id] && succeeded[id] == 0 {
				r.Outcome.LostTasks++
			}
		}
	}
	for _, n := range succeeded {
		if n > 1 {
			r.Outcome.DoubledTasks++
		}
	}
	r.Waiting, r.Urgent = summarise(waiting), summarise(urgent)
	r.Outcome.Violations = worker.Violations(runs, capacity)
	const shown = 10
	if extra := len(r.Outcome.Violations) - shown; extra > 0 {
		r.Outcome.Violations = append(r.Outcome.Violations[:shown], fmt.Sprintf("and %d more", extra))
	}
}

// machineCPUSeconds returns the CPU seconds that the whole machine has used, or 0 if they can't be read.
func machineCPUSeconds() float64 {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(data), "\n")
	fields := strings.Fields(line)
	total := 0.0
	for i, f := range fields {
		const idle, iowait = 4, 5
		if v, err := strconv.ParseFloat(f, 64); err == nil && i != idle && i != iowait {
			total += v
		}
	}
	return total / ticksPerSecond
}

// ticksPerSecond is the unit of CPU times in /proc.
const ticksPerSecond = 100

// runCPUSeconds returns the CPU seconds used by this process and the processes that it started.
func (c *cell) runCPUSeconds() float64 {
	pids := []int{os.Getpid()}
	for _, p := range append([]*process{c.platformProcess}, c.workers...) {
		if p != nil {
			pids = append(pids, p.command.Process.Pid)
		}
	}
	for _, n := range c.nodes {
		if n.process != nil {
			pids = append(pids, n.process.command.Process.Pid)
		}
	}
	total := 0.0
	for _, pid := range pids {
		total += processCPUSeconds(pid)
	}
	return total
}

func processCPUSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // field indexes after the process name in parentheses
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return (u + s) / ticksPerSecond
}
