package workerproc

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeWorker is a worker whose clock a test moves.
type fakeWorker struct {
	*worker
	now    time.Duration
	events []Event
}

func newFakeWorker(change ...func(*Options)) *fakeWorker {
	f := &fakeWorker{now: time.Hour}
	o := Options{ID: "w", Life: 1, Capacity: Capacity{CPU: 2000, MemMB: 1000}, Clock: func() time.Duration { return f.now },
		Emit: func(e Event) { f.events = append(f.events, e) }}
	for _, c := range change {
		c(&o)
	}
	f.worker = newWorker(o)
	return f
}

func (f *fakeWorker) pass(d time.Duration) {
	f.now += d
	f.wake()
}

// outcomes describes the ends so far.
func (f *fakeWorker) outcomes() string {
	var parts []string
	for _, e := range f.events {
		if e.Kind == Ended {
			parts = append(parts, fmt.Sprintf("%s/%d %s at %d", e.Task, e.Run, e.Outcome, (e.At-time.Hour).Milliseconds()))
		}
	}
	return strings.Join(parts, ", ")
}

// order starts a run with a lease of 5 s and returns why it was rejected, if it was.
func (f *fakeWorker) order(j Job, task string, run int, change ...func(*request)) string {
	req := request{Task: task, Run: run, Spec: j.Spec(), DueMS: f.clockMS(f.now) + 5000}
	for _, c := range change {
		c(&req)
	}
	return reason(f.execute(req, f.start))
}

func reason(r response) string {
	if r.status == http.StatusOK {
		return ""
	}
	return r.body.(clockBody).Reason
}

const second = time.Second

// TestStartRejections guards against starts that the platform's workers would reject, and against a lease that a rejected
// start extends or doesn't extend unlike theirs.
func TestStartRejections(t *testing.T) {
	f := newFakeWorker(func(o *Options) { o.Guarded = true })
	j := oneStep(Step{Count: 9, CPU: 1000, Duration: second})
	assert.Equal(t, f.order(j, "1.0.0.0", 3, func(r *request) { r.Token = 5 }), "")
	assert.Equal(t, f.order(j, "1.0.0.1", 1, func(r *request) { r.Token = 4 }), "fence")
	withToken := func(r *request) { r.Token = 5 }
	assert.Equal(t, f.order(j, "1.0.0.0", 3, withToken), "")
	assert.Equal(t, f.order(j, "1.0.0.1", 1, withToken, func(r *request) { r.DueMS = clockStartMS }), "late")
	f.execute(request{Task: "1.0.0.2", Run: 2, Token: 5}, f.stop)
	assert.Equal(t, f.order(j, "1.0.0.2", 2, withToken), "old")
	assert.Equal(t, f.order(j, "1.0.0.2", 3, withToken), "")
	assert.Equal(t, f.order(j, "1.0.0.3", 1, withToken, func(r *request) { r.DueMS += 2000 }), "room")
	f.pass(900 * time.Millisecond)
	assert.Equal(t, f.leaseEnd, time.Hour+7*second)
	f.pass(100 * time.Millisecond)
	assert.Equal(t, f.order(j, "1.0.0.0", 3, withToken), "old")
	assert.Equal(t, f.outcomes(), "1.0.0.0/3 done at 1000, 1.0.0.2/3 done at 1000")
}

// TestTicketIsRequired guards against starts on an advised queue without a ticket for the step and the worker's life.
func TestTicketIsRequired(t *testing.T) {
	f := newFakeWorker()
	j := oneStep(Step{Count: 1, Duration: second})
	j.Advised = true
	for _, c := range []struct {
		ticket   string
		expected string
	}{
		{"", "ticket"},
		{NewTicket("1.0.1", "w", 1, f.now+second), "ticket"},
		{NewTicket("1.0.0", "w", 2, f.now+second), "ticket"},
		{NewTicket("1.0.0", "w", 1, f.now-second), "ticket"},
		{NewTicket("1.0.0", "w", 1, f.now+second), ""},
	} {
		assert.Equal(t, f.order(j, "1.0.0.0", 1, func(r *request) { r.Ticket = c.ticket }), c.expected, c.ticket)
	}
}

// TestLeaseOnSlowClock guards against a lease that doesn't follow the worker's own clock, or exceeds the longest lease.
func TestLeaseOnSlowClock(t *testing.T) {
	f := newFakeWorker(func(o *Options) { o.SlowBy = 0.02 })
	j := oneStep(Step{Count: 9, Duration: 50 * second})
	assert.Equal(t, f.order(j, "1.0.0.0", 1), "")
	f.pass(5101 * time.Millisecond)
	assert.Equal(t, f.outcomes(), "")
	f.pass(2 * time.Millisecond)
	assert.Equal(t, f.outcomes(), "1.0.0.0/1 lapsed at 5102")
	assert.Equal(t, f.order(j, "1.0.0.1", 1, func(r *request) { r.DueMS += 60000 }), "")
	assert.Equal(t, f.leaseEnd-f.now > 10*second && f.leaseEnd-f.now < 10*second*103/100, true)
}

// TestStopTakesTime guards against a stop that ends its run at once, or lets it finish.
func TestStopTakesTime(t *testing.T) {
	f := newFakeWorker()
	j := oneStep(Step{Count: 1, Duration: second, Checkpointing: true})
	assert.Equal(t, f.order(j, "1.0.0.0", 1), "")
	f.pass(999 * time.Millisecond)
	assert.Equal(t, reason(f.execute(request{Task: "1.0.0.0", Run: 1}, f.stop)), "")
	assert.Equal(t, len(f.runs), 1)
	assert.Equal(t, f.order(j, "1.0.0.0", 1), "old")
	f.pass(second)
	end := f.events[len(f.events)-1]
	assert.Equal(t, end.Outcome, Stopped)
	assert.Assert(t, end.Checkpoint != "")
}

// TestRunResumesFromCheckpoint guards against work that is repeated or skipped after a checkpoint.
func TestRunResumesFromCheckpoint(t *testing.T) {
	f := newFakeWorker()
	j := oneStep(Step{Count: 1, Duration: 2500 * time.Millisecond, Checkpointing: true})
	assert.Equal(t, f.order(j, "1.0.0.0", 2, func(r *request) { r.Checkpoint = newCheckpoint(1200*time.Millisecond, "x") }), "")
	f.pass(3 * second)
	assert.Equal(t, f.outcomes(), "1.0.0.0/2 done at 1550")
	assert.Equal(t, f.events[2].Kind, Saved)
	assert.Equal(t, f.events[2].At, time.Hour+1250*time.Millisecond)
}

// TestStalledRunMakesNoProgress guards against runs that finish while the worker's runs stand still, and against lost work.
func TestStalledRunMakesNoProgress(t *testing.T) {
	f := newFakeWorker()
	assert.Equal(t, f.order(oneStep(Step{Count: 1, Duration: second}), "1.0.0.0", 1), "")
	f.pass(400 * time.Millisecond)
	f.command(Command{Op: Stall, On: true})
	f.pass(2 * second)
	assert.Equal(t, f.outcomes(), "")
	f.command(Command{Op: Stall})
	f.pass(second)
	assert.Equal(t, f.outcomes(), "1.0.0.0/1 done at 3000")
}

// TestFailingRuns guards against runs that don't fail as their specification or a command says.
func TestFailingRuns(t *testing.T) {
	f := newFakeWorker()
	j := oneStep(Step{Count: 1, Duration: second, FailRuns: []int{2}})
	assert.Equal(t, f.order(j, "1.0.0.0", 1), "")
	f.pass(second)
	assert.Equal(t, f.order(j, "1.0.0.0", 2), "")
	f.pass(second)
	f.command(Command{Op: Fail, On: true})
	assert.Equal(t, f.order(j, "1.0.0.0", 3), "")
	f.pass(second)
	assert.Equal(t, f.outcomes(), "1.0.0.0/1 done at 1000, 1.0.0.0/2 failed at 1500, 1.0.0.0/3 failed at 2500")
	failed := 0
	for run := range 1000 {
		if (Step{FailProbability: 0.2}).fails("1.0.0.0", run) {
			failed++
		}
	}
	assert.Assert(t, failed > 140 && failed < 260, "%d of 1000 runs fail", failed)
}
