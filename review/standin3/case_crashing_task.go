package main

import (
	"errors"
	"time"
)

const (
	// crashDelay is how long after its start the task crashes its worker, which is back after crashedTime.
	crashDelay  = time.Second
	crashedTime = 3 * time.Second
	// The rule is broken by the third start after forgivenCrashes; forgivenStarts is more, so that there is no doubt.
	forgivenCrashes = 3
	forgivenStarts  = 6
	// crashingTime bounds the case.
	crashingTime = 80 * time.Second
)

// crashingTask submits a job whose only task crashes each worker that starts it.
func crashingTask(c *cell, trouble bool) error {
	id, j := newID(), job{Spec: "ms=5000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 5000}}}
	if !c.submitUntilAccepted(id, j, 0, 10*time.Second) {
		return errors.New("the job wasn't accepted")
	}
	crashes, startsAfter := 0, 0
	for seen, end := 0, time.Now().Add(crashingTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runs := c.rules.runsOf(id)
		if len(runs) == seen {
			if state := c.client(c.nodes[0]).state(id).state; state == "completed" || state == "failed" {
				c.record.add("the job is shown as %s after %d crashes", state, crashes)
				return nil
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		seen++
		run := runs[seen-1]
		if crashes >= forgivenCrashes {
			startsAfter++
		}
		if startsAfter == forgivenStarts {
			c.rules.fail("BUDGET", "%s is started for the %d. time, %d times after %d workers have crashed under it", run.task, seen, startsAfter, forgivenCrashes)
			return nil
		}
		if trouble {
			time.Sleep(time.Until(run.began.Add(crashDelay)))
			w := c.workerOf(run.worker)
			w.kill()
			crashes++
			time.AfterFunc(crashedTime, func() {
				if err := w.start(); err != nil {
					c.record.add("worker %s doesn't start again: %v", w.options.ID, err)
				}
			})
		}
	}
	return errors.New("the job has no end")
}
