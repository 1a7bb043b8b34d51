package membership

import "time"

// Defaults of Options.
const (
	defaultSuspectAfter = 2 * time.Second
	defaultDeadAfter    = 3 * time.Second
	defaultGroupWithin  = 2 * time.Second
	// A region may be unreachable for an hour, and its members must still count as known then.
	defaultForgetAfter    = 2 * time.Hour
	defaultFanout         = 3
	defaultGossipAllBelow = 6
	// Usage by team only affects the order between teams, so it may be some seconds old.
	defaultSummaryInterval = 10 * time.Second
	defaultTeams           = 6
)

const (
	// AgeUnit is the resolution of the ages in a HeartbeatEntry.
	AgeUnit = 50 * time.Millisecond
	// NoAge stands for an age that is unknown or too large for a HeartbeatEntry.
	NoAge = 255
	// heartbeatInterval is the minimum time between two increments of the heartbeat. It keeps the low 16 bits of the
	// heartbeat unambiguous for longer than defaultForgetAfter.
	heartbeatInterval = 250 * time.Millisecond
	// minConfirmationGain is how much younger, in units of AgeUnit, a confirmation must be to be sent in a heartbeat
	// entry although the heartbeat isn't newer. Together with a gossip round it must stay well below the 3 s after
	// which a configuration counts as unconfirmed.
	minConfirmationGain = 16
	// urgentAnnouncePeriod is how long the full entry is sent with each digest after an urgent change, instead of only
	// in reply to members that lack it.
	urgentAnnouncePeriod = time.Second
	// leftRetention is how long a member that left is kept. It is longer than other nodes relay the member, which they
	// stop doing DeadAfter after its last heartbeat.
	leftRetention = 30 * time.Second
	// deadTargetOdds is the inverse probability that a gossip round also contacts a dead member. Without that, the two
	// sides of a healed network partition wouldn't find each other.
	deadTargetOdds = 5
)

// Options of a Table. Zero fields take their defaults.
type Options struct {
	SuspectAfter    time.Duration // time without a newer heartbeat after which a member is suspected
	DeadAfter       time.Duration // time without a newer heartbeat after which a member is dead
	GroupWithin     time.Duration // window in which deaths in a zone form one group
	ForgetAfter     time.Duration // how long dead members stay known
	Fanout          int           // number of targets of a gossip round
	GossipAllBelow  int           // below this number of members, every member is a target
	SummaryInterval time.Duration // minimum time between two announcements of free capacity and usage
	Teams           int           // maximum number of teams announced for a partition, those with the largest share
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.SuspectAfter, defaultSuspectAfter}, {&o.DeadAfter, defaultDeadAfter},
		{&o.GroupWithin, defaultGroupWithin}, {&o.ForgetAfter, defaultForgetAfter},
		{&o.SummaryInterval, defaultSummaryInterval},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	for _, d := range []struct {
		field *int
		value int
	}{{&o.Fanout, defaultFanout}, {&o.GossipAllBelow, defaultGossipAllBelow}, {&o.Teams, defaultTeams}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return o
}
