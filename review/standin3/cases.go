package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// theCase is a case with its deployment.
type theCase struct {
	options cellOptions
	config  config
	// play plays the case with or without its disruption. An error means that it couldn't run.
	play func(c *cell, trouble bool) error
}

var bigWorker = map[string]any{"cpu": 16000, "mem_mb": 32768, "gpu": 0}

var bothKeys = []string{keyOfTeam, otherKey}

var cases = map[string]theCase{
	"withdrawn-key":   {cellOptions{3, 4, bigWorker}, config{version: 1, keys: bothKeys, public: true, maxAttempts: 3}, withdrawnKey},
	"crashed-workers": {cellOptions{3, 8, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, crashedWorkers},
	"late-submission": {cellOptions{3, 4, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, lateSubmission},
	"flapping-worker": {cellOptions{3, 10, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, flappingWorker},
	"crashing-task":   {cellOptions{3, 8, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, crashingTask},
	"filling-step":    {cellOptions{3, 8, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, fillingStep},
	"lost-worker":     {cellOptions{3, 8, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, lostWorker},
	"soak":            {cellOptions{5, 8, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, soak},
	"soak-large":      {cellOptions{20, 10, bigWorker}, config{version: 1, keys: bothKeys, maxAttempts: 3}, soak},
}

// newID returns a job's ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caseLimit is how long a case may take.
const caseLimit = 116 * time.Second

// watch ends all processes if the case takes too long or is told to stop.
func (c *cell) watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-c.ended:
		return
	case <-stop:
	case <-time.After(caseLimit):
	}
	c.record.add("couldn't run: stopped or out of time")
	c.close()
	os.Exit(exitNotRun)
}

// runCase plays a case and returns its exit code.
func runCase(t theCase, recordPath string, trouble bool) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.add("disruption: %v", trouble)
	c, err := startCell(r, t.options)
	if c != nil {
		defer c.close()
		go c.watch()
	}
	if err == nil {
		c.publish(t.config)
		err = c.startNodes()
	}
	if err == nil {
		err = t.play(c, trouble)
	}
	if err != nil {
		r.add("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		return exitNotRun
	}
	c.rules.checkDoneTwice()
	for _, text := range c.rules.broken {
		fmt.Println("BROKEN", text)
	}
	if len(c.rules.broken) > 0 {
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
