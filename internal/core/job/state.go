package job

import (
	"fmt"
	"time"

	"sequoiastall/internal/core/resource"
)

// TaskPhase is the state of a task as tracked by the partition's owner.
type TaskPhase uint8

// Phases of a task. Succeeded, Broken and Unknown are final.
const (
	TaskPending   TaskPhase = iota
	TaskIntended            // placed; its intent is being written to the store before the start
	TaskRunning             // a start was sent to a worker, or the worker reported it
	TaskSucceeded           // ended successfully
	TaskBroken              // won't be retried: failed and isn't idempotent, or its job was abandoned before it succeeded
	TaskUnknown             // non-idempotent, and the outcome of its only attempt can't be determined
	taskPhaseCount
)

// String returns the phase's name.
func (p TaskPhase) String() string {
	return [...]string{"pending", "intended", "running", "succeeded", "broken", "unknown"}[p]
}

// Final reports whether the task will never run again.
func (p TaskPhase) Final() bool { return p >= TaskSucceeded }

// Task is one task of a job.
type Task struct {
	Phase          TaskPhase
	Attempt        int32 // of the current or last attempt, from 1
	HighestAttempt int32 // highest attempt number in any worker's record
	Worker         string
	Address        string // address of a running service instance
	Reserved       resource.Vector
	StartedAt      time.Time
	Checkpoint     []byte
	FailedOn       []string // distinct workers on which attempts failed
	Throttled      bool
	// Confirmed is whether the worker has acknowledged the start.
	Confirmed bool
	// Inherited is whether a previous owner of the partition started the attempt.
	Inherited bool
	// Stopping is whether a stop, checkpoint or drain command was sent.
	Stopping bool
}

// TransitionError is returned for a transition between phases that isn't allowed.
type TransitionError struct {
	Task TaskID
	From TaskPhase
	To   TaskPhase
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("task %s: no transition from %s to %s", e.Task, e.From, e.To)
}

// allowedTransitions lists the allowed transitions of a task, by current and new phase. After each of them, at most one
// attempt can be running.
var allowedTransitions = [taskPhaseCount][taskPhaseCount]bool{
	TaskPending:  {TaskIntended: true, TaskRunning: true, TaskSucceeded: true, TaskUnknown: true, TaskBroken: true},
	TaskIntended: {TaskRunning: true, TaskPending: true, TaskUnknown: true, TaskSucceeded: true},
	TaskRunning:  {TaskPending: true, TaskSucceeded: true, TaskBroken: true, TaskUnknown: true},
}

// State is a job with its tasks, as tracked by the partition's owner.
type State struct {
	Record Record
	Tasks  []Task
	// Abandoned is whether the job's tasks won't be retried. Tasks that don't succeed are then broken.
	Abandoned bool
	counts    [taskPhaseCount]int32
	// pendingHint is an index at or before the first pending task.
	pendingHint int32
}

// NewState returns the state of a job of which no task has started.
func NewState(r Record) *State {
	s := &State{Record: r, Tasks: make([]Task, r.Spec.Tasks)}
	s.counts[TaskPending] = r.Spec.Tasks
	return s
}

// Count returns the number of tasks in a phase.
func (s *State) Count(p TaskPhase) int32 { return s.counts[p] }

// Ended reports whether every task is in a final phase.
func (s *State) Ended() bool {
	return s.counts[TaskPending]+s.counts[TaskIntended]+s.counts[TaskRunning] == 0
}

// Set moves a task to another phase. If the transition isn't allowed, it returns a *TransitionError and changes
// nothing.
func (s *State) Set(index int32, to TaskPhase) error {
	t := &s.Tasks[index]
	if !allowedTransitions[t.Phase][to] {
		return &TransitionError{TaskID{s.Record.ID, index}, t.Phase, to}
	}
	s.counts[t.Phase]--
	s.counts[to]++
	t.Phase = to
	if to == TaskPending {
		t.Worker, t.Address = "", ""
		t.Confirmed, t.Stopping, t.Throttled, t.Inherited = false, false, false, false
		s.pendingHint = min(s.pendingHint, index)
	}
	return nil
}

// NextPending returns the index of the first pending task at or after from, or -1.
func (s *State) NextPending(from int32) int32 {
	if s.counts[TaskPending] == 0 {
		return -1
	}
	start := max(from, s.pendingHint)
	for i := start; i < int32(len(s.Tasks)); i++ {
		if s.Tasks[i].Phase == TaskPending {
			if from <= s.pendingHint {
				s.pendingHint = i
			}
			return i
		}
	}
	return -1
}

// Reopen makes a service's task pending again after its last instance was drained.
func (s *State) Reopen(index int32) {
	t := &s.Tasks[index]
	s.counts[t.Phase]--
	s.counts[TaskPending]++
	*t = Task{Attempt: t.Attempt, HighestAttempt: t.HighestAttempt}
	s.pendingHint = min(s.pendingHint, index)
}

// Resize changes the number of tasks of a service. If the number decreases, the tasks beyond it are dropped; the caller
// must have stopped them.
func (s *State) Resize(n int32) {
	for int32(len(s.Tasks)) > n {
		last := len(s.Tasks) - 1
		s.counts[s.Tasks[last].Phase]--
		s.Tasks = s.Tasks[:last]
	}
	for int32(len(s.Tasks)) < n {
		s.Tasks = append(s.Tasks, Task{})
		s.counts[TaskPending]++
	}
	s.pendingHint = min(s.pendingHint, n)
}
