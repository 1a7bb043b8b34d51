package cell

import (
	"fmt"
	"time"
)

func (c *liveCell) submit() {
	id := JobID(fmt.Sprintf("j%03d", len(c.jobs)))
	j := &liveJob{Job: Job{ID: id, Queue: plainQueue, Team: "team", Service: "pool", AcceptedMS: c.now.UnixMilli(),
		Terms: Terms{MaxAttempts: 4, Stretch: 3, SlackMS: 1000}}, admitted: map[int]map[WorkerID]bool{},
		lastEnd: map[TaskID]time.Time{}, stillAt: map[TaskID]time.Time{}}
	if c.chance(0.6) {
		j.Queue = advisedQueue
	}
	if j.advised() && c.chance(c.p.slowAdvice) {
		j.Queue = slowAdviceQueue
	}
	if c.p.others > 0 && c.chance(0.2) {
		j.useOtherQueue()
	}
	switch {
	case c.chance(0.1):
		j.Team = "slow"
	case c.chance(0.2):
		j.Team = "small"
	}
	j.failing = c.chance(c.p.failing)
	j.crashing = !c.calm && c.chance(c.p.crashing)
	for n := range 1 + c.random.IntN(2) {
		st := c.randomStep()
		if n > 0 {
			st.After, st.LongRunning = []int{n - 1}, false
		}
		j.Steps = append(j.Steps, st)
		j.admitted[n] = map[WorkerID]bool{}
		c.admit(j, n)
		if st.LongRunning {
			break
		}
	}
	j.Service, j.ConfigVersion = c.services[j.Queue], c.version
	j.accepted = j.Job
	c.jobs = append(c.jobs, j)
	c.byID[id] = j
	if err := c.s.AddJob(j.Job, nil, c.now); err != nil {
		c.t.Fatal(err)
	}
	if c.chance(0.05) || j.Steps[0].LongRunning && c.chance(0.7) {
		c.events = append(c.events, liveEvent{at: c.now.Add(c.between(0, 8*time.Second)), do: func() { c.cancel(j) }})
	}
}

func (c *liveCell) cancel(j *liveJob) {
	j.canceled, j.canceledAt = true, c.now
	c.s.CancelJob(j.ID)
}

func (c *liveCell) randomStep() Step {
	st := tasks(1+c.random.IntN(4), 250+250*c.random.Int64N(6))
	st.EstimateMS = 100 + c.random.Int64N(1000)
	if c.chance(0.15) {
		st = tasks(1+c.random.IntN(2), 3500)
	}
	st.Gang = st.Count > 1 && c.chance(c.p.gangs)
	if c.p.labelled > 0 && c.chance(0.2) {
		st.RequiredLabel = testLabel
	}
	if c.chance(c.p.spread) {
		st.MaxPerWorker = 1 + c.random.IntN(3)
	}
	st.LongRunning = c.chance(0.05)
	return st
}

// admit lets some workers of the service of a job's queue run a step.
func (c *liveCell) admit(j *liveJob, step int) {
	for range 1 + c.random.IntN(c.p.admitted) {
		j.admitted[step][c.randomWorker(c.services[j.Queue]).id] = true
	}
}

// moveQueue sends a queue to another service, and its jobs with it.
func (c *liveCell) moveQueue() {
	if c.p.others == 0 {
		return
	}
	queues := []string{plainQueue, advisedQueue, slowAdviceQueue, otherQueue, otherAdvisedQueue}
	queue := queues[c.random.IntN(len(queues))]
	if c.services[queue] == otherService {
		c.services[queue] = "pool"
	} else {
		c.services[queue] = otherService
	}
	c.former[queue][c.services[queue]] = true
	c.version++
	for _, j := range c.jobs {
		if j.Queue != queue || j.final {
			continue
		}
		j.Service = c.services[queue]
		for n := range j.Steps {
			c.admit(j, n)
		}
	}
	c.s.SetConfig(c.config())
}

// useOtherQueue hands a job in on a queue that is the other service's at first.
func (j *liveJob) useOtherQueue() {
	if j.advised() {
		j.Queue = otherAdvisedQueue
	} else {
		j.Queue = otherQueue
	}
}

// advised reports whether the job's queue has advice.
func (j *liveJob) advised() bool {
	return j.Queue == advisedQueue || j.Queue == slowAdviceQueue || j.Queue == otherAdvisedQueue
}

// randomWorker returns a worker of a service.
func (c *liveCell) randomWorker(service string) *liveWorker {
	if service == otherService {
		return c.workers[c.p.workers+c.random.IntN(c.p.others)]
	}
	return c.workers[c.random.IntN(c.p.workers)]
}
