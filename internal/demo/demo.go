// Package demo runs work of every class on a small cell and checks from the outside that the guarantees were met.
package demo

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/dev"
	"sequoiastall/internal/standin/worker"
	"sequoiastall/internal/wait"
)

const (
	// readyTimeout is the time limit until all partitions are settled and every service responds.
	readyTimeout = 30 * time.Second
	// workTimeout is the time limit for the work.
	workTimeout = 60 * time.Second
	// metricsTimeout is the time limit for reading the metrics of all nodes.
	metricsTimeout = 5 * time.Second
	// pollInterval is the time between two polls of the cell's state, and between two tries of a request.
	pollInterval = 100 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Set            object.Set
	Nodes          int
	WorkersPerZone int
	Requests       int       // number of requests to each service
	Seed           uint64    // of the random run times, delays and callers
	Log            io.Writer // JSON lines of all nodes
	Progress       func(step string)
}

// demo is the state of a run.
type demo struct {
	options    Options
	set        object.Set // including the keys generated for the run
	index      *object.Index
	secrets    map[string]string // by team
	cell       *dev.Cell
	client     *http.Client
	mu         sync.Mutex // guards violations
	violations []string   // violated guarantees
}

// Run starts a cell, runs the work and returns a report. An error means that the run couldn't be completed; violated
// guarantees are listed in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	d := &demo{options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	defer d.client.CloseIdleConnections()
	if err := d.prepare(); err != nil {
		return Report{}, err
	}
	cellOptions := dev.DefaultOptions(d.set)
	cellOptions.Nodes, cellOptions.WorkersPerZone, cellOptions.Log = o.Nodes, o.WorkersPerZone, o.Log
	cell, err := dev.Start(cellOptions)
	if err != nil {
		return Report{}, err
	}
	defer cell.Stop()
	d.cell = cell
	o.Progress("waiting until all partitions are settled and every service answers")
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.waitReady(readyCtx); err != nil {
		return Report{}, errors.Wrap(err, "the cell isn't ready")
	}
	workCtx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	return d.runWork(workCtx)
}

// prepare generates a key for each team that is valid for all of its queues, so that object sets with unknown secrets
// can be used.
func (d *demo) prepare() error {
	d.set, d.secrets = d.options.Set, map[string]string{}
	d.set.Keys = slices.Clone(d.set.Keys)
	for _, t := range d.set.Teams {
		key, secret := newTeamKey(t.Name)
		d.set.Keys = append(d.set.Keys, key)
		d.secrets[t.Name] = secret
	}
	slices.SortFunc(d.set.Keys, compareKeys)
	if problems := d.set.Check(); len(problems) > 0 {
		return errors.Errorf("object set with the generated keys: %s", problems[0].Message)
	}
	var err error
	d.index, err = object.NewIndex(d.set)
	return err
}

// waitReady waits until every worker is held by the owner of a settled partition and every service responds through
// every node.
func (d *demo) waitReady(ctx context.Context) error {
	workers := int32(len(d.cell.Capacity()))
	viewer := d.set.Teams[0].Name
	for {
		partitions, err := d.clientFor(0, viewer).Partitions(ctx)
		held, settled := int32(0), true
		for _, p := range partitions {
			held += p.Workers
			settled = settled && (p.Settled || p.Workers == 0)
		}
		if err == nil && settled && held == workers {
			break
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Errorf("%d of %d workers are held, all settled: %t, last error: %v", held, workers, settled, err)
		}
	}
	probes := pool.New().WithErrors().WithFirstError()
	for _, s := range d.set.Services {
		for i := range d.cell.Nodes {
			probes.Go(func() error { return d.waitService(ctx, i, s) })
		}
	}
	return probes.Wait()
}

func (d *demo) waitService(ctx context.Context, node int, s object.Service) error {
	header := map[string]string{"Sequoiastall-Idempotent": "true"}
	for {
		_, err := d.clientFor(node, s.Team).Call(ctx, http.MethodGet, "/services/"+s.Name+"/ready", header, nil)
		if err == nil {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Wrapf(err, "service %s", s.Name)
		}
	}
}

// runWork runs the requests and the jobs concurrently and checks their outcomes.
func (d *demo) runWork(ctx context.Context) (Report, error) {
	jobs := d.planJobs()
	d.options.Progress("running requests, batch, gang and urgent jobs of all teams")
	requests := make(chan []requestTry, 1)
	go func() { requests <- d.sendRequests(ctx) }()
	d.runJobs(ctx, jobs)
	tries := <-requests
	if err := context.Cause(ctx); errors.Is(err, context.Canceled) {
		return Report{}, errors.Wrap(err, "interrupted")
	}
	d.options.Progress("checking the run log of the workers and the metrics of the nodes")
	runs := mapToWholeJobs(d.cell.Runs.Runs())
	d.checkRuns(runs, jobs)
	d.checkRequests(tries)
	// The metrics are read even if the work exceeded its time limit.
	metricsCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), metricsTimeout)
	defer cancel()
	d.checkMetrics(metricsCtx)
	return d.report(runs, jobs, tries), nil
}

// mapToWholeJobs replaces the task IDs of divided jobs with the job ID and task index of the caller's job.
func mapToWholeJobs(runs []worker.Run) []worker.Run {
	for i := range runs {
		parent, _ := runs[i].Task.Job.Parent()
		runs[i].Task = job.TaskID{Job: parent, Index: runs[i].Index}
	}
	return runs
}

func (d *demo) addViolation(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, text)
}
