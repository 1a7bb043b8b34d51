// Package gateway serves callers' HTTP: job submission, views of the cell, and requests to service instances.
package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
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
	Key  string // name of the key object
	Team string
}

// Queue is what the gateway needs to know of a queue.
type Queue struct {
	Name string
	Team string // team that owns the queue, empty if several teams may use it
	Open bool   // takes work of any team, with or without a key
}

// Service is what the gateway needs to know of a service.
type Service struct {
	Name       string
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

// RevisionView is the answer of GET /v1/revision.
type RevisionView struct {
	Node     string `json:"node"`
	Revision int64  `json:"revision"` // of the configuration in force, 0 without one
}

// QueueView is one queue in GET /v1/queues.
type QueueView struct {
	Name    string `json:"name"`
	Team    string `json:"team,omitempty"`
	Open    bool   `json:"open,omitempty"`
	Pending int64  `json:"pending"` // tasks
	Running int64  `json:"running"` // tasks
}

// TeamView is one team in GET /v1/teams. Figures are slots.
type TeamView struct {
	Name    string  `json:"name"`
	Weight  float64 `json:"weight"`
	Limit   int64   `json:"limit"`
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

	Nodes() []NodeView
	Queues() []QueueView
	Teams() []TeamView
}
