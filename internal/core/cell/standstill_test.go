package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standstillRule is how long a job may have nothing running although there is capacity that it may use.
const standstillRule = 3 * time.Second

// setAside makes workers fail so often that they are set aside for maxFaultPause.
func (h *harness) setAside(workers ...int) {
	for _, i := range workers {
		w := h.s.workers[workerID(i)]
		for w.faults.backoff < maxFaultPause {
			h.s.recordFault(w, "a run failed")
		}
	}
}

// occupy starts a service that leaves no CPU on a labelled worker.
func (h *harness) occupy(milliCPU int64) Order {
	st := service(1, milliCPU)
	st.RequiredLabel = testLabel
	return h.startService("occupant", plainQueue, st)[0]
}

func labelled(st Step) Step {
	st.RequiredLabel = testLabel
	return st
}

// Guards against a task that stands still for 4 s beside the only worker that may run it, because another one that is set
// aside was never named to the advice service.
func TestTaskDoesNotWaitForAWorkerWithoutAdvice(t *testing.T) {
	h := newHarness(t, 8)
	h.setAside(7)
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	h.answerAdvice(workerID(0))
	assert.Equal(t, h.failNext(), workerID(0))
	after, worker := h.nextStart(standstillRule)
	assert.Equal(t, worker, workerID(0), "after %v", after)
}

// Guards against a worker that is used by nobody for up to 16 s, not even as the last resort, because a run that began
// before its faults has succeeded.
func TestSuccessLeavesASetAsideWorkerTheLastResort(t *testing.T) {
	h := newLabelledHarness(t, 1)
	h.setAside(0)
	h.s.workers[workerID(0)].clearFaults()
	h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
	after, worker := h.nextStart(standstillRule)
	assert.Equal(t, worker, workerID(0), "after %v", after)
}

// Guards against sending start after start to a worker that refuses them, because it is the last resort.
func TestRefusedStartPausesTheLastResort(t *testing.T) {
	h := newLabelledHarness(t, 1)
	h.setAside(0)
	h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
	refusals := 0
	for began := h.now; h.now.Sub(began) < 2*minFaultPause; h.advance(10 * time.Millisecond) {
		for _, o := range h.takeStarts() {
			refusals++
			h.s.ApplyOrderOutcome(o, OrderRefused, h.now)
		}
	}
	assert.Assert(t, refusals > 0 && refusals <= int(minFaultPause/refusedPause)+1, "%d refusals", refusals)
}

// Guards against a job that stands still for good because a gang that its workers never have capacity for withholds them.
func TestNoCapacityIsWithheldForAGangThatNeverFits(t *testing.T) {
	h := newLabelledHarness(t, 1)
	gang := labelled(tasks(2, 3000))
	gang.Gang = true
	h.addJob(Job{ID: "gang", Queue: urgentQueue, Steps: []Step{gang}})
	h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1500))}})
	after, worker := h.nextStart(time.Second)
	assert.Equal(t, worker, workerID(0), "after %v", after)
}

// Guards against a task that stands still because only the capacity of other workers was looked at: its only worker is set
// aside and idle, and those are full.
func TestLastResortCountsAsFreeCapacity(t *testing.T) {
	h := newLabelledHarness(t, 1)
	h.setAside(0)
	h.addJob(Job{ID: "fill", Steps: []Step{tasks(7, 4000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 7)
	h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
	after, worker := h.nextStart(standstillRule)
	assert.Equal(t, worker, workerID(0), "after %v", after)
}

// Guards against jobs that stand still in a cell that is mostly free: of the two workers that may run them, one is set aside
// and the other is full, too small, or withheld for a step that waits for a service to end.
func TestJobsDoNotStandStillInAMostlyFreeCell(t *testing.T) {
	gang := labelled(tasks(2, 3000))
	gang.Gang = true
	t.Run("the other worker is full", func(t *testing.T) {
		h := newLabelledHarness(t, 2)
		other := 1 - indexOf(h.occupy(4000).Worker)
		h.setAside(other)
		h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
		after, worker := h.nextStart(standstillRule)
		assert.Equal(t, worker, workerID(other), "after %v", after)
	})
	t.Run("a gang needs both workers", func(t *testing.T) {
		h := newLabelledHarness(t, 2)
		h.setAside(1)
		h.addJob(Job{ID: "a", Steps: []Step{gang}})
		after, worker := h.nextStart(standstillRule)
		assert.Assert(t, worker != "", "after %v", after)
	})
	t.Run("the faults go on", func(t *testing.T) {
		h := newLabelledHarness(t, 1)
		h.setAside(0)
		h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
		for range standstillRule / (100 * time.Millisecond) {
			h.s.recordFault(h.s.workers[workerID(0)], "a run failed")
			h.advance(92 * time.Millisecond)
		}
		assert.Equal(t, len(h.takeStarts()), 1)
	})
	t.Run("a task of a service is down", func(t *testing.T) {
		h := newLabelledHarness(t, 2)
		running := h.startService("service", plainQueue, labelled(service(2, 3000)))
		down := running[0]
		h.setAside(indexOf(down.Worker))
		h.renew(indexOf(down.Worker), nil, []EndedRow{{Number: h.nextEnd(), Run: down.Run, Kind: EndFailed}})
		after, worker := h.nextStart(standstillRule)
		assert.Equal(t, worker, down.Worker, "after %v", after)
	})
	t.Run("half of the cell is allocated to tasks that don't run yet", func(t *testing.T) {
		h := newLabelledHarness(t, 1)
		h.occupy(1000)
		h.addJob(Job{ID: "fill", Steps: []Step{tasks(4, 4000)}})
		h.addJob(Job{ID: "large", Queue: urgentQueue, Steps: []Step{labelled(tasks(1, 4000))}})
		h.advance(0)
		assert.Equal(t, len(h.takeStarts()), 4)
		h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
		after, worker := h.nextStart(standstillRule)
		assert.Equal(t, worker, workerID(0), "after %v", after)
	})
	t.Run("capacity is withheld", func(t *testing.T) {
		h := newLabelledHarness(t, 1)
		h.occupy(1000)
		h.addJob(Job{ID: "large", Queue: urgentQueue, Steps: []Step{labelled(tasks(1, 4000))}})
		h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
		after, worker := h.nextStart(standstillRule)
		assert.Equal(t, worker, workerID(0), "after %v", after)
	})
}

// Guards against tasks on probation that stand still in a mostly free cell while others hold a fifth of the workers, whose
// crashes take seconds to be noticed.
func TestProbationDoesNotStandStillInAMostlyFreeCell(t *testing.T) {
	h := newHarness(t, 10)
	suspect := crashHistory{workers: []WorkerID{"gone"}, confirmed: 1}
	for _, id := range []JobID{"a", "b", "c"} {
		h.addJob(Job{ID: id, Steps: []Step{tasks(1, 1000)}})
		h.s.jobs[id].steps[0].tasks[0].crashes = suspect
	}
	h.advance(0)
	held := h.takeStarts()
	assert.Equal(t, len(held), 2)
	h.confirm(held...)
	for _, o := range held {
		h.s.WorkerUnresponsive(o.Worker, h.now)
	}
	after, worker := h.nextStart(standstillRule)
	assert.Assert(t, worker != "", "after %v", after)
}

// Guards against starts without a ticket that are rejected for ever, because the queue of an accepted job was removed.
func TestRemovedQueueKeepsItsAdvice(t *testing.T) {
	h := newHarness(t, 2)
	job := Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(1, 1000)}, Terms: testConfig().Queue(advisedQueue).Terms()}
	record, err := EncodeJob(job)
	assert.NilError(t, err)
	job, err = DecodeJob(record)
	assert.NilError(t, err)
	h.s.SetConfig(NewConfig(Config{Version: 2}))
	h.addJob(job)
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.answerAdvice()
	h.advance(20 * time.Millisecond)
	starts := h.takeStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ticket, "ticket")
}

// Guards against a job that stands still in a large cell: steps that no worker may run use up the checks of each pass, and
// nothing has come free on the job's only worker, which it avoided for a while.
func TestLargeCellLooksAtWorkersOfJobsThatStandStill(t *testing.T) {
	const workers, unplaceable = 2000, 100
	h := newHarness(t, workers)
	h.reports[0].Labels = []string{testLabel}
	h.s.SetWorkers(h.reports, h.now)
	for i := range unplaceable {
		step := tasks(1, 1000)
		step.RequiredLabel = "no worker has it"
		h.addJob(Job{ID: JobID(fmt.Sprint("unplaceable-", i)), Queue: urgentQueue, Steps: []Step{step}})
	}
	h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
	h.advance(0)
	assert.Equal(t, h.failNext(), workerID(0))
	after, worker := h.nextStart(standstillRule)
	assert.Equal(t, worker, workerID(0), "after %v", after)
}

// Guards against a job that stands still beside the only worker that may run it, because tasks on probation of a higher-ranked
// job take that worker one after the other.
func TestProbationInTurnDoesNotKeepAWorker(t *testing.T) {
	h := newLabelledHarness(t, 1)
	h.addJob(Job{ID: "suspects", Queue: urgentQueue, Steps: []Step{labelled(tasks(20, 100))}})
	for _, task := range h.s.jobs["suspects"].steps[0].tasks {
		task.crashes = crashHistory{workers: []WorkerID{"gone"}, confirmed: 1}
	}
	h.addJob(Job{ID: "a", Steps: []Step{labelled(tasks(1, 1000))}})
	var running []RunningRow
	for began := h.now; h.now.Sub(began) < standstillRule; h.advance(50 * time.Millisecond) {
		for _, o := range h.takeStarts() {
			if o.Run.Task.Job == "a" {
				return
			}
			h.confirm(o)
			running = append(running, RunningRow{Run: o.Run})
		}
		for i := range running {
			running[i].Percent++
		}
		h.renew(0, running, nil)
	}
	t.Fatalf("the job stands still beside %d runs on its worker", len(running))
}
