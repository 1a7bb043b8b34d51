package partition

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/resource"
)

// Timing holds the durations that the rules of ownership depend on.
type Timing struct {
	ControlLease time.Duration // a worker obeys one owner for so long after its last renewal
	TaskLease    time.Duration // a worker keeps its tasks for so long after the control lease has lapsed
	Isolation    time.Duration // an isolated owner renews leases for so long
	Announce     time.Duration // a newly listed worker is announced for so long before it is used
}

// DefaultTiming returns the timing of the design page.
func DefaultTiming() Timing {
	return Timing{ControlLease: 3 * time.Second, TaskLease: 12 * time.Second, Isolation: 10 * time.Second, Announce: 2 * time.Second}
}

// driftPercent is added to every wait for another host's clock.
const clockDriftPercent = 5

func withDrift(d time.Duration) time.Duration { return d + d*clockDriftPercent/100 }

// Own is how long this owner waits, after the last message that could have renewed a lease, until a worker that it
// held has certainly stopped its tasks.
func (t Timing) OwnLeaseExpiry() time.Duration { return withDrift(t.ControlLease + t.TaskLease) }

// Foreign is the same for a worker that another owner may have renewed until its isolation made it stop.
func (t Timing) ForeignLeaseExpiry() time.Duration {
	return withDrift(t.Isolation + t.ControlLease + t.TaskLease)
}

// Options are fixed for the life of a machine.
type Options struct {
	Partition string
	Node      string
	Timing    Timing
	// Invariant records whether a condition that must always hold does; it returns ok.
	Invariant func(name string, ok bool, cause ...any) bool
}

// Team is what the configuration says of a team.
type Team struct {
	Weight float64
}

// ServiceGoal is a service that the configuration wants in this partition.
type DesiredService struct {
	Spec     job.Spec // Tasks is the number of instances in this partition
	Version  string   // digest of the parts of the object that need a restart of the instances
	Restarts bool
}

// Config is the part of the object set that a partition needs.
type Config struct {
	Policy   placement.Policy
	Teams    map[string]Team
	Services []DesiredService
}

// DecisionKind says what a decision does.
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

// Decision is one line of the decision log.
type Decision struct {
	Kind       DecisionKind
	Task       job.TaskID
	Team       string
	Worker     string
	Reason     string
	Score      float64
	Considered int           // workers looked at
	Waited     time.Duration // since submission or the last requeue
}

// Need is an allowance that a partition lacks for work that it could start otherwise.
type Need struct {
	Team   string
	Amount resource.Vector
}

// Report is what a cycle leaves for the outside to do.
type Report struct {
	Decisions []Decision
	Ended     []job.Record // final records to write to the store
	Needs     []Need
}
