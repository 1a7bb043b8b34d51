// Package membership maintains the table of ingress nodes: which nodes are live, and which partitions each one owns.
package membership

import "sequoiastall/internal/core/resource"

// State is the state that a member announces for itself.
type State int

// States that a member announces. Death isn't announced; other members detect it.
const (
	Live State = iota
	Draining
	Left
)

// String returns the state's name.
func (s State) String() string { return [...]string{"live", "draining", "left"}[s] }

// Member is an ingress node as described in gossip messages.
type Member struct {
	ID string
	// Address is the IP:port of its peer server. A full entry has it; a relayed entry without it is the short form for
	// receivers that already have the addresses and the zone.
	Address     string
	HTTPAddress string // IP:port of its HTTP interface for callers
	Zone        string
	Incarnation int64 // Unix milliseconds of the process start
	Heartbeat   uint64
	State       State
	// Revision is the revision of the configuration in force at the member.
	Revision int64
	// ConfirmedAgeMS is how long ago, at the time of sending, any node last read the store and found that revision
	// current; NeverConfirmed if none did. A relaying node adds the time for which it held the entry.
	ConfirmedAgeMS int64
	StoreReachable bool
	Partitions     []Summary
	// Version increases with each change of the fields that a HeartbeatEntry doesn't carry.
	Version uint32
	// HeardAgeMS is the age of the heartbeat at the time of sending, 0 for the sender itself.
	HeardAgeMS int64
}

// Summary is an owner's summary of one partition.
type Summary struct {
	Partition string
	Workers   int32 // workers whose control lease the owner holds
	Capacity  resource.Vector
	Free      resource.Vector
	Teams     []TeamUsage
	// Settled reports whether every worker of the partition is accounted for.
	Settled bool
}

// TeamUsage is the resources that a team uses and waits for in a partition.
type TeamUsage struct {
	Team    string
	Running resource.Vector
	Backlog resource.Vector
}

// Digest is the content of one gossip message.
type Digest struct {
	From    string
	Members []Member
	// Roster is a hash of the references of all members that the sender considers live, ordered by member ID. Indexed
	// reports whether the references of Heartbeats are positions in that order.
	Roster  uint32
	Indexed bool
	// Position is the sender's position in the roster if Indexed is set; From is empty then.
	Position   uint8
	Heartbeats []HeartbeatEntry
}

// HeartbeatEntry is a compact heartbeat entry for a member whose other fields the receiver may already have.
type HeartbeatEntry struct {
	Reference uint32 // hash of ID and incarnation, or a position in the roster
	Heartbeat uint16 // low bits of the heartbeat
	Version   uint8  // low bits of the version that the sender has
	Confirmed uint8  // age of the configuration's confirmation in units of AgeUnit, NoAge if older or absent
	Heard     uint8  // age of the heartbeat in units of AgeUnit
}
