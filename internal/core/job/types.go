// Package job defines jobs and tasks: the specifications that callers submit, the records in the store, and the states
// of a task.
package job

import (
	"crypto/sha256"
	"encoding/base32"
	"fmt"
	"time"

	"sequoiastall/internal/core/resource"
)

// ID identifies a job. It is derived from the team and the caller's idempotency key, so that a repeated submission
// at any node yields the same ID.
type ID string

// idHashBytes is the length of the hash prefix in an ID; with 80 bits, accidental collisions are negligibly rare.
const idHashBytes = 10

// NewID returns the ID of the job that team submitted with key.
func NewID(team, key string) ID {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(team), team, key)))
	return ID(base32.HexEncoding.WithPadding(base32.NoPadding).EncodeToString(sum[:idHashBytes]))
}

// TaskID identifies a task of a job by its index, from 0.
type TaskID struct {
	Job   ID
	Index int32
}

// String returns the form job/index that logs use.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// Class is the kind of workload of a job.
type Class string

// Classes of jobs. Requests to services aren't jobs.
const (
	Batch   Class = "batch"
	Gang    Class = "gang" // all tasks start together, or none
	Service Class = "service"
)

// Spec is a caller's specification of a job.
type Spec struct {
	Team       string          `json:"team"`
	Queue      string          `json:"queue"`
	Name       string          `json:"name,omitempty"`
	Class      Class           `json:"class"`
	Urgent     bool            `json:"urgent,omitempty"`
	Tasks      int32           `json:"tasks"`
	Resources  resource.Vector `json:"resources"`             // of each task
	DurationMS int64           `json:"duration_ms,omitempty"` // declared run time of a task, 0 if unknown
	DeadlineMS int64           `json:"deadline_ms,omitempty"` // Unix time by which the job should end, 0 if none
	Idempotent bool            `json:"idempotent"`            // a task may be run again after a failure
	Pool       string          `json:"pool,omitempty"`        // hardware pool that workers must belong to
	Payload    []byte          `json:"payload,omitempty"`     // passed to each task unchanged
	// Service is the name of the service object whose instances the tasks are. It is empty for other classes.
	Service string `json:"service,omitempty"`
	// FirstIndex is the index of the first task within the caller's job. It is set only for parts of a divided job.
	FirstIndex int32 `json:"first_index,omitempty"`
	// Concurrency is the number of requests that a service instance serves concurrently.
	Concurrency int32 `json:"concurrency,omitempty"`
}

// Phase is the state of a whole job.
type Phase string

// Phases of a job. Done, Failed and Cancelled are final.
const (
	Pending   Phase = "pending"
	Running   Phase = "running"
	Done      Phase = "done"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final reports whether the phase is final: no task of the job runs or will run.
func (p Phase) Final() bool { return p == Done || p == Failed || p == Cancelled }

// Record is the stored value of a job, at key jobs/<id>.
type Record struct {
	ID   ID     `json:"id"`
	Key  string `json:"key"` // the caller's idempotency key
	Spec Spec   `json:"spec"`
	// Partition is the partition that runs the whole job. It is empty if the job is divided into Parts.
	Partition       string `json:"partition,omitempty"`
	Parts           []Part `json:"parts,omitempty"`
	SubmittedMS     int64  `json:"submitted_ms"` // Unix time
	CancelRequested bool   `json:"cancel_requested,omitempty"`
	Phase           Phase  `json:"phase"` // Pending until final: Running isn't stored
	Reason          string `json:"reason,omitempty"`
	EndedMS         int64  `json:"ended_ms,omitempty"`
	Succeeded       int32  `json:"succeeded,omitempty"`
	Unknown         int32  `json:"unknown,omitempty"` // non-idempotent tasks whose outcome is unknown
	Writer          string `json:"writer,omitempty"`  // node and sequence number of the last write, to detect lost responses
	// Completed and Undecided hold the progress of a job that moved from another partition.
	Completed Ranges `json:"completed"`
	Undecided Ranges `json:"undecided"`
}

// Submitted returns the time of submission.
func (r Record) Submitted() time.Time { return time.UnixMilli(r.SubmittedMS) }

// Status is the response to a caller's query for a job.
type Status struct {
	Record
	Phase     Phase          `json:"phase"`
	Pending   int32          `json:"pending"`
	Running   int32          `json:"running"`
	Waiting   string         `json:"waiting,omitempty"`    // why pending tasks wait, in one sentence
	Workers   map[string]int `json:"workers,omitempty"`    // running tasks by worker
	StartedMS int64          `json:"started_ms,omitempty"` // Unix time of the first task start
}
