// Package demo runs a small cell with work of every class and checks from the outside that the promises were kept.
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
	// readyBound is how long the cell may take until all partitions are settled and every service answers.
	readyBound = 30 * time.Second
	// workBound is how long the work may take.
	workBound = 60 * time.Second
	// metricsBound is how long the reading of all metrics may take.
	metricsBound = 5 * time.Second
	// pollInterval is the time between two looks at the cell.
	pollInterval = 100 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Set            object.Set
	Nodes          int
	WorkersPerZone int
	Requests       int       // to each service
	Seed           uint64    // of run times and delays
	Log            io.Writer // JSON lines of all nodes
	Progress       func(step string)
}

// demo is the state of a run.
type demo struct {
	options Options
	set     object.Set // with the keys of the run
	index   *object.Index
	secrets map[string]string // by team
	cell    *dev.Cell
	client  *http.Client
	mu      sync.Mutex // guards broken
	broken  []string   // promises that were broken
}

// Run starts a cell, runs the work and returns what was seen. An error says that the run couldn't be done; promises
// that were broken are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	d := &demo{options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	defer d.client.CloseIdleConnections()
	if err := d.prepare(); err != nil {
		return Report{}, err
	}
	settings := dev.DefaultOptions(d.set)
	settings.Nodes, settings.WorkersPerZone, settings.Log = o.Nodes, o.WorkersPerZone, o.Log
	cell, err := dev.Start(settings)
	if err != nil {
		return Report{}, err
	}
	defer cell.Stop()
	d.cell = cell
	o.Progress("waiting until all partitions are settled and every service answers")
	ready, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	if err := d.waitReady(ready); err != nil {
		return Report{}, errors.Wrap(err, "the cell isn't ready")
	}
	work, cancel := context.WithTimeout(ctx, workBound)
	defer cancel()
	return d.work(work)
}

// prepare gives each team a key that may use all of its queues, so that sets whose secrets aren't known can be used.
func (d *demo) prepare() error {
	d.set, d.secrets = d.options.Set, map[string]string{}
	d.set.Keys = slices.Clone(d.set.Keys)
	for _, t := range d.set.Teams {
		key, secret := newKey(t.Name)
		d.set.Keys = append(d.set.Keys, key)
		d.secrets[t.Name] = secret
	}
	slices.SortFunc(d.set.Keys, compareKeys)
	if problems := d.set.Check(); len(problems) > 0 {
		return errors.Errorf("the set with the keys of the run: %s", problems[0].Message)
	}
	var err error
	d.index, err = object.NewIndex(d.set)
	return err
}

// waitReady waits until every worker is held by the owner of a settled partition and every service answers at every
// node.
func (d *demo) waitReady(ctx context.Context) error {
	workers := int32(len(d.cell.Capacity()))
	viewer := d.set.Teams[0].Name
	for {
		partitions, err := d.caller(0, viewer).Partitions(ctx)
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
	answers := pool.New().WithErrors().WithFirstError()
	for _, s := range d.set.Services {
		for i := range d.cell.Nodes {
			answers.Go(func() error { return d.waitService(ctx, i, s) })
		}
	}
	return answers.Wait()
}

func (d *demo) waitService(ctx context.Context, node int, s object.Service) error {
	header := map[string]string{"Sequoiastall-Idempotent": "true"}
	for {
		_, err := d.caller(node, s.Team).Call(ctx, http.MethodGet, "/services/"+s.Name+"/ready", header, nil)
		if err == nil {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Wrapf(err, "service %s", s.Name)
		}
	}
}

// work runs the requests and the jobs at the same time and judges them.
func (d *demo) work(ctx context.Context) (Report, error) {
	jobs := d.planJobs()
	d.options.Progress("running requests, batch, gang and urgent jobs of all teams")
	requests := make(chan []exchange, 1)
	go func() { requests <- d.sendRequests(ctx) }()
	d.runJobs(ctx, jobs)
	exchanges := <-requests
	if err := context.Cause(ctx); errors.Is(err, context.Canceled) {
		return Report{}, errors.Wrap(err, "interrupted")
	}
	d.options.Progress("checking the run log of the workers and the metrics of the nodes")
	runs := wholeJobs(d.cell.Runs.Runs())
	d.checkRuns(runs, jobs)
	d.checkRequests(exchanges)
	// The metrics are also of interest when the work took too long.
	metrics, cancel := context.WithTimeout(context.WithoutCancel(ctx), metricsBound)
	defer cancel()
	d.checkMetrics(metrics)
	return d.report(runs, jobs, exchanges), nil
}

// wholeJobs names the tasks of divided jobs by their place in the caller's job.
func wholeJobs(runs []worker.Run) []worker.Run {
	for i := range runs {
		parent, _ := runs[i].Task.Job.Parent()
		runs[i].Task = job.TaskID{Job: parent, Index: runs[i].Index}
	}
	return runs
}

func (d *demo) breach(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, text)
}
