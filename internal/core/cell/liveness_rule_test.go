package cell

import (
	"fmt"
	"strings"
	"time"
)

const (
	// liveStandstill is how long a job may have nothing running although there is capacity for it twice over.
	liveStandstill = 3 * time.Second
	// liveRestart is how long a service's task may be down after its last run.
	liveRestart = 6 * time.Second
	// liveCancel is how long a task may run after its job was canceled.
	liveCancel = 3400 * time.Millisecond
	// liveLogLines is the number of decisions that a failure message shows.
	liveLogLines = 30
)

// checkStandstill checks that no job stands still for liveStandstill.
func (c *liveCell) checkStandstill() {
	used := map[string]bool{"pool": c.mostlyUsed("pool"), otherService: c.mostlyUsed(otherService)}
	for _, j := range c.jobs {
		if used[j.Service] {
			clear(j.stillAt)
			continue
		}
		if j.final || j.canceled {
			continue
		}
		busy := c.somethingRuns(j)
		for n, st := range j.Steps {
			for i := range st.Count {
				c.checkTask(j, TaskID{j.ID, n, i}, busy)
			}
		}
	}
}

func (c *liveCell) checkTask(j *liveJob, task TaskID, busy bool) {
	st := &j.Steps[task.Step]
	still := !c.runs(task, 0) && c.turnHasCome(task) && c.hasRoomTwice(j, task.Step) && c.withinLimit(j.Team, st)
	if still && st.LongRunning {
		still = c.now.Sub(j.lastEnd[task]) > liveRestart-liveStandstill
	} else if busy {
		still = false
	}
	if !still {
		delete(j.stillAt, task)
		return
	}
	if j.stillAt[task].IsZero() {
		j.stillAt[task] = c.now
	}
	if s := c.s.jobs[j.ID]; c.now.Sub(j.stillAt[task]) >= liveStandstill && s != nil && !s.phase.Final() {
		c.t.Fatalf("%v stands still since %v: step %+v, queue %s, admitted %v\n%s", task, j.stillAt[task].Sub(start), *st, j.Queue,
			j.admitted[task.Step], c.describe(task))
	}
}

// checkCanceled checks that no task of a canceled job runs liveCancel after the cancellation.
func (c *liveCell) checkCanceled() {
	for _, j := range c.jobs {
		if !j.canceled || c.now.Sub(j.canceledAt) < liveCancel || c.now.Sub(c.calmSince) < liveCancel {
			continue
		}
		if c.somethingRuns(j) {
			c.t.Fatalf("%s runs %v after its cancellation", j.ID, c.now.Sub(j.canceledAt))
		}
	}
}

// describe returns the last decisions about a job and its workers, and the state of its step and of the workers.
func (c *liveCell) describe(task TaskID) string {
	var lines []string
	for _, l := range c.log.lines {
		if strings.Contains(l, " "+string(task.Job)) || strings.Contains(l, " worker ") {
			lines = append(lines, l)
		}
	}
	lines = lines[max(0, len(lines)-liveLogLines):]
	st := c.s.jobs[task.Job].steps[task.Step]
	lines = append(lines, fmt.Sprintf("waiting %d, advice in flight %d, rank %+v", st.waiting, st.advice.inFlight, c.s.rank(st.job)))
	for _, w := range c.s.workers {
		lines = append(lines, fmt.Sprintf("%s: available %t, set aside %t, free %v, withheld %v, held %t, allowed %t", w.ID, w.available(),
			w.setAside(c.now), w.free, w.withheld, w.heldBy != nil, st.advice.answers[w.ID].allowed()))
	}
	return strings.Join(lines, "\n")
}

func (c *liveCell) somethingRuns(j *liveJob) bool {
	for n, st := range j.Steps {
		for i := range st.Count {
			if c.runs(TaskID{j.ID, n, i}, 0) {
				return true
			}
		}
	}
	return false
}

// turnHasCome reports whether a task waits for no other step. The end of a run that was lost with its worker before it was
// acknowledged doesn't count, so the scheduler's view decides.
func (c *liveCell) turnHasCome(task TaskID) bool {
	j := c.s.jobs[task.Job]
	return j != nil && j.steps[task.Step].ready() && j.steps[task.Step].tasks[task.Task].phase != taskDone
}

// hasRoomTwice reports whether the workers that may run a step have capacity for a task, or for a gang, twice over.
func (c *liveCell) hasRoomTwice(j *liveJob, n int) bool {
	st := &j.Steps[n]
	wanted := 2
	if st.Gang {
		wanted = 2 * st.Count
	}
	for _, w := range c.workers {
		if !w.up || w.service != j.Service || j.advised() && !j.admitted[n][w.id] || st.RequiredLabel != "" && len(w.labels) == 0 {
			continue
		}
		here := 0
		for task := range w.runs {
			if task.Job == j.ID && task.Step == n {
				here++
			}
		}
		for free := w.free(); st.Each.Fits(free) && (st.MaxPerWorker == 0 || here < st.MaxPerWorker); free = free.Sub(st.Each) {
			here++
			wanted--
		}
	}
	return wanted <= 0
}

// withinLimit reports whether a team has under half of its limit, and whether the rest is enough for a task or a gang.
func (c *liveCell) withinLimit(team string, st *Step) bool {
	limit, used, need := c.config().Team(team).Limit.MilliCPU, int64(0), st.Each.MilliCPU
	if limit == 0 {
		return true
	}
	if st.Gang {
		need *= int64(st.Count)
	}
	for _, w := range c.workers {
		for task, r := range w.runs {
			if w.up && c.byID[task.Job].Team == team {
				used += r.need.MilliCPU
			}
		}
	}
	return 2*used < limit && used+need <= limit
}

// mostlyUsed reports whether half of a service's capacity is in use.
func (c *liveCell) mostlyUsed(service string) bool {
	var used, capacity int64
	for _, w := range c.workers {
		if w.up && w.service == service {
			capacity += w.capacity.MilliCPU
			used += w.capacity.MilliCPU - w.free().MilliCPU
		}
	}
	return 2*used >= capacity
}
