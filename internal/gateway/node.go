// Package gateway serves callers' HTTP: job submission, views of the cell, and requests to service instances.
package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// Errors that a Node returns. Any other error of a method that changes state means that the outcome is unknown.
var (
	// ErrUnknownKey: no key of the configuration in force has this secret.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNoAuthority: the node's configuration isn't confirmed, so that a key may have been revoked.
	ErrNoAuthority = errors.New("the configuration isn't confirmed")
	// ErrNotFound: there is no such job.
	ErrNotFound = errors.New("not found")
	// ErrNotTaken: the call had no effect, now or later. Wrap it with the reason.
	ErrNotTaken = errors.New("not taken")
	// ErrConflict: the idempotency key was used before with another specification.
	ErrConflict = errors.New("idempotency key was used with another specification")
	// ErrInvalid: the specification can't be accepted. Wrap it with the reason.
	ErrInvalid = errors.New("invalid specification")
)

// Identity is whom a key speaks for.
type Identity struct {
	Key    string // name of the key object
	Team   string
	Queues []string // queues that the key is limited to, none for no limit
}

// Queue is what the gateway needs to know of a queue.
type Queue struct {
	Name  string
	Team  string    // team that owns the queue, empty if several teams may use it
	Open  bool      // takes work of any team, with or without a key
	Class job.Class // of the jobs that it takes; "request" for one that takes none
}

// Service is what the gateway needs to know of a service.
type Service struct {
	Name       string
	Team       string // whose key a request needs, unless the queue is open
	Queue      string
	Class      int           // 0 is shed first
	Idempotent bool          // default for requests that don't say
	Deadline   time.Duration // for requests that don't say, 0 for the gateway's default
	Hedge      bool          // idempotent requests may be hedged
	// EchoesRequestID tells that its instances return the header Sequoiastall-Request-Id, so that an answer without it
	// is an error.
	EchoesRequestID bool
	// WaitingLimit and TeamWaitingLimit bound the requests that wait at this node; 0 for the gateway's default.
	WaitingLimit     int
	TeamWaitingLimit int
}

// NodeView is one ingress node in GET /v1/nodes.
type NodeView struct {
	ID         string   `json:"id"`
	Zone       string   `json:"zone"`
	Address    string   `json:"address"`
	State      string   `json:"state"` // live, draining, left, suspected or dead
	Revision   int64    `json:"revision"`
	Partitions []string `json:"partitions"`
}

// QueueView is one queue in GET /v1/queues.
type QueueView struct {
	Name    string `json:"name"`
	Team    string `json:"team,omitempty"`
	Open    bool   `json:"open,omitempty"`
	Class   string `json:"class"`
	Pending int64  `json:"pending"` // tasks of jobs
	Running int64  `json:"running"` // tasks of jobs
}

// PartitionView is one partition in GET /v1/partitions.
type PartitionView struct {
	Name    string `json:"name"`
	Owner   string `json:"owner,omitempty"` // node, empty if none is known
	Workers int32  `json:"workers"`         // workers that the owner holds
	// Settled tells that every worker of the partition is accounted for.
	Settled  bool            `json:"settled"`
	Capacity resource.Vector `json:"capacity"`
	Free     resource.Vector `json:"free"`
}

// JobView is one job in GET /v1/jobs.
type JobView struct {
	ID          job.ID    `json:"id"`
	Name        string    `json:"name,omitempty"`
	Queue       string    `json:"queue"`
	Partition   string    `json:"partition"`
	Phase       job.Phase `json:"phase"`
	Tasks       int32     `json:"tasks"`
	Pending     int32     `json:"pending"`
	Running     int32     `json:"running"`
	SubmittedMS int64     `json:"submitted_ms"`      // Unix time
	Waiting     string    `json:"waiting,omitempty"` // why pending tasks wait
}

// JobList is the answer to GET /v1/jobs: jobs that haven't ended, oldest first.
type JobList struct {
	Jobs  []JobView `json:"jobs"`
	Total int       `json:"total"` // also those that the list leaves out because of its length
}

// RevisionView is the answer to GET /v1/revision.
type RevisionView struct {
	Node     string `json:"node"`
	Revision int64  `json:"revision"` // in force, 0 for none
}

// TeamView is one team in GET /v1/teams. Figures are slots.
type TeamView struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"`
	Limit   int64   `json:"limit"` // meaningful if Limited
	Limited bool    `json:"limited"`
	Running int64   `json:"running"`
	Backlog int64   `json:"backlog"`
}

// Node is what the gateway needs of the node that it runs in. All methods may be called concurrently; those without a
// context answer from memory.
type Node interface {
	// Authenticate finds the owner of a secret; ErrUnknownKey or ErrNoAuthority.
	Authenticate(secret string) (Identity, error)
	// Authority reports why the node may not take new work at present, nil if it may.
	Authority() error
	// Queue and Service look an object up in the configuration in force.
	Queue(name string) (Queue, bool)
	Service(name string) (Service, bool)

	// Submit makes a job durable, or finds the one that the team submitted with the same key before. It fails with
	// ErrInvalid, ErrConflict, ErrNotTaken or, when the outcome is unknown, another error.
	Submit(ctx context.Context, team, key string, spec job.Spec) (job.Status, error)
	// Status returns a job's status; ErrNotFound.
	Status(ctx context.Context, id job.ID) (job.Status, error)
	// Cancel requests that a job ends; repeated calls are harmless. ErrNotFound, ErrNotTaken.
	Cancel(ctx context.Context, id job.ID) (job.Status, error)

	// MayUse reports whether work that was presented with the identity's key is accepted on a queue.
	MayUse(id Identity, queue string) bool

	// Jobs lists the jobs of a team that haven't ended.
	Jobs(ctx context.Context, team string) JobList
	// Queues asks the owners of the partitions what runs.
	Queues(ctx context.Context) []QueueView
	Nodes() []NodeView
	Teams() []TeamView
	Partitions() []PartitionView
	Revision() RevisionView
}
