package main

import (
	"errors"
	"time"
)

const (
	// restartTime is the time after which a task that lasts has to run again, after its last run.
	restartTime = 6 * time.Second
	// idleTime is how long it may have nothing running then.
	idleTime = 3 * time.Second
)

// fillingStep runs a task that fills beside tasks that serve, and loses its worker for good. The other workers have room for it
// several times over, because its cpu isn't counted.
func fillingStep(c *cell, trouble bool) error {
	serving := job{Spec: "lasting", Steps: []step{{Count: len(c.workers) - 1, CPU: 2000, MemMB: 500, EstimateMS: 1000, LongRunning: true, MaxPerServer: 1}}}
	if !c.submitUntilAccepted(newID(), serving, 0, 10*time.Second) {
		return errors.New("the serving job wasn't accepted")
	}
	time.Sleep(2 * time.Second)
	id, filling := newID(), job{Spec: "lasting", Steps: []step{{Count: 1, CPU: 15_000, MemMB: 500, EstimateMS: 1000, LongRunning: true, Fills: true, Image: "batch"}}}
	if !c.submitUntilAccepted(id, filling, 1, 10*time.Second) {
		return errors.New("the filling job wasn't accepted")
	}
	if !eventually(10*time.Second, func() bool { return len(c.rules.runsOf(id)) > 0 }) {
		return errors.New("the filling job didn't start")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.workerOf(c.rules.runsOf(id)[0].worker).kill()
	}
	lost := time.Now()
	limit := stableTime + restartTime + idleTime + holdMaxMS*time.Millisecond
	if !eventually(limit, func() bool { return c.running(id) > 0 }) {
		c.rules.fail("LOST", "job %s, which lasts, has had nothing running for %d ms, and workers that run nothing but one task of 2 cores are free",
			id, time.Since(lost).Milliseconds())
	}
	return nil
}
