package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendQueues publishes a configuration that sends all queues to a service. It has no queues if the service is empty.
func (h *harness) sendQueues(version int64, service string) {
	c := *testConfig()
	c.Version = version
	queues := c.Queues
	c.Queues = nil
	for _, q := range queues {
		if service != "" {
			q.Service = service
			c.Queues = append(c.Queues, q)
		}
	}
	h.s.SetConfig(NewConfig(c))
}

// takeOverJob replaces the scheduler by one that starts from the records of a job, with the given configuration.
func (h *harness) takeOverJob(j Job, version int64, service string) {
	h.advance(writeDelay)
	h.s = New(Options{EndedRetention: time.Minute}, discardEvents{})
	h.sendQueues(version, service)
	h.s.SetWorkers(h.reports, h.now)
	h.renewIdle()
	assert.NilError(h.t, h.s.AddJob(j, h.records[j.ID], h.now))
}

// startsWithin returns how many tasks start on each worker within a while.
func (h *harness) startsWithin(d time.Duration) map[WorkerID]int {
	workers := map[WorkerID]int{}
	for began := h.now; h.now.Sub(began) < d; {
		h.advance(20 * time.Millisecond)
		h.answerAdvice()
		for _, o := range h.takeStarts() {
			workers[o.Worker]++
			h.confirm(o)
		}
	}
	return workers
}

const movedTo = WorkerID("w4") // the worker of idleService

// Guards against accepted jobs that never run because their queue was sent to another service while they waited.
func TestWaitingTasksFollowTheirQueue(t *testing.T) {
	gang, lasting := tasks(2, 1000), tasks(2, 1000)
	gang.Gang, lasting.LongRunning = true, true
	lastingGang := gang
	lastingGang.LongRunning = true
	for name, st := range map[string]Step{"tasks": tasks(2, 1000), "gang": gang, "service": lasting, "lasting gang": lastingGang} {
		for _, queue := range []string{plainQueue, advisedQueue} {
			t.Run(name+" "+queue, func(t *testing.T) {
				h := newTwoServices(t)
				h.fillPool()
				h.addJob(Job{ID: "a", Queue: queue, Steps: []Step{st}})
				assert.Equal(t, len(h.startsWithin(time.Second)), 0)
				h.sendQueues(2, idleService)
				assert.DeepEqual(t, h.startsWithin(time.Second), map[WorkerID]int{movedTo: 2})
			})
		}
	}
}

// Guards against a step that starts on the former service because an earlier step of its job has run there.
func TestLaterStepsFollowTheirQueue(t *testing.T) {
	h := newTwoServices(t)
	second := tasks(1, 1000)
	second.After = []int{0}
	h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000), second}})
	h.advance(20 * time.Millisecond)
	first := h.takeStarts()[0]
	h.confirm(first)
	h.sendQueues(2, idleService)
	assert.Equal(t, len(h.startsWithin(time.Second)), 0, "the running task goes on")
	assert.Equal(t, len(h.takeStops()), 0)
	h.renew(indexOf(first.Worker), nil, []EndedRow{{Number: h.nextEnd(), Run: first.Run, Kind: EndDone}})
	assert.DeepEqual(t, h.startsWithin(time.Second), map[WorkerID]int{movedTo: 1})
}

// Guards against runs that are stopped because their queue was sent to another service, and against a lasting task that comes
// back on the former one.
func TestRunsGoOnWhereTheyAre(t *testing.T) {
	h := newTwoServices(t)
	o := h.startService("a", plainQueue, service(1, 1000))[0]
	h.sendQueues(2, idleService)
	h.advance(time.Second)
	assert.Equal(t, len(h.takeStops()), 0)
	h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: h.nextEnd(), Run: o.Run, Kind: EndFailed}})
	assert.DeepEqual(t, h.startsWithin(time.Second), map[WorkerID]int{movedTo: 1})
}

// Guards against starts that were decided for the former service and go out after the change.
func TestUnsentStartsFollowTheirQueue(t *testing.T) {
	gang := tasks(2, 1000)
	gang.Gang = true
	for name, st := range map[string]Step{"tasks": tasks(2, 1000), "gang": gang} {
		t.Run(name+", the record isn't durable", func(t *testing.T) {
			h := newTwoServices(t)
			h.addJob(Job{ID: "a", Steps: []Step{st}})
			h.collect(h.s.Advance(h.now))
			assert.Assert(t, h.s.jobs["a"].allocatedTasks == 2)
			h.sendQueues(2, idleService)
			assert.DeepEqual(t, h.startsWithin(time.Second), map[WorkerID]int{movedTo: 2})
		})
		t.Run(name+", tickets are awaited", func(t *testing.T) {
			h := newTwoServices(t)
			h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{st}})
			h.advance(20 * time.Millisecond)
			h.answerAdvice()
			h.now = h.now.Add(ticketValidity)
			h.collect(h.s.Advance(h.now))
			h.sendQueues(2, idleService)
			assert.DeepEqual(t, h.startsWithin(time.Second), map[WorkerID]int{movedTo: 2})
		})
	}
}

// Guards against a gang of which a part starts on each service.
func TestGangWithASentMemberStays(t *testing.T) {
	h := newTwoServices(t)
	gang := tasks(2, 1000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Steps: []Step{gang}})
	h.advance(20 * time.Millisecond)
	starts := h.takeStarts()
	assert.Equal(t, len(starts), 2)
	h.confirm(starts[0])
	h.sendQueues(2, idleService)
	h.confirm(starts[1])
	assert.Equal(t, len(h.startsWithin(time.Second)), 0)
	assert.Equal(t, len(h.takeStops()), 0)
}

// Guards against a job that goes back to a former service: its queue was removed, or a scheduler takes over, also one with an
// older configuration.
func TestJobKeepsTheLastServiceOfItsQueue(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*harness, Job)
		movesTo string
	}{
		"the queue is removed": {func(h *harness, _ Job) {
			h.sendQueues(2, idleService)
			h.sendQueues(3, "")
		}, idleService},
		"it comes back": {func(h *harness, _ Job) {
			h.sendQueues(2, "")
			h.sendQueues(3, idleService)
		}, idleService},
		"it is sent back": {func(h *harness, _ Job) {
			h.sendQueues(2, idleService)
			h.sendQueues(3, "pool")
		}, "pool"},
		"it is sent back and forth": {func(h *harness, _ Job) {
			h.sendQueues(2, idleService)
			h.sendQueues(3, "pool")
			h.sendQueues(4, idleService)
		}, idleService},
		"a takeover": {func(h *harness, j Job) { h.takeOverJob(j, 2, idleService) }, idleService},
		"a takeover after the queue was removed": {func(h *harness, j Job) {
			h.sendQueues(2, idleService)
			h.takeOverJob(j, 3, "")
		}, idleService},
		"a takeover with an older configuration": {func(h *harness, j Job) {
			h.sendQueues(2, idleService)
			h.takeOverJob(j, 1, "pool")
		}, idleService},
		"accepted by a node with a later configuration": {func(h *harness, j Job) {
			j.Service, j.ConfigVersion = idleService, 5
			h.takeOverJob(j, 2, "pool")
		}, idleService},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTwoServices(t)
			job := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", ConfigVersion: 1, Steps: []Step{tasks(1, 4000)}, AcceptedMS: h.now.UnixMilli(),
				Terms: testConfig().Queue(plainQueue).Terms()}
			listed := h.reports
			h.reports = nil
			h.s.SetWorkers(nil, h.now)
			assert.NilError(t, h.s.AddJob(job, nil, h.now))
			c.change(h, job)
			h.reports = listed
			h.s.SetWorkers(listed, h.now)
			h.renewIdle()
			for worker := range h.startsWithin(time.Second) {
				assert.Equal(t, h.s.workers[worker].Service, c.movesTo)
				return
			}
			t.Fatal("the job doesn't start")
		})
	}
}
