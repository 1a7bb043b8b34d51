package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crash reports that another instance answers at a worker's address, and replaces the worker by a new one.
func (h *harness) crash(id WorkerID) {
	h.s.WorkerTerminated(id, 1, h.now)
	h.replacements++
	next := h.workerReport(100 + h.replacements)
	for i, r := range h.reports {
		if r.ID == id {
			h.reports[i] = next
		}
	}
	h.s.SetWorkers(h.reports, h.now)
	h.renew(100+h.replacements, nil, nil)
}

// confirm applies the workers' positive answers to start orders.
func (h *harness) confirm(orders ...Order) {
	for _, o := range orders {
		h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	}
}

// showAtWork delivers inventories that list the runs of the orders as running.
func (h *harness) showAtWork(orders ...Order) {
	rows := map[WorkerID][]RunningRow{}
	for _, o := range orders {
		rows[o.Worker] = append(rows[o.Worker], RunningRow{Run: o.Run, Percent: 10})
	}
	for id, running := range rows {
		h.renew(indexOf(id), running, nil)
	}
}

// nextStarts returns the start orders of the next second.
func (h *harness) nextStarts() []Order {
	for range 10 {
		h.advance(100 * time.Millisecond)
	}
	return h.takeStarts()
}

// Guards against a task that crashes every worker that starts it and is started for ever.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, step := range map[string]Step{"task": tasks(1, 1000), "service": service(1, 1000)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 6)
			h.addJob(Job{ID: "a", Steps: []Step{step}})
			for range 2 {
				orders := h.nextStarts()
				assert.Equal(t, len(orders), 1)
				h.confirm(orders...)
				h.crash(orders[0].Worker)
			}
			assert.Equal(t, len(h.nextStarts()), 0)
			assert.Equal(t, h.s.State("a").Phase, Failed)
			assert.Assert(t, strings.Contains(h.finals["a"].Reason, "a.0.0"), h.finals["a"].Reason)
		})
	}
}

// Guards against unlimited starts of a task whose workers crash before their answers arrive.
func TestUnansweredStartsThatCrashTheirWorkersAreBounded(t *testing.T) {
	h := newHarness(t, 6)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	for range maxCrashes {
		h.advance(100 * time.Millisecond)
		orders := h.takeStarts()
		assert.Equal(t, len(orders), 1)
		h.s.ApplyOrderOutcome(orders[0], OrderUnanswered, h.now)
		h.crash(orders[0].Worker)
	}
	assert.Equal(t, len(h.nextStarts()), 0)
	assert.Equal(t, h.s.State("a").Phase, Failed)
}

// Guards against unlimited starts of a task that crashes its workers while they restart under their names.
func TestCrashesOfRestartedWorkersCount(t *testing.T) {
	h := newHarness(t, 3)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	for crash := range 2 {
		orders := h.nextStarts()
		assert.Equal(t, len(orders), 1)
		h.confirm(orders...)
		restarted := Inventory{Worker: orders[0].Worker, StartMS: int64(2 + crash), RequestSequence: h.s.OrderSequence()}
		h.s.ApplyInventory(restarted, h.now)
		h.advance(20 * time.Millisecond)
		for _, o := range h.takeStops() {
			h.s.ApplyOrderOutcome(o, OrderDone, h.now)
		}
		restarted.RequestSequence = h.s.OrderSequence()
		h.s.ApplyInventory(restarted, h.now)
		h.listStart(orders[0].Worker, restarted.StartMS)
	}
	assert.Equal(t, len(h.nextStarts()), 0)
	assert.Equal(t, h.s.State("a").Phase, Failed)
}

// Guards against a job that fails because its task stood beside one that crashes its workers.
func TestTaskBesideOneThatCrashesItsWorkerCompletes(t *testing.T) {
	h := newHarness(t, 10)
	h.addJob(Job{ID: "bad", Steps: []Step{tasks(1, 1000)}})
	h.addJob(Job{ID: "good", Steps: []Step{tasks(1, 1000)}})
	crashes := map[WorkerID]bool{}
	for range 4 {
		orders := h.nextStarts()
		h.confirm(orders...)
		perWorker := map[WorkerID][]JobID{}
		for _, o := range orders {
			perWorker[o.Worker] = append(perWorker[o.Worker], o.Run.Task.Job)
			if o.Run.Task.Job == "bad" {
				crashes[o.Worker] = true
				h.crash(o.Worker)
			}
		}
		for _, o := range orders {
			if !crashes[o.Worker] {
				h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndDone}})
			}
		}
		assert.Assert(t, len(crashes) < 2 || len(perWorker) == 0 || len(perWorker) == len(orders), "two on one worker after a crash")
	}
	h.nextStarts()
	assert.Equal(t, h.s.State("good").Phase, Completed)
	assert.Equal(t, h.s.State("bad").Phase, Failed)
	assert.Equal(t, len(crashes), 2)
}

// Guards against counting the loss of contact with a worker, or the end of a draining one, as a crash.
func TestOnlyCrashesCount(t *testing.T) {
	losses := map[string]func(*harness, WorkerID){
		"cut off": func(h *harness, id WorkerID) {
			h.s.WorkerUnresponsive(id, h.now)
			h.s.WorkerLeaseExpired(id, h.now)
		},
		"refused, then silent": func(h *harness, id WorkerID) {
			h.s.WorkerConnectionRefused(id, h.now)
			h.s.WorkerUnresponsive(id, h.now)
			h.s.WorkerLeaseExpired(id, h.now)
		},
		"refused, then back": func(h *harness, id WorkerID) {
			h.s.WorkerConnectionRefused(id, h.now)
			h.renew(indexOf(id), nil, nil)
		},
		"drained": func(h *harness, id WorkerID) {
			for i := range h.reports {
				h.reports[i].Draining = h.reports[i].ID == id
			}
			h.s.SetWorkers(h.reports, h.now)
			h.crash(id)
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 6)
			h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
			for range 4 {
				orders := h.nextStarts()
				assert.Equal(t, len(orders), 1)
				h.confirm(orders...)
				lose(h, orders[0].Worker)
				for _, r := range h.reports {
					h.renew(indexOf(r.ID), nil, nil)
				}
			}
			assert.Equal(t, h.s.State("a").Phase, Running)
		})
	}
}

// Guards against unlimited starts of a task whose workers crash and don't come back: their leases lapse instead.
func TestLapseOfRefusingWorkerCounts(t *testing.T) {
	h := newHarness(t, 6)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	for range 2 {
		orders := h.nextStarts()
		assert.Equal(t, len(orders), 1)
		h.confirm(orders...)
		h.s.WorkerConnectionRefused(orders[0].Worker, h.now)
		h.s.WorkerLeaseExpired(orders[0].Worker, h.now)
	}
	h.nextStarts()
	assert.Equal(t, h.s.State("a").Phase, Failed)
}

// Guards against failing all jobs that had started on a rack shortly before all of its workers crashed.
func TestCrashOfARackFailsNoJob(t *testing.T) {
	h := newHarness(t, 8)
	for i := range 8 {
		h.addJob(Job{ID: JobID(fmt.Sprint("j", i)), Steps: []Step{tasks(1, 3000)}})
	}
	orders := h.nextStarts()
	assert.Equal(t, len(orders), 8)
	h.confirm(orders...)
	for _, o := range orders {
		h.crash(o.Worker)
	}
	for range 12 {
		orders = h.nextStarts()
		h.confirm(orders...)
		for _, o := range orders {
			h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: h.nextEnd(), Run: o.Run, Kind: EndDone}})
		}
	}
	for i := range 8 {
		assert.Equal(t, h.s.State(JobID(fmt.Sprint("j", i))).Phase, Completed)
	}
}

// Guards against counting a crash against a run that has been at work for some time, or whose order was never sent.
func TestRunsAtWorkAndUnsentOrdersAreNoSuspects(t *testing.T) {
	h := newHarness(t, 6)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	for range 3 {
		orders := h.nextStarts()
		assert.Equal(t, len(orders), 1)
		h.confirm(orders...)
		h.now = h.now.Add(time.Second)
		h.showAtWork(orders...)
		h.crash(orders[0].Worker)
	}
	for range 3 {
		orders := h.nextStarts()
		assert.Equal(t, len(orders), 1)
		h.s.ApplyOrderOutcome(orders[0], OrderNotSent, h.now)
		h.crash(orders[0].Worker)
	}
	assert.Equal(t, h.s.State("a").Phase, Running)
	assert.Equal(t, len(h.nextStarts()), 1)
}

// Guards against losing other tasks with the next worker of a task under which one has crashed: the task is alone there
// until an inventory shows it at work, and shares the worker after that.
func TestTaskOnProbationIsAloneUntilCleared(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "suspect", Steps: []Step{tasks(1, 1000)}})
	orders := h.nextStarts()
	h.confirm(orders...)
	h.crash(orders[0].Worker)
	orders = h.nextStarts()
	assert.Equal(t, len(orders), 1)
	h.confirm(orders...)
	h.addJob(Job{ID: "other", Steps: []Step{tasks(1, 1000)}})
	assert.Equal(t, len(h.nextStarts()), 0)
	h.showAtWork(orders...)
	others := h.nextStarts()
	assert.Equal(t, len(others), 1)
	h.confirm(others...)
	h.showAtWork(append(orders, others...)...)
	h.crash(orders[0].Worker)
	h.nextStarts()
	assert.Equal(t, h.s.State("suspect").Phase, Running, "the earlier crash doesn't count any more")
}

// Guards against tasks on probation that take all workers from other work.
func TestProbationLeavesWorkersToOthers(t *testing.T) {
	h := newHarness(t, 10)
	h.addJob(Job{ID: "suspects", Steps: []Step{tasks(10, 3000)}})
	orders := h.nextStarts()
	assert.Equal(t, len(orders), 10)
	h.confirm(orders...)
	for _, o := range orders {
		h.crash(o.Worker)
	}
	assert.Equal(t, len(h.nextStarts()), 10/probationDivisor)
	h.addJob(Job{ID: "others", Steps: []Step{tasks(8, 3000)}})
	assert.Equal(t, len(h.nextStarts()), 8)
}

// Guards against a build that can't read the records of earlier ones, which hold no crashes.
func TestRecordWithoutCrashesIsRead(t *testing.T) {
	h := newHarness(t, 1)
	job := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{tasks(1, 1000)}, AcceptedMS: start.UnixMilli()}
	old := `{"v":1,"phase":"running","began":true,"steps":[{"tasks":[{"i":0,"r":3,"f":1,"fr":2,"w":"w0"}]}]}`
	assert.NilError(t, h.s.AddJob(job, []byte(old), h.now))
	h.renew(0, nil, nil)
	orders := h.nextStarts()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Run.Run, 4)
}

// Guards against suspecting every run that started within a second of a crash. Each suspect holds a worker alone, so the
// tasks that crash their workers and all others wait for one another.
func TestOnlyTheNewestRunsOfACrashedWorkerAreSuspects(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "early", Steps: []Step{tasks(1, 1000)}})
	early := h.nextStarts()
	h.confirm(early...)
	h.addJob(Job{ID: "late", Steps: []Step{tasks(1, 1000)}})
	late := h.nextStarts()
	assert.Equal(t, len(late), 1)
	h.confirm(late...)
	h.crash(early[0].Worker)
	h.s.CancelJob("late")
	early = h.nextStarts()
	assert.Equal(t, len(early), 1)
	h.confirm(early...)
	h.addJob(Job{ID: "other", Steps: []Step{tasks(1, 1000)}})
	assert.Equal(t, len(h.nextStarts()), 1, "a task that isn't on probation shares its worker")
}

// Guards against calls for advice on behalf of tasks that may not start yet. They take the advice service from jobs that
// may, which then wait although there is room.
func TestDelayedProbationAsksForNoAdvice(t *testing.T) {
	h := newHarness(t, 10)
	h.addJob(Job{ID: "suspects", Queue: advisedQueue, Steps: []Step{tasks(10, 3000)}})
	h.advance(0)
	h.answerAdvice()
	orders := h.nextStarts()
	assert.Equal(t, len(orders), 10)
	h.confirm(orders...)
	for _, o := range orders {
		h.crash(o.Worker)
	}
	for range 10 {
		h.answerAdvice()
		h.advance(50 * time.Millisecond)
	}
	orders = h.takeStarts()
	assert.Equal(t, len(orders), 10/probationDivisor)
	h.confirm(orders...)
	h.answerAdvice()
	h.reports = append(h.reports, h.workerReport(500))
	h.s.SetWorkers(h.reports, h.now)
	h.renew(500, nil, nil)
	h.nextStarts()
	assert.Equal(t, len(h.advice), 0)
}

// Guards against a job that is shown as failed because one worker, which restarts again and again, gets its task twice.
func TestTaskOnProbationAvoidsTheCrashedWorker(t *testing.T) {
	h := newHarness(t, 6)
	h.startService("load", plainQueue, tasks(4, 1000))
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	for crash := range 2 {
		orders := h.nextStarts()
		assert.Assert(t, len(orders) > 0)
		o := orders[len(orders)-1]
		h.confirm(orders...)
		if crash == 1 {
			break
		}
		restarted := Inventory{Worker: o.Worker, StartMS: 2, RequestSequence: h.s.OrderSequence()}
		h.s.ApplyInventory(restarted, h.now)
		h.advance(20 * time.Millisecond)
		for _, stop := range h.takeStops() {
			h.s.ApplyOrderOutcome(stop, OrderDone, h.now)
		}
		restarted.RequestSequence = h.s.OrderSequence()
		h.s.ApplyInventory(restarted, h.now)
		h.listStart(o.Worker, restarted.StartMS)
		assert.Assert(t, slices.Contains(h.s.jobs["a"].steps[0].tasks[0].avoid, o.Worker))
	}
	a := h.s.jobs["a"].steps[0].tasks[0]
	assert.Assert(t, a.worker != nil && !slices.Contains(a.avoid, a.worker.ID))
}

// Guards against small tasks that take all capacity before a large task on probation.
func TestCapacityIsWithheldForLargeTaskOnProbation(t *testing.T) {
	const workers, waitingSmall, passes = 20, 60, 600
	h := newHarness(t, workers)
	ends := map[Order]time.Time{}
	started := 0
	for pass := range passes {
		for range waitingSmall - min(waitingSmall, h.waitingTasks()) {
			h.addJob(Job{ID: JobID(fmt.Sprint("small", len(h.s.jobs))), Steps: []Step{tasks(1, 700)}})
		}
		if pass == workers {
			h.addJob(Job{ID: "large", Queue: urgentQueue, Steps: []Step{tasks(1, 4000)}})
			h.s.jobs["large"].steps[0].tasks[0].crashes = crashHistory{workers: []WorkerID{"x"}, confirmed: 1}
		}
		h.advance(20 * time.Millisecond)
		for _, o := range h.takeStarts() {
			if o.Run.Task.Job == "large" {
				return
			}
			h.confirm(o)
			started++
			ends[o] = h.now.Add(time.Duration(100+37*(started%7)) * time.Millisecond)
		}
		h.reportRuns(workers, ends)
	}
	t.Errorf("the large task hasn't started, but %d small ones have", started)
}

func (h *harness) waitingTasks() int {
	n := 0
	for _, j := range h.s.active {
		if !j.phase.Final() {
			n += j.waitingTasks()
		}
	}
	return n
}

// reportRuns delivers an inventory of each worker. Runs whose end has come are done and removed from ends.
func (h *harness) reportRuns(workers int, ends map[Order]time.Time) {
	running, ended := map[int][]RunningRow{}, map[int][]EndedRow{}
	for o, end := range ends {
		w := indexOf(o.Worker)
		if h.now.After(end) {
			ended[w] = append(ended[w], EndedRow{Number: h.nextEnd(), Run: o.Run, Kind: EndDone})
			delete(ends, o)
		} else {
			running[w] = append(running[w], RunningRow{Run: o.Run, Percent: 1})
		}
	}
	for w := range workers {
		h.renew(w, running[w], ended[w])
	}
}

// Guards against a crash that is counted against a run which the worker's next instance has started, because its order arrived
// after a restart that nobody had noticed yet.
func TestRunStartedByTheNextInstanceIsNoSuspect(t *testing.T) {
	for name, ended := range map[string]bool{"running": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
			o := h.nextStarts()[0]
			h.confirm(o)
			if ended {
				h.renewInstance(0, 2, nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndFailed}})
			} else {
				h.renewInstance(0, 2, []RunningRow{{Run: o.Run}}, nil)
			}
			assert.Equal(t, len(h.s.jobs["a"].steps[0].tasks[0].crashes.workers), 0)
		})
	}
}
