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

// ended returns a term in which job "a" has just ended and its final record is still to be written.
func ended(t *testing.T) *scheduling {
	ctx, end := context.WithCancelCause(t.Context())
	t.Cleanup(func() { end(nil) })
	s := &scheduling{node: testNode("a", 1), events: make(chan func(), 16), ctx: ctx, end: end, settling: settling{}}
	s.core = cell.New(cell.Options{Keep: time.Minute}, quietEvents{})
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

type quietEvents struct{}

func (quietEvents) Decided(string, string, ...any) {}

func (quietEvents) FirstStart(time.Duration) {}

// Guards against a caller who asks right after the last task and learns of the end only with the next question.
func TestAnswerWaitsForTheFinalRecord(t *testing.T) { synctest.Test(t, answerWaitsForTheFinalRecord) }

func answerWaitsForTheFinalRecord(t *testing.T) {
	s := ended(t)
	answers := make(chan cell.JobState, 1)
	go func() {
		state, _ := s.state(t.Context(), "a")
		answers <- state
	}()
	for waits := false; !waits; {
		assert.Assert(t, s.ask(t.Context(), func() { waits = s.settling["a"] != nil }))
	}
	s.post(t.Context(), func() {
		for _, w := range s.core.TakeWrites(entriesPerTxn) {
			s.core.Recorded(w)
			s.settling.written(w.Job)
		}
	})
	state := <-answers
	assert.Equal(t, state.Phase, cell.Completed)
	assert.Equal(t, len(s.settling), 0)
}

// Guards against an answer that never comes while the store is silent, and against an end that is shown before it is
// durable.
func TestAnswerDoesNotWaitForASilentStore(t *testing.T) {
	synctest.Test(t, answerDoesNotWaitForASilentStore)
}

func answerDoesNotWaitForASilentStore(t *testing.T) {
	s := ended(t)
	state, ok := s.state(t.Context(), "a")
	assert.Assert(t, ok)
	assert.Equal(t, state.Phase, cell.Running)
}

// Guards against an answer that misses an end whose report is on its way while the question comes.
func TestAnswerWaitsForReportsUnderWay(t *testing.T) { synctest.Test(t, answerWaitsForReportsUnderWay) }

func answerWaitsForReportsUnderWay(t *testing.T) {
	s := ended(t)
	now := time.Now()
	s.post(t.Context(), func() {
		s.core.SetWorkers([]cell.WorkerReport{{ID: "w", Address: "a", BornMS: 1}}, now)
		job := cell.Job{ID: "b", Team: "team", Steps: []cell.Step{{Count: 1, Each: resource.Vector{MilliCPU: 1}}}}
		progress := []byte(`{"v":1,"phase":"running","steps":[{"tasks":[{"i":0,"r":1,"w":"w"}]}]}`)
		assert.Check(t, s.core.AddJob(job, progress, now))
		run := cell.RunID{Task: cell.TaskID{Job: "b"}, Run: 1}
		s.core.Renewed(cell.Inventory{Worker: "w", BornMS: 1, Running: []cell.RunningRow{{Run: run}}}, now)
	})
	answers := make(chan cell.JobState, 1)
	go func() {
		state, _ := s.state(t.Context(), "b")
		answers <- state
	}()
	for waits := false; !waits; {
		assert.Assert(t, s.ask(t.Context(), func() {
			if waits = s.settling["b"] != nil; waits {
				s.core.Renewed(cell.Inventory{Worker: "w", BornMS: 1, Ended: []cell.EndedRow{
					{Number: 1, Run: cell.RunID{Task: cell.TaskID{Job: "b"}, Run: 1}, Kind: cell.EndDone}}}, now)
			}
		}))
	}
	record := func() {
		for _, w := range s.core.TakeWrites(entriesPerTxn) {
			s.core.Recorded(w)
			s.settling.written(w.Job)
		}
	}
	s.post(t.Context(), record)
	state := <-answers
	assert.Equal(t, state.Phase, cell.Completed)
}
