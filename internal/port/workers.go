package port

import (
	"context"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// Token is the fencing token of commands to a worker. It grows with each acquisition of the control lease.
type Token uint64

// TaskState is the state of a task on a worker.
type TaskState int

// States of a task on a worker. All but TaskRunning are final for the attempt.
const (
	TaskRunning TaskState = iota
	TaskSucceeded
	TaskFailed
	TaskStopped      // by a stop command
	TaskCheckpointed // by a checkpoint command
	TaskLapsed       // by the worker, because the task lease lapsed
)

// String returns the state's name.
func (s TaskState) String() string {
	return [...]string{"running", "succeeded", "failed", "stopped", "checkpointed", "lapsed"}[s]
}

// TaskRecord is a worker's record of one attempt of a task.
type TaskRecord struct {
	Task       job.TaskID
	Attempt    int32
	State      TaskState
	Reserved   resource.Vector
	Address    string // IP:port of a running service instance
	Checkpoint []byte
	Message    string // why it failed
	Throttled  bool
}

// Inventory is what a worker reports when its control lease is granted: capacity and every attempt that runs or whose
// end hasn't been acknowledged as durable.
type Inventory struct {
	Token       Token
	Capacity    resource.Vector
	Connections int64 // total number of connections that the worker accepts
	Pool        string
	Tasks       []TaskRecord
	Sequence    uint64 // of the last event
	// DurableMark is the largest Sync.DurableMark with which the worker discarded events. The lease holder sends the
	// sequence number of its progress document, from which its successor determines how recent a copy of the document
	// it needs.
	DurableMark uint64
}

// LeaseHeldError reports that another node holds a control lease that hasn't lapsed.
type LeaseHeldError struct {
	Holder string
	For    time.Duration // until it lapses unless renewed
}

// Error implements error.
func (e *LeaseHeldError) Error() string {
	return "control lease is held by " + e.Holder + " for another " + e.For.String()
}

// StartGroup starts tasks of one job with a common specification.
type StartGroup struct {
	Job         job.ID
	Reserved    resource.Vector
	Duration    time.Duration
	Service     bool
	Concurrency int32
	Payload     []byte
	// FirstIndex is added to a task's index to get the task's position in the caller's job, of which Job may be a part.
	FirstIndex int32
	Tasks      []TaskStart
}

// TaskStart is an attempt to be started.
type TaskStart struct {
	Index      int32
	Attempt    int32
	Checkpoint []byte
}

// Action is a command on a running attempt.
type Action int

// Actions on a running attempt.
const (
	Stop Action = iota
	Checkpoint
	Throttle
	Unthrottle
	Drain // finish open requests of a service instance, then stop
)

// Command is an action on one attempt.
type Command struct {
	Task    job.TaskID
	Attempt int32
	Action  Action
}

// Sync is one batch of starts and commands for a worker.
type Sync struct {
	Token         Token
	Node          string
	Starts        []StartGroup
	Commands      []Command
	ForgetThrough uint64 // events up to here are durable
	DurableMark   uint64 // see Inventory.DurableMark
	SeenThrough   uint64 // return events after this one
	Wait          time.Duration
	WantUsage     bool
}

// RefusalCode says why a worker didn't start an attempt.
type RefusalCode int

// Reasons of a refusal.
const (
	RefusedCapacity RefusalCode = iota
	RefusedDuplicate
	RefusedLeaving
)

// Refusal identifies an attempt that wasn't started.
type Refusal struct {
	Task    job.TaskID
	Attempt int32
	Code    RefusalCode
}

// TaskEvent is the end of an attempt, or the address of a started instance.
type TaskEvent struct {
	Sequence uint64
	Record   TaskRecord
}

// TaskUsage is the measured resource usage of a running task, some seconds old.
type TaskUsage struct {
	Task     job.TaskID
	MilliCPU int64
	MemoryMB int64
}

// SyncResult is the worker's response to a batch.
type SyncResult struct {
	Refusals []Refusal
	Events   []TaskEvent
	Usage    []TaskUsage
}

// ErrFenced is returned by Workers.Sync when the token is old or the control lease has lapsed; nothing was applied.
var ErrFenced = errFenced{}

type errFenced struct{}

func (errFenced) Error() string { return "control lease lost" }

// Workers calls the platform's agents on workers. Calls fail with ErrUnavailable or ErrUnknownOutcome.
type Workers interface {
	// Acquire requests the control lease; it fails with *LeaseHeldError if another node holds it.
	Acquire(ctx context.Context, host Host, node string, control, task time.Duration) (Inventory, error)
	// Sync renews the lease and applies a batch; it fails with ErrFenced if this node no longer holds the lease.
	Sync(ctx context.Context, host Host, s Sync) (SyncResult, error)
	// Release ends the control lease of the token, so that another node can acquire the worker at once.
	Release(ctx context.Context, host Host, node string, token Token) error
}
