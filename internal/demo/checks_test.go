package demo

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/standin/worker"
)

var epoch = time.Unix(1_000_000, 0)

// run returns a run on worker w that lasts from second from to second to. A run with to 0 has no end.
func run(id job.ID, index int32, w string, slots int64, from, to int) worker.Run {
	r := worker.Run{Task: job.TaskID{Job: id, Index: index}, Worker: w, Reserved: resource.Vector{Slots: slots},
		Start: epoch.Add(time.Duration(from) * time.Second)}
	if to > 0 {
		r.End, r.State = epoch.Add(time.Duration(to)*time.Second), port.TaskSucceeded
	}
	return r
}

// Guards against a check that misses a limit exceeded only briefly, or reports one when a run starts at the moment at
// which another ends.
func TestLimitViolations(t *testing.T) {
	teams := map[job.ID]string{"A": "a", "S": "a", "B": "b"}
	limits := map[string]resource.Vector{"a": {Slots: 4}}
	service := run("S", 0, "w1", 2, 0, 0)
	for name, c := range map[string]struct {
		runs []worker.Run
		want int
	}{
		"within":             {[]worker.Run{service, run("A", 0, "w1", 2, 1, 2)}, 0},
		"an end and a start": {[]worker.Run{service, run("A", 0, "w1", 2, 1, 2), run("A", 1, "w2", 2, 2, 3)}, 0},
		"for a moment":       {[]worker.Run{service, run("A", 0, "w1", 2, 1, 3), run("A", 1, "w2", 1, 2, 3)}, 1},
		"before the service": {[]worker.Run{run("A", 0, "w1", 3, 0, 5), run("S", 0, "w1", 2, 4, 0)}, 1},
		"no limit":           {[]worker.Run{run("B", 0, "w1", 100, 0, 0)}, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, len(limitViolations(c.runs, teams, limits)), c.want) })
	}
}

// Guards against violated guarantees to callers that go unnoticed.
func TestRequestViolations(t *testing.T) {
	for _, c := range []struct {
		x     requestTry
		runs  int
		wrong string
	}{
		{requestTry{outcome: outcomeOK}, 1, ""},
		{requestTry{outcome: outcomeOK, idempotent: true}, 2, ""},
		{requestTry{outcome: outcomeOK}, 2, "ran 2 times"},
		{requestTry{outcome: outcomeOK, responder: "J/0#1 on w"}, 0, "answered by J/0#1 on w and isn't in the run log"},
		{requestTry{outcome: outcomeOK, mismatch: "other"}, 1, "isn't its own"},
		{requestTry{outcome: callerclient.NotRun, idempotent: true}, 0, ""},
		{requestTry{outcome: callerclient.NotRun, idempotent: true}, 1, "refused as not run"},
		{requestTry{outcome: callerclient.Unknown}, 1, ""},
		{requestTry{outcome: callerclient.Unknown}, 2, "ran 2 times"},
	} {
		got := requestViolation(c.x, c.runs)
		assert.Assert(t, (got == "") == (c.wrong == "") && strings.Contains(got, c.wrong), "%+v %d: %q", c.x, c.runs, got)
	}
}

// Guards against tasks that are lost, succeed twice or fail without being noticed.
func TestCheckJob(t *testing.T) {
	done := job.Status{Record: job.Record{ID: "A", Succeeded: 2}, Phase: job.Done}
	unknown := job.Status{Record: job.Record{ID: "A", Succeeded: 1, Unknown: 1}, Phase: job.Done}
	for name, c := range map[string]struct {
		status job.Status
		err    error
		ends   [2]int
		broken int
	}{
		"whole":       {done, nil, [2]int{1, 1}, 0},
		"task lost":   {done, nil, [2]int{1, 0}, 1},
		"task twice":  {done, nil, [2]int{1, 2}, 1},
		"unknown":     {unknown, nil, [2]int{1, 0}, 2},
		"not ended":   {job.Status{Record: job.Record{ID: "A"}, Phase: job.Running}, nil, [2]int{1, 1}, 1},
		"not reached": {job.Status{}, port.ErrUnavailable, [2]int{0, 0}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := &demo{}
			j := &plannedJob{class: classBatch, spec: job.Spec{Tasks: 2}, status: c.status, err: c.err}
			d.checkJob(j, map[job.TaskID]int{{Job: "A", Index: 0}: c.ends[0], {Job: "A", Index: 1}: c.ends[1]})
			assert.Equal(t, len(d.violations), c.broken, "%v", d.violations)
		})
	}
}

// Guards against tasks of divided jobs that are attributed to another job or confused with each other.
func TestJoinParts(t *testing.T) {
	j := &plannedJob{status: job.Status{Record: job.Record{ID: "A", Parts: []job.Part{{First: 0, Count: 3}, {First: 3, Count: 2}}}}}
	var got []string
	for _, r := range joinParts([]worker.Run{run("A.0", 2, "w", 1, 0, 1), run("A.1", 1, "w", 1, 0, 1), run("A.2", 0, "w", 1, 0, 1),
		run("S", 4, "w", 1, 0, 1)}, []*plannedJob{j}) {
		got = append(got, r.Task.String())
	}
	assert.DeepEqual(t, got, []string{"A/2", "A/4", "A.2/0", "S/4"})
}

// Guards against counted violations in the metrics that the demonstration doesn't detect.
func TestCountedViolations(t *testing.T) {
	text := "# TYPE sequoiastall_invariant_violations_total counter\n" +
		"sequoiastall_invariant_violations_total{invariant=\"a\"} 0\n" +
		"sequoiastall_invariant_violations_total{invariant=\"b\"} 2\n" +
		"sequoiastall_permit_violations 0\nsequoiastall_decisions 5\n"
	assert.DeepEqual(t, nonzeroViolations(text), []string{`sequoiastall_invariant_violations_total{invariant="b"} 2`})
}

// Guards against packing and usage figures that include time outside the window or are attributed to the wrong team.
func TestUsage(t *testing.T) {
	teams := map[job.ID]string{"A": "a", "B": "b"}
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	runs := []worker.Run{run("A", 0, "w1", 4, 0, 10), run("B", 0, "w1", 2, 4, 6), run("B", 1, "w2", 8, 20, 30)}
	u := newUsage(runs, teams, at(2), at(10))
	assert.Equal(t, u.teams["a"].mean(), 4.0)
	assert.Equal(t, u.teams["b"].mean(), 0.5)
	assert.Equal(t, u.teams["b"].peak, int64(8))
	p := u.packing(16, map[string]resource.Vector{"w1": {Slots: 8}, "w2": {Slots: 8}})
	assert.DeepEqual(t, p, Packing{PeakPercent: 50, MeanPercent: 100 * 4.5 / 16, HostPercent: 100 * 4.5 / 8})
}
