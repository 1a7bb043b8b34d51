package runcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/standin/workerproc"
)

// TestRules guards against violations that the checker misses, and against ones that it reports without cause. Each pair of
// histories differs in little.
func TestRules(t *testing.T) {
	limited := DefaultRules()
	limited.Limits = map[string]workerproc.Capacity{"team": {CPU: 1000}}
	with := func(change func(*workerproc.Step)) workerproc.Job {
		j := aJob()
		change(&j.Steps[0])
		return j
	}
	gang := func(s *workerproc.Step) { s.Gang = true }
	checkpointing := func(s *workerproc.Step) { s.Checkpointing = true }
	for _, c := range []struct {
		name   string
		job    workerproc.Job
		rules  Rules
		play   func(s *story)
		broken string // rule
	}{
		{name: "two runs at once", broken: "TWICE", play: func(s *story) { s.start(10, "w0", task0, 1); s.start(20, "w1", task0, 2) }},
		{name: "two runs in turn", play: func(s *story) {
			s.run(10, "w0", task0, 1, workerproc.Stopped)
			s.start(61, "w1", task0, 2)
		}},
		{name: "two copies of a speculative task", job: with(func(s *workerproc.Step) { s.Speculative = true }),
			play: func(s *story) { s.start(10, "w0", task0, 1); s.start(20, "w1", task0, 2) }},
		{name: "second run within the lease of a worker that is killed while it is paused", broken: "TWICE", play: func(s *story) { killWhilePaused(s, 499) }},
		{name: "second run after the lease of a worker that is killed while it is paused", play: func(s *story) { killWhilePaused(s, 501) }},
		{name: "start after an end done that is acknowledged later", broken: "TWICE", play: func(s *story) {
			s.start(10, "w0", task0, 1)
			s.end(50, "w0", task0, 1, workerproc.Done)
			s.start(60, "w1", task0, 2)
			s.ack(70, "w0")
		}},
		{name: "start after an end done that is lost with its worker", play: func(s *story) {
			s.start(10, "w0", task0, 1)
			s.end(50, "w0", task0, 1, workerproc.Done)
			s.add(55, workerproc.Event{Kind: workerproc.Down, Worker: "w0"})
			s.start(60, "w1", task0, 2)
		}},
		{name: "start after an end done whose worker's lease lapsed before the acknowledgement", play: func(s *story) {
			s.start(10, "w0", task0, 1)
			s.end(50, "w0", task0, 1, workerproc.Done)
			s.add(55, workerproc.Event{Kind: workerproc.Lapsed, Worker: "w0"})
			s.start(60, "w1", task0, 2)
			s.ack(70, "w0")
		}},
		{name: "start of a member after its gang is done", job: with(gang), broken: "TWICE", play: func(s *story) {
			s.start(10, "w0", task0, 1)
			s.start(10, "w1", task1, 1)
			s.end(50, "w0", task0, 1, workerproc.Done)
			s.end(50, "w1", task1, 1, workerproc.Done)
			s.ack(60, "w0")
			s.start(70, "w2", task1, 2)
		}},
		{name: "start over 1 s after the job was shown as completed", broken: "TWICE", play: func(s *story) {
			completeWithoutNote(s)
			s.start(1600, "w2", next0, 2)
		}},
		{name: "start within 1 s after the job was shown as completed", play: func(s *story) {
			completeWithoutNote(s)
			s.start(1300, "w2", next0, 2)
		}},
		{name: "speculative start over 1 s after the acknowledgement", job: with(func(s *workerproc.Step) { s.Speculative = true }), broken: "TWICE", play: func(s *story) {
			s.run(10, "w0", task0, 1, workerproc.Done)
			s.start(1100, "w1", task0, 2)
		}},
		{name: "speculative start soon after the acknowledgement", job: with(func(s *workerproc.Step) { s.Speculative = true }), play: func(s *story) {
			s.run(10, "w0", task0, 1, workerproc.Done)
			s.start(900, "w1", task0, 2)
		}},
		{name: "five tasks on a worker for four, one of them being stopped", broken: "LIMIT", job: with(func(s *workerproc.Step) { s.Count = 5 }), play: func(s *story) {
			startFive(s)
			s.add(20, workerproc.Event{Kind: workerproc.Stopping, Worker: "w0", Task: jobID + ".0.0.3", Run: 1})
			s.start(30, "w0", jobID+".0.0.4", 1)
		}},
		{name: "five tasks on a worker for four, one of which has ended", job: with(func(s *workerproc.Step) { s.Count = 5 }), play: func(s *story) {
			startFive(s)
			s.end(20, "w0", jobID+".0.0.3", 1, workerproc.Stopped)
			s.start(30, "w0", jobID+".0.0.4", 1)
		}},
		{name: "start beyond the capacity of a new life", broken: "LIMIT", play: func(s *story) {
			s.add(10, workerproc.Event{Kind: workerproc.Down, Worker: "w0"})
			s.add(20, workerproc.Event{Kind: workerproc.Up, Worker: "w0", Life: 2, Capacity: workerproc.Capacity{CPU: 999, MemMB: 1000}})
			s.start(30, "w0", task0, 1, func(e *workerproc.Event) { e.Life = 2 })
		}},
		{name: "start beyond the memory", broken: "LIMIT", job: with(func(s *workerproc.Step) { s.MemMB = 1001 }), play: func(s *story) { s.start(10, "w0", task0, 1) }},
		{name: "start soon after the capacity was reduced", rules: with50msLag(), play: func(s *story) {
			s.add(10, workerproc.Event{Kind: workerproc.Resized, Worker: "w0", Capacity: workerproc.Capacity{CPU: 500, MemMB: 1000}})
			s.start(50, "w0", task0, 1)
		}},
		{name: "start long after the capacity was reduced", broken: "LIMIT", rules: with50msLag(), play: func(s *story) {
			s.add(10, workerproc.Event{Kind: workerproc.Resized, Worker: "w0", Capacity: workerproc.Capacity{CPU: 500, MemMB: 1000}})
			s.start(70, "w0", task0, 1)
		}},
		{name: "a team over its limit", broken: "QUOTA", rules: limited, job: with(func(s *workerproc.Step) { s.Count = 3 }), play: func(s *story) {
			s.start(10, "w0", task0, 1)
			s.start(20, "w1", task1, 1)
			s.start(30, "w2", jobID+".0.0.2", 1)
		}},
		{name: "a team over its limit by one task", rules: limited, play: func(s *story) { s.start(10, "w0", task0, 1); s.start(20, "w1", task1, 1) }},
		{name: "a job that nobody sent", broken: "UNASKED", play: func(s *story) { s.start(10, "w0", "00000002.0.0.0", 1) }},
		{name: "a task that the job doesn't have", broken: "UNASKED", play: func(s *story) { s.start(10, "w0", jobID+".0.0.2", 1) }},
		{name: "another specification", broken: "UNASKED", play: func(s *story) {
			s.start(10, "w0", task0, 1, func(e *workerproc.Event) { e.Spec = "{}" })
		}},
		{name: "the checkpoint of another task", broken: "UNASKED", job: with(checkpointing), play: func(s *story) {
			s.add(10, workerproc.Event{Kind: workerproc.Saved, Worker: "w0", Task: task1, Run: 1, Checkpoint: "c"})
			s.start(20, "w0", task0, 2, from("c"))
		}},
		{name: "the own checkpoint", job: with(checkpointing), play: func(s *story) {
			s.add(10, workerproc.Event{Kind: workerproc.Saved, Worker: "w0", Task: task0, Run: 1, Checkpoint: "c"})
			s.start(20, "w0", task0, 2, from("c"))
		}},
		{name: "the checkpoint of another member of the gang", job: with(gang), play: func(s *story) {
			s.add(10, workerproc.Event{Kind: workerproc.Saved, Worker: "w0", Task: task1, Run: 1, Checkpoint: "c"})
			s.start(20, "w0", task0, 2, from("c"))
			s.start(20, "w1", task1, 2, from("c"))
		}},
		{name: "members of a gang with different checkpoints", broken: "UNASKED", job: with(gang), play: func(s *story) {
			s.add(10, workerproc.Event{Kind: workerproc.Saved, Worker: "w0", Task: task1, Run: 1, Checkpoint: "c"})
			s.start(20, "w0", task0, 2, from("c"))
			s.start(20, "w1", task1, 2)
		}},
		{name: "start 3.1 s after the cancellation", broken: "UNASKED", play: func(s *story) {
			s.cancel(10)
			s.start(3110, "w0", task0, 1)
			s.end(3200, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "start 2.9 s after the cancellation", play: func(s *story) {
			s.cancel(10)
			s.start(2910, "w0", task0, 1)
			s.end(3000, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "start 3.1 s after the cancellation by a late order", play: func(s *story) {
			s.cancel(10)
			s.start(3110, "w0", task0, 1, late)
			s.end(7900, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "late start that runs on for 5 s", broken: "UNASKED", play: func(s *story) {
			s.cancel(10)
			s.start(3110, "w0", task0, 1, late)
			s.end(8100, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "start 3.1 s after the cancellation, 1.2 s of it with a fault of the worker", play: func(s *story) {
			s.cancel(10)
			s.BeginFault(20*ms, "w0").End(220 * ms)
			s.start(3110, "w0", task0, 1)
			s.end(3200, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "start 3.1 s after the cancellation with a fault of another worker", broken: "UNASKED", play: func(s *story) {
			s.cancel(10)
			s.BeginFault(20*ms, "w1").End(220 * ms)
			s.start(3110, "w0", task0, 1)
			s.end(3200, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "a run that goes on for 4 s after the cancellation", broken: "UNASKED", play: func(s *story) {
			s.start(5, "w0", task0, 1)
			s.cancel(10)
			s.end(4010, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "a run that goes on for 3.8 s after the cancellation", play: func(s *story) {
			s.start(5, "w0", task0, 1)
			s.cancel(10)
			s.end(3810, "w0", task0, 1, workerproc.Stopped)
		}},
		{name: "a step before the tasks of the earlier one", broken: "ORDER", play: func(s *story) {
			s.run(10, "w0", task0, 1, workerproc.Done)
			s.start(80, "w0", next0, 1)
		}},
		{name: "a step after the tasks of the earlier one", play: func(s *story) {
			s.run(10, "w0", task0, 1, workerproc.Done)
			s.run(10, "w1", task1, 1, workerproc.Done)
			s.start(80, "w0", next0, 1)
		}},
		{name: "a third attempt after two failed runs", broken: "BUDGET", play: func(s *story) { failTwice(s, workerproc.Failed) }},
		{name: "a third attempt after a failed and a stopped run", play: func(s *story) { failTwice(s, workerproc.Stopped) }},
		{name: "a worker without the label", broken: "ROUTE", job: with(func(s *workerproc.Step) { s.Label = "b" }), play: func(s *story) { s.start(10, "w0", task0, 1) }},
		{name: "a worker with the label", job: with(func(s *workerproc.Step) { s.Label = "a" }), play: func(s *story) { s.start(10, "w0", task0, 1) }},
		{name: "two tasks of a step that permits one per worker", broken: "ROUTE", job: with(onePerServer), play: func(s *story) { s.start(10, "w0", task0, 1); s.start(20, "w0", task1, 1) }},
		{name: "two tasks of a step that permits one per worker on two workers", job: with(onePerServer), play: func(s *story) { s.start(10, "w0", task0, 1); s.start(20, "w1", task1, 1) }},
		{name: "a member alone", broken: "GANG", job: with(gang), play: func(s *story) {
			s.start(8000, "w0", task0, 1)
			s.end(11000, "w0", task0, 1, workerproc.Alone)
		}},
		{name: "a member alone beside a fault", job: with(gang), play: func(s *story) {
			s.start(8000, "w0", task0, 1)
			s.BeginFault(9000*ms, "w1").End(9100 * ms)
			s.end(11000, "w0", task0, 1, workerproc.Alone)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.job.ID == "" {
				c.job = aJob()
			}
			if c.rules.MaxAttempts == 0 {
				c.rules = DefaultRules()
			}
			c.rules.StillFor = time.Hour
			s := newStory(c.job, c.rules)
			c.play(s)
			if c.broken == "" {
				s.expect(t, 20000)
			} else {
				s.expect(t, 20000, c.broken)
			}
		})
	}
}

func (s *story) cancel(at time.Duration) {
	s.Canceling((at-1)*ms, jobID)
	s.Canceled(at*ms, jobID)
}

func with50msLag() Rules {
	r := DefaultRules()
	r.CapacityLag = 50 * ms
	return r
}

func onePerServer(s *workerproc.Step) { s.MaxPerServer = 1 }

// killWhilePaused plays a worker whose lease ends at 500 ms and that is killed at 900 ms, and a second run of its task.
func killWhilePaused(s *story, second time.Duration) {
	s.up(5, "w3", 1)
	s.add(6, workerproc.Event{Kind: workerproc.Leased, Worker: "w3", Until: 500 * ms})
	s.start(10, "w3", task0, 1)
	s.start(second, "w1", task0, 2)
	s.add(900, workerproc.Event{Kind: workerproc.Down, Worker: "w3"})
}

// completeWithoutNote plays a job that is shown as completed at 400 ms, though the end of its last task isn't acknowledged.
func completeWithoutNote(s *story) {
	s.run(10, "w0", task0, 1, workerproc.Done)
	s.run(10, "w1", task1, 1, workerproc.Done)
	s.start(100, "w2", next0, 1)
	s.end(200, "w2", next0, 1, workerproc.Done)
	s.Shown(400*ms, jobID, "completed")
}

// startFive starts four tasks on a worker.
func startFive(s *story) {
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.0.3"} {
		s.start(10, "w0", jobID+task, 1)
	}
}

// failTwice plays a failed run, a second one that ends as given, and the start of a third.
func failTwice(s *story, second workerproc.Outcome) {
	s.run(10, "w0", task0, 1, workerproc.Failed)
	s.run(100, "w0", task0, 2, second)
	s.start(200, "w0", task0, 3)
}

// TestRefusedJob guards against starts of refused jobs that go unnoticed, and against a violation if one attempt is unknown.
func TestRefusedJob(t *testing.T) {
	for _, answer := range []Answer{Refused, Unknown} {
		s := &story{Checker: New(DefaultRules())}
		s.up(0, "w0", 1)
		s.Submitting(1*ms, aJob())
		s.Answered(2*ms, jobID, Refused)
		s.Submitting(3*ms, aJob())
		s.Answered(4*ms, jobID, answer)
		s.start(10, "w0", task0, 1)
		if answer == Refused {
			s.expect(t, 100, "REFUSED")
		} else {
			s.expect(t, 100)
		}
	}
}

// TestIdleJob guards against accepted jobs that stand still though they could run, and against a violation while they can't.
func TestIdleJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		play   func(s *story)
		broken string
	}{
		{name: "first run failed, nothing afterwards", broken: "LOST", play: func(s *story) { s.run(10000, "w0", task0, 1, workerproc.Failed) }},
		{name: "again within 3 s", play: func(s *story) {
			s.run(10000, "w0", task0, 1, workerproc.Failed)
			s.start(12900, "w1", task0, 2)
		}},
		{name: "fault 3.5 s before", play: func(s *story) {
			s.run(10000, "w0", task0, 1, workerproc.Failed)
			s.BeginFault(6600*ms, "w2").End(6700 * ms)
		}},
		{name: "the only end done was lost with its worker", broken: "LOST", play: func(s *story) {
			s.run(9991, "w1", task1, 10, workerproc.Done)
			s.start(10000, "w0", task0, 1)
			s.end(10040, "w0", task0, 1, workerproc.Done)
			s.add(10050, workerproc.Event{Kind: workerproc.Down, Worker: "w0"})
		}},
		{name: "an end that was recorded but not acknowledged was lost with its worker", play: func(s *story) {
			s.run(9991, "w1", task1, 10, workerproc.Done)
			s.start(9992, "w0", task0, 1)
			s.end(10000, "w0", task0, 1, workerproc.Done)
			s.run(10100, "w1", next0, 1, workerproc.Done)
			s.add(10160, workerproc.Event{Kind: workerproc.Down, Worker: "w0"})
			s.Shown(13000*ms, jobID, "completed")
		}},
		{name: "the only end done was acknowledged after the lease expired", play: func(s *story) {
			s.run(9991, "w1", task1, 10, workerproc.Done)
			s.start(9992, "w0", task0, 1)
			s.end(10000, "w0", task0, 1, workerproc.Done)
			s.add(10010, workerproc.Event{Kind: workerproc.Lapsed, Worker: "w0"})
			s.ack(10020, "w0")
			s.run(10100, "w1", next0, 1, workerproc.Done)
			s.add(10200, workerproc.Event{Kind: workerproc.Down, Worker: "w0"})
		}},
		{name: "advice admits no worker with room", play: func(s *story) {
			s.rules.Admits = func(_, worker string) bool { return worker == "w9" }
			s.run(10000, "w0", task0, 1, workerproc.Failed)
		}},
		{name: "all workers drain", play: func(s *story) {
			s.run(10000, "w0", task0, 1, workerproc.Failed)
			for _, id := range []string{"w0", "w1", "w2"} {
				s.add(11000, workerproc.Event{Kind: workerproc.Registered, Worker: id, State: "draining"})
			}
		}},
		{name: "canceled within 3 s", play: func(s *story) {
			s.run(10000, "w0", task0, 1, workerproc.Failed)
			s.cancel(12900)
		}},
		{name: "both attempts failed", play: func(s *story) {
			s.run(10000, "w0", task0, 1, workerproc.Failed)
			s.run(10100, "w0", task0, 2, workerproc.Failed)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := aJob()
			j.Advised = true
			s := newStory(j, DefaultRules())
			s.start(2, "w2", task1, 9) // keeps the job busy until 9.99 s
			s.end(9990, "w2", task1, 9, workerproc.Stopped)
			c.play(s)
			if c.broken == "" {
				s.expect(t, 13200)
			} else {
				s.expect(t, 13200, c.broken)
			}
		})
	}
}

// TestShownStates guards against states shown to clients that don't agree with what ran.
func TestShownStates(t *testing.T) {
	s := newStory(aJob(), DefaultRules())
	s.run(10, "w0", task0, 1, workerproc.Done)
	s.run(10, "w1", task1, 1, workerproc.Done)
	s.run(100, "w2", next0, 1, workerproc.Done)
	s.Shown(140*ms, jobID, "running")
	s.Shown(151*ms, jobID, "completed")
	s.expect(t, 200)
	s.Shown(149*ms, jobID, "completed")
	s.Shown(160*ms, jobID, "failed")
	s.Shown(160*ms, jobID, "canceled")
	s.expect(t, 200, "MIXED", "LOST", "LOST")
	assert.Assert(t, !s.IsRunning(task0))
	assert.Assert(t, s.HasStarted(jobID))
}

// TestIdleService guards against a service that isn't restarted while other tasks of its job run, and against a violation
// within the time that a restart may take.
func TestIdleService(t *testing.T) {
	j := aJob()
	j.Steps[0].Service = true
	for until, rules := range map[time.Duration][]string{18900: nil, 19200: {"LOST"}} {
		s := newStory(j, DefaultRules())
		s.start(10, "w0", task0, 1)
		s.start(10, "w1", task1, 1)
		s.end(10000, "w0", task0, 1, workerproc.Failed)
		s.expect(t, until, rules...)
	}
}

// TestIdleJobInBusyCell guards against a limit of the capacity in use that doesn't apply.
func TestIdleJobInBusyCell(t *testing.T) {
	for _, maxInUse := range []float64{0.5, 1} {
		r := DefaultRules()
		r.MaxInUse = maxInUse
		s := newStory(aJob(), r)
		other := aJob()
		other.ID, other.Steps[0].Count = "00000002", 7
		s.Submitting(1*ms, other)
		s.Answered(2*ms, other.ID, Accepted)
		for i := range 7 {
			s.start(10, []string{"w0", "w1"}[i/4], workerproc.TaskName{Job: other.ID, Index: i}.String(), 1)
		}
		if maxInUse == 1 {
			s.expect(t, 8000, "LOST")
		} else {
			s.expect(t, 8000)
		}
	}
}
