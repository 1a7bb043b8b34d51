package membership

import "time"

// Defaults of Options.
const (
	defaultSuspectAfter = 2 * time.Second
	defaultDeadAfter    = 3 * time.Second
	defaultGroupWithin  = 2 * time.Second
	// A region may be out of reach for an hour; its members must still count as known then.
	defaultForgetAfter = 2 * time.Hour
	defaultFanout      = 3
	defaultSmallTable  = 6
	// Usage by team only steers the order between teams, so it may be some seconds old.
	defaultSummaryEvery = 10 * time.Second
	defaultTeams        = 6
)

const (
	// AgeUnit is the resolution of the ages in a Pulse.
	AgeUnit = 50 * time.Millisecond
	// NoAge marks an age that is too large for a Pulse, or unknown.
	NoAge = 255
	// heartbeatEvery bounds the growth of the heartbeat, so that its low 16 bits stay unambiguous for longer than
	// defaultForgetAfter.
	heartbeatEvery = 250 * time.Millisecond
	// confirmationGain is how much younger, in AgeUnit, a confirmation must be to be worth a pulse of its own. Together
	// with a round it has to stay well below the 3 s after which a configuration counts as unconfirmed.
	confirmationGain = 16
	// announceFor is how long an urgent change is sent in full with each digest instead of waiting to be asked for.
	announceFor = time.Second
	// leftKeptFor outlasts every relay of the member, which ends DeadAfter after its last heartbeat.
	leftKeptFor = 30 * time.Second
	// deadTargetOdds is the inverse chance that a round also contacts a dead member, so that two sides of a healed
	// network find each other.
	deadTargetOdds = 5
)

// Options of a Table. Zero fields take their defaults.
type Options struct {
	SuspectAfter time.Duration // without a newer heartbeat
	DeadAfter    time.Duration // without a newer heartbeat
	GroupWithin  time.Duration // deaths in a zone that belong to one group
	ForgetAfter  time.Duration // dead members stay known for so long
	Fanout       int           // targets of a round
	SmallTable   int           // below this number of members, all are targets
	SummaryEvery time.Duration // shortest time between two announcements of free capacity and usage
	Teams        int           // busiest teams announced for a partition
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.SuspectAfter, defaultSuspectAfter}, {&o.DeadAfter, defaultDeadAfter},
		{&o.GroupWithin, defaultGroupWithin}, {&o.ForgetAfter, defaultForgetAfter},
		{&o.SummaryEvery, defaultSummaryEvery},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	for _, d := range []struct {
		field *int
		value int
	}{{&o.Fanout, defaultFanout}, {&o.SmallTable, defaultSmallTable}, {&o.Teams, defaultTeams}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return o
}
