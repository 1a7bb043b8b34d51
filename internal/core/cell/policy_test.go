package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

// Guards against placing more tasks on a worker than its capacity allows.
func TestWorkerCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(9, 1000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 4)
}

// Guards against a team that runs more than its limit.
func TestTeamLimit(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob(Job{ID: "a", Team: "small", Steps: []Step{tasks(5, 800)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 2)
}

// Guards against a step that starts before a step on which it depends is done.
func TestStepWaitsForEarlierSteps(t *testing.T) {
	h := newHarness(t, 1)
	second := tasks(1, 100)
	second.After = []int{0}
	h.addJob(Job{ID: "a", Steps: []Step{tasks(2, 100), second}})
	h.advance(0)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 2)
	h.renew(0, []RunningRow{{Run: orders[1].Run}}, []EndedRow{{Number: 1, Run: orders[0].Run, Kind: EndDone}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, nil, []EndedRow{{Number: 2, Run: orders[1].Run, Kind: EndDone}})
	h.advance(20 * time.Millisecond)
	last := h.takeStarts()
	assert.Equal(t, len(last), 1)
	assert.Equal(t, last[0].Run.Task, TaskID{"a", 1, 0})
	h.renew(0, nil, []EndedRow{{Number: 3, Run: last[0].Run, Kind: EndDone}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, h.finals["a"].Phase, Completed)
}

// Guards against starting only some members of a gang.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	h := newHarness(t, 2)
	gang := tasks(3, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Steps: []Step{gang}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.addWorkers(3, false)
	h.advance(20 * time.Millisecond)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 3)
	for _, o := range orders {
		assert.Equal(t, o.Run.Run, 1)
	}
}

// Guards against small tasks that take the capacity for which a gang waits.
func TestCapacityIsWithheldForWaitingGang(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(Job{ID: "busy", Queue: urgentQueue, Steps: []Step{tasks(1, 2000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 1)
	gang := tasks(2, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "gang", Queue: urgentQueue, Steps: []Step{gang}})
	h.addJob(Job{ID: "small", Steps: []Step{tasks(2, 1500)}})
	h.advance(20 * time.Millisecond)
	for _, o := range h.takeStarts() {
		assert.Assert(t, o.Run.Task.Job != "small", "%v", o)
	}
}

// Guards against a large task that never starts because small tasks take all capacity as it comes free.
func TestCapacityIsWithheldForLargeTask(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "busy", Steps: []Step{tasks(4, 1000)}})
	h.advance(0)
	busy := h.takeStarts()
	assert.Equal(t, len(busy), 4)
	h.addJob(Job{ID: "large", Queue: urgentQueue, Steps: []Step{tasks(1, 2000)}})
	h.addJob(Job{ID: "small", Steps: []Step{tasks(4, 1000)}})
	var ends []EndedRow
	for i, o := range busy[:2] {
		ends = append(ends, EndedRow{Number: int64(i + 1), Run: o.Run, Kind: EndDone})
	}
	h.renew(0, []RunningRow{{Run: busy[1].Run}, {Run: busy[2].Run}, {Run: busy[3].Run}}, ends[:1])
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStarts()), 0)
	h.renew(0, []RunningRow{{Run: busy[2].Run}, {Run: busy[3].Run}}, ends)
	h.advance(20 * time.Millisecond)
	started := h.takeStarts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Run.Task.Job, JobID("large"))
}

// Guards against withholding capacity for a gang that can't start because of its team's limit.
func TestNoCapacityIsWithheldBeyondTeamLimit(t *testing.T) {
	h := newHarness(t, 1)
	gang := tasks(3, 1200)
	gang.Gang = true
	h.addJob(Job{ID: "gang", Team: "small", Queue: urgentQueue, Steps: []Step{gang}})
	h.addJob(Job{ID: "small", Steps: []Step{tasks(4, 1000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 4)
}

// Guards against requesting a gang's advice by one long call after another instead of concurrent calls.
func TestAdviceForGangUsesConcurrentCalls(t *testing.T) {
	h := newHarness(t, 30)
	gang := tasks(30, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "gang", Queue: slowAdviceQueue, Steps: []Step{gang}})
	h.advance(0)
	assert.Equal(t, len(h.advice), 3)
	named := 0
	for _, r := range h.advice {
		var good []Ticket
		for _, id := range r.Workers {
			named++
			good = append(good, Ticket{Worker: id, Value: "t"})
		}
		assert.Equal(t, len(h.takeStarts()), 0)
		h.s.ApplyAdvice(r, good, h.now, ticketValidity, false, h.now)
		h.advance(20 * time.Millisecond)
	}
	assert.Equal(t, named, 30)
	assert.Equal(t, len(h.takeStarts()), 30)
}

// Guards against jobs above a team's rate that take the capacity of jobs within it.
func TestJobsOverTeamRateComeLast(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 5 {
		h.addJob(Job{ID: JobID(fmt.Sprint("surplus", i)), Team: "slow", Queue: urgentQueue, Steps: []Step{tasks(1, 2000)}})
	}
	h.addJob(Job{ID: "owed", Steps: []Step{tasks(1, 2000)}})
	h.advance(0)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].Run.Task.Job, JobID("surplus0"))
	assert.Equal(t, orders[1].Run.Task.Job, JobID("owed"))
}

// Guards against late jobs that delay jobs which can still meet their objective, and against late jobs that wait for jobs
// with time to spare until their own result has no value any more. The objective is 4 s, and a job takes 1 s.
func TestLateJobsRankBetweenDueSoonAndCanWait(t *testing.T) {
	for _, c := range []struct {
		age        time.Duration // of the job that can meet its objective
		late       int           // tasks of the late job
		lateStarts bool          // the late job starts first
	}{{1500 * time.Millisecond, 1, false}, {2900 * time.Millisecond, 1, false}, {500 * time.Millisecond, 1, true}, {500 * time.Millisecond, 2, false}} {
		h := newHarness(t, 4)
		h.addJob(Job{ID: "late", Queue: urgentQueue, AcceptedMS: start.Add(-4 * time.Second).UnixMilli(), Steps: []Step{tasks(c.late, 4000)}})
		h.addJob(Job{ID: "in-time", AcceptedMS: start.Add(-c.age).UnixMilli(), Steps: []Step{tasks(4, 4000)}})
		h.advance(0)
		lateStarts := false
		for _, o := range h.takeStarts() {
			lateStarts = lateStarts || o.Run.Task.Job == "late"
		}
		assert.Equal(t, lateStarts, c.lateStarts, "%v", c)
	}
}

// Guards against serving a job last because one of its runs failed: the objective is extended by the time of that run.
func TestObjectiveAllowsForAFailedRun(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "failed-once", Queue: urgentQueue, AcceptedMS: start.Add(-2500 * time.Millisecond).UnixMilli(), Steps: []Step{tasks(1, 4000)}})
	h.advance(0)
	first := h.takeStarts()
	assert.Equal(t, len(first), 1)
	h.s.ApplyOrderOutcome(first[0], OrderDone, h.now)
	h.addJob(Job{ID: "pressing", AcceptedMS: start.Add(-1500 * time.Millisecond).UnixMilli(), Steps: []Step{tasks(1, 4000)}})
	h.now = start.Add(600 * time.Millisecond)
	h.renew(0, nil, []EndedRow{{Number: 1, Run: first[0].Run, Kind: EndFailed}})
	h.advance(20 * time.Millisecond)
	again := h.takeStarts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run.Task.Job, JobID("failed-once"))
}

// Guards against more tasks of a step on one worker than its MaxPerWorker allows.
func TestMaxTasksPerWorker(t *testing.T) {
	h := newHarness(t, 2)
	apart := tasks(4, 100)
	apart.MaxPerWorker = 1
	h.addJob(Job{ID: "a", Steps: []Step{apart}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 2)
}

// Guards against a canceled job whose runs continue or whose waiting tasks start.
func TestCancelStopsRunsAndStartsNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(6, 1000)}})
	h.advance(0)
	orders := h.takeStarts()
	for _, o := range orders {
		h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	}
	assert.Assert(t, h.s.CancelJob("a"))
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.takeStops()), 4)
	var ends []EndedRow
	for i, o := range orders {
		ends = append(ends, EndedRow{Number: int64(i + 1), Run: o.Run, Kind: EndStopped})
	}
	h.renew(0, nil, ends)
	h.advance(writeDelay)
	assert.Equal(t, len(h.takeStarts()), 0)
	assert.Equal(t, h.finals["a"].Phase, Canceled)
}

// Guards against showing a job as completed before its end is durable.
func TestCompletedShowsOnceItIsDurable(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
	h.advance(0)
	o := h.takeStarts()[0]
	h.renew(0, nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndDone}})
	state := h.s.State("a")
	assert.Equal(t, state.Phase, Running)
	assert.Assert(t, state.AwaitingFinalRecord)
	cursor, pending := h.s.AckCursor(workerID(0))
	assert.Equal(t, cursor, int64(0))
	assert.Assert(t, pending)
	h.commitRecords()
	assert.DeepEqual(t, h.s.State("a"), JobState{Known: true, Phase: Completed, Team: "team"})
	cursor, _ = h.s.AckCursor(workerID(0))
	assert.Equal(t, cursor, int64(1))
}

// Guards against showing a completed gang job as running again while the ends of its other members are being recorded.
func TestCompletedStaysWhileMembersEnd(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "a", Steps: []Step{{Count: 2, Each: tasks(1, 1000).Each, Gang: true, EstimateMS: 1000}}})
	h.advance(0)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 2)
	for _, o := range orders {
		h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	}
	h.renew(0, []RunningRow{{Run: orders[1].Run, Percent: 100}}, []EndedRow{{Number: 1, Run: orders[0].Run, Kind: EndDone}})
	h.commitRecords()
	assert.Equal(t, h.s.State("a").Phase, Completed)
	h.renew(0, nil, []EndedRow{{Number: 2, Run: orders[1].Run, Kind: EndDone}})
	assert.Equal(t, h.s.State("a").Phase, Completed)
}

// Guards against records that can't be read affecting other jobs: records of a later build, records that don't match the
// job's steps, and invalid JSON.
func TestUnreadableRecords(t *testing.T) {
	h := newHarness(t, 1)
	j := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{tasks(1, 1000)}}
	for _, progress := range []string{`{`, `{"v":2,"phase":"running"}`, `{"v":1,"phase":"running","steps":[{},{}]}`} {
		assert.Assert(t, h.s.AddJob(j, []byte(progress), h.now) != nil)
	}
	_, err := DecodeJob([]byte(`{"v":9}`))
	assert.ErrorIs(t, err, ErrRecordVersion)
	h.addJob(j)
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 1)
}

// Guards against lower-ranked work that takes the capacity of a step whose advice is still pending.
func TestCapacityIsClaimedWhileAdviceIsPending(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(Job{ID: "in-time", Queue: advisedQueue, Steps: []Step{tasks(1, 3000)}})
	h.addJob(Job{ID: "later", Steps: []Step{tasks(2, 2000)}})
	h.advance(0)
	assert.Equal(t, len(h.takeStarts()), 0)
	assert.Equal(t, len(h.advice), 1)
	h.s.ApplyAdvice(h.advice[0], []Ticket{{workerID(0), "t"}}, h.now, ticketValidity, false, h.now)
	h.advance(20 * time.Millisecond)
	orders := h.takeStarts()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Run.Task.Job, JobID("in-time"))
}

// Guards against an idle cell while many steps wait for advice: the capacity that is claimed for them is bounded.
func TestClaimsLeaveCapacityForOthers(t *testing.T) {
	h := newHarness(t, 10)
	for i := range 30 {
		h.addJob(Job{ID: JobID(fmt.Sprint("advised", i)), Queue: advisedQueue, Steps: []Step{tasks(1, 2000)}})
	}
	h.addJob(Job{ID: "plain", Steps: []Step{tasks(20, 1000)}})
	h.advance(0)
	assert.Equal(t, len(h.advice), 30)
	assert.Equal(t, len(h.takeStarts()), 20)
}

// Guards against advice calls for workers without free capacity, which delay the calls of other steps.
func TestNoAdviceOnFullWorkers(t *testing.T) {
	h := newHarness(t, 14)
	h.addJob(Job{ID: "busy", Queue: urgentQueue, Steps: []Step{tasks(14, 3000)}})
	h.advance(0)
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{tasks(2, 2000)}})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.advice), 1)
	h.s.ApplyAdvice(h.advice[0], nil, h.now, ticketValidity, false, h.now)
	h.advance(20 * time.Millisecond)
	assert.Equal(t, len(h.advice), 1)
}

// Guards against a new lease holder that doesn't count jobs as waiting because their intent was recorded, although no
// task has started.
func TestSuccessorCountsJobsThatWereAboutToStart(t *testing.T) {
	h := newHarness(t, 1)
	job := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{tasks(1, 1000)}}
	h.addJob(job)
	h.advance(0) // records the intent; the order isn't carried out
	h.s = h.newScheduler()
	assert.NilError(t, h.s.AddJob(job, h.records["a"], h.now))
	assert.Equal(t, h.s.WaitingJobsByQueue()[plainQueue], int64(1))
	h.registerWorkers(1, false)
	h.renew(0, []RunningRow{{Run: RunID{TaskID{"a", 0, 0}, 1}}}, nil)
	assert.Equal(t, h.s.WaitingJobsByQueue()[plainQueue], int64(0))
}

// Guards against jobs that never start because many jobs that can't start are ranked before them: jobs of a team at its
// limit, and jobs whose required label no worker with free capacity has.
func TestUnplaceableJobsDoNotStarveOthers(t *testing.T) {
	for _, c := range []struct {
		name    string
		team    string
		label   string
		starved int
	}{{"limit", "small", "", maxWorkerChecks}, {"label", "team", "rare", maxWorkerChecks / 2}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.addJob(Job{ID: "full", Team: "small", Steps: []Step{tasks(2, 1000)}})
			h.advance(0)
			assert.Equal(t, len(h.takeStarts()), 2)
			for i := range c.starved {
				step := tasks(1, 1000)
				step.RequiredLabel = c.label
				h.addJob(Job{ID: JobID(fmt.Sprint("row", i)), Team: c.team, Queue: urgentQueue, Steps: []Step{step}})
			}
			h.addJob(Job{ID: "behind", Steps: []Step{tasks(1, 1000)}})
			for range 8 {
				h.s.changed = true
				h.advance(20 * time.Millisecond)
			}
			orders := h.takeStarts()
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, orders[0].Run.Task.Job, JobID("behind"))
		})
	}
}

// Guards against a selection of workers for an advice call that differs from the order of service.
func TestMostFreeIsThePrefixOfTheOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var workers []*worker
		for i := range rng.IntN(60) {
			w := &worker{WorkerReport: WorkerReport{ID: workerID(i), Capacity: resource.Vector{MilliCPU: 10, MemoryMB: 10}}}
			w.free = resource.Vector{MilliCPU: rng.Int64N(11), MemoryMB: rng.Int64N(11)}
			workers = append(workers, w)
		}
		rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
		n := 1 + rng.IntN(70)
		got := mostFree(workers, n)
		slices.SortFunc(workers, compareFreeShare)
		assert.Equal(t, len(got), min(n, len(workers)))
		for i, w := range got {
			assert.Equal(t, w, workers[i])
		}
	}
}
