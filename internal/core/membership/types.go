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
	ID string
	// Address is the IP:port of its peer server. It is required; a relayed entry without it is the short form for
	// receivers that have the addresses and the zone.
	Address     string
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
	// Version grows with each change of the fields that pulses don't carry.
	Version uint32
	// HeardAgeMS is how old the heartbeat was at the time of sending, 0 for the sender itself.
	HeardAgeMS int64
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
	// Roster is a hash of the references that the sender knows as live, in order. Indexed tells that the references of
	// Pulses are positions in that order.
	Roster  uint32
	Indexed bool
	// Position is the sender's place in the roster if Indexed; From is empty then.
	Position uint8
	Pulses   []Pulse
}

// Pulse is the short form of a member whose other fields the receiver may already have.
type Pulse struct {
	Reference uint32 // hash of ID and incarnation, or a position in the roster
	Heartbeat uint16 // low bits of the heartbeat
	Version   uint8  // low bits of the version that the sender has
	Confirmed uint8  // age of the configuration's confirmation in units of AgeUnit, NoAge if older or absent
	Heard     uint8  // age of the heartbeat in units of AgeUnit
}
