package main

import (
	"errors"
	"net/http"
	"time"
)

// withdrawnKey submits a job with a key on a public route, has the operator withdraw that key, and asks for the job at every
// node, with the withdrawn key and without one. No key is needed on that route, and nobody has canceled the job.
func withdrawnKey(c *cell, trouble bool) error {
	id, j := newID(), job{Spec: "ms=60000", Steps: []step{{Count: 2, CPU: 1000, MemMB: 500, EstimateMS: 60_000}}}
	if !c.submitUntilAccepted(id, j, 0, 10*time.Second) {
		return errors.New("the job wasn't accepted")
	}
	if !eventually(10*time.Second, func() bool { return len(c.rules.runsOf(id)) == 2 }) {
		return errors.New("the job didn't start")
	}
	for _, n := range c.nodes {
		if r := c.client(n).state(id); r.status != http.StatusOK {
			return errors.New("the job isn't shown before the disruption")
		}
	}
	if trouble {
		c.publish(config{version: 5, keys: []string{otherKey}, public: true, maxAttempts: 3})
	}
	time.Sleep(max(configApply, visibleTime) + stableTime)
	for _, n := range c.nodes {
		for _, key := range []string{keyOfTeam, ""} {
			if key == "" && !trouble {
				continue // the client still has its key, and uses it
			}
			caller := c.client(n)
			caller.key = key
			if r := caller.state(id); r.status == http.StatusGone {
				c.rules.fail("LOST", "GET for the accepted job %s, which nobody has canceled, is answered 410 by %s (key %q)", id, n.name, key)
			}
		}
	}
	return nil
}
