package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const (
	// startDelay is how long the start is under way.
	startDelay = 8 * time.Second
	// flapGap is how long the worker is down, and then up, by turns.
	flapGap = 1400 * time.Millisecond
	// ordinaryJobs are handed in first, so that one start of twenty is delayed.
	ordinaryJobs = 19
)

// flappingWorker lets one start of twenty go without an answer and reach its worker 8 s later. Meanwhile that worker goes down and
// up twice. Its task has to run once at a time all the while.
func flappingWorker(c *cell, trouble bool) error {
	j := job{Spec: "ms=60000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 60_000}}}
	for i := range ordinaryJobs {
		if !c.submitUntilAccepted(newID(), j, i, 10*time.Second) {
			return errors.New("a job wasn't accepted")
		}
	}
	time.Sleep(time.Second)
	if trouble {
		for _, w := range c.workers {
			w.command(workerCommand{Delay: 1})
		}
	}
	id := newID()
	if !c.submitUntilAccepted(id, j, 0, 10*time.Second) {
		return errors.New("the job wasn't accepted")
	}
	if !eventually(10*time.Second, func() bool { return len(c.rules.runsOf(id)) > 0 }) {
		return errors.New("the job didn't start")
	}
	for _, w := range c.workers {
		w.command(workerCommand{})
	}
	if !trouble {
		time.Sleep(startDelay + 3*time.Second)
		return nil
	}
	call, ok := c.rules.delayedCall()
	if !ok {
		return errors.New("no start was delayed")
	}
	sent := time.UnixMicro(call.At)
	w := c.workerOf(call.Worker)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		w.kill()
		time.Sleep(flapGap)
		if err := w.start(); err != nil {
			return err
		}
		time.Sleep(flapGap)
	}
	time.Sleep(time.Until(sent.Add(startDelay)))
	c.record.add("the delayed start of %s run %d reaches %s", call.Task, call.Run, call.Worker)
	w.deliver(*call.Call)
	time.Sleep(3 * time.Second)
	return nil
}

func (c *cell) workerOf(id string) *worker {
	for _, w := range c.workers {
		if w.options.ID == id {
			return w
		}
	}
	return nil
}

// deliver makes a start call that was under way reach the worker.
func (w *worker) deliver(call orderBody) {
	body, _ := json.Marshal(call) // a plain value
	r, err := http.NewRequest(http.MethodPost, "http://"+w.options.Address+"/run-start", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Expect-Instance", w.options.ID)
	r.Header.Set(deliveredHeader, "1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		w.cell.record.add("the delayed start got no answer: %v", err)
		return
	}
	_ = response.Body.Close() // its sender has given the call up
	w.cell.record.add("the delayed start is answered %d", response.StatusCode)
}
