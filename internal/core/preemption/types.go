// Package preemption chooses which running tasks make room: for work that is owed a place, and on hosts whose memory
// runs out.
package preemption

import (
	"cmp"
	"fmt"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// Running is a running task that may have to make room.
type Running struct {
	Task          job.TaskID
	Attempt       int32
	Worker        string
	Team          string
	Class         job.Class
	Urgent        bool
	Idempotent    bool
	CanCheckpoint bool // it resumes from its checkpoint
	Reserved      resource.Vector
	Progress      time.Duration // work that a stop would lose
}

// Action is what happens to a task.
type Action int

// Actions in the order of severity.
const (
	None Action = iota
	Throttle
	Checkpoint
	Stop
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"none", "throttle", "checkpoint", "stop"}[a] }

// Victim is a task that makes room, and how.
type Victim struct {
	Task    job.TaskID
	Attempt int32
	Worker  string
	Action  Action // Checkpoint or Stop
	Reason  string
}

// Options describes the circumstances of a preemption.
type Options struct {
	Free      map[string]resource.Vector // by worker that may take the task; others aren't considered
	OverShare map[string]bool            // teams above their share
	Team      string                     // for which room is made; its own tasks are preempted for urgent work only
	Urgent    bool                       // the task is urgent: batch work and gangs of all teams may make room
	// GangSize is the number of running tasks of each gang, including those on workers that aren't candidates. A gang of
	// which not all running tasks are among the candidates isn't preempted. Gangs that aren't listed count as complete.
	GangSize map[job.ID]int
}

// InsufficientError tells that no worker has enough free and preemptible resources.
type InsufficientError struct {
	Need    resource.Vector
	Workers int // considered
}

// Error implements error.
func (e *InsufficientError) Error() string {
	return fmt.Sprintf("preemption can't make room for %+v on any of %d workers", e.Need, e.Workers)
}

func compareTasks(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}
