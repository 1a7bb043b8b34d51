package health

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
)

var start = time.Unix(1e9, 0)

// outcome is one step: job's task 0 ends on a worker.
type outcome struct {
	job, worker string
	succeeded   bool
}

func ok(id, worker string) outcome   { return outcome{id, worker, true} }
func fail(id, worker string) outcome { return outcome{id, worker, false} }

func (o outcome) apply(t *Tracker, now time.Time) []Verdict {
	return t.Observe(Outcome{Worker: o.worker, Task: job.TaskID{Job: job.ID(o.job)}, Kind: "k", Succeeded: o.succeeded}, now)
}

func describe(verdicts []Verdict) []string {
	list := []string{}
	for _, v := range verdicts {
		list = append(list, fmt.Sprintf("%s %s%s", v.Action, v.Worker, v.Job))
	}
	return list
}

// TestObserve guards against quarantining healthy workers, failing healthy jobs, and missing faulty ones.
func TestObserve(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []outcome
		want  []string
	}{
		{"worker fails five jobs that work elsewhere", []outcome{ok("x", "b"), fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a")},
			[]string{"quarantine a"}},
		{"four jobs", []outcome{ok("x", "b"), fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("4", "a")}, nil},
		{"interrupted by a success", []outcome{ok("x", "b"), fail("1", "a"), fail("2", "a"), fail("3", "a"), ok("x", "a"), fail("4", "a"), fail("5", "a")}, nil},
		{"nothing succeeds elsewhere", []outcome{ok("x", "a"), fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a")}, nil},
		{"the jobs succeed elsewhere later", []outcome{fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a"),
			ok("1", "b"), ok("2", "b"), ok("3", "b"), ok("4", "b"), ok("5", "b")}, []string{"quarantine a"}},
		{"a worker that works again", []outcome{ok("x", "b"), fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a"), ok("6", "a")},
			[]string{"quarantine a", "restore a"}},
		{"the jobs were at fault", []outcome{ok("x", "b"), fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a"), fail("1", "c")},
			[]string{"quarantine a", "restore a"}},
		{"job fails on three workers", []outcome{ok("x", "a"), fail("1", "a"), fail("1", "b"), fail("1", "c")}, []string{"fail job 1"}},
		{"twice on one worker", []outcome{fail("1", "a"), fail("1", "b"), fail("1", "b")}, nil},
		{"failures on a quarantined worker don't count", []outcome{ok("x", "b"), fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a"),
			fail("6", "a"), fail("6", "b"), fail("6", "c"), fail("6", "d")}, []string{"quarantine a", "fail job 6"}},
		{"failures on a suspect worker don't count", []outcome{ok("x", "b"), fail("2", "a"), fail("3", "a"), fail("1", "a"), fail("1", "b"), fail("1", "c")}, nil},
		{"nine workers, all suspect", slices.Concat([]outcome{ok("x", "z")}, failOnSuspectWorkers(9)), []string{"fail job 1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker, got := NewTracker(), []string{}
			for i, step := range test.steps {
				got = append(got, describe(step.apply(tracker, start.Add(time.Duration(i)*time.Second)))...)
			}
			assert.DeepEqual(t, got, append([]string{}, test.want...))
		})
	}
}

// failOnSuspectWorkers makes job 1 and two other jobs fail on each of n workers.
func failOnSuspectWorkers(n int) []outcome {
	var steps []outcome
	for i := range n {
		w := fmt.Sprintf("w%d", i)
		steps = append(steps, fail("p"+w, w), fail("q"+w, w), fail("1", w))
	}
	return steps
}

// TestProbes guards against more than one probe at a time, against a back-off that doesn't grow or grows without bound,
// and against counting the failure of a probe against the worker if its job fails on every worker.
func TestProbes(t *testing.T) {
	tracker, now := NewTracker(), start
	for _, step := range []outcome{ok("x", "b"), fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a"), fail("bad", "c")} {
		step.apply(tracker, now)
	}
	delay := probeMinDelay
	probe := func(id string) {
		task := job.TaskID{Job: job.ID(id)}
		assert.Assert(t, !tracker.ProbeDue("a", now.Add(delay-time.Second)))
		now = now.Add(delay)
		assert.Assert(t, tracker.StartProbe("a", task, now))
		assert.Assert(t, !tracker.StartProbe("a", job.TaskID{Job: "other"}, now.Add(time.Hour)))
	}
	for i := range 9 {
		id := fmt.Sprint("p", i)
		probe(id)
		ok("x", "b").apply(tracker, now)
		fail(id, "a").apply(tracker, now)
		delay = min(2*delay, probeMaxDelay)
	}
	assert.Equal(t, delay, probeMaxDelay)
	probe("cancelled")
	tracker.CancelProbe("a", job.TaskID{Job: "cancelled"}, now)
	probe("6")
	assert.DeepEqual(t, describe(ok("6", "a").apply(tracker, now)), []string{"restore a"})

	for _, step := range []outcome{fail("1", "a"), fail("2", "a"), fail("3", "a"), fail("4", "a"), fail("5", "a")} {
		ok("x", "b").apply(tracker, now)
		step.apply(tracker, now)
	}
	delay = probeMinDelay
	probe("bad")
	fail("bad", "a").apply(tracker, now)
	probe("7") // due after the same delay, because the failed job is at fault
}

// TestBothAtOnce guards against mistaking faulty workers for faulty jobs and vice versa while both are present. The
// workers become faulty ten seconds apart: a job that is the first to fail on three workers that become faulty together
// can't be told from a faulty one at that moment.
func TestBothAtOnce(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		tracker, failed, now := NewTracker(), map[job.ID]bool{}, start
		badWorker := func(w, round int) bool { return w < 3 && round >= 100*(w+1) }
		badJob := func(j int) bool { return j%8 == 0 }
		avoid := map[string]bool{}
		for round := range 6000 {
			now = now.Add(100 * time.Millisecond)
			j, w := rng.IntN(40), rng.IntN(20)
			if rng.IntN(2) == 0 {
				w = rng.IntN(3) // workers whose tasks fail immediately are idle and attract work
			}
			id, worker := job.ID(fmt.Sprint("j", j)), fmt.Sprint("w", w)
			if failed[id] || tracker.Quarantined(worker) || avoid[string(id)+worker] {
				continue
			}
			succeeded := !badWorker(w, round) && !badJob(j)
			avoid[string(id)+worker] = !succeeded
			for _, v := range tracker.Observe(Outcome{worker, job.TaskID{Job: id}, "k", succeeded}, now) {
				if v.Action == FailJob {
					failed[v.Job] = true
					assert.Assert(t, v.Job != "" && badJob(jobNumber(string(v.Job))), "seed %d round %d: healthy job %s failed: %s", seed, round, v.Job, v.Reason)
				}
			}
		}
		for w := range 20 {
			assert.Equal(t, tracker.Quarantined(fmt.Sprint("w", w)), badWorker(w, 6000), "seed %d: worker %d", seed, w)
		}
		for j := range 40 {
			assert.Equal(t, failed[job.ID(fmt.Sprint("j", j))], badJob(j), "seed %d: job %d", seed, j)
		}
	}
}

func jobNumber(id string) (n int) {
	_, _ = fmt.Sscanf(id, "j%d", &n)
	return n
}
