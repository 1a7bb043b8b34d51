package main

import (
	"errors"
	"time"
)

const (
	// workerAge is the age that the workers have reached by the time of the disruption.
	workerAge = 25 * time.Second
	// graceTime is grace_s of the settings.
	graceTime = 6 * time.Second
	// calmTime is how long there has been no disruption before idleTime counts.
	calmTime = 4 * time.Second
)

// lostWorker loses a worker for good on which a task runs that lasts. At the same moment the node that gives the orders begins a
// planned restart. The task has to run again on another worker, all of which are nearly empty.
func lostWorker(c *cell, trouble bool) error {
	id, lasting := newID(), job{Spec: "lasting", Steps: []step{{Count: 4, CPU: 2000, MemMB: 500, EstimateMS: 1000, LongRunning: true, MaxPerServer: 1}}}
	if !c.submitUntilAccepted(id, lasting, 0, 10*time.Second) {
		return errors.New("the job wasn't accepted")
	}
	if !eventually(10*time.Second, func() bool { return c.running(id) == 4 }) {
		return errors.New("the job didn't start")
	}
	time.Sleep(workerAge)
	if c.running(id) != 4 {
		return errors.New("the job doesn't run before the disruption")
	}
	lastRun := time.Now()
	if trouble {
		leader := c.nodes[0]
		for _, n := range c.nodes {
			if c.wroteLast(n) {
				leader = n
			}
		}
		c.workerOf(c.rules.runsOf(id)[0].worker).kill()
		leader.stop(graceTime)
		if err := leader.start(); err != nil {
			return err
		}
	}
	calm := time.Now()
	from := lastRun.Add(restartTime)
	if begin := calm.Add(calmTime); begin.After(from) {
		from = begin
	}
	time.Sleep(time.Until(from))
	if !eventually(idleTime, func() bool { return c.running(id) == 4 }) {
		c.rules.fail("LOST", "of job %s, which lasts, %d of 4 tasks have run for the last %d ms; the last run of the other one ended %d ms ago, the restart %d ms ago", id, c.running(id),
			time.Since(from).Milliseconds(), time.Since(lastRun).Milliseconds(), time.Since(calm).Milliseconds())
	}
	eventually(15*time.Second, func() bool { return c.running(id) == 4 })
	c.record.add("%d of 4 tasks run %d ms after the loss, %d ms after the restart", c.running(id), time.Since(lastRun).Milliseconds(),
		time.Since(calm).Milliseconds())
	return nil
}

// running returns how many tasks of a job run.
func (c *cell) running(id string) int {
	n := 0
	for _, run := range c.rules.runsOf(id) {
		if run.how == "" {
			n++
		}
	}
	return n
}
