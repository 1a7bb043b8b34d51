package runcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/standin/workerproc"
)

// story is a small history whose times are milliseconds.
type story struct {
	*Checker
	number int64 // of the last end
}

const ms = time.Millisecond

// task0 and later are the tasks of the job of each story.
const (
	jobID = "00000001"
	task0 = jobID + ".0.0.0"
	task1 = jobID + ".0.0.1"
	next0 = jobID + ".0.1.0"
)

// aJob has a step of two tasks, and a step of one task after it.
func aJob() workerproc.Job {
	step := workerproc.Step{Count: 2, CPU: 1000, MemMB: 100, Duration: 100 * ms}
	next := step
	next.Count, next.After = 1, []int{0}
	return workerproc.Job{ID: jobID, Team: "team", Steps: []workerproc.Step{step, next}}
}

// newStory returns a history in which three workers with room for four tasks each are up, and a client submits a job at 1 ms
// that is accepted at 2 ms.
func newStory(j workerproc.Job, r Rules) *story {
	s := &story{Checker: New(r)}
	for i := range 3 {
		s.up(0, fmt.Sprint("w", i), 1)
	}
	s.Submitting(1*ms, j)
	s.Answered(2*ms, j.ID, Accepted)
	return s
}

func (s *story) add(at time.Duration, e workerproc.Event) {
	e.At = at * ms
	if e.Life == 0 {
		e.Life = 1
	}
	s.Record(e)
}

func (s *story) up(at time.Duration, worker string, life int) {
	s.add(at, workerproc.Event{Kind: workerproc.Up, Worker: worker, Life: life, Capacity: workerproc.Capacity{CPU: 4000, MemMB: 1000}, Labels: []string{"a"}})
	s.add(at, workerproc.Event{Kind: workerproc.Registered, Worker: worker, State: "ready"})
	s.add(at, workerproc.Event{Kind: workerproc.Leased, Worker: worker, Life: life, Until: time.Hour})
}

func (s *story) start(at time.Duration, worker, task string, run int, change ...func(*workerproc.Event)) {
	name, _ := workerproc.ParseTask(task)
	e := workerproc.Event{Kind: workerproc.Started, Worker: worker, Task: task, Run: run}
	if h := s.jobs[name.Job]; h != nil {
		e.Spec = h.job.Spec()
	}
	for _, f := range change {
		f(&e)
	}
	s.add(at, e)
}

func late(e *workerproc.Event) { e.Late = true }

func from(checkpoint string) func(*workerproc.Event) {
	return func(e *workerproc.Event) { e.Checkpoint = checkpoint }
}

func (s *story) end(at time.Duration, worker, task string, run int, how workerproc.Outcome) {
	s.number++
	s.add(at, workerproc.Event{Kind: workerproc.Ended, Worker: worker, Task: task, Run: run, Outcome: how, Number: s.number})
}

// ack acknowledges all ends of a worker.
func (s *story) ack(at time.Duration, worker string) {
	s.add(at, workerproc.Event{Kind: workerproc.Acked, Worker: worker, Number: s.number})
}

// run plays a whole run.
func (s *story) run(at time.Duration, worker, task string, number int, how workerproc.Outcome) {
	s.start(at, worker, task, number)
	s.end(at+50, worker, task, number, how)
	s.ack(at+60, worker)
}

// expect checks which rules are violated by the end of the history.
func (s *story) expect(t *testing.T, until time.Duration, rules ...string) {
	t.Helper()
	var found []string
	for _, v := range s.Violations(until * ms) {
		found = append(found, v.Rule)
		t.Log(v)
	}
	assert.Equal(t, strings.Join(found, " "), strings.Join(rules, " "))
}
