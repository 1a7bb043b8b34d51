// Package placement decides which worker a task runs on. A Cluster indexes the free resources of a partition's workers,
// so that the cost of a decision hardly depends on their number. It isn't safe for concurrent use.
package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// Worker is a host that runs tasks.
type Worker struct {
	ID, Zone, Rack, Pool string
	Capacity, Reserved   resource.Vector
	Leaving, Quarantined bool
}

// Request describes a task for which a worker is needed.
type Request struct {
	Job       job.ID
	Team      string
	Service   string // empty unless the task is a service instance
	Pool      string // empty for any pool
	Class     job.Class
	Urgent    bool
	Resources resource.Vector
	Avoid     map[string]bool // IDs of workers not to use, such as those on which the task failed
}

// Policy holds the weights set by the operators, from 0 to 1. Share affects the order of teams, not placement.
type Policy struct {
	Packing, Share, Waiting float64
}

// Decision is the worker chosen for a task, with its score.
type Decision struct {
	Worker     string
	Score      float64 // from 0 to 1
	Reason     string  // the score plugin that contributed most
	Considered int     // workers whose free resources were examined
}

// UnplaceableError reports that no worker can take the task now.
type UnplaceableError struct {
	Never    bool           // the pool's workers are too small, or too few for the gang, even when empty
	Rejected map[string]int // number of workers by filter name
}

// Error implements error.
func (e *UnplaceableError) Error() string {
	text := "no worker can take the task now"
	if e.Never {
		text = "the pool's workers are too small or too few even when empty"
	}
	if len(e.Rejected) == 0 {
		return text
	}
	parts := make([]string, 0, len(e.Rejected))
	for _, name := range slices.Sorted(maps.Keys(e.Rejected)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, e.Rejected[name]))
	}
	return text + ": workers rejected by filter: " + strings.Join(parts, ", ")
}

// CapacityError reports that a reservation would have exceeded the worker's capacity; nothing was reserved.
type CapacityError struct {
	Worker                     string
	Wanted, Reserved, Capacity resource.Vector
}

// Error implements error.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("worker %s can't hold %+v: %+v of %+v is reserved", e.Worker, e.Wanted, e.Reserved, e.Capacity)
}

// UnknownWorkerError reports a worker that isn't in the cluster.
type UnknownWorkerError struct{ Worker string }

// Error implements error.
func (e *UnknownWorkerError) Error() string { return "worker " + e.Worker + " isn't in the cluster" }

// InvalidRequestError reports a request with a negative amount.
type InvalidRequestError struct{ Resources resource.Vector }

// Error implements error.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("request has a negative amount: %+v", e.Resources)
}
