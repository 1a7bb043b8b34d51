package worker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/workerpb"
)

// owner calls a worker in the test's process as the owner of a partition would.
type owner struct {
	t     *testing.T
	w     *Worker
	node  string
	token uint64
	seen  uint64
}

const (
	controlTTL = 3 * time.Second
	taskTTL    = 12 * time.Second
)

func acquire(t *testing.T, w *Worker, node string) (*owner, *workerpb.AcquireResponse) {
	t.Helper()
	r, err := w.Acquire(t.Context(), &workerpb.AcquireRequest{
		Node: node, ControlTtlMs: controlTTL.Milliseconds(), TaskTtlMs: taskTTL.Milliseconds(),
	})
	assert.NilError(t, err)
	return &owner{t: t, w: w, node: node, token: r.Token, seen: r.EventSequence}, r
}

// sync sends a batch and returns the response; it advances seen.
func (o *owner) sync(r *workerpb.SyncRequest) *workerpb.SyncResponse {
	o.t.Helper()
	r.Token, r.Node, r.SeenThrough = o.token, o.node, o.seen
	out, err := o.w.Sync(o.t.Context(), r)
	assert.NilError(o.t, err)
	for _, e := range out.Events {
		o.seen = max(o.seen, e.Sequence)
	}
	return out
}

// holdLease renews the lease every second for d and returns the events received.
func (o *owner) holdLease(d time.Duration) (events []*workerpb.Event) {
	o.t.Helper()
	for ; d > 0; d -= time.Second {
		time.Sleep(min(d, time.Second))
		synctest.Wait()
		r := o.sync(&workerpb.SyncRequest{})
		assert.Assert(o.t, r.Accepted)
		events = append(events, r.Events...)
	}
	return events
}

func startRequest(j string, slots int64, payload string, tasks ...*workerpb.TaskStart) *workerpb.SyncRequest {
	return &workerpb.SyncRequest{Starts: []*workerpb.StartGroup{{
		Job: j, Reserved: &workerpb.Resources{Slots: slots, MemoryMb: 100}, DurationMs: 10_000, Payload: []byte(payload), Tasks: tasks,
	}}}
}

func taskStart(index, attempt int32) *workerpb.TaskStart {
	return &workerpb.TaskStart{Index: index, Attempt: attempt}
}

func commandRequest(j string, a workerpb.Action) *workerpb.SyncRequest {
	return &workerpb.SyncRequest{Commands: []*workerpb.Command{{Job: j, Attempt: 1, Action: a}}}
}

func testWorker(o Options) *Worker {
	o.ID = "w"
	o.Capacity = resource.Vector{Slots: 8, MemoryMB: 32_000}
	return New(o)
}

func runningTask(w *Worker, index int32) *task {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[taskID("j", index)]
}

func countRunning(w *Worker) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func runSynctest(t *testing.T, o Options, f func(t *testing.T, w *Worker)) {
	synctest.Test(t, func(t *testing.T) {
		w := testWorker(o)
		defer func() {
			w.Stop()
			assert.DeepEqual(t, w.Log().Violations(map[string]resource.Vector{"w": w.options.Capacity}), []string(nil))
		}()
		f(t, w)
	})
}

// Guards against two owners that command a worker at once, and against commands of an old owner that are accepted after
// a takeover.
func TestControlLeaseHasOneHolder(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, first := acquire(t, w, "a")
		_, r := acquire(t, w, "b")
		assert.Assert(t, !r.Granted)
		assert.Equal(t, r.Holder, "a")
		assert.Equal(t, r.HeldForMs, controlTTL.Milliseconds())
		again, r := acquire(t, w, "a")
		assert.Equal(t, r.Token, first.Token+1)
		assert.Assert(t, !a.sync(startRequest("j", 1, "", taskStart(0, 1))).Accepted)
		assert.Equal(t, countRunning(w), 0)

		time.Sleep(controlTTL)
		assert.Assert(t, !again.sync(startRequest("j", 1, "", taskStart(0, 1))).Accepted)
		b, r := acquire(t, w, "b")
		assert.Equal(t, r.Token, first.Token+2)
		assert.Assert(t, b.sync(&workerpb.SyncRequest{}).Accepted)

		_, err := w.Release(t.Context(), &workerpb.ReleaseRequest{Token: a.token, Node: "a"})
		assert.NilError(t, err)
		assert.Assert(t, b.sync(&workerpb.SyncRequest{}).Accepted)
		_, err = w.Release(t.Context(), &workerpb.ReleaseRequest{Token: b.token, Node: "b"})
		assert.NilError(t, err)
		_, r = acquire(t, w, "c")
		assert.Assert(t, r.Granted)
	})
}

// Guards against tasks that continue after their lease has lapsed, when a new owner may have started them elsewhere,
// and against tasks that end merely because the owner changes.
func TestTaskLease(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		a.sync(startRequest("j", 1, `{"true_duration_ms":60000}`, taskStart(0, 1)))
		time.Sleep(controlTTL + taskTTL - time.Millisecond)
		b, r := acquire(t, w, "b")
		assert.Equal(t, r.Tasks[0].State, workerpb.TaskState_RUNNING)
		_, err := w.Release(t.Context(), &workerpb.ReleaseRequest{Token: b.token, Node: "b"})
		assert.NilError(t, err)
		time.Sleep(taskTTL)
		synctest.Wait()
		_, r = acquire(t, w, "c")
		assert.Equal(t, r.Tasks[0].State, workerpb.TaskState_LAPSED)
		assert.Equal(t, w.Log().Runs()[0].State, port.TaskLapsed)
	})
}

// Guards against a completion that is reported although the lease had already lapsed: a frozen worker resumes when both
// the end of the task and the lapse have passed.
func TestCompletionAfterLapseIsLapsed(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		a.sync(startRequest("j", 1, "", taskStart(0, 1)))
		start := time.Now()
		time.Sleep(5 * time.Second)
		w.Freeze(true)
		time.Sleep(time.Minute)
		w.Freeze(false)
		run := w.Log().Runs()[0]
		assert.Equal(t, run.State, port.TaskLapsed)
		assert.Equal(t, run.End.Sub(start), controlTTL+taskTTL)
	})
}

// Guards against a false report of an overlap: a frozen worker's tasks end when their lease lapses, even if the worker
// never resumes or is killed while frozen.
func TestSuccessorOfFrozenWorkerDoesNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewRunLog()
		frozen, next := testWorker(Options{Log: log}), testWorker(Options{Log: log})
		defer next.Stop()
		a, _ := acquire(t, frozen, "a")
		a.sync(startRequest("j", 1, "", taskStart(0, 1)))
		frozen.Freeze(true)
		time.Sleep(controlTTL + taskTTL - time.Second)
		early := log.Runs()[0]
		assert.Equal(t, early.State, port.TaskRunning)
		assert.Equal(t, early.End.Sub(early.Start), controlTTL+taskTTL)
		time.Sleep(2 * time.Second)
		b, _ := acquire(t, next, "b")
		b.sync(startRequest("j", 1, "", taskStart(0, 2)))
		assert.Equal(t, len(taskViolations(log.Runs())), 0)
		frozen.Stop()
		assert.Equal(t, len(taskViolations(log.Runs())), 0)
		assert.Equal(t, log.Runs()[0].State, port.TaskLapsed)
	})
}

// Guards against progress during a freeze that ends before the lapse.
func TestFreezeStopsProgress(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		a.sync(startRequest("j", 1, "", taskStart(0, 1)))
		a.holdLease(6 * time.Second)
		w.Freeze(true)
		time.Sleep(8 * time.Second)
		w.Freeze(false)
		synctest.Wait()
		assert.Equal(t, countRunning(w), 1)
		assert.Assert(t, w.Log().Runs()[0].End.IsZero())
		a, _ = acquire(t, w, "a")
		events := a.holdLease(4 * time.Second)
		assert.Equal(t, events[0].Task.State, workerpb.TaskState_SUCCEEDED)
	})
}

// Guards against batches that are applied twice, and against starts beyond the capacity.
func TestRefusals(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		r := a.sync(startRequest("j", 4, "", taskStart(0, 1), taskStart(1, 1), taskStart(2, 1)))
		assert.Equal(t, len(r.Refusals), 1)
		assert.Equal(t, r.Refusals[0].Index, int32(2))
		assert.Equal(t, r.Refusals[0].Code, workerpb.Refusal_CAPACITY)
		for _, attempt := range []int32{1, 2} {
			r = a.sync(startRequest("j", 4, "", taskStart(0, attempt)))
			assert.Equal(t, r.Refusals[0].Code, workerpb.Refusal_DUPLICATE)
		}
		events := a.holdLease(11 * time.Second)
		assert.Equal(t, len(events), 2)
		r = a.sync(startRequest("j", 4, "", taskStart(0, 2)))
		assert.Equal(t, r.Refusals[0].Code, workerpb.Refusal_DUPLICATE)

		_, inventory := acquire(t, w, "a")
		assert.Equal(t, len(inventory.Tasks), 2)
		a.token = inventory.Token
		a.sync(&workerpb.SyncRequest{ForgetThrough: a.seen})
		_, inventory = acquire(t, w, "a")
		assert.Equal(t, len(inventory.Tasks), 0)
		a.token = inventory.Token
		w.SetLeaving(true)
		r = a.sync(startRequest("j", 4, "", taskStart(5, 1)))
		assert.Equal(t, r.Refusals[0].Code, workerpb.Refusal_LEAVING)
	})
}

// Guards against an attempt that was stopped being run again by a batch that is delivered twice.
func TestRepeatedStartAfterStop(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		a.sync(startRequest("j", 8, "", taskStart(0, 1)))
		// The stop frees the slots for a start of the same batch.
		r := commandRequest("j", workerpb.Action_STOP)
		r.Starts = startRequest("j", 8, "", taskStart(0, 1), taskStart(1, 1)).Starts
		out := a.sync(r)
		assert.Equal(t, len(out.Refusals), 1)
		assert.Equal(t, out.Refusals[0].Code, workerpb.Refusal_DUPLICATE)
		assert.Equal(t, out.Events[0].Task.State, workerpb.TaskState_STOPPED)
		assert.Equal(t, countRunning(w), 1)
	})
}

// Guards against invalid batches that are applied in part.
func TestBadInputAppliesNothing(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		good := startRequest("j", 1, "", taskStart(0, 1)).Starts[0]
		for _, r := range []*workerpb.SyncRequest{
			{Starts: []*workerpb.StartGroup{good, {}}},
			{Starts: []*workerpb.StartGroup{good, {Job: "k", Reserved: &workerpb.Resources{Slots: -1}}}},
			{Starts: []*workerpb.StartGroup{good, {Job: "k", Service: true}}},
			{Starts: []*workerpb.StartGroup{good}, Commands: []*workerpb.Command{{Action: 99}}},
			{Starts: []*workerpb.StartGroup{good}, ForgetThrough: 1},
			{Starts: []*workerpb.StartGroup{good}, WaitMs: -1},
		} {
			r.Token, r.Node = a.token, a.node
			_, err := w.Sync(t.Context(), r)
			assert.Equal(t, status.Code(err), codes.InvalidArgument)
			assert.Equal(t, countRunning(w), 0)
		}
		_, err := w.Acquire(t.Context(), &workerpb.AcquireRequest{Node: "a"})
		assert.Equal(t, status.Code(err), codes.InvalidArgument)
		for _, payload := range []string{`{"true_duration_ms":"x"}`, `{"memory_mb":-1}`} {
			r := a.sync(startRequest("bad"+payload, 1, payload, taskStart(0, 1)))
			assert.Equal(t, r.Events[0].Task.State, workerpb.TaskState_FAILED)
			assert.Assert(t, r.Events[0].Task.Message != "")
		}
	})
}

// Guards against the loss of a preempted task's progress.
func TestCheckpointResumesWithTheRemainder(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		a.sync(startRequest("j", 1, `{"output":{"rows":3}}`, taskStart(0, 1)))
		a.holdLease(4 * time.Second)
		a.sync(commandRequest("j", workerpb.Action_THROTTLE))
		a.holdLease(6 * time.Second) // 3 s of progress
		r := a.sync(commandRequest("j", workerpb.Action_CHECKPOINT))
		assert.Equal(t, r.Events[0].Task.State, workerpb.TaskState_CHECKPOINTED)
		a.sync(startRequest("j", 1, `{"output":{"rows":3}}`, &workerpb.TaskStart{Attempt: 2, Checkpoint: r.Events[0].Task.Checkpoint}))
		start := time.Now()
		events := a.holdLease(4 * time.Second)
		assert.Equal(t, events[0].Task.State, workerpb.TaskState_SUCCEEDED)
		run := w.Log().Runs()[1]
		assert.Equal(t, run.End.Sub(start), 3*time.Second)
		assert.Equal(t, string(run.Output), `{"rows":3}`)
	})
}

// Guards against tasks that behave as declared although their payload sets a different behaviour.
func TestPayloadSetsTrueBehaviour(t *testing.T) {
	runSynctest(t, Options{UsageLag: 5 * time.Second}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		a.sync(startRequest("j", 1, `{"true_duration_ms":20000,"memory_mb":700,"milli_cpu":900,"fail":true}`, taskStart(0, 1)))
		a.holdLease(4 * time.Second)
		assert.Equal(t, len(a.sync(&workerpb.SyncRequest{WantUsage: true}).Usage), 0)
		a.holdLease(time.Second)
		a.sync(commandRequest("j", workerpb.Action_THROTTLE))
		use := a.sync(&workerpb.SyncRequest{WantUsage: true}).Usage[0]
		assert.Equal(t, fmt.Sprint(use.MemoryMb, use.MilliCpu), "700 900")
		a.holdLease(5 * time.Second)
		assert.Equal(t, a.sync(&workerpb.SyncRequest{WantUsage: true}).Usage[0].MilliCpu, int64(450))
		a.sync(commandRequest("j", workerpb.Action_UNTHROTTLE))
		events := a.holdLease(13 * time.Second)
		assert.Equal(t, events[0].Task.State, workerpb.TaskState_FAILED)
		assert.Equal(t, w.Log().Runs()[0].End.Sub(w.Log().Runs()[0].Start), 22500*time.Millisecond)
	})
}

// Guards against a long poll that returns late, or never returns after a takeover.
func TestLongPoll(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		a, _ := acquire(t, w, "a")
		a.sync(startRequest("j", 1, `{"true_duration_ms":500}`, taskStart(0, 1)))
		start := time.Now()
		r := a.sync(&workerpb.SyncRequest{WaitMs: 2000})
		assert.Equal(t, time.Since(start), 500*time.Millisecond)
		assert.Equal(t, len(r.Events), 1)
		assert.Equal(t, len(a.sync(&workerpb.SyncRequest{WaitMs: 2000}).Events), 0)
		assert.Equal(t, time.Since(start), 2500*time.Millisecond)

		polled := make(chan time.Duration)
		go func() {
			a.sync(&workerpb.SyncRequest{WaitMs: 20_000})
			polled <- time.Since(start)
		}()
		time.Sleep(controlTTL)
		acquire(t, w, "b")
		assert.Equal(t, <-polled, 2500*time.Millisecond+controlTTL)
	})
}

// Guards against a worker set to fail whose starts succeed: tests that rely on this fault would test nothing.
func TestFailingWorker(t *testing.T) {
	runSynctest(t, Options{}, func(t *testing.T, w *Worker) {
		w.SetFailing(true)
		a, _ := acquire(t, w, "a")
		r := a.sync(startRequest("j", 1, "", taskStart(0, 1)))
		assert.Equal(t, r.Events[0].Task.State, workerpb.TaskState_FAILED)
		w.SetFailing(false)
		assert.Equal(t, len(a.sync(startRequest("j", 1, "", taskStart(0, 2))).Events), 0)
		assert.Equal(t, countRunning(w), 1)
	})
}

// Guards against sequences of batches after which the worker's sum of reserved resources differs from what its running
// tasks reserve.
func TestRandomBatchesKeepReservedSum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Uint32(), 1, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			w := testWorker(Options{})
			a, _ := acquire(t, w, "a")
			for n, s := range steps {
				index, action := int32(s%4), workerpb.Action(s/4%5)
				if s/32%2 == 0 {
					a.sync(startRequest("j", int64(s/64%6), `{"true_duration_ms":1500}`, taskStart(index, int32(n))))
				} else if running := runningTask(w, index); running != nil {
					a.sync(&workerpb.SyncRequest{Commands: []*workerpb.Command{
						{Job: "j", Index: index, Attempt: running.id.attempt, Action: action},
					}})
				}
				if s/512%3 == 0 {
					a.sync(&workerpb.SyncRequest{ForgetThrough: a.seen})
				}
				a.holdLease(time.Duration(s/2048%4) * 500 * time.Millisecond)
			}
			w.mu.Lock()
			var used resource.Vector
			for _, r := range w.running {
				used = used.Add(r.reserved)
			}
			assert.Equal(t, w.used, used)
			w.mu.Unlock()
			w.Stop()
			// Once a success is forgotten the task may run again, which Violations reports; overlaps and capacity must hold.
			assert.Equal(t, len(capacityViolations(w.Log().Runs(), map[string]resource.Vector{"w": w.options.Capacity})), 0)
		})
	})
}

// Guards against a check of the guarantees that misses violations: tests that rely on it would pass wrongly.
func TestViolationsAreFound(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	run := func(attempt int32, worker string, start, end int, state port.TaskState) Run {
		r := Run{Task: taskID("j", 0), Attempt: attempt, Worker: worker, Reserved: resource.Vector{Slots: 2}, Start: at(start), State: state}
		if end > 0 {
			r.End = at(end)
		}
		return r
	}
	for name, c := range map[string]struct {
		runs []Run
		want int
	}{
		"one after the other": {[]Run{run(1, "w", 1, 2, port.TaskLapsed), run(2, "v", 2, 3, port.TaskSucceeded)}, 0},
		"overlap":             {[]Run{run(1, "w", 1, 3, port.TaskLapsed), run(2, "v", 2, 4, port.TaskLapsed)}, 1},
		"overlap with open":   {[]Run{run(1, "w", 1, 0, port.TaskRunning), run(2, "v", 2, 4, port.TaskLapsed)}, 1},
		"two successes":       {[]Run{run(1, "w", 1, 2, port.TaskSucceeded), run(2, "v", 3, 4, port.TaskSucceeded)}, 1},
		"overlap, over capacity": {
			[]Run{run(1, "w", 1, 3, port.TaskLapsed), run(2, "w", 2, 4, port.TaskLapsed)}, 2},
	} {
		l := NewRunLog()
		l.runs = c.runs
		got := l.Violations(map[string]resource.Vector{"w": {Slots: 3}})
		assert.Equal(t, len(got), c.want, "%s: %v", name, got)
	}
}
