package proof

import (
	"testing"
	"time"

	"sequoiastall/internal/standin/workerproc"
)

// Guards against second runs of tasks that go on at a draining worker which is cut off and has left the registry.
func TestRunsOfADrainingWorkerThatIsCutOff(t *testing.T) {
	c := newSoakCell(t, 1)
	c.awaitReady()
	step := workerproc.Step{Count: 3, CPU: soakTaskCPU, MemMB: 100, Duration: 12 * time.Second}
	j := &soakJob{Job: workerproc.Job{ID: "00000000000000c0", Team: "team", Steps: []workerproc.Step{step}}, path: "/plain/00000000000000c0", key: keyOf("team")}
	c.attempt(j, c.nodes[0], callTimeout)
	for _, task := range j.tasks() {
		c.eventually(task+" runs", func() bool { return c.checker.IsRunning(task) })
	}
	const untilCut = 2500 * time.Millisecond
	w := c.workerOf(j.tasks()[0])
	c.register(w, "draining")
	c.sleep(untilCut)
	end := c.faults.begin([]string{w.ID}, "cut off %s", w.ID)
	c.network.refuse(w.ID)
	c.sleep(registryExpiry - untilCut)
	c.unregister(w)
	c.sleep(2 * time.Second) // its lease ends meanwhile
	c.network.allow(w.ID)
	c.register(w, "ready")
	end()
	close(c.calm)
	c.checkOutcome(j)
	c.reportViolations()
}

// workerOf returns the worker on which the last run of a task has started.
func (c *soakCell) workerOf(task string) *soakWorker {
	c.eventsMu.Lock()
	defer c.eventsMu.Unlock()
	var last string
	for _, e := range c.events {
		if e.Kind == workerproc.Started && e.Task == task {
			last = e.Worker
		}
	}
	for _, w := range c.workers {
		if w.ID == last {
			return w
		}
	}
	return nil
}
