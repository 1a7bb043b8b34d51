// Package membership keeps the table of ingress nodes: who is live, and which partitions they own.
package membership

import "sequoiastall/internal/core/resource"

// State is a member's own word on itself.
type State int

// States that a member announces. Death is concluded by others, not announced.
const (
	Live State = iota
	Draining
	Left
)

// String returns the state's name.
func (s State) String() string { return [...]string{"live", "draining", "left"}[s] }

// Member is one ingress node as gossip carries it.
type Member struct {
	ID          string
	Address     string // IP:port of its peer server
	HTTPAddress string // IP:port of its callers' interface
	Zone        string
	Incarnation int64 // Unix milliseconds of the process start
	Heartbeat   uint64
	State       State
	// Revision is the configuration in force at the member.
	Revision int64
	// ConfirmedAgeMS is how long ago, at the time of sending, some node read the store and found that revision current.
	// A relay adds the time that the entry waited at it.
	ConfirmedAgeMS int64
	StoreReachable bool
	Partitions     []Summary
}

// Summary is an owner's digest of one partition.
type Summary struct {
	Partition string
	Workers   int32 // workers whose control lease the owner holds
	Capacity  resource.Vector
	Free      resource.Vector
	Teams     []TeamUsage
	// Settled tells that every worker of the partition is accounted for.
	Settled bool
}

// TeamUsage is what a team runs and waits for in a partition.
type TeamUsage struct {
	Team    string
	Running resource.Vector
	Backlog resource.Vector
}

// Digest is the content of one gossip message.
type Digest struct {
	From    string
	Members []Member
}
