package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func randomIndex(n int) int { return rand.IntN(n) }

func between(a, b time.Duration) time.Duration { return a + rand.N(b-a) }

const soakTraffic = 90 * time.Second

// soak plays random disruptions and checks the rules on runs and on states.
func soak(c *cell, trouble bool) error {
	end := time.Now().Add(soakTraffic)
	var jobs, troubles sync.WaitGroup
	if trouble {
		for _, f := range []func(*cell, time.Time){soakNodes, soakStore, soakWorkers} {
			troubles.Go(func() { f(c, end.Add(-10*time.Second)) })
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		jobs.Go(func() { c.soakJob(i, end.Add(40*time.Second)) })
		time.Sleep(100 * time.Millisecond)
	}
	troubles.Wait()
	jobs.Wait()
	return nil
}

func soakNodes(c *cell, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(between(300*time.Millisecond, 3*time.Second))
		n := c.nodes[randomIndex(len(c.nodes))]
		switch randomIndex(5) {
		case 0:
			n.kill()
			time.Sleep(between(300*time.Millisecond, 3500*time.Millisecond))
			_ = n.start()
		case 1, 2:
			n.signal(syscall.SIGSTOP)
			time.Sleep(between(500*time.Millisecond, 4*time.Second))
			n.signal(syscall.SIGCONT)
		case 3:
			n.signal(syscall.SIGTERM)
			time.Sleep(6 * time.Second)
			n.kill()
			_ = n.start()
		case 4:
			for _, m := range c.nodes {
				m.kill()
			}
			time.Sleep(between(300*time.Millisecond, 2*time.Second))
			for _, m := range c.nodes {
				_ = m.start()
			}
		}
	}
}

func soakStore(c *cell, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(between(500*time.Millisecond, 4*time.Second))
		kind := randomIndex(7)
		some := randomIndex(len(c.nodes))
		c.record.add("store: trouble %d", kind)
		switch kind {
		case 0:
			c.store.setFaults(lose(0.35, true))
		case 1:
			c.store.setFaults(lose(0.35, false))
		case 2:
			c.store.setFaults(func(int, *http.Request) fate { return fate{silent: true} })
		case 3:
			c.store.setFaults(func(int, *http.Request) fate { return fate{status: 503} })
		case 4:
			c.store.setFaults(func(int, *http.Request) fate { return fate{delay: 240 * time.Millisecond} })
		case 5:
			c.store.setFaults(func(n int, _ *http.Request) fate { return fate{silent: n == some || n == (some+1)%len(c.nodes)} })
		case 6:
			c.store.compact()
		}
		time.Sleep(between(500*time.Millisecond, 4500*time.Millisecond))
		c.store.setFaults(nil)
		c.record.add("store: trouble ends")
	}
}

func soakWorkers(c *cell, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(between(300*time.Millisecond, 3*time.Second))
		w := c.workers[randomIndex(len(c.workers))]
		switch randomIndex(7) {
		case 4:
			w.command(workerCommand{Cut: true})
			time.Sleep(between(500*time.Millisecond, 5500*time.Millisecond))
			if randomIndex(2) == 0 {
				w.kill()
				_ = w.start()
			}
			w.command(workerCommand{})
		case 5: // another worker at the same address
			w.kill()
			c.store.withdraw(w.options.ID)
			w.options.ID = fmt.Sprintf("i-%d", 1000+randomIndex(100_000))
			time.Sleep(between(50*time.Millisecond, 3*time.Second))
			_ = w.start()
		case 6: // the same worker at another address
			w.kill()
			time.Sleep(between(50*time.Millisecond, 3*time.Second))
			_ = w.startSomewhere()
		case 0, 1:
			w.kill()
			time.Sleep(between(100*time.Millisecond, 4500*time.Millisecond))
			_ = w.start()
		case 2:
			w.command(workerCommand{LateShare: 0.3, LateHolds: randomIndex(2) == 0})
			time.Sleep(5500 * time.Millisecond)
			w.command(workerCommand{})
		case 3:
			w.command(workerCommand{State: "draining"})
			time.Sleep(between(2*time.Second, 4*time.Second))
			w.kill()
			c.store.withdraw(w.options.ID)
			time.Sleep(between(500*time.Millisecond, 4*time.Second))
			_ = w.start()
		}
	}
}

// soakJob follows a job to its end.
func (c *cell) soakJob(i int, limit time.Time) {
	id := newID()
	j := job{Spec: fmt.Sprintf("ms=%d", 200+rand.IntN(3000))}
	want := "completed"
	switch rand.IntN(10) {
	case 0:
		j.Spec += " fail=1"
		want = "failed"
	case 1, 2:
		j.Spec, want = "lasting", "canceled"
	case 3:
		want = "canceled"
	}
	for s := range 1 + rand.IntN(2) {
		st := step{Count: 1 + rand.IntN(4), CPU: 200 + rand.IntN(1500), MemMB: 100, EstimateMS: 1000, LongRunning: j.Spec == "lasting"}
		if s > 0 && j.Spec != "lasting" {
			st.After = []int{0}
		}
		j.Steps = append(j.Steps, st)
	}
	if !c.submitUntilAccepted(id, j, i, 30*time.Second) {
		return
	}
	accepted := time.Now()
	if want == "canceled" {
		time.Sleep(rand.N(4 * time.Second))
		c.soakCancel(i, id, limit)
	}
	last := ""
	for n := 0; time.Now().Before(limit); n++ {
		time.Sleep(700 * time.Millisecond)
		r := c.client(c.nodes[(i+n)%len(c.nodes)]).state(id)
		if r.status == http.StatusGone && time.Since(accepted) > visibleTime {
			c.rules.fail("LOST", "job %s is answered 410", id)
			return
		}
		if r.status != http.StatusOK {
			continue
		}
		last = r.state
		if last == want || want == "canceled" && (last == "completed" || last == "failed") {
			return
		}
		if last == "failed" || last == "canceled" || last == "completed" {
			c.rules.fail("LOST", "job %s is shown as %s, not %s: %v", id, last, want, c.rules.runsOf(id))
			return
		}
	}
	c.rules.fail("LOST", "job %s is %q at the end, not %s", id, last, want)
}

func (c *cell) soakCancel(i int, id string, limit time.Time) {
	for n := 0; time.Now().Before(limit); n++ {
		r := c.client(c.nodes[(i+n)%len(c.nodes)]).cancel(id)
		if r.status == http.StatusGone {
			c.rules.fail("UNASKED", "cancel of %s is answered 410", id)
		}
		if r.status == http.StatusOK || r.status == http.StatusGone {
			time.Sleep(cancelTime + stopMS*time.Millisecond)
			for _, run := range c.rules.runsOf(id) {
				if run.began.After(r.at.Add(cancelTime)) || run.how == "" {
					c.rules.fail("UNASKED", "%s run %d on %s: began %d ms after the cancel, %s", run.task, run.run, run.worker, run.began.Sub(r.at).Milliseconds(), run.how)
				}
			}
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
