//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func keepLogs() bool { return os.Getenv("KEEP") == "1" }

func failed(format string, args ...any) verdict { return verdict{err: fmt.Errorf(format, args...)} }

func (w *world) twiceRuns() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.twice, "; ")
}

// fill submits a job with a task of 9 cores for each worker but one, so that a further such task fits only on that one.
func (c *cell) fill(id string, d time.Duration) (idle *worker, err error) {
	if err := c.submit(id, plainQueue, step{count: workers - 1, cpu: 9000, apart: 1, duration: d}); err != nil {
		return nil, err
	}
	if !await(5*time.Second, func() bool {
		idle = nil
		busy := 0
		for _, k := range c.workers {
			k.mu.Lock()
			n := len(k.runs)
			k.mu.Unlock()
			if n > 0 {
				busy++
			} else {
				idle = k
			}
		}
		return busy == workers-1 && idle != nil
	}) {
		return nil, errors.New("the first job doesn't run")
	}
	return idle, nil
}

// restartLease: a worker crashes and starts again under its ID; soon after, it is cut off and runs on.
func restartLease(w *world, trouble bool) verdict {
	c, err := newCell(w, plainQueue)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	time.Sleep(13 * time.Second) // the worker's first life lasts a while, as lives do
	idle, err := c.fill("aaaaaaaaaaaaaaaa", 4*time.Second)
	if err != nil {
		return failed("%v", err)
	}
	if trouble {
		idle.crash()
		time.Sleep(time.Second)
		idle.restart(idle.id)
		if !await(5*time.Second, func() bool { idle.mu.Lock(); defer idle.mu.Unlock(); return idle.holds > 1 }) {
			return failed("the restarted worker isn't called")
		}
	}
	const job = "bbbbbbbbbbbbbbbb"
	if err := c.submit(job, plainQueue, step{count: 1, cpu: 9000, duration: 14 * time.Second}); err != nil {
		return failed("%v", err)
	}
	task := job + ".0.0.0"
	if !await(4*time.Second, func() bool { return idle.isRunning(task) }) {
		return failed("the task doesn't run on the idle worker")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		idle.cutOff(true)
		time.Sleep(5500 * time.Millisecond)
		idle.rejoin(true)
	}
	if !await(45*time.Second, func() bool { return c.state(job, plainQueue) == "completed" || !sleep(500*time.Millisecond) }) {
		return failed("the job doesn't end")
	}
	return verdict{broken: w.twiceRuns()}
}

// sleep returns true after d.
func sleep(d time.Duration) bool { time.Sleep(d); return true }

// drainingCut: a worker drains while it runs a task, and is cut off from all machines, which refuses connections.
func drainingCut(w *world, trouble bool) verdict {
	c, err := newCell(w, plainQueue)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	const job = "bbbbbbbbbbbbbbbb"
	if err := c.submit(job, plainQueue, step{count: 1, cpu: 4000, duration: 12 * time.Second}); err != nil {
		return failed("%v", err)
	}
	task := job + ".0.0.0"
	var k *worker
	if !await(5*time.Second, func() bool { k = c.runner(task); return k != nil }) {
		return failed("the task doesn't run")
	}
	time.Sleep(1200 * time.Millisecond)
	k.drain()
	if trouble {
		time.Sleep(1200 * time.Millisecond)
		k.cutOff(true)
		time.Sleep(5500 * time.Millisecond)
		k.rejoin(true)
	}
	if !await(45*time.Second, func() bool { return c.state(job, plainQueue) == "completed" || !sleep(500*time.Millisecond) }) {
		return failed("the job doesn't end")
	}
	return verdict{broken: w.twiceRuns()}
}

// cancelCompaction: the answer to the write that accepts a job is lost, and the store forgets its history after a second
// without news. The job is cancelled at once.
func cancelCompaction(w *world, trouble bool) verdict {
	c, err := newCell(w, plainQueue)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	const job = "bbbbbbbbbbbbbbbb"
	time.Sleep(time.Second)
	if trouble {
		lost := false
		c.store.mu.Lock()
		c.store.loseAnswer = func(puts []item) bool {
			for _, p := range puts {
				if strings.HasSuffix(p.Key, job) && !lost {
					lost = true
					w.note("store  executes the write of %s; its answer is lost", p.Key)
					return true
				}
			}
			return false
		}
		c.store.mu.Unlock()
		c.store.mute()
		w.note("store  watches hear nothing from now on")
	}
	muted := time.Now()
	if err := c.submit(job, plainQueue, step{count: 1, cpu: 2000, duration: 5 * time.Second},
		step{count: 1, cpu: 2000, duration: 3 * time.Second, after: []int{0}}); err != nil {
		return failed("%v", err)
	}
	time.Sleep(50 * time.Millisecond)
	status, _, err := c.call(http.MethodDelete, plainQueue.prefix+job, nil, key)
	if err != nil || status/100 != 2 {
		return failed("cancel: %d %v", status, err)
	}
	cancelled := time.Now()
	time.Sleep(time.Second - time.Since(muted))
	calm := cancelled
	if trouble {
		c.store.compact()
		calm = time.Now()
		w.note("store  forgets its history; watches from before get 410")
	}
	time.Sleep(14 * time.Second)
	c.state(job, plainQueue)
	for n := range 2 {
		for _, s := range w.spansOf(fmt.Sprintf("%s.0.%d.0", job, n)) {
			late := s.begun.Sub(cancelled)
			if late > cancelTime && s.begun.Sub(calm) > stableTime {
				return verdict{broken: fmt.Sprintf("UNASKED: %s run %d starts on %s %.1f s after the cancel was acknowledged, %.1f s after the end of the disruption",
					s.task, s.number, s.worker, late.Seconds(), s.begun.Sub(calm).Seconds())}
			}
		}
	}
	return verdict{}
}

// gangCrashes: two workers crash, each soon after it has started a member of the same gang.
func gangCrashes(w *world, trouble bool) verdict {
	c, err := newCell(w, plainQueue)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	const job = "bbbbbbbbbbbbbbbb"
	if err := c.submit(job, plainQueue, step{count: 2, cpu: 9000, apart: 1, gang: true, duration: 4 * time.Second}); err != nil {
		return failed("%v", err)
	}
	members := []string{job + ".0.0.0", job + ".0.0.1"}
	for n, victim := range members {
		if !await(15*time.Second, func() bool {
			for _, m := range members {
				if s := w.spansOf(m); len(s) < n+1 || !s[n].end.IsZero() {
					return false
				}
			}
			return true
		}) {
			return failed("run %d of the gang doesn't begin", n+1)
		}
		time.Sleep(150 * time.Millisecond)
		if !trouble {
			break
		}
		k := c.runner(victim)
		if k == nil {
			return failed("no worker runs %s", victim)
		}
		k.crash()
		id := fmt.Sprintf("i-%010x", 0x100+n)
		time.AfterFunc(time.Second, func() { k.restart(id) })
	}
	shown := ""
	if !await(45*time.Second, func() bool {
		shown = c.state(job, plainQueue)
		return shown == "completed" || shown == "failed" || !sleep(500*time.Millisecond)
	}) {
		return failed("the job is %s", shown)
	}
	if n := w.failedEnds(job); shown == "failed" && n == 0 {
		return verdict{broken: "LOST: the job is shown as failed, and none of its runs has ended failed"}
	}
	return verdict{}
}

// routeRemoved: a new version of the configuration removes the route of a job of which a step waits for another.
func routeRemoved(w *world, trouble bool) verdict {
	advised := queue{name: "r-advised", prefix: "/pufi791/", advice: true}
	c, err := newCell(w, plainQueue, advised)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	const job = "bbbbbbbbbbbbbbbb"
	if err := c.submit(job, advised, step{count: 1, cpu: 2000, duration: 4 * time.Second},
		step{count: 1, cpu: 2000, duration: 2 * time.Second, after: []int{0}}); err != nil {
		return failed("%v", err)
	}
	first, second := job+".0.0.0", job+".0.1.0"
	if !await(5*time.Second, func() bool { return c.runner(first) != nil }) {
		return failed("the first step doesn't run")
	}
	if trouble {
		c.configure(2, plainQueue)
	}
	if !await(10*time.Second, func() bool { s := w.spansOf(first); return len(s) > 0 && s[0].how == "done" }) {
		return failed("the first step doesn't end")
	}
	// The traffic has ended. The rule asks finish_s later, for 3 s.
	time.Sleep(finishS + 3*time.Second)
	if len(w.spansOf(second)) == 0 {
		return verdict{broken: fmt.Sprintf("LOST: the second step's turn came %d s ago, all workers are idle, and it has never run; workers rejected %d starts of it for want of a ticket",
			int((finishS+3*time.Second)/time.Second), w.rejected(second))}
	}
	return verdict{}
}

// onlyWorker: a job needs a label that one worker has. That worker fails what it starts for a second and is sound again.
func onlyWorker(w *world, trouble bool) verdict {
	c, err := newCell(w, plainQueue)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	const job = "bbbbbbbbbbbbbbbb"
	task, k := job+".0.0.0", c.workers[workers-1]
	if trouble {
		k.setGrey(true)
	}
	if err := c.submit(job, plainQueue, step{count: 1, cpu: 2000, label: k.label, duration: 2 * time.Second}); err != nil {
		return failed("%v", err)
	}
	time.Sleep(time.Second)
	if trouble {
		if !await(4*time.Second, func() bool { return w.failedEnds(job) > 0 }) {
			return failed("no run has failed")
		}
		k.setGrey(false)
	}
	// The traffic has ended. The rule asks finish_s later, and looks for 3 s.
	time.Sleep(finishS)
	before, shown := len(w.spansOf(task)), c.state(job, plainQueue)
	time.Sleep(3 * time.Second)
	spans, last := w.spansOf(task), c.state(job, plainQueue)
	if !final(shown) && !final(last) && len(spans) == before && !k.isRunning(task) && !spans[before-1].end.IsZero() {
		return verdict{broken: fmt.Sprintf("LOST: the job is shown as %s, its task has had nothing running for %.0f s, the worker that it needs is sound and idle, and %d of 2 attempts have failed",
			last, time.Since(spans[before-1].end).Seconds(), w.failedEnds(job))}
	}
	return verdict{}
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "canceled"
}

// otherKind: a worker crashes under tasks that need its label, and starts again under its ID as one of another kind.
func otherKind(w *world, trouble bool) verdict {
	c, err := newCell(w, plainQueue)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	const job = "bbbbbbbbbbbbbbbb"
	k := c.workers[workers-1]
	label := k.label
	if err := c.submit(job, plainQueue, step{count: 3, cpu: 2000, label: label, duration: 5 * time.Second}); err != nil {
		return failed("%v", err)
	}
	if !await(5*time.Second, func() bool { k.mu.Lock(); defer k.mu.Unlock(); return len(k.runs) == 3 }) {
		return failed("the tasks don't run")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		k.crash()
		k.mu.Lock()
		k.label = "a"
		k.mu.Unlock()
		time.Sleep(time.Second)
		k.restart(k.id)
		w.note("worker %s is of kind %s from now on", k.id, k.label)
	}
	time.Sleep(8 * time.Second)
	c.state(job, plainQueue)
	for n := range 3 {
		for _, s := range w.spansOf(fmt.Sprintf("%s.0.0.%d", job, n)) {
			if s.begun.After(k.born) && k.label != label {
				return verdict{broken: fmt.Sprintf("ROUTE: %s run %d, which needs the label %s, starts on %s, whose labels are %s and %s; %d ms after the worker's start", s.task, s.number,
					label, s.worker, k.label, k.rack, s.begun.Sub(k.born).Milliseconds())}
			}
		}
	}
	return verdict{}
}

// lateCrash: a task crashes each worker that starts it, some seconds after its start. The workers are back a second later.
func lateCrash(w *world, trouble bool) verdict {
	c, err := newCell(w, plainQueue)
	defer c.close(keepLogs())
	if err != nil {
		return failed("%v", err)
	}
	const job = "bbbbbbbbbbbbbbbb"
	if err := c.submit(job, plainQueue, step{count: 1, cpu: 2000, duration: 8 * time.Second}); err != nil {
		return failed("%v", err)
	}
	task, crashes := job+".0.0.0", 0
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		spans := w.spansOf(task)
		if len(spans) >= crashes+1 && crashes >= 3+3 {
			return verdict{broken: fmt.Sprintf("BUDGET: after three workers had crashed under it, the task was started %d times more", len(spans)-3)}
		}
		k := c.runner(task)
		if k == nil || !trouble || time.Since(spans[len(spans)-1].begun) < 2500*time.Millisecond {
			if len(spans) > 0 && spans[len(spans)-1].how == "done" || final(c.quietState(job)) {
				break
			}
			continue
		}
		k.crash()
		crashes++
		id := fmt.Sprintf("i-%010x", 0x100+crashes)
		time.AfterFunc(time.Second, func() { k.restart(id) })
	}
	c.state(job, plainQueue)
	return verdict{}
}

// quietState asks for a job's state at most twice a second.
func (c *cell) quietState(id string) string {
	if time.Since(c.asked) < 500*time.Millisecond {
		return ""
	}
	c.asked = time.Now()
	return c.state(id, plainQueue)
}
