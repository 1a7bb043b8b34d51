package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	crashTraffic = 75 * time.Second
	// followTime bounds the time for which the last jobs are followed after that.
	followTime  = 20 * time.Second
	jobInterval = 40 * time.Millisecond
	// A crashed worker is back after crashLength. The next one crashes up to maxCrashPause later.
	crashLength   = 500 * time.Millisecond
	maxCrashPause = 800 * time.Millisecond
)

// crashedWorkers lets one worker of eight crash at a time, at random, while small jobs come, and asks for the state of each job
// until that is final. No task fails by itself, so no job may be shown as failed.
func crashedWorkers(c *cell, trouble bool) error {
	end, jobs := time.Now().Add(crashTraffic), sync.WaitGroup{}
	if trouble {
		go c.crashWorkers(end)
	}
	for i := 0; time.Now().Before(end); i++ {
		jobs.Go(func() { c.followJob(i, end.Add(followTime)) })
		time.Sleep(jobInterval)
	}
	jobs.Wait()
	return nil
}

// crashWorkers kills the workers in a random order, one at a time, and starts each again.
func (c *cell) crashWorkers(end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		w := c.workers[randomIndex(len(c.workers))]
		w.kill()
		time.Sleep(crashLength)
		if err := w.start(); err != nil {
			c.record.add("worker %s doesn't start again: %v", w.options.ID, err)
		}
		time.Sleep(rand.N(maxCrashPause))
	}
}

// followJob submits a job and asks for its state until that is final.
func (c *cell) followJob(i int, limit time.Time) {
	id, j := newID(), job{Spec: "ms=800", Steps: []step{{Count: 4, CPU: 500, MemMB: 200, EstimateMS: 800}}}
	if !c.submitUntilAccepted(id, j, i, 10*time.Second) {
		return
	}
	for n := 0; time.Now().Before(limit); n++ {
		time.Sleep(time.Second)
		r := c.client(c.nodes[(i+n)%len(c.nodes)]).state(id)
		switch {
		case r.status != http.StatusOK:
		case r.state == "failed":
			failed, text := 0, ""
			for _, run := range c.rules.runsOf(id) {
				if run.how == "failed" {
					failed++
				}
				text += fmt.Sprintf(" %s run %d %s on %s after %d ms;", run.task, run.run, run.how, run.worker, run.ended.Sub(run.began).Milliseconds())
			}
			c.rules.fail("LOST", "job %s is shown as failed after %d failed runs:%s", id, failed, text)
			return
		case r.state == "completed":
			return
		}
	}
	c.record.add("job %s wasn't followed to its end", id)
}
