package workerproc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testFleet is a fleet in a test, with everything that its workers reported.
type testFleet struct {
	*Fleet
	t      *testing.T
	mu     sync.Mutex
	events []Event
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t}
	f.Fleet = NewFleet(func(e Event) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.events = append(f.events, e)
	})
	t.Cleanup(f.Close)
	return f
}

func (f *testFleet) launch(o Options) *Process {
	f.t.Helper()
	o.Capacity = Capacity{CPU: 4000, MemMB: 1000}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	p, err := f.Start(o)
	assert.NilError(f.t, err)
	return p
}

// await waits for an event of a kind for a task and returns it.
func (f *testFleet) await(kind Kind, task string, run int) Event {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		events := f.events
		f.mu.Unlock()
		for _, e := range events {
			if e.Kind == kind && e.Task == task && e.Run == run {
				return e
			}
		}
	}
	f.t.Fatalf("no event %s of run %d of %q", kind, run, task)
	return Event{}
}

type reply struct {
	ClockMS int64    `json:"clock_ms"`
	Reason  string   `json:"reason"`
	Running [][5]any `json:"running"`
	Ended   [][5]any `json:"ended_runs"`
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post calls a worker and returns the status, or 0 without a response.
func (f *testFleet) post(p *Process, path string, r request) (int, reply) {
	f.t.Helper()
	body, err := json.Marshal(r)
	assert.NilError(f.t, err)
	call, err := http.NewRequest(http.MethodPost, "http://"+p.Address+path, bytes.NewReader(body))
	assert.NilError(f.t, err)
	call.Header.Set("Expect-Instance", p.ID)
	response, err := client.Do(call)
	if err != nil {
		return 0, reply{}
	}
	defer response.Body.Close()
	var decoded reply
	_ = json.NewDecoder(response.Body).Decode(&decoded) // some responses have no body
	return response.StatusCode, decoded
}

// order returns a start of a task that may run for a lease.
func order(p *Process, j Job, task string, run int, lease time.Duration) request {
	return request{Task: task, Run: run, Spec: j.Spec(), DueMS: clockStartMS + (time.Now().UnixMilli() - p.BornMS) + lease.Milliseconds()}
}

func oneStep(s Step) Job { return Job{ID: "1", Steps: []Step{s}} }

// TestRestartedWorkerKnowsNothing guards against state that outlives a worker's process, and against another address.
func TestRestartedWorkerKnowsNothing(t *testing.T) {
	f := newTestFleet(t)
	j := oneStep(Step{Count: 1, Duration: time.Hour})
	p := f.launch(Options{ID: "w"})
	status, _ := f.post(p, "/run-start", order(p, j, "1.0.0.0", 1, time.Second))
	assert.Equal(t, status, http.StatusOK)
	p.Kill()
	assert.Equal(t, f.Life("w"), 0)
	second := f.launch(Options{ID: "w", Address: p.Address})
	assert.Equal(t, second.Address, p.Address)
	status, r := f.post(second, "/hold", request{})
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(r.Running)+len(r.Ended), 0)
	assert.Equal(t, f.Life("w"), 2)
	assert.Assert(t, f.await(Down, "", 0).At < f.await(Started, "1.0.0.0", 1).At+10*time.Second)
}

// TestLeaseEndsDuringPause guards against work that counts as done although it was finished after the end of the lease, in a
// process that was paused.
func TestLeaseEndsDuringPause(t *testing.T) {
	f := newTestFleet(t)
	j := oneStep(Step{Count: 1, Duration: 400 * time.Millisecond})
	p := f.launch(Options{ID: "w"})
	status, _ := f.post(p, "/run-start", order(p, j, "1.0.0.0", 1, 200*time.Millisecond))
	assert.Equal(t, status, http.StatusOK)
	p.Pause()
	time.Sleep(600 * time.Millisecond)
	resumed := Now()
	p.Resume()
	end := f.await(Ended, "1.0.0.0", 1)
	assert.Equal(t, end.Outcome, LeaseLapsed)
	assert.Assert(t, end.At < resumed-200*time.Millisecond, "at %s, resumed at %s", end.At, resumed)
}

// TestGangAcrossWorkers guards against gangs that work without all members, don't end together or survive a member.
func TestGangAcrossWorkers(t *testing.T) {
	f := newTestFleet(t)
	j := oneStep(Step{Count: 2, Duration: 300 * time.Millisecond, Gang: true})
	a, b := f.launch(Options{ID: "a"}), f.launch(Options{ID: "b"})
	start := func(p *Process, task string, run int) {
		status, _ := f.post(p, "/run-start", order(p, j, task, run, 10*time.Second))
		assert.Equal(t, status, http.StatusOK)
	}
	start(a, "1.0.0.0", 1)
	time.Sleep(400 * time.Millisecond)
	start(b, "1.0.0.1", 1)
	first, second := f.await(Ended, "1.0.0.0", 1), f.await(Ended, "1.0.0.1", 1)
	assert.Equal(t, first.Outcome, Done)
	assert.Equal(t, second.Outcome, Done)
	assert.Equal(t, first.At, second.At)
	assert.Assert(t, first.At >= f.await(Started, "1.0.0.1", 1).At+300*time.Millisecond)

	start(a, "1.0.0.0", 2)
	start(b, "1.0.0.1", 2)
	b.Kill()
	assert.Equal(t, f.await(Ended, "1.0.0.0", 2).Outcome, Broken)
	start(a, "1.0.0.0", 3)
	alone := f.await(Ended, "1.0.0.0", 3)
	assert.Equal(t, alone.Outcome, Alone)
	assert.Equal(t, alone.At, f.await(Started, "1.0.0.0", 3).At+DefaultBounds.GangWait)
}

// TestCallFaults guards against faults that don't happen as commanded.
func TestCallFaults(t *testing.T) {
	f := newTestFleet(t)
	j := oneStep(Step{Count: 9, Duration: time.Hour})
	p := f.launch(Options{ID: "w"})
	start := func(index int) int {
		status, _ := f.post(p, "/run-start", order(p, j, fmt.Sprint("1.0.0.", index), 1, time.Second))
		return status
	}
	p.Send(Command{Op: RejectCalls, Path: "/run-start", Count: 1, Status: http.StatusServiceUnavailable})
	p.Send(Command{Op: Resize, Capacity: Capacity{CPU: 1}}) // the event shows that the commands were carried out
	f.await(Resized, "", 0)
	assert.Equal(t, start(0), http.StatusServiceUnavailable)
	assert.Equal(t, start(0), http.StatusOK)

	p.Send(Command{Op: LoseResponses, Path: "/run-start", Count: 1})
	p.Send(Command{Op: DelayExecution, Path: "/run-start", Count: 1, Delay: 300 * time.Millisecond})
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, start(1), 0)
	assert.Assert(t, !f.await(Started, "1.0.0.1", 1).Late)
	client.Timeout = 100 * time.Millisecond
	defer func() { client.Timeout = 5 * time.Second }()
	assert.Equal(t, start(2), 0)
	status, r := f.post(p, "/hold", request{})
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(r.Running), 2)
	assert.Assert(t, f.await(Started, "1.0.0.2", 1).Late)
}

// TestCrashingTask guards against a worker that survives a task that crashes it.
func TestCrashingTask(t *testing.T) {
	f := newTestFleet(t)
	p := f.launch(Options{ID: "w"})
	f.post(p, "/run-start", order(p, oneStep(Step{Count: 1, CrashesWorker: true}), "1.0.0.0", 1, time.Second))
	<-p.Done()
	assert.Equal(t, f.await(Down, "", 0).At, f.await(Started, "1.0.0.0", 1).At+crashDelay)
}
