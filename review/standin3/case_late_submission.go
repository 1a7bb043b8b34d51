package main

import (
	"errors"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeLength is how long the node stands still.
	freezeLength = 4 * time.Second
	// runLength is how long the job's tasks take.
	runLength = 30 * time.Second
)

// lateSubmission submits a job at a node that stands still and isn't the one that gives the orders. The client has no answer by its deadline, and cancels the job at
// another node until that is acknowledged. Nothing of the job may run from cancelTime and stopMS after that on.
func lateSubmission(c *cell, trouble bool) error {
	id, j := newID(), job{Spec: "ms=30000", Steps: []step{{Count: 2, CPU: 1000, MemMB: 500, EstimateMS: int(runLength.Milliseconds())}}}
	frozen, other := c.nodes[0], c.nodes[1]
	if c.wroteLast(frozen) {
		frozen, other = other, frozen
	}
	began := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		defer frozen.signal(syscall.SIGCONT)
	}
	if r := c.client(frozen).submit(id, j); r.status == http.StatusOK {
		c.rules.accepted(id, j, r.at)
	} else if r.status != 0 || !trouble {
		return errors.New("the submission got an unexpected answer")
	}
	var canceled reply
	if !eventually(10*time.Second, func() bool {
		canceled = c.client(other).cancel(id)
		return canceled.status == http.StatusOK || canceled.status == http.StatusGone
	}) {
		return errors.New("the cancellation wasn't acknowledged")
	}
	if trouble {
		time.Sleep(time.Until(began.Add(freezeLength)))
		frozen.signal(syscall.SIGCONT)
	}
	limit := canceled.at.Add(cancelTime + stopMS*time.Millisecond + stableTime)
	time.Sleep(time.Until(limit) + 2*time.Second)
	for _, run := range c.rules.runsOf(id) {
		switch {
		case run.began.After(canceled.at.Add(cancelTime)):
			c.rules.fail("UNASKED", "%s starts %d ms after its cancellation was acknowledged", run.task, run.began.Sub(canceled.at).Milliseconds())
		case run.how == "" || run.ended.After(limit):
			c.rules.fail("UNASKED", "%s, started %d ms after its cancellation was acknowledged, still runs %d ms after that", run.task,
				run.began.Sub(canceled.at).Milliseconds(), time.Since(canceled.at).Milliseconds())
		}
	}
	return nil
}

// wroteLast reports whether the node's name stands in the newest record that a node wrote under a store lease.
func (c *cell) wroteLast(n *node) bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	newest := item{}
	for _, i := range c.store.items {
		if i.Lease != 0 && i.Revision > newest.Revision {
			newest = i
		}
	}
	return strings.Contains(string(newest.Value), `"`+n.name+`"`)
}
