package cell

import (
	"fmt"
	"slices"
	"time"

	"sequoiastall/internal/core/resource"
)

func (c *liveCell) boot(w *liveWorker) {
	w.startMS++
	w.up, w.silent, w.draining, w.grey, w.lapsed = true, false, false, false, false
	w.lastEnd, w.ended, w.renewAt, w.leaseEnd = 0, nil, c.now, c.now.Add(liveLease)
	w.runs, w.refused = map[TaskID]*liveRun{}, map[TaskID]int{}
}

// send delivers an order after a delay and returns its outcome after another one.
func (c *liveCell) send(o Order) {
	w := c.worker(o.Worker)
	if o.Kind == OrderStart && c.byID[o.Run.Task.Job].canceled {
		c.t.Fatalf("%v is started after its job was canceled", o.Run)
	}
	lost := !c.calm && c.chance(0.03)
	c.after(c.between(1*time.Millisecond, 15*time.Millisecond), func() {
		outcome := OrderUnanswered
		switch {
		case !w.up || w.silent:
			outcome = OrderNotSent
		case !lost:
			outcome = c.execute(w, o)
		case c.chance(0.5):
			c.execute(w, o)
		}
		if !w.up || w.silent {
			outcome = OrderUnanswered
		}
		c.after(c.between(1*time.Millisecond, 15*time.Millisecond), func() { c.s.ApplyOrderOutcome(o, outcome, c.now) })
	})
}

func (c *liveCell) execute(w *liveWorker, o Order) OrderOutcome {
	task := o.Run.Task
	current := w.runs[task]
	if o.Kind == OrderStop {
		w.refused[task] = max(w.refused[task], o.Run.Run)
		if current != nil && current.run <= o.Run.Run {
			c.end(w, task, EndStopped)
		}
		return OrderDone
	}
	j := c.byID[task.Job]
	if !c.former[j.Queue][w.service] {
		c.t.Fatalf("%v is started on a worker of a service to which its queue was never sent", o.Run)
	}
	need := j.Steps[task.Step].Each
	switch {
	case current != nil && current.run == o.Run.Run:
		return OrderDone
	case current != nil || o.Run.Run <= w.refused[task]:
		return OrderStale
	case !c.calm && c.chance(0.02) || !need.Fits(w.free()):
		return OrderRefused
	case j.advised() && (o.Ticket != fmt.Sprint(w.startMS) || !j.admitted[task.Step][w.id]):
		return OrderNoTicket
	}
	r := &liveRun{run: o.Run.Run, need: need, startedAt: c.now, kind: EndDone}
	r.endsAt = c.now.Add(time.Duration(float64(j.Steps[task.Step].EstimateMS)*(0.5+c.random.Float64())) * time.Millisecond)
	if j.failing && c.chance(0.4) || w.grey {
		r.kind, r.endsAt = EndFailed, c.now.Add(c.between(0, 300*time.Millisecond))
	} else if j.Steps[task.Step].LongRunning {
		r.kind, r.endsAt = EndFailed, c.now.Add(c.between(200*time.Millisecond, 20*time.Second))
	}
	w.runs[task] = r
	if j.crashing && task.Task == 0 {
		c.crash(w, c.between(time.Second, 3*time.Second))
	}
	return OrderDone
}

func (w *liveWorker) free() resource.Vector {
	free := w.capacity
	for _, r := range w.runs {
		free = free.Sub(r.need)
	}
	return free
}

// end ends a run, with those of its gang.
func (c *liveCell) end(w *liveWorker, task TaskID, kind EndKind) {
	r := w.runs[task]
	c.endOne(w, task, kind)
	j := c.byID[task.Job]
	if !j.Steps[task.Step].Gang {
		return
	}
	for n := range j.Steps[task.Step].Count {
		member := TaskID{task.Job, task.Step, n}
		for _, other := range c.workers {
			if m := other.runs[member]; m != nil && m.run == r.run && other.up {
				memberKind := EndGangAborted
				if kind == EndDone {
					memberKind = EndDone
				}
				c.endOne(other, member, memberKind)
			}
		}
	}
}

func (c *liveCell) endOne(w *liveWorker, task TaskID, kind EndKind) {
	r := w.runs[task]
	delete(w.runs, task)
	w.refused[task] = max(w.refused[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, EndedRow{Number: w.lastEnd, Run: RunID{task, r.run}, Kind: kind})
	c.byID[task.Job].lastEnd[task] = c.now
}

// endRuns ends the runs that are due. A gang is done only if all of its members run.
func (c *liveCell) endRuns(w *liveWorker) {
	if !w.up {
		return
	}
	if c.now.After(w.leaseEnd) {
		for _, task := range sortedLiveTasks(w.runs) {
			if w.runs[task] != nil {
				c.end(w, task, EndLapsed)
			}
		}
	}
	for _, task := range sortedLiveTasks(w.runs) {
		r := w.runs[task]
		if r == nil || c.now.Before(r.endsAt) {
			continue
		}
		if r.kind == EndDone && !c.gangComplete(task, r.run) {
			if c.now.Sub(r.startedAt) > 10*time.Second {
				c.end(w, task, EndGangIncomplete)
			}
			continue
		}
		c.end(w, task, r.kind)
	}
}

func (c *liveCell) gangComplete(task TaskID, run int) bool {
	st := c.byID[task.Job].Steps[task.Step]
	if !st.Gang {
		return true
	}
	for n := range st.Count {
		if !c.runs(TaskID{task.Job, task.Step, n}, run) {
			return false
		}
	}
	return true
}

func (c *liveCell) runs(task TaskID, run int) bool {
	return slices.ContainsFunc(c.workers, func(w *liveWorker) bool { return w.up && w.runs[task] != nil && (run == 0 || w.runs[task].run == run) })
}

func sortedLiveTasks(runs map[TaskID]*liveRun) []TaskID {
	var ids []TaskID
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b TaskID) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return ids
}

// renew renews a worker's lease when it is due and delivers its inventory after a delay.
func (c *liveCell) renew(w *liveWorker) {
	if c.now.Before(w.renewAt) {
		return
	}
	w.renewAt = c.now.Add(liveRenewal)
	switch {
	case w.up && !w.silent:
		c.renewAnswered(w)
		return
	case w.silent:
		c.s.WorkerUnresponsive(w.id, c.now)
	default:
		c.s.WorkerConnectionRefused(w.id, c.now)
	}
	if !w.lapsed && c.now.After(w.leaseEnd.Add(100*time.Millisecond)) {
		w.lapsed = true
		c.s.WorkerLeaseExpired(w.id, c.now)
	}
}

func (c *liveCell) renewAnswered(w *liveWorker) {
	inv := Inventory{Worker: w.id, StartMS: w.startMS, RequestSequence: c.s.OrderSequence()}
	cursor, _ := c.s.AckCursor(w.id)
	c.after(c.between(1*time.Millisecond, 10*time.Millisecond), func() {
		if !w.up || w.silent || w.startMS != inv.StartMS {
			return
		}
		w.ended = slices.DeleteFunc(w.ended, func(e EndedRow) bool { return e.Number <= cursor })
		w.leaseEnd, w.lapsed = c.now.Add(liveLease), false
		for _, task := range sortedLiveTasks(w.runs) {
			r := w.runs[task]
			percent := 100.0
			if r.kind == EndDone {
				percent = min(100, 100*float64(c.now.Sub(r.startedAt))/float64(r.endsAt.Sub(r.startedAt)))
			}
			inv.Running = append(inv.Running, RunningRow{Run: RunID{task, r.run}, Percent: percent})
		}
		inv.Ended = slices.Clone(w.ended)
		for _, o := range c.s.ApplyInventory(inv, c.now) {
			c.execute(w, o)
		}
	})
}

// outage takes most workers down for a while.
func (c *liveCell) outage(lasts time.Duration) {
	for _, w := range c.workers {
		if c.chance(0.8) {
			c.crash(w, lasts)
		}
	}
}

// crash takes a worker down for a while.
func (c *liveCell) crash(w *liveWorker, lasts time.Duration) {
	w.up = false
	c.events = append(c.events, liveEvent{at: c.now.Add(lasts), fault: true, do: func() {
		if !w.up {
			c.boot(w)
		}
	}})
}

// fault plays a random fault.
func (c *liveCell) fault() {
	w := c.workers[c.random.IntN(len(c.workers))]
	lasts := c.between(100*time.Millisecond, 6*time.Second)
	if c.p.moves > 0 && c.chance(c.p.moves) {
		c.moveQueue()
		return
	}
	if c.chance(c.p.outages) {
		c.outage(lasts)
		return
	}
	later := func(do func()) { c.events = append(c.events, liveEvent{at: c.now.Add(lasts), do: do, fault: true}) }
	switch c.random.IntN(8) {
	case 0:
		c.crash(w, lasts)
	case 1:
		w.silent = true
		later(func() { w.silent = false })
	case 2:
		w.draining = true
		later(func() { c.boot(w) })
	case 3, 4:
		w.grey = true
		later(func() { w.grey = false })
	case 5:
		w.capacity.MilliCPU = 1000 * c.random.Int64N(4)
		later(func() { w.capacity = w.full })
	case 6:
		c.takeOver()
	case 7:
		c.storeDownUntil = c.now.Add(lasts / 3)
	}
}

func (c *liveCell) endFaults() {
	c.calm, c.calmSince, c.storeDownUntil = true, c.now, time.Time{}
	for _, j := range c.jobs {
		j.crashing = false
	}
	for _, w := range c.workers {
		w.silent, w.grey, w.capacity = false, false, w.full
		if !w.up || w.draining {
			c.boot(w)
		}
	}
	c.events = slices.DeleteFunc(c.events, func(e liveEvent) bool { return e.fault })
}
