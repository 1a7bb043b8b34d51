package membership

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/resource"
)

// maxIndexed is the largest roster whose positions fit the byte that the wire format gives them.
const maxIndexed = 255

// UpdateSelf lets f change this node's own entry, whose ages are as of now. ID, Incarnation, addresses, zone, Heartbeat
// and Version stay as they are. Free capacity and usage are announced at most every Options.SummaryEvery, all else at once.
func (t *Table) UpdateSelf(now time.Time, f func(*Member)) {
	old := t.self.member
	t.self.heard = now
	m := t.self.export(now)
	if t.pending != nil {
		m.Partitions = slices.Clone(t.pending.Partitions)
	}
	f(&m)
	m.ID, m.Incarnation, m.Heartbeat, m.Version, m.HeardAgeMS = old.ID, old.Incarnation, old.Heartbeat, old.Version, 0
	m.Address, m.HTTPAddress, m.Zone = old.Address, old.HTTPAddress, old.Zone
	t.self.confirmed = confirmedAt(m, now)
	t.pending = &m
	if urgentChange(old, m) {
		t.publish(now)
		t.urgent = now
		return
	}
	t.publishSummaries(now)
}

// confirmedAt returns the time at which the member's configuration was confirmed, zero if never.
func confirmedAt(m Member, now time.Time) time.Time {
	if m.Revision == 0 || m.ConfirmedAgeMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.ConfirmedAgeMS) * time.Millisecond)
}

// urgentChange reports whether m differs from old in more than quantities and ages.
func urgentChange(old, m Member) bool {
	same := old.State == m.State && old.Revision == m.Revision && old.StoreReachable == m.StoreReachable
	return !same || !slices.EqualFunc(old.Partitions, m.Partitions, func(a, b Summary) bool {
		return a.Partition == b.Partition && a.Settled == b.Settled && a.Workers == b.Workers
	})
}

// publishSummaries announces pending quantities if the last announcement is old enough.
func (t *Table) publishSummaries(now time.Time) {
	if t.pending == nil || now.Sub(t.announced) < t.options.SummaryEvery {
		return
	}
	if slices.EqualFunc(t.self.member.Partitions, t.busiest(t.pending.Partitions), equalSummary) {
		return
	}
	t.publish(now)
}

func (t *Table) publish(now time.Time) {
	m := *t.pending
	m.Partitions = t.busiest(m.Partitions)
	m.Version++
	t.self.member, t.announced = m, now
}

func equalSummary(a, b Summary) bool {
	return a.Partition == b.Partition && a.Workers == b.Workers && a.Settled == b.Settled && a.Capacity == b.Capacity &&
		a.Free == b.Free && slices.Equal(a.Teams, b.Teams)
}

// busiest bounds the teams of each summary to those with the largest share of the partition, running or waiting.
// Gossip has to stay within a few hundred bytes a second; the teams left out are the ones that matter least elsewhere.
func (t *Table) busiest(summaries []Summary) []Summary {
	bounded := slices.Clone(summaries)
	for i, s := range bounded {
		teams := slices.Clone(s.Teams)
		share := func(u TeamUsage) float64 { return u.Running.Add(u.Backlog).DominantShare(s.Capacity) }
		slices.SortFunc(teams, func(a, b TeamUsage) int {
			return cmp.Or(cmp.Compare(share(b), share(a)), cmp.Compare(a.Team, b.Team))
		})
		teams = slices.DeleteFunc(teams, func(u TeamUsage) bool { return u.Running == resource.Vector{} && u.Backlog == resource.Vector{} })
		bounded[i].Teams = teams[:min(len(teams), t.options.Teams)]
	}
	return bounded
}

// Digest returns a message for a receiver of whom nothing is known, such as a seed.
func (t *Table) Digest(now time.Time) Digest { return t.DigestFor("", now) }

// DigestFor returns a message for a member: pulses of all live members, and this node's own entry while it is new or
// has changed urgently. The receiver answers with the entries that this node lacks.
func (t *Table) DigestFor(peer string, now time.Time) Digest {
	t.beat(now)
	records, hash := t.roster(now)
	known := t.records[peer]
	d := t.newDigest(records, hash, known != nil && known.roster == hash)
	for i, r := range records {
		d.Pulses = append(d.Pulses, r.pulse(now, d.Indexed, i))
	}
	if known == nil || known.roster == 0 || now.Sub(t.urgent) < announceFor {
		d.Members = append(d.Members, t.self.export(now))
	}
	return d
}

// newDigest returns a digest without entries. same tells that the receiver has the same roster.
func (t *Table) newDigest(records []*record, hash uint32, same bool) Digest {
	if !same || len(records) > maxIndexed {
		return Digest{From: t.self.member.ID, Roster: hash}
	}
	return Digest{Roster: hash, Indexed: true, Position: uint8(slices.Index(records, t.self))}
}

// beat raises the own heartbeat and announces summaries that are due.
func (t *Table) beat(now time.Time) {
	t.self.heard = now
	if now.Sub(t.raised) >= heartbeatEvery {
		t.self.member.Heartbeat++
		t.raised = now
	}
	t.publishSummaries(now)
}

func (r *record) pulse(now time.Time, indexed bool, position int) Pulse {
	p := Pulse{Reference: r.reference, Heartbeat: uint16(r.member.Heartbeat), Version: uint8(r.member.Version),
		Confirmed: NoAge, Heard: ageUnits(now.Sub(r.heard))}
	if indexed {
		p.Reference = uint32(position)
	}
	if !r.confirmed.IsZero() {
		p.Confirmed = ageUnits(now.Sub(r.confirmed))
	}
	return p
}

// ageUnits rounds up, so that an age never shrinks by being relayed.
func ageUnits(age time.Duration) uint8 {
	return uint8(min(NoAge, (max(0, age)+AgeUnit-1)/AgeUnit))
}

// Reply returns the answer to a request that was already merged: pulses that are newer here, and the entries of which
// the sender has an older version or none.
func (t *Table) Reply(request Digest, now time.Time) Digest {
	t.beat(now)
	records, hash := t.roster(now)
	d := t.newDigest(records, hash, request.Roster == hash)
	theirs := map[uint32]Pulse{}
	unreadable := request.Indexed && !d.Indexed
	for _, p := range request.Pulses {
		theirs[p.Reference] = p
	}
	for i, r := range records {
		key := r.reference
		if request.Indexed {
			key = uint32(i)
		}
		p, listed := theirs[key]
		ours := r.pulse(now, d.Indexed, i)
		if unreadable || !listed || ours.newer(p) {
			d.Pulses = append(d.Pulses, ours)
		}
		switch {
		case unreadable:
		case !listed:
			d.Members = append(d.Members, r.export(now))
		case int8(uint8(r.member.Version)-p.Version) > 0:
			m := r.export(now)
			m.Address, m.HTTPAddress, m.Zone = "", "", "" // the receiver has them
			d.Members = append(d.Members, m)
		}
	}
	if !request.Indexed {
		d.Members = append(d.Members, t.departed(theirs, now)...)
	}
	return d
}

// newer reports whether p tells more of a member than old does: a newer heartbeat, or a clearly younger confirmation.
func (p Pulse) newer(old Pulse) bool {
	younger := p.Version == old.Version && int(p.Confirmed)+confirmationGain <= int(old.Confirmed)
	return younger || int16(p.Heartbeat-old.Heartbeat) > 0
}

// departed returns the members that left although the sender of the pulses counts them as live.
func (t *Table) departed(pulses map[uint32]Pulse, now time.Time) []Member {
	var members []Member
	for _, r := range t.sorted() {
		if _, listed := pulses[r.reference]; listed && r.status == Gone {
			members = append(members, r.export(now))
		}
	}
	return members
}

// MergeRequest applies the digest of a request. It leaves out confirmations: the receiver can't tell how long the
// message was under way, and a confirmation that skips that time at every relay would never grow old.
func (t *Table) MergeRequest(d Digest, now time.Time) {
	d.Members, d.Pulses = slices.Clone(d.Members), slices.Clone(d.Pulses)
	for i := range d.Members {
		d.Members[i].ConfirmedAgeMS = NeverConfirmed
	}
	for i := range d.Pulses {
		d.Pulses[i].Confirmed = NoAge
	}
	t.Merge(d, now)
}

// MergeReply applies the answer to a request that was sent at the given time. All ages grow by the time since then.
func (t *Table) MergeReply(d Digest, sent, now time.Time) {
	elapsed := max(0, now.Sub(sent))
	units := int(ageUnits(elapsed))
	d.Members, d.Pulses = slices.Clone(d.Members), slices.Clone(d.Pulses)
	for i := range d.Members {
		m := &d.Members[i]
		m.HeardAgeMS += elapsed.Milliseconds()
		if m.ConfirmedAgeMS >= 0 {
			m.ConfirmedAgeMS += elapsed.Milliseconds() + 1
		}
	}
	for i := range d.Pulses {
		p := &d.Pulses[i]
		p.Heard = uint8(min(NoAge, int(p.Heard)+units))
		p.Confirmed = uint8(min(NoAge, int(p.Confirmed)+units))
	}
	t.Merge(d, now)
}

// Merge applies a digest whose ages are as of now. Its entries are those of self and of members that the sender counts
// as live. Messages from the network go through MergeRequest and MergeReply.
func (t *Table) Merge(d Digest, now time.Time) {
	for _, m := range d.Members {
		t.mergeMember(m, now)
	}
	t.mergePulses(d, now)
	if from := t.sender(d, now); from != nil {
		from.roster = d.Roster
	}
}

// sender returns the record of the digest's sender, nil if it is unknown.
func (t *Table) sender(d Digest, now time.Time) *record {
	if !d.Indexed {
		return t.records[d.From]
	}
	records, hash := t.roster(now)
	if hash != d.Roster || int(d.Position) >= len(records) || records[d.Position] == t.self {
		return nil
	}
	return records[d.Position]
}

func (t *Table) mergeMember(m Member, now time.Time) {
	if m.ID == t.self.member.ID {
		if m.Incarnation > t.self.member.Incarnation && !t.superseded {
			t.superseded = true
			t.events = append(t.events, Event{Kind: Superseded, Members: []Member{m}})
		}
		return
	}
	heard := now.Add(-time.Duration(max(0, m.HeardAgeMS)) * time.Millisecond)
	r := t.records[m.ID]
	switch {
	case r == nil || r.member.Incarnation != m.Incarnation && m.Address == "":
		if r != nil || m.Address == "" || m.State == Left || now.Sub(heard) >= t.options.DeadAfter {
			return
		}
		r = newRecord(m)
		r.heard, r.confirmed = heard, confirmedAt(m, now)
		t.records[m.ID] = r
		t.emit(Joined, r)
		return
	case m.Incarnation < r.member.Incarnation:
		return
	case m.Incarnation > r.member.Incarnation:
		*r = *newRecord(m)
		r.heard, r.confirmed = heard, confirmedAt(m, now)
		t.emit(Restarted, r)
	default:
		t.mergeSame(r, m, heard, now)
	}
	if r.member.State == Left && r.status != Gone {
		r.status, r.ended = Gone, now
		t.emit(Departed, r)
	}
}

// mergeSame applies an entry of the incarnation that r already holds.
func (t *Table) mergeSame(r *record, m Member, heard, now time.Time) {
	heartbeat := r.member.Heartbeat
	newer := m.Heartbeat > heartbeat
	if m.Version > r.member.Version || m.Version == r.member.Version && newer {
		if m.Revision > r.member.Revision {
			r.confirmed = time.Time{}
		}
		if m.Address == "" {
			m.Address, m.HTTPAddress, m.Zone = r.member.Address, r.member.HTTPAddress, r.member.Zone
		}
		r.member = m
		r.member.Heartbeat = heartbeat
	}
	if m.Revision == r.member.Revision {
		r.confirm(confirmedAt(m, now))
	}
	if newer {
		t.hear(r, m.Heartbeat, heard, now)
	}
}

func (r *record) confirm(at time.Time) {
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

// hear applies a newer heartbeat that was raised at the given time.
func (t *Table) hear(r *record, heartbeat uint64, heard, now time.Time) {
	r.member.Heartbeat = heartbeat
	if heard.After(r.heard) {
		r.heard = heard
	}
	if r.status == Gone || now.Sub(r.heard) >= t.options.SuspectAfter {
		return
	}
	if r.status != Alive {
		r.status = Alive
		t.emit(Returned, r)
	}
}

func (t *Table) mergePulses(d Digest, now time.Time) {
	records, hash := t.roster(now)
	if d.Indexed && d.Roster != hash {
		return
	}
	byReference := make(map[uint32]*record, len(t.records))
	for _, r := range t.records {
		byReference[r.reference] = r
	}
	for _, p := range d.Pulses {
		r := byReference[p.Reference]
		if d.Indexed {
			if int(p.Reference) >= len(records) {
				continue
			}
			r = records[p.Reference]
		}
		if r != nil && r != t.self {
			t.mergePulse(r, p, now)
		}
	}
}

func (t *Table) mergePulse(r *record, p Pulse, now time.Time) {
	if p.Confirmed != NoAge && p.Version == uint8(r.member.Version) && r.member.Revision != 0 {
		r.confirm(now.Add(-time.Duration(p.Confirmed) * AgeUnit))
	}
	if ahead := int16(p.Heartbeat - uint16(r.member.Heartbeat)); ahead > 0 {
		t.hear(r, r.member.Heartbeat+uint64(ahead), now.Add(-time.Duration(p.Heard)*AgeUnit), now)
	}
}
