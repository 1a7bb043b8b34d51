package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is a member's status as concluded by this node.
type Status int

// Statuses of a member.
const (
	Alive Status = iota
	Suspected
	Dead
	StatusLeft // the member announced that it left
)

// String returns the status's name.
func (s Status) String() string { return [...]string{"alive", "suspected", "dead", "left"}[s] }

// View is this node's view of a member.
type View struct {
	Member // ages are as of the time of the call
	Status Status
	Heard  time.Time // when its latest known heartbeat was sent
	Self   bool
}

// EventKind is the kind of a membership event.
type EventKind int

// Kinds of events.
const (
	Joined EventKind = iota
	SuspectedDead
	Died
	Returned   // after suspicion or death
	Restarted  // a newer incarnation replaces the old one
	MemberLeft // the member announced that it left
	Resumed    // this node itself was paused for Gap
	Superseded // another process uses this node's ID with a newer incarnation
)

// String returns the kind's name.
func (k EventKind) String() string {
	return [...]string{"joined", "suspected", "dead", "returned", "restarted", "left", "resumed", "superseded"}[k]
}

// Event is a change of the membership, as returned by Tick.
type Event struct {
	Kind    EventKind
	Members []Member
	// Zone and Group are set for Died. Deaths in a zone within Options.GroupWithin share a Group; each later event of
	// the group repeats the members of the earlier ones.
	Zone  string
	Group int
	Gap   time.Duration // for Resumed
}

// record is the table's entry for a member. It holds ages as points in time.
type record struct {
	member      Member
	reference   uint32
	status      Status
	heardAt     time.Time
	confirmedAt time.Time // zero if never
	roster      uint32    // hash of the last roster that the member sent
	endedAt     time.Time // when the member was declared dead, or left
}

// deathGroup collects the deaths in one zone within Options.GroupWithin.
type deathGroup struct {
	number     int
	firstDeath time.Time
	members    []Member
}

// Table is the member table of one node. It isn't safe for concurrent use.
type Table struct {
	options          Options
	self             *record
	records          map[string]*record // by ID, without self
	partitions       []Partition
	events           []Event
	deathGroups      map[string]*deathGroup // by zone
	lastGroup        int
	lastTick         time.Time
	lastHeartbeat    time.Time // last increment of this node's heartbeat
	lastAnnounced    time.Time // last announcement of this node's summaries
	lastUrgentChange time.Time // last urgent change of this node's entry
	pendingSelf      *Member   // this node's entry with summaries that are yet to be announced
	superseded       bool
}

// NewTable returns a table that contains only self.
func NewTable(self Member, o Options) *Table {
	t := &Table{options: o.withDefaults(), records: map[string]*record{}, deathGroups: map[string]*deathGroup{}}
	self.Version = max(self.Version, 1)
	t.self = newRecord(self)
	return t
}

func newRecord(m Member) *record {
	return &record{member: m, reference: reference(m.ID, m.Incarnation)}
}

// reference returns the short identifier of an incarnation. With 32 bits, the probability that any two of 100 members
// collide is about 1e-6.
func reference(id string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(id + "/" + strconv.FormatInt(incarnation, 10)))
}

// Tick advances the failure detector and returns what changed since the last call. Call it at least every 500 ms.
func (t *Table) Tick(now time.Time) []Event {
	t.compensatePause(now)
	t.lastTick = now
	var died []*record
	for _, r := range t.sortedRecords() {
		silence := now.Sub(r.heardAt)
		switch {
		case r.status == StatusLeft && now.Sub(r.endedAt) >= leftRetention, r.status == Dead && now.Sub(r.endedAt) >= t.options.ForgetAfter:
			delete(t.records, r.member.ID)
		case r.status == StatusLeft || r.status == Dead:
		case silence >= t.options.DeadAfter:
			r.status, r.endedAt = Dead, now
			died = append(died, r)
		case silence >= t.options.SuspectAfter && r.status == Alive:
			r.status = Suspected
			t.addEvent(SuspectedDead, r)
		}
	}
	t.groupDeaths(died, now)
	events := t.events
	t.events = nil
	return events
}

// compensatePause adds the time for which this node itself was paused to the last heartbeat of each member, since the
// node couldn't receive heartbeats then.
func (t *Table) compensatePause(now time.Time) {
	gap := t.SinceLastTick(now)
	if gap < t.options.SuspectAfter {
		return
	}
	for _, r := range t.records {
		if r.heardAt = r.heardAt.Add(gap); r.heardAt.After(now) {
			r.heardAt = now
		}
	}
	t.events = append(t.events, Event{Kind: Resumed, Members: []Member{t.self.member}, Gap: gap})
}

// SinceLastTick returns the time since the last Tick, 0 before the first one. A value far above the interval between
// ticks means that this process was paused.
func (t *Table) SinceLastTick(now time.Time) time.Duration {
	if t.lastTick.IsZero() {
		return 0
	}
	return now.Sub(t.lastTick)
}

func (t *Table) groupDeaths(died []*record, now time.Time) {
	var zones []string
	for _, r := range died {
		zone := r.member.Zone
		g := t.deathGroups[zone]
		if g == nil || now.Sub(g.firstDeath) > t.options.GroupWithin {
			t.lastGroup++
			g = &deathGroup{number: t.lastGroup, firstDeath: now}
			t.deathGroups[zone] = g
		}
		g.members = append(g.members, r.member)
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, zone := range zones {
		g := t.deathGroups[zone]
		t.events = append(t.events, Event{Kind: Died, Members: slices.Clone(g.members), Zone: zone, Group: g.number})
	}
}

func (t *Table) addEvent(kind EventKind, r *record) {
	t.events = append(t.events, Event{Kind: kind, Members: []Member{r.member}})
}

// Members returns this node and every known member, ordered by ID.
func (t *Table) Members(now time.Time) []View {
	t.self.heardAt = now
	views := []View{t.view(t.self, now)}
	for _, r := range t.records {
		views = append(views, t.view(r, now))
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return views
}

func (t *Table) view(r *record, now time.Time) View {
	return View{Member: r.toMember(now), Status: r.status, Heard: r.heardAt, Self: r == t.self}
}

// NeverConfirmed is the ConfirmedAgeMS of a member whose configuration no node has confirmed.
const NeverConfirmed = -1

// toMember returns the member with its ages as of now.
func (r *record) toMember(now time.Time) Member {
	m := r.member
	m.ConfirmedAgeMS = NeverConfirmed
	if !r.confirmedAt.IsZero() {
		m.ConfirmedAgeMS = max(0, now.Sub(r.confirmedAt).Milliseconds())
	}
	m.HeardAgeMS = max(0, now.Sub(r.heardAt).Milliseconds())
	m.Partitions = slices.Clone(m.Partitions)
	return m
}

// Targets returns the members to gossip with in this round.
func (t *Table) Targets(now time.Time, random *rand.Rand) []Member {
	var live, dead []Member
	for _, r := range t.sortedRecords() {
		switch r.status {
		case Alive, Suspected:
			live = append(live, r.toMember(now))
		case Dead:
			dead = append(dead, r.toMember(now))
		}
	}
	if len(live)+1 >= t.options.GossipAllBelow {
		random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		live = live[:min(t.options.Fanout, len(live))]
	}
	if len(dead) > 0 && random.IntN(deadTargetOdds) == 0 {
		live = append(live, dead[random.IntN(len(dead))])
	}
	return live
}

// Forget removes a member that is dead, for example because its registration in the store has lapsed. It reports
// whether the member is now unknown.
func (t *Table) Forget(id string) bool {
	r := t.records[id]
	if r == nil {
		return id != t.self.member.ID
	}
	if r.status != Dead && r.status != StatusLeft {
		return false
	}
	delete(t.records, id)
	return true
}

// Reachability counts the other members of the cell, and those of them from which this node receives heartbeats.
type Reachability struct {
	Known          int  // members that didn't leave, dead ones included
	Heard          int  // known members that aren't suspected or dead
	StoreReachable int  // heard members that report the store as reachable
	OutsideKnown   int  // known members in other zones
	OutsideHeard   bool // whether any member in another zone is heard
}

// Reachability returns the counts that the configuration freshness and isolation rules use.
func (t *Table) Reachability(now time.Time) Reachability {
	var c Reachability
	for _, r := range t.records {
		if r.status == StatusLeft {
			continue
		}
		heard := r.status != Dead && now.Sub(r.heardAt) < t.options.SuspectAfter
		outside := r.member.Zone != t.self.member.Zone
		c.Known++
		if outside {
			c.OutsideKnown++
		}
		if heard {
			c.Heard++
			c.OutsideHeard = c.OutsideHeard || outside
			if r.member.StoreReachable {
				c.StoreReachable++
			}
		}
	}
	return c
}

// Confirmed returns the age of the latest confirmation of the revision by any member, or false if there is none.
func (t *Table) Confirmed(revision int64, now time.Time) (time.Duration, bool) {
	var latest time.Time
	for _, r := range append(t.sortedRecords(), t.self) {
		if r.member.Revision == revision && r.confirmedAt.After(latest) {
			latest = r.confirmedAt
		}
	}
	return max(0, now.Sub(latest)), !latest.IsZero()
}

// sortedRecords returns the records of the other members, ordered by ID.
func (t *Table) sortedRecords() []*record {
	records := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return records
}

// roster returns the records of self and of the members that count as live, ordered by ID, and the hash of their
// references.
func (t *Table) roster(now time.Time) ([]*record, uint32) {
	records := []*record{t.self}
	for _, r := range t.records {
		if r.status != Dead && r.status != StatusLeft && now.Sub(r.heardAt) < t.options.DeadAfter {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.member.ID, b.member.ID) })
	var bytes []byte
	for _, r := range records {
		bytes = binary.LittleEndian.AppendUint32(bytes, r.reference)
	}
	return records, uint32(xxhash.Sum64(bytes))
}
