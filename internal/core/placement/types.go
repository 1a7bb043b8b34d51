// Package placement decides which worker a task runs on. A Cluster indexes the free resources of a partition's workers,
// so that the cost of a decision hardly depends on their number. It belongs to one goroutine.
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

// Request asks for a worker for one task.
type Request struct {
	Job       job.ID
	Team      string
	Service   string // empty unless the task is a service instance
	Pool      string // empty for any pool
	Class     job.Class
	Urgent    bool
	Resources resource.Vector
	Avoid     map[string]bool // IDs of workers on which the task failed
}

// Policy holds the operators' weights, from 0 to 1. Share weighs the order of teams and doesn't affect placement.
type Policy struct {
	Packing, Share, Waiting float64
}

// Decision is the chosen worker.
type Decision struct {
	Worker     string
	Score      float64 // from 0 to 1
	Reason     string  // the score plugin that contributed most
	Considered int     // workers whose free resources were examined
}

// UnplaceableError tells that no worker can take the task now.
type UnplaceableError struct {
	Never    bool           // the pool's workers are too small, or too few for the gang, even when empty
	Rejected map[string]int // filter name -> workers
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

// CapacityError tells that a reservation would have overfilled the worker; nothing was reserved.
type CapacityError struct {
	Worker                     string
	Wanted, Reserved, Capacity resource.Vector
}

// Error implements error.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("worker %s can't hold %+v: %+v of %+v is reserved", e.Worker, e.Wanted, e.Reserved, e.Capacity)
}

// UnknownWorkerError names a worker that isn't in the cluster.
type UnknownWorkerError struct{ Worker string }

// Error implements error.
func (e *UnknownWorkerError) Error() string { return "worker " + e.Worker + " isn't in the cluster" }

// InvalidRequestError names a request that no worker could hold because an amount is negative.
type InvalidRequestError struct{ Resources resource.Vector }

// Error implements error.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("request has a negative amount: %+v", e.Resources)
}
