package partition

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/resource"
)

// Timing holds the durations that the ownership rules depend on.
type Timing struct {
	ControlLease time.Duration // a worker accepts commands from only one owner for this long after the last renewal
	TaskLease    time.Duration // a worker keeps its tasks for this long after the control lease has lapsed
	Isolation    time.Duration // an isolated owner renews leases for this long
	Announce     time.Duration // a newly listed worker is announced for this long before it is used
}

// DefaultTiming returns the default durations. With them, OwnLeaseExpiry is 15.75 s and ForeignLeaseExpiry is 26.25 s.
func DefaultTiming() Timing {
	return Timing{ControlLease: 3 * time.Second, TaskLease: 12 * time.Second, Isolation: 10 * time.Second, Announce: 2 * time.Second}
}

// clockDriftPercent is added to every wait that depends on another host's clock.
const clockDriftPercent = 5

func withDrift(d time.Duration) time.Duration { return d + d*clockDriftPercent/100 }

// OwnLeaseExpiry is how long this owner waits, after the last message that could have renewed a lease, until a worker
// that it held has certainly stopped its tasks.
func (t Timing) OwnLeaseExpiry() time.Duration { return withDrift(t.ControlLease + t.TaskLease) }

// ForeignLeaseExpiry is the same wait for a worker whose lease another owner may have renewed until its own isolation
// made it stop.
func (t Timing) ForeignLeaseExpiry() time.Duration {
	return withDrift(t.Isolation + t.ControlLease + t.TaskLease)
}

// Options are fixed for the lifetime of a Machine.
type Options struct {
	Partition string
	Node      string
	Timing    Timing
	// Invariant records whether an invariant holds, and returns ok.
	Invariant func(name string, ok bool, cause ...any) bool
}

// Team is the configuration of a team.
type Team struct {
	Weight float64
}

// DesiredService is a service that has to run in this partition according to the configuration.
type DesiredService struct {
	Spec     job.Spec // Tasks is the number of instances in this partition
	Version  string   // digest of the parts of the service object whose change requires a restart of the instances
	Restarts bool
}

// Config is the part of the object set that a partition needs.
type Config struct {
	Policy   placement.Policy
	Teams    map[string]Team
	Services []DesiredService
}

// DecisionKind is the action that a decision takes.
type DecisionKind string

// Kinds of decisions.
const (
	DecideStart      DecisionKind = "start"
	DecideWait       DecisionKind = "wait"
	DecideCheckpoint DecisionKind = "checkpoint"
	DecideStop       DecisionKind = "stop"
	DecideThrottle   DecisionKind = "throttle"
	DecideRequeue    DecisionKind = "requeue"
	DecideQuarantine DecisionKind = "quarantine"
)

// Decision is one entry of the decision log.
type Decision struct {
	Kind       DecisionKind
	Task       job.TaskID
	Team       string
	Worker     string
	Reason     string
	Score      float64
	Considered int           // workers that placement considered
	Waited     time.Duration // since submission or the last requeue
}

// AllowanceNeed is allowance that a partition needs in addition to its slack to start all work that waits for some.
type AllowanceNeed struct {
	Team   string
	Amount resource.Vector
	// Blocking is the part of Amount in the resources of which the slack has no room for a job's next task or for a
	// whole gang.
	Blocking resource.Vector
}

// Report is the result of a cycle that the caller has to act on.
type Report struct {
	Decisions      []Decision
	Ended          []job.Record // final records to write to the store
	AllowanceNeeds []AllowanceNeed
}
