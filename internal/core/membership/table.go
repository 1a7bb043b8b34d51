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

// Status is this node's conclusion on a member.
type Status int

// Statuses of a member.
const (
	Alive Status = iota
	Suspected
	Dead
	Gone // announced that it left
)

// String returns the status's name.
func (s Status) String() string { return [...]string{"alive", "suspected", "dead", "left"}[s] }

// View is a member as this node sees it.
type View struct {
	Member // ages are as of the time of the call
	Status Status
	Heard  time.Time // when its latest known heartbeat was raised
	Self   bool
}

// EventKind tells what happened to members.
type EventKind int

// Kinds of events.
const (
	Joined EventKind = iota
	SuspectedDead
	Died
	Returned   // after suspicion or death
	Restarted  // a newer incarnation replaces the old one
	Departed   // announced that it left
	Resumed    // this node itself was paused for Gap
	Superseded // another process uses this node's ID with a newer incarnation
)

// String returns the kind's name.
func (k EventKind) String() string {
	return [...]string{"joined", "suspected", "dead", "returned", "restarted", "left", "resumed", "superseded"}[k]
}

// Event is a change that Tick reports.
type Event struct {
	Kind    EventKind
	Members []Member
	// Zone and Group are set for Died. Deaths in a zone within Options.GroupWithin share a Group; each later event of
	// the group repeats the members of the earlier ones.
	Zone  string
	Group int
	Gap   time.Duration // for Resumed
}

// record is what the table keeps of a member. Its ages are kept as times.
type record struct {
	member    Member
	reference uint32
	status    Status
	heard     time.Time
	confirmed time.Time // zero if never
	roster    uint32    // last roster that the member sent
	ended     time.Time // when it was found dead or left
}

// group collects deaths in one zone.
type group struct {
	number  int
	first   time.Time
	members []Member
}

// Table is the member table of one node. It isn't safe for concurrent use.
type Table struct {
	options    Options
	self       *record
	records    map[string]*record // by ID, without self
	partitions []Partition
	events     []Event
	groups     map[string]*group // by zone
	lastGroup  int
	lastTick   time.Time
	raised     time.Time // last raise of the own heartbeat
	announced  time.Time // last announcement of the own summaries
	urgent     time.Time // last urgent change of the own entry
	pending    *Member   // own entry with summaries that wait for their announcement
	superseded bool
}

// NewTable returns a table that knows only self.
func NewTable(self Member, o Options) *Table {
	t := &Table{options: o.withDefaults(), records: map[string]*record{}, groups: map[string]*group{}}
	self.Version = max(self.Version, 1)
	t.self = newRecord(self)
	return t
}

func newRecord(m Member) *record {
	return &record{member: m, reference: reference(m.ID, m.Incarnation)}
}

// reference is the short name of an incarnation. With 32 bits, two of 100 members collide with a chance of about 1e-6.
func reference(id string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(id + "/" + strconv.FormatInt(incarnation, 10)))
}

// Tick advances the failure detector and returns what changed since the last call. Call it at least every 500 ms.
func (t *Table) Tick(now time.Time) []Event {
	t.absorbPause(now)
	t.lastTick = now
	var died []*record
	for _, r := range t.sorted() {
		silent := now.Sub(r.heard)
		switch {
		case r.status == Gone && now.Sub(r.ended) >= leftKeptFor, r.status == Dead && now.Sub(r.ended) >= t.options.ForgetAfter:
			delete(t.records, r.member.ID)
		case r.status == Gone || r.status == Dead:
		case silent >= t.options.DeadAfter:
			r.status, r.ended = Dead, now
			died = append(died, r)
		case silent >= t.options.SuspectAfter && r.status == Alive:
			r.status = Suspected
			t.emit(SuspectedDead, r)
		}
	}
	t.groupDeaths(died, now)
	events := t.events
	t.events = nil
	return events
}

// absorbPause credits every member with the time in which this node itself did not run: it couldn't have heard them.
func (t *Table) absorbPause(now time.Time) {
	gap := t.Away(now)
	if gap < t.options.SuspectAfter {
		return
	}
	for _, r := range t.records {
		if r.heard = r.heard.Add(gap); r.heard.After(now) {
			r.heard = now
		}
	}
	t.events = append(t.events, Event{Kind: Resumed, Members: []Member{t.self.member}, Gap: gap})
}

// Away returns the time since the last Tick, 0 before the first one. A value far above the interval between ticks
// means that this process was paused.
func (t *Table) Away(now time.Time) time.Duration {
	if t.lastTick.IsZero() {
		return 0
	}
	return now.Sub(t.lastTick)
}

func (t *Table) groupDeaths(died []*record, now time.Time) {
	var zones []string
	for _, r := range died {
		zone := r.member.Zone
		g := t.groups[zone]
		if g == nil || now.Sub(g.first) > t.options.GroupWithin {
			t.lastGroup++
			g = &group{number: t.lastGroup, first: now}
			t.groups[zone] = g
		}
		g.members = append(g.members, r.member)
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, zone := range zones {
		g := t.groups[zone]
		t.events = append(t.events, Event{Kind: Died, Members: slices.Clone(g.members), Zone: zone, Group: g.number})
	}
}

func (t *Table) emit(kind EventKind, r *record) {
	t.events = append(t.events, Event{Kind: kind, Members: []Member{r.member}})
}

// Members returns this node and every member that it knows, in the order of IDs.
func (t *Table) Members(now time.Time) []View {
	t.self.heard = now
	views := []View{t.view(t.self, now)}
	for _, r := range t.records {
		views = append(views, t.view(r, now))
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return views
}

func (t *Table) view(r *record, now time.Time) View {
	return View{Member: r.export(now), Status: r.status, Heard: r.heard, Self: r == t.self}
}

// NeverConfirmed is the ConfirmedAgeMS of a member whose configuration nobody has confirmed.
const NeverConfirmed = -1

// export returns the member with its ages as of now.
func (r *record) export(now time.Time) Member {
	m := r.member
	m.ConfirmedAgeMS = NeverConfirmed
	if !r.confirmed.IsZero() {
		m.ConfirmedAgeMS = max(0, now.Sub(r.confirmed).Milliseconds())
	}
	m.HeardAgeMS = max(0, now.Sub(r.heard).Milliseconds())
	m.Partitions = slices.Clone(m.Partitions)
	return m
}

// Targets returns the members to gossip with in this round.
func (t *Table) Targets(now time.Time, random *rand.Rand) []Member {
	var live, dead []Member
	for _, r := range t.sorted() {
		switch r.status {
		case Alive, Suspected:
			live = append(live, r.export(now))
		case Dead:
			dead = append(dead, r.export(now))
		}
	}
	if len(live)+1 >= t.options.SmallTable {
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
	if r.status != Dead && r.status != Gone {
		return false
	}
	delete(t.records, id)
	return true
}

// Reachability says how much of the cell this node hears. It doesn't count the node itself.
type Reachability struct {
	Known          int  // members that are live or were not seen leaving
	Heard          int  // of these, not suspected or dead
	StoreReachable int  // heard members that report the store reachable
	OutsideKnown   int  // members of other zones
	OutsideHeard   bool // some member of another zone is heard
}

// Reachability returns the counts for the freshness and isolation rules.
func (t *Table) Reachability(now time.Time) Reachability {
	var c Reachability
	for _, r := range t.records {
		if r.status == Gone {
			continue
		}
		heard := r.status != Dead && now.Sub(r.heard) < t.options.SuspectAfter
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

// Confirmed returns the smallest age of a confirmation of the revision by any member, false if there is none.
func (t *Table) Confirmed(revision int64, now time.Time) (time.Duration, bool) {
	var latest time.Time
	for _, r := range append(t.sorted(), t.self) {
		if r.member.Revision == revision && r.confirmed.After(latest) {
			latest = r.confirmed
		}
	}
	return max(0, now.Sub(latest)), !latest.IsZero()
}

// sorted returns the records of other members in the order of IDs.
func (t *Table) sorted() []*record {
	records := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return records
}

// roster returns self and the members that count as live, in the order of IDs, and the hash of their references.
func (t *Table) roster(now time.Time) ([]*record, uint32) {
	records := []*record{t.self}
	for _, r := range t.records {
		if r.status != Dead && r.status != Gone && now.Sub(r.heard) < t.options.DeadAfter {
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
