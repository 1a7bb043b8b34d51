// Package gateway serves the HTTP API for callers: job submission, views of the cell, and requests to service instances.
package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// Errors returned by a Node. Any other error of a method that changes state means that its outcome is unknown.
var (
	// ErrUnknownKey means that no key in the active configuration has this secret.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNoAuthority means that the node's configuration isn't confirmed, so a key may have been revoked meanwhile.
	ErrNoAuthority = errors.New("the configuration isn't confirmed")
	// ErrNotFound means that there is no such job.
	ErrNotFound = errors.New("not found")
	// ErrNotAccepted means that the call had no effect and will have none. Wrap it with the reason.
	ErrNotAccepted = errors.New("not taken")
	// ErrConflict means that the idempotency key was used before with another specification.
	ErrConflict = errors.New("idempotency key was used with another specification")
	// ErrInvalid means that the specification can't be accepted. Wrap it with the reason.
	ErrInvalid = errors.New("invalid specification")
)

// Identity is what an API key authenticates: the name of the key, its team and its queues.
type Identity struct {
	Key    string // name of the key object
	Team   string
	Queues []string // queues that the key is restricted to; empty for no restriction
}

// Queue holds the properties of a queue that the gateway uses.
type Queue struct {
	Name  string
	Team  string    // team that owns the queue; empty if several teams may use it
	Open  bool      // accepts work of any team, with or without a key
	Class job.Class // class of the jobs that it accepts; "request" if it accepts none
}

// Service holds the properties of a service that the gateway uses.
type Service struct {
	Name       string
	Team       string // requests need a key of this team, unless the queue is open
	Queue      string
	Class      int           // class 0 is shed first
	Idempotent bool          // default for requests without the header
	Deadline   time.Duration // default for requests without the header; 0 for the gateway's default
	Hedge      bool          // idempotent requests may be hedged
	// EchoesRequestID is set if the instances return the header Sequoiastall-Request-Id; a response without it is then
	// an error.
	EchoesRequestID bool
	// WaitingLimit and TeamWaitingLimit limit the requests waiting at this node, in total and per team; 0 for the
	// gateway's defaults.
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
	Owner   string `json:"owner,omitempty"` // node ID; empty if none is known
	Workers int32  `json:"workers"`         // number of workers that the owner controls
	// Settled is set when every worker of the partition is accounted for.
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
	Waiting     string    `json:"waiting,omitempty"` // why pending tasks are waiting
}

// JobList is the response to GET /v1/jobs: jobs that haven't ended, oldest first.
type JobList struct {
	Jobs  []JobView `json:"jobs"`
	Total int       `json:"total"` // includes jobs omitted because of the list's maximum length
}

// RevisionView is the response to GET /v1/revision.
type RevisionView struct {
	Node     string `json:"node"`
	Revision int64  `json:"revision"` // active revision; 0 for none
}

// TeamView is one team in GET /v1/teams. Amounts are in slots.
type TeamView struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"`
	Limit   int64   `json:"limit"` // only valid if Limited is set
	Limited bool    `json:"limited"`
	Running int64   `json:"running"`
	Backlog int64   `json:"backlog"`
}

// Node is the gateway's interface to the node that it runs in. All methods may be called concurrently; those without a
// context return data held in memory.
type Node interface {
	// Authenticate returns the identity that a secret authenticates. It fails with ErrUnknownKey or ErrNoAuthority.
	Authenticate(secret string) (Identity, error)
	// Authority returns the reason why the node may not accept new work at present, nil if it may.
	Authority() error
	// Queue and Service look an object up in the active configuration.
	Queue(name string) (Queue, bool)
	Service(name string) (Service, bool)

	// Submit stores a job durably, or returns the job that the team submitted before with the same key. It fails with
	// ErrInvalid, ErrConflict or ErrNotAccepted; any other error means that the outcome is unknown.
	Submit(ctx context.Context, team, key string, spec job.Spec) (job.Status, error)
	// Status returns a job's status. It fails with ErrNotFound.
	Status(ctx context.Context, id job.ID) (job.Status, error)
	// Cancel requests that a job ends; it is idempotent. It fails with ErrNotFound or ErrNotAccepted.
	Cancel(ctx context.Context, id job.ID) (job.Status, error)

	// MayUse reports whether a queue accepts work submitted with the identity's key.
	MayUse(id Identity, queue string) bool

	// Jobs lists the jobs of a team that haven't ended.
	Jobs(ctx context.Context, team string) JobList
	// Queues lists the queues, with counts obtained from the owners of the partitions.
	Queues(ctx context.Context) []QueueView
	// Nodes, Teams and Partitions list what this node currently has in memory about the cell.
	Nodes() []NodeView
	Teams() []TeamView
	Partitions() []PartitionView
	// Revision returns the revision of this node's active configuration.
	Revision() RevisionView
}
