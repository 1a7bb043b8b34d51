// Package preemption chooses the running tasks to preempt for work that is entitled to their resources, and the tasks to
// throttle, checkpoint or stop on hosts that run out of memory.
package preemption

import (
	"cmp"
	"fmt"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// Running is a running task that is a candidate for preemption.
type Running struct {
	Task          job.TaskID
	Attempt       int32
	Worker        string
	Team          string
	Class         job.Class
	Urgent        bool
	Idempotent    bool
	CanCheckpoint bool // it can resume from a checkpoint
	Reserved      resource.Vector
	Progress      time.Duration // work that a stop would lose
}

// Action is what is done to a running task to free its resources.
type Action int

// Actions in ascending order of severity.
const (
	None Action = iota
	Throttle
	Checkpoint
	Stop
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"none", "throttle", "checkpoint", "stop"}[a] }

// Victim is a task to preempt and the action to use.
type Victim struct {
	Task    job.TaskID
	Attempt int32
	Worker  string
	Action  Action // Checkpoint or Stop
	Reason  string
}

// Options holds the conditions of a preemption.
type Options struct {
	Free      map[string]resource.Vector // free resources by worker; workers that aren't listed aren't considered
	OverShare map[string]bool            // teams above their share
	Team      string                     // that needs the resources; its own tasks are preempted for urgent work only
	Urgent    bool                       // the task is urgent: batch tasks and gangs of all teams may be preempted
	// GangSize is the number of running tasks of each gang, including those on workers that aren't considered. A gang is
	// preempted only if all its running tasks are among the candidates. Gangs that aren't listed count as complete.
	GangSize map[job.ID]int
}

// InsufficientError reports that no worker has enough free and preemptible resources.
type InsufficientError struct {
	Need    resource.Vector
	Workers int // number of workers considered
}

// Error implements error.
func (e *InsufficientError) Error() string {
	return fmt.Sprintf("free and preemptible resources are less than %+v on each of %d workers", e.Need, e.Workers)
}

func compareTasks(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}
