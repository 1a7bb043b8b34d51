package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/core/resource"
)

// newEndedJobTerm returns a term in which job "a" has just ended and its final record isn't written yet.
func newEndedJobTerm(t *testing.T) *activeTerm {
	ctx, end := context.WithCancelCause(t.Context())
	t.Cleanup(func() { end(nil) })
	s := &activeTerm{node: newTestNode("a", 1), events: make(chan func(), 16), ctx: ctx, end: end, recordWaiters: recordWaiters{}}
	s.core = cell.New(cell.Options{EndedRetention: time.Minute}, discardEvents{})
	progress := []byte(`{"v":1,"phase":"running","steps":[{"done":[0]}]}`)
	job := cell.Job{ID: "a", Team: "team", Steps: []cell.Step{{Count: 1, Each: resource.Vector{MilliCPU: 1}}}}
	assert.NilError(t, s.core.AddJob(job, progress, time.Now()))
	s.loaded.Store(true)
	go func() {
		for {
			select {
			case event := <-s.events:
				event()
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

type discardEvents struct{}

func (discardEvents) LogDecision(string, string, ...any) {}

func (discardEvents) ObserveFirstStart(time.Duration) {}

// A status request right after the last task has ended must be answered with the end of the job, not with a state that
// only the next request corrects.
func TestAnswerWaitsForTheFinalRecord(t *testing.T) { synctest.Test(t, answerWaitsForTheFinalRecord) }

func answerWaitsForTheFinalRecord(t *testing.T) {
	s := newEndedJobTerm(t)
	answers := make(chan cell.JobState, 1)
	go func() {
		state, _ := s.state(t.Context(), "a")
		answers <- state
	}()
	for waits := false; !waits; {
		assert.Assert(t, s.query(t.Context(), func() { waits = s.recordWaiters["a"] != nil }))
	}
	s.post(t.Context(), func() {
		for _, w := range s.core.TakeWrites(entriesPerTxn) {
			s.core.WriteCommitted(w)
			s.recordWaiters.notify(w.Job)
		}
	})
	state := <-answers
	assert.Equal(t, state.Phase, cell.Completed)
	assert.Equal(t, len(s.recordWaiters), 0)
}

// While the store doesn't answer, a status request must still be answered, and an end must not be shown before it is
// durable.
func TestAnswerDoesNotWaitForUnresponsiveStore(t *testing.T) {
	synctest.Test(t, answerDoesNotWaitForUnresponsiveStore)
}

func answerDoesNotWaitForUnresponsiveStore(t *testing.T) {
	s := newEndedJobTerm(t)
	state, ok := s.state(t.Context(), "a")
	assert.Assert(t, ok)
	assert.Equal(t, state.Phase, cell.Running)
}

// A status answer must include an ended run whose report is in transit when the request arrives.
func TestAnswerWaitsForReportsInFlight(t *testing.T) { synctest.Test(t, answerWaitsForReportsInFlight) }

func answerWaitsForReportsInFlight(t *testing.T) {
	s := newEndedJobTerm(t)
	now := time.Now()
	s.post(t.Context(), func() {
		s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "a", StartMS: 1}}, now)
		job := cell.Job{ID: "b", Team: "team", Steps: []cell.Step{{Count: 1, Each: resource.Vector{MilliCPU: 1}}}}
		progress := []byte(`{"v":1,"phase":"running","steps":[{"tasks":[{"i":0,"r":1,"w":"w"}]}]}`)
		assert.Check(t, s.core.AddJob(job, progress, now))
		run := cell.RunID{Task: cell.TaskID{Job: "b"}, Run: 1}
		s.core.ApplyInventory(cell.Inventory{Worker: "w", StartMS: 1, Running: []cell.RunningRow{{Run: run}}}, now)
	})
	answers := make(chan cell.JobState, 1)
	go func() {
		state, _ := s.state(t.Context(), "b")
		answers <- state
	}()
	for waits := false; !waits; {
		assert.Assert(t, s.query(t.Context(), func() {
			if waits = s.recordWaiters["b"] != nil; waits {
				s.core.ApplyInventory(cell.Inventory{Worker: "w", StartMS: 1, Ended: []cell.EndedRow{
					{Number: 1, Run: cell.RunID{Task: cell.TaskID{Job: "b"}, Run: 1}, Kind: cell.EndDone}}}, now)
			}
		}))
	}
	record := func() {
		for _, w := range s.core.TakeWrites(entriesPerTxn) {
			s.core.WriteCommitted(w)
			s.recordWaiters.notify(w.Job)
		}
	}
	s.post(t.Context(), record)
	state := <-answers
	assert.Equal(t, state.Phase, cell.Completed)
}
