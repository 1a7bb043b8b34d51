// Package cell schedules the jobs of one cell on its workers. A Scheduler is the state machine of the node that holds
// the scheduling lease. It does no I/O, takes the time as a parameter and is used by one goroutine.
//
// Every run of a task is recorded before its worker is ordered to start it. The records are therefore a superset of the
// runs that exist, and the next lease holder only has to ask the recorded workers which of them do.
package cell

import (
	"strconv"
	"time"

	"sequoiastall/internal/core/resource"
)

// JobID identifies a job; the caller chooses it.
type JobID string

// WorkerID identifies one worker.
type WorkerID string

// StepID identifies a step of a job.
type StepID struct {
	Job  JobID
	Step int
}

// String returns the form that log lines use.
func (s StepID) String() string { return string(s.Job) + "." + strconv.Itoa(s.Step) }

// TaskID identifies a task of a step.
type TaskID struct {
	Job  JobID
	Step int
	Task int
}

// String returns the form that log lines use.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Task)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count         int             `json:"n"`
	Each          resource.Vector `json:"each"` // what one task reserves
	EstimateMS    int64           `json:"est,omitempty"`
	After         []int           `json:"after,omitempty"` // earlier steps that must be done first
	Checkpointing bool            `json:"ckpt,omitempty"`
	Gang          bool            `json:"gang,omitempty"` // the tasks run only all at once
	SameRack      bool            `json:"rack,omitempty"` // a gang that runs slower across racks
	Speculative   bool            `json:"spec,omitempty"` // copies of a task may run in parallel
	RequiredLabel string          `json:"label,omitempty"`
	DataRack      string          `json:"data,omitempty"`
	MaxPerWorker  int             `json:"apart,omitempty"` // 0: no limit

	// LongRunning tasks run until their job is canceled and are restarted however they end.
	LongRunning bool `json:"lasts,omitempty"`
	// MaxUnavailable limits how many tasks of a long-running step the scheduler may make unavailable at a time; 0 is no
	// limit.
	MaxUnavailable int `json:"unavail,omitempty"`
	// LatencyTargetMS is the tail latency below which the tasks must answer their own users; 0 if they serve none.
	LatencyTargetMS int64  `json:"target,omitempty"`
	Image           string `json:"image,omitempty"` // tasks of the same image behave alike
	// BestEffort tasks use CPU that other tasks leave idle, and may slow down tasks with a latency target.
	BestEffort bool `json:"fills,omitempty"`
}

// Job is an accepted job as stored in its record.
type Job struct {
	ID    JobID  `json:"id"`
	Queue string `json:"queue"`
	Team  string `json:"team"`
	// Service is the pool of workers that ConfigVersion gives the job's queue. The job's record has those at the time of
	// acceptance.
	Service       string `json:"service"`
	ConfigVersion int64  `json:"config,omitempty"`
	Spec          string `json:"spec"`
	Steps         []Step `json:"steps"`
	AcceptedMS    int64  `json:"accepted_ms"` // Unix milliseconds
	Terms         Terms  `json:"terms"`
}

// Terms are the scheduling parameters of a job's queue at the time the job was accepted. They apply if the queue has been
// removed since.
type Terms struct {
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	SlackMS     int64   `json:"slack_ms"`
	// Advice is nil if every worker may run the job's steps. Workers demand the tickets of such a job for as long as it lasts.
	Advice *AdviceTiming `json:"advice,omitempty"`
}

// Phase is the state of a job as callers see it.
type Phase string

// Phases of a job.
const (
	Pending   Phase = "pending"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Canceled  Phase = "canceled"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Canceled }

// Queue is a route on which jobs are submitted.
type Queue struct {
	Name, Host, Prefix, Service string
	Priority                    int // 0 comes first
	MaxAttempts                 int
	Stretch                     float64       // the objective is this many times the job's critical path ...
	Slack                       time.Duration // ... plus this
	Advice                      *AdviceTiming // nil if every worker may run the queue's steps
	Open                        bool          // takes jobs without a key
}

// Terms returns the queue's scheduling parameters.
func (q *Queue) Terms() Terms {
	return Terms{Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, SlackMS: q.Slack.Milliseconds(), Advice: q.Advice}
}

// needsAdvice reports whether the queue's steps may run only on workers that the advice service allows. q may be nil.
func (q *Queue) needsAdvice() bool { return q != nil && q.Advice != nil }

// AdviceTiming is how long calls of the advice service take and how long its tickets are valid.
type AdviceTiming struct {
	Decision  time.Duration `json:"decision_ns"`   // fixed part of a call's duration
	PerWorker time.Duration `json:"per_worker_ns"` // additional duration for each worker in the call
	Validity  time.Duration `json:"validity_ns"`   // of a ticket
}

// Duration returns the expected duration of a call for n workers.
func (a AdviceTiming) Duration(n int) time.Duration { return a.Decision + time.Duration(n)*a.PerWorker }

// Team is a customer with its keys, submission rate and resource limit.
type Team struct {
	Name   string
	Keys   []string
	Weight float64         // jobs per second that are served before jobs above the rate; 0 for no limit
	Limit  resource.Vector // a component of 0 is unlimited
}

// WorkerReport is a worker's entry in the registry.
type WorkerReport struct {
	ID       WorkerID
	Address  string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity resource.Vector
	Draining bool
	StartMS  int64 // Unix milliseconds of the worker's start
}

// RunID identifies a run of a task; runs of a task are numbered from 1.
type RunID struct {
	Task TaskID
	Run  int
}

// EndKind is how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone           EndKind = "done"    // succeeded
	EndFailed         EndKind = "failed"  // counts as an attempt
	EndStopped        EndKind = "stopped" // by an order
	EndLapsed         EndKind = "lapsed"  // the worker's lease expired
	EndGangAborted    EndKind = "broken"  // another member of the gang ended
	EndGangIncomplete EndKind = "alone"   // the other members of the gang didn't start in time
)

// RunningRow is a run that exists, in a worker's inventory.
type RunningRow struct {
	Run        RunID
	Checkpoint string
	Percent    float64 // progress
	// Usage of the last half second: the tail latency in milliseconds of a task with a latency target, or the used CPU in
	// thousandths of a core of any other task.
	Usage float64
}

// EndedRow is a run that has ended, in a worker's inventory.
type EndedRow struct {
	Number     int64 // rises within one instance of the worker
	Run        RunID
	Kind       EndKind
	Checkpoint string
}

// Inventory is a worker's answer to a renewal of its lease.
type Inventory struct {
	Worker          WorkerID
	StartMS         int64
	RequestSequence uint64 // Scheduler.OrderSequence when the inventory was requested
	Running         []RunningRow
	Ended           []EndedRow
	// Truncated is set if the worker lists only part of its ended runs.
	Truncated bool
}
