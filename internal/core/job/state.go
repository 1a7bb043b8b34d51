package job

import (
	"fmt"
	"time"

	"sequoiastall/internal/core/resource"
)

// TaskPhase is the state of one task as its owner keeps it.
type TaskPhase uint8

// Phases of a task. Succeeded, Broken and Unknown are final.
const (
	TaskPending   TaskPhase = iota
	TaskIntended            // placed; its intent is being written before the start
	TaskRunning             // a start was sent to a worker, or the worker reported it
	TaskSucceeded           // ended well
	TaskBroken              // failed on too many workers
	TaskUnknown             // non-idempotent, and the outcome of its only attempt can't be known
	taskPhases
)

// String returns the phase's name.
func (p TaskPhase) String() string {
	return [...]string{"pending", "intended", "running", "succeeded", "broken", "unknown"}[p]
}

// Final reports whether the task will never run again.
func (p TaskPhase) Final() bool { return p >= TaskSucceeded }

// Task is one task of a job.
type Task struct {
	Phase      TaskPhase
	Attempt    int32 // of the current or last attempt, from 1
	Seen       int32 // largest attempt in any worker's record
	Worker     string
	Address    string // of a running service instance
	Reserved   resource.Vector
	StartedAt  time.Time
	Checkpoint []byte
	FailedOn   []string // distinct workers on which attempts failed
	Throttled  bool
	// Confirmed tells that the worker has acknowledged the start.
	Confirmed bool
	// Inherited tells that a former owner of the partition started the attempt.
	Inherited bool
	// Stopping tells that a stop, checkpoint or drain was sent.
	Stopping bool
}

// TransitionError tells that a task can't go from one phase to another.
type TransitionError struct {
	Task TaskID
	From TaskPhase
	To   TaskPhase
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("task %s: no transition from %s to %s", e.Task, e.From, e.To)
}

// allowed lists the transitions of a task. Each leaves at most one attempt that could be running.
var allowed = [taskPhases][taskPhases]bool{
	TaskPending:  {TaskIntended: true, TaskRunning: true, TaskSucceeded: true, TaskUnknown: true, TaskBroken: true},
	TaskIntended: {TaskRunning: true, TaskPending: true, TaskUnknown: true, TaskSucceeded: true},
	TaskRunning:  {TaskPending: true, TaskSucceeded: true, TaskBroken: true, TaskUnknown: true},
}

// State is a job with its tasks, as the partition's owner keeps it.
type State struct {
	Record Record
	Tasks  []Task
	// Abandoned tells that the job won't be tried again; tasks that end otherwise than well are broken.
	Abandoned bool
	counts    [taskPhases]int32
	// next is a position at or before the first pending task.
	next int32
}

// NewState returns the state of a job none of whose tasks has started.
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

// Set moves a task to another phase. It returns *TransitionError, and changes nothing, if that isn't allowed.
func (s *State) Set(index int32, to TaskPhase) error {
	t := &s.Tasks[index]
	if !allowed[t.Phase][to] {
		return &TransitionError{TaskID{s.Record.ID, index}, t.Phase, to}
	}
	s.counts[t.Phase]--
	s.counts[to]++
	t.Phase = to
	if to == TaskPending {
		t.Worker, t.Address = "", ""
		t.Confirmed, t.Stopping, t.Throttled, t.Inherited = false, false, false, false
		s.next = min(s.next, index)
	}
	return nil
}

// NextPending returns the first pending task at or after from, or -1.
func (s *State) NextPending(from int32) int32 {
	if s.counts[TaskPending] == 0 {
		return -1
	}
	start := max(from, s.next)
	for i := start; i < int32(len(s.Tasks)); i++ {
		if s.Tasks[i].Phase == TaskPending {
			if from <= s.next {
				s.next = i
			}
			return i
		}
	}
	return -1
}

// Reopen makes a task of a service pending again whose last instance was drained.
func (s *State) Reopen(index int32) {
	t := &s.Tasks[index]
	s.counts[t.Phase]--
	s.counts[TaskPending]++
	*t = Task{Attempt: t.Attempt, Seen: t.Seen}
	s.next = min(s.next, index)
}

// Resize changes the number of tasks of a service. Tasks beyond a smaller number are dropped; the caller has stopped
// them before.
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
	s.next = min(s.next, n)
}
