package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sequoiastall/internal/standin/leased"
	"sequoiastall/internal/standin/workerproc"
)

// admitAll is an advice service like that of the queue route-plan, which admits every worker.
func admitAll(c *cell) leased.Advice {
	const validity = 2500 * time.Millisecond
	a := leased.Advice{Validity: validity, Decision: 360 * time.Millisecond, PerWorker: 5100 * time.Microsecond, MaxWaiting: 32}
	a.Admit = func(step, worker string) (string, bool) {
		return workerproc.NewTicket(step, worker, c.fleet.Life(worker), workerproc.Now()+validity), true
	}
	return a
}

// repoint: the service of a queue is full, and the operator sends the queue to another service, which is idle. A job that was
// accepted before must run there, as the one does that is handed in after the change.
func repoint(c *cell, trouble bool) string {
	for i := range 4 {
		service := "pool-a"
		if i >= 2 {
			service = "pool-b"
		}
		c.addWorker(workerproc.Options{ID: fmt.Sprint("i-", i), Service: service, Labels: []string{"a", fmt.Sprint("r1-", i)}, Capacity: workerproc.Capacity{CPU: 16000, MemMB: 32768}})
	}
	base := route{name: "r-base", prefix: "/base/", service: "pool-a", priority: 0, stretch: 4, sloMS: 3000}
	plan := route{name: "r-plan", prefix: "/plan/", service: "pool-a", priority: 1, stretch: 4, sloMS: 3000}
	other := route{name: "r-log", prefix: "/log/", service: "pool-b", priority: 1, stretch: 4, sloMS: 3000}
	c.configure(7, base, plan, other)
	c.addNodes(3, admitAll(c))
	c.awaitReady(plan.prefix)
	lasting := workerproc.Job{ID: newID(), Team: team, Steps: []workerproc.Step{{Count: 32, CPU: 1000, MemMB: 100, Duration: 200 * time.Millisecond, Service: true}}}
	c.submit(base.prefix, lasting)
	if !eventually(10*time.Second, func() bool { return c.starts(lasting.ID) == 32 }) {
		panic(fatal{fmt.Errorf("the lasting job doesn't fill its service")})
	}
	steps := []workerproc.Step{{Count: 2, CPU: 1000, MemMB: 500, Duration: 2 * time.Second}}
	before, after := workerproc.Job{ID: newID(), Team: team, Steps: steps}, workerproc.Job{ID: newID(), Team: team, Steps: steps}
	c.record.add("job %s is handed in before the change, %s after it", before.ID, after.ID)
	c.submit(plan.prefix, before)
	time.Sleep(visible)
	if trouble {
		plan.service = "pool-b"
		c.configure(8, base, plan, other)
	}
	time.Sleep(configApply + time.Second)
	c.submit(plan.prefix, after)
	// The traffic has ended. Jobs are asked for finish after that.
	time.Sleep(finish)
	for range 5 {
		for _, n := range c.nodes {
			_, _ = c.ask(n, http.MethodGet, plan.prefix+before.ID, key, "")
			_, _ = c.ask(n, http.MethodGet, plan.prefix+after.ID, key, "")
		}
		time.Sleep(time.Second)
	}
	c.record.add("runs under way on each worker: %v", c.running())
	c.record.add("starts of %s: %d, of %s: %d", before.ID, c.starts(before.ID), after.ID, c.starts(after.ID))
	if trouble && c.starts(before.ID) == 0 {
		return fmt.Sprintf("LOST: nothing of %s, which was accepted, has run by %s after the end of the traffic, and the service of its queue is idle", before.ID, finish+5*time.Second)
	}
	return ""
}

// gangLimit: a lasting gang that takes most of its tenant's limit loses a worker. It must run again, though its tenant's small
// jobs go on, which take a third of the limit.
func gangLimit(c *cell, trouble bool) string {
	for i := range 8 {
		c.addWorker(workerproc.Options{ID: fmt.Sprint("i-", i), Service: "pool", Labels: []string{"a", fmt.Sprint("r1-", i)}, Capacity: workerproc.Capacity{CPU: 16000, MemMB: 32768}})
	}
	base := route{name: "r-base", prefix: "/base/", service: "pool", priority: 0, stretch: 4, sloMS: 3000}
	plan := route{name: "r-log", prefix: "/log/", service: "pool", priority: 1, stretch: 4, sloMS: 3000}
	c.capCPU = 12000
	c.configure(7, base, plan)
	c.addNodes(3, admitAll(c))
	c.awaitReady(plan.prefix)
	time.Sleep(2 * time.Second)
	gang := workerproc.Job{ID: newID(), Team: team, Steps: []workerproc.Step{{Count: 4, CPU: 2250, MemMB: 500, Duration: 300 * time.Millisecond, Gang: true, Service: true, MaxPerServer: 1}}}
	c.submit(base.prefix, gang)
	if !eventually(5*time.Second, func() bool { return c.starts(gang.ID) == 4 }) {
		panic(fatal{fmt.Errorf("the gang doesn't start")})
	}
	time.Sleep(time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for tick := time.NewTicker(250 * time.Millisecond); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
				j := workerproc.Job{ID: newID(), Team: team, Steps: []workerproc.Step{{Count: 1, CPU: 1000, MemMB: 100, Duration: 1100 * time.Millisecond}}}
				_, _ = c.ask(c.nodes[1], http.MethodPost, plan.prefix+j.ID, key, j.Body())
			}
		}
	}()
	time.Sleep(3 * time.Second)
	if trouble {
		c.crash(c.seen(func(e workerproc.Event) bool { return e.Kind == workerproc.Started })[0].Worker, 500*time.Millisecond)
	}
	// The gang may take 6 s to run again. Then 3 s are judged that are calm, and so are the 4 s before.
	time.Sleep(8 * time.Second)
	before, most, runs := c.starts(gang.ID), 0, 0
	for range 50 {
		gangRuns, all := c.underWay(gang.ID)
		runs, most = max(runs, gangRuns), max(most, all)
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	<-done
	c.record.add("in these 5 s: runs of the gang at most %d, runs of the tenant at most %d (each small one takes 1 of its 12 cores); starts of the gang's tasks so far: %d, then %d", runs, most, before, c.starts(gang.ID))
	if runs == 0 && 2*most < 12 {
		return fmt.Sprintf("LOST: nothing of %s, which lasts, has run for 5 s, from 8 s after the worker was back; its tenant has at most %d of 12 cores, and all workers are up", gang.ID, most)
	}
	return ""
}

// underWay returns the number of runs of a job that are under way, and that of all jobs.
func (c *cell) underWay(job string) (ofJob, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]workerproc.Event{}
	for _, e := range c.events {
		run := fmt.Sprint(e.Task, " ", e.Run)
		switch e.Kind {
		case workerproc.Started:
			runs[run] = e
		case workerproc.Ended:
			delete(runs, run)
		case workerproc.Down:
			for r, s := range runs {
				if s.Worker == e.Worker && s.Life == e.Life {
					delete(runs, r)
				}
			}
		}
	}
	for _, e := range runs {
		if strings.HasPrefix(e.Task, job) {
			ofJob++
		}
	}
	return ofJob, len(runs)
}

// foreign: an entry of another writer stands in the registry in place of a worker's: its service isn't named in the
// configuration, fields are missing, and its address is that of another worker. It names no worker to use, so what runs on the
// worker mustn't be started elsewhere.
func foreign(c *cell, trouble bool) string {
	for i := range 4 {
		c.addWorker(workerproc.Options{ID: fmt.Sprint("i-", i), Service: "pool", Labels: []string{"a", fmt.Sprint("r1-", i)}, Capacity: workerproc.Capacity{CPU: 16000, MemMB: 32768}})
	}
	q := route{name: "r-plan", prefix: "/plan/", service: "pool", priority: 1, stretch: 4, sloMS: 3000}
	c.configure(7, q)
	c.addNodes(3, admitAll(c))
	c.awaitReady(q.prefix)
	time.Sleep(2 * time.Second)
	j := workerproc.Job{ID: newID(), Team: team, Steps: []workerproc.Step{{Count: 4, CPU: 1000, MemMB: 500, Duration: 15 * time.Second}}}
	c.submit(q.prefix, j)
	if !eventually(5*time.Second, func() bool { return c.starts(j.ID) == 4 }) {
		panic(fatal{fmt.Errorf("the job doesn't start")})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		holder := c.seen(func(e workerproc.Event) bool { return e.Kind == workerproc.Started })[0].Worker
		other := "i-3"
		if holder == other {
			other = "i-2"
		}
		c.mu.Lock()
		address := c.workers[other].process.Address
		c.mu.Unlock()
		entry := fmt.Sprintf(`{"service":"another-system","address":%q,"state":"ready","capacity":{"cpu":4000,"mem_mb":8192}}`, address)
		for range 2 {
			c.store.Put("servers/"+holder, []byte(entry))
			c.record.add("another writer writes servers/%s: %s", holder, entry)
			time.Sleep(heartbeat)
		}
	}
	time.Sleep(5 * time.Second)
	return c.twice()
}

// twice returns how two runs of one task were under way at the same time on workers that were up, or "".
func (c *cell) twice() string {
	active := map[string]map[string]workerproc.Event{} // by task and by run and worker
	leases := map[string]time.Duration{}
	events := c.seen(func(workerproc.Event) bool { return true })
	// The events of different workers may arrive in another order than they happened.
	slices.SortStableFunc(events, func(a, b workerproc.Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range events {
		run := fmt.Sprintf("run %d on %s", e.Run, e.Worker)
		switch e.Kind {
		case workerproc.Leased:
			leases[e.Worker] = e.Until
		case workerproc.Started:
			for other, s := range active[e.Task] {
				if e.At < leases[s.Worker] {
					return fmt.Sprintf("TWICE: run %d of %s starts on %s while %s is under way since %s, with a lease for %s more", e.Run, e.Task, e.Worker, other, (e.At - s.At).Round(time.Millisecond), (leases[s.Worker] - e.At).Round(time.Millisecond))
				}
			}
			if active[e.Task] == nil {
				active[e.Task] = map[string]workerproc.Event{}
			}
			active[e.Task][run] = e
		case workerproc.Ended:
			delete(active[e.Task], run)
		case workerproc.Down:
			for _, runs := range active {
				for r, s := range runs {
					if s.Worker == e.Worker && s.Life == e.Life {
						delete(runs, r)
					}
				}
			}
		}
	}
	return ""
}

// otherKind: a worker hangs and crashes, and comes back at once under its ID as another kind. Tasks that need its former label
// mustn't start there.
func otherKind(c *cell, trouble bool) string {
	for i := range 8 {
		label := "b"
		if i < 2 {
			label = "a"
		}
		c.addWorker(workerproc.Options{ID: fmt.Sprint("i-", i), Service: "pool", Labels: []string{label, fmt.Sprint("r1-", i)}, Capacity: workerproc.Capacity{CPU: 16000, MemMB: 32768}})
	}
	q := route{name: "r-log", prefix: "/log/", service: "pool", priority: 1, stretch: 4, sloMS: 3000}
	c.configure(7, q)
	c.addNodes(3, admitAll(c))
	c.awaitReady(q.prefix)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				j := workerproc.Job{ID: newID(), Team: team, Steps: []workerproc.Step{{Count: 2, CPU: 200, MemMB: 100, Duration: 400 * time.Millisecond, Label: "a"}}}
				_, _ = c.ask(c.nodes[0], http.MethodPost, q.prefix+j.ID, key, j.Body())
			}
		}
	}()
	time.Sleep(3 * time.Second)
	if trouble {
		// Silent for 0.3 s in all: replace takes 0.2 s until the crash.
		c.record.add("the worker i-0 falls silent")
		c.processOf("i-0").Pause()
		time.Sleep(100 * time.Millisecond)
		c.replace("i-0", func(o *workerproc.Options) { o.Labels = []string{"b", "r1-0"} })
	}
	time.Sleep(4 * time.Second)
	close(stop)
	<-done
	time.Sleep(2 * time.Second)
	if wrong := c.seen(func(e workerproc.Event) bool { return e.Kind == workerproc.Started && e.Worker == "i-0" && e.Life == 2 }); len(wrong) > 0 {
		return fmt.Sprintf("ROUTE: %d starts of tasks that need the label a on i-0, which has the label b, the first one run %d of %s", len(wrong), wrong[0].Run, wrong[0].Task)
	}
	return ""
}

// gangAdvice: two of the three workers that may run a gang are down when it is handed in, and come back. The gang, of which two
// members may run on a worker, must start then.
func gangAdvice(c *cell, trouble bool) string {
	for i := range 16 {
		label := "b"
		if i < 3 {
			label = "a"
		}
		c.addWorker(workerproc.Options{ID: fmt.Sprint("i-", i), Service: "pool", Labels: []string{label, fmt.Sprint("r1-", i)}, Capacity: workerproc.Capacity{CPU: 16000, MemMB: 32768}})
	}
	q := route{name: "r-plan", prefix: "/plan/", service: "pool", priority: 1, stretch: 2.2, sloMS: 1000, advice: map[string]any{"decision_ms": 360.0, "period_ms": 5.1, "validity_ms": 2500}}
	c.configure(7, q)
	c.addNodes(3, admitAll(c))
	c.awaitReady(q.prefix)
	time.Sleep(2 * time.Second)
	steps := []workerproc.Step{{Count: 3, CPU: 1000, MemMB: 500, Duration: 2 * time.Second, Gang: true, Label: "a", MaxPerServer: 2}}
	j, later := workerproc.Job{ID: newID(), Team: team, Steps: steps, Advised: true}, workerproc.Job{ID: newID(), Team: team, Steps: steps, Advised: true}
	c.record.add("job %s is handed in while the workers are down, %s after their return", j.ID, later.ID)
	var returned sync.WaitGroup
	if trouble {
		for _, id := range []string{"i-0", "i-1"} {
			returned.Go(func() { c.crash(id, 3*time.Second) })
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.submit(q.prefix, j)
	returned.Wait()
	time.Sleep(5 * time.Second)
	c.submit(q.prefix, later)
	// The traffic has ended. Jobs are asked for finish after that.
	time.Sleep(finish)
	for range 4 {
		_, _ = c.ask(c.nodes[0], http.MethodGet, q.prefix+j.ID, key, "")
		_, _ = c.ask(c.nodes[1], http.MethodGet, q.prefix+later.ID, key, "")
		time.Sleep(time.Second)
	}
	c.record.add("runs under way on each worker: %v", c.running())
	c.record.add("starts of %s: %d, of %s: %d", j.ID, c.starts(j.ID), later.ID, c.starts(later.ID))
	if c.starts(j.ID) == 0 {
		return fmt.Sprintf("LOST: nothing of %s, which was accepted, has run by %s after the end of the traffic, and all workers are up and idle", j.ID, finish+4*time.Second)
	}
	return ""
}
