package membership

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/resource"
)

// maxIndexedRoster is the size of the largest roster whose positions fit into the byte that the wire format has for
// them.
const maxIndexedRoster = 255

// UpdateSelf calls f to change this node's own entry, whose ages are as of now. Changes of ID, Incarnation, addresses,
// zone, Heartbeat and Version are ignored. Changes of capacity, free capacity and usage are announced at most once per
// Options.SummaryInterval, all others at once.
func (t *Table) UpdateSelf(now time.Time, f func(*Member)) {
	old := t.self.member
	t.self.heardAt = now
	m := t.self.toMember(now)
	if t.pendingSelf != nil {
		m.Partitions = slices.Clone(t.pendingSelf.Partitions)
	}
	f(&m)
	m.ID, m.Incarnation, m.Heartbeat, m.Version, m.HeardAgeMS = old.ID, old.Incarnation, old.Heartbeat, old.Version, 0
	m.Address, m.HTTPAddress, m.Zone = old.Address, old.HTTPAddress, old.Zone
	t.self.confirmedAt = confirmationTime(m, now)
	t.pendingSelf = &m
	if urgentChange(old, m) {
		t.publish(now)
		t.lastUrgentChange = now
		return
	}
	t.publishSummaries(now)
}

// confirmationTime returns the time at which the member's configuration was confirmed, or zero if it never was.
func confirmationTime(m Member, now time.Time) time.Time {
	if m.Revision == 0 || m.ConfirmedAgeMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.ConfirmedAgeMS) * time.Millisecond)
}

// urgentChange reports whether m differs from old in more than resource quantities and ages.
func urgentChange(old, m Member) bool {
	same := old.State == m.State && old.Revision == m.Revision && old.StoreReachable == m.StoreReachable
	return !same || !slices.EqualFunc(old.Partitions, m.Partitions, func(a, b Summary) bool {
		return a.Partition == b.Partition && a.Settled == b.Settled && a.Workers == b.Workers
	})
}

// publishSummaries announces pending summaries if Options.SummaryInterval has passed since the last announcement.
func (t *Table) publishSummaries(now time.Time) {
	if t.pendingSelf == nil || now.Sub(t.lastAnnounced) < t.options.SummaryInterval {
		return
	}
	if slices.EqualFunc(t.self.member.Partitions, t.limitTeams(t.pendingSelf.Partitions), equalSummary) {
		return
	}
	t.publish(now)
}

func (t *Table) publish(now time.Time) {
	m := *t.pendingSelf
	m.Partitions = t.limitTeams(m.Partitions)
	m.Version++
	t.self.member, t.lastAnnounced = m, now
}

func equalSummary(a, b Summary) bool {
	return a.Partition == b.Partition && a.Workers == b.Workers && a.Settled == b.Settled && a.Capacity == b.Capacity &&
		a.Free == b.Free && slices.Equal(a.Teams, b.Teams)
}

// limitTeams reduces each summary to the teams with the largest dominant share of the partition, running and waiting
// together. Gossip must stay within a few hundred bytes per second, and the teams that are left out matter least to
// other nodes.
func (t *Table) limitTeams(summaries []Summary) []Summary {
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

// Digest returns a message for a receiver that isn't known yet, such as a seed node.
func (t *Table) Digest(now time.Time) Digest { return t.DigestFor("", now) }

// DigestFor returns a message for a member. It has heartbeats of all live members, and this node's own full entry if
// the receiver may not have it yet or an urgent change is recent. The receiver replies with the entries that this node
// lacks.
func (t *Table) DigestFor(peer string, now time.Time) Digest {
	t.advanceHeartbeat(now)
	records, hash := t.roster(now)
	peerRecord := t.records[peer]
	d := t.newDigest(records, hash, peerRecord != nil && peerRecord.roster == hash)
	for i, r := range records {
		d.Heartbeats = append(d.Heartbeats, r.toHeartbeatEntry(now, d.Indexed, i))
	}
	if peerRecord == nil || peerRecord.roster == 0 || now.Sub(t.lastUrgentChange) < urgentAnnouncePeriod {
		d.Members = append(d.Members, t.self.toMember(now))
	}
	return d
}

// newDigest returns a digest without entries. sameRoster reports whether the receiver has the same roster.
func (t *Table) newDigest(records []*record, hash uint32, sameRoster bool) Digest {
	if !sameRoster || len(records) > maxIndexedRoster {
		return Digest{From: t.self.member.ID, Roster: hash}
	}
	return Digest{Roster: hash, Indexed: true, Position: uint8(slices.Index(records, t.self))}
}

// advanceHeartbeat increments this node's heartbeat and announces summaries, if either is due.
func (t *Table) advanceHeartbeat(now time.Time) {
	t.self.heardAt = now
	if now.Sub(t.lastHeartbeat) >= heartbeatInterval {
		t.self.member.Heartbeat++
		t.lastHeartbeat = now
	}
	t.publishSummaries(now)
}

func (r *record) toHeartbeatEntry(now time.Time, indexed bool, position int) HeartbeatEntry {
	e := HeartbeatEntry{Reference: r.reference, Heartbeat: uint16(r.member.Heartbeat), Version: uint8(r.member.Version),
		Confirmed: NoAge, Heard: ageUnits(now.Sub(r.heardAt))}
	if indexed {
		e.Reference = uint32(position)
	}
	if !r.confirmedAt.IsZero() {
		e.Confirmed = ageUnits(now.Sub(r.confirmedAt))
	}
	return e
}

// ageUnits rounds up, so that an age never shrinks by being relayed.
func ageUnits(age time.Duration) uint8 {
	return uint8(min(NoAge, (max(0, age)+AgeUnit-1)/AgeUnit))
}

// Reply returns the reply to a request that has already been merged: the heartbeats that are newer on this node, and
// the entries of which the sender has an older version or none.
func (t *Table) Reply(request Digest, now time.Time) Digest {
	t.advanceHeartbeat(now)
	records, hash := t.roster(now)
	d := t.newDigest(records, hash, request.Roster == hash)
	remote := map[uint32]HeartbeatEntry{}
	rosterMismatch := request.Indexed && !d.Indexed
	for _, p := range request.Heartbeats {
		remote[p.Reference] = p
	}
	for i, r := range records {
		key := r.reference
		if request.Indexed {
			key = uint32(i)
		}
		p, listed := remote[key]
		local := r.toHeartbeatEntry(now, d.Indexed, i)
		if rosterMismatch || !listed || local.newer(p) {
			d.Heartbeats = append(d.Heartbeats, local)
		}
		switch {
		case rosterMismatch:
		case !listed:
			d.Members = append(d.Members, r.toMember(now))
		case int8(uint8(r.member.Version)-p.Version) > 0:
			m := r.toMember(now)
			m.Address, m.HTTPAddress, m.Zone = "", "", "" // the receiver already has them
			d.Members = append(d.Members, m)
		}
	}
	if !request.Indexed {
		d.Members = append(d.Members, t.leftMembers(remote, now)...)
	}
	return d
}

// newer reports whether p has newer information than old: a newer heartbeat, or a confirmation of the same version that
// is younger by at least minConfirmationGain.
func (e HeartbeatEntry) newer(old HeartbeatEntry) bool {
	younger := e.Version == old.Version && int(e.Confirmed)+minConfirmationGain <= int(old.Confirmed)
	return younger || int16(e.Heartbeat-old.Heartbeat) > 0
}

// leftMembers returns the members that left but are listed in the heartbeats, so that their sender counts them as live.
func (t *Table) leftMembers(heartbeats map[uint32]HeartbeatEntry, now time.Time) []Member {
	var members []Member
	for _, r := range t.sortedRecords() {
		if _, listed := heartbeats[r.reference]; listed && r.status == StatusLeft {
			members = append(members, r.toMember(now))
		}
	}
	return members
}

// MergeRequest applies the digest of a request, without its confirmations. The receiver can't tell how long the message
// was in transit, and if that time weren't counted at each relay, a confirmation would never expire.
func (t *Table) MergeRequest(d Digest, now time.Time) {
	d.Members, d.Heartbeats = slices.Clone(d.Members), slices.Clone(d.Heartbeats)
	for i := range d.Members {
		d.Members[i].ConfirmedAgeMS = NeverConfirmed
	}
	for i := range d.Heartbeats {
		d.Heartbeats[i].Confirmed = NoAge
	}
	t.Merge(d, now)
}

// MergeReply applies the reply to a request that was sent at the given time. The time since then is added to all ages.
func (t *Table) MergeReply(d Digest, sent, now time.Time) {
	elapsed := max(0, now.Sub(sent))
	units := int(ageUnits(elapsed))
	d.Members, d.Heartbeats = slices.Clone(d.Members), slices.Clone(d.Heartbeats)
	for i := range d.Members {
		m := &d.Members[i]
		m.HeardAgeMS += elapsed.Milliseconds()
		if m.ConfirmedAgeMS >= 0 {
			m.ConfirmedAgeMS += elapsed.Milliseconds() + 1
		}
	}
	for i := range d.Heartbeats {
		p := &d.Heartbeats[i]
		p.Heard = uint8(min(NoAge, int(p.Heard)+units))
		p.Confirmed = uint8(min(NoAge, int(p.Confirmed)+units))
	}
	t.Merge(d, now)
}

// Merge applies a digest whose ages are as of now. Its entries are those of the sender and of members that the sender
// counts as live. Messages from the network go through MergeRequest and MergeReply.
func (t *Table) Merge(d Digest, now time.Time) {
	for _, m := range d.Members {
		t.mergeMember(m, now)
	}
	t.mergeHeartbeats(d, now)
	if from := t.sender(d, now); from != nil {
		from.roster = d.Roster
	}
}

// sender returns the record of the digest's sender, or nil if it is unknown.
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
	heardAt := now.Add(-time.Duration(max(0, m.HeardAgeMS)) * time.Millisecond)
	r := t.records[m.ID]
	switch {
	case r == nil || r.member.Incarnation != m.Incarnation && m.Address == "":
		if r != nil || m.Address == "" || m.State == Left || now.Sub(heardAt) >= t.options.DeadAfter {
			return
		}
		r = newRecord(m)
		r.heardAt, r.confirmedAt = heardAt, confirmationTime(m, now)
		t.records[m.ID] = r
		t.addEvent(Joined, r)
		return
	case m.Incarnation < r.member.Incarnation:
		return
	case m.Incarnation > r.member.Incarnation:
		*r = *newRecord(m)
		r.heardAt, r.confirmedAt = heardAt, confirmationTime(m, now)
		t.addEvent(Restarted, r)
	default:
		t.mergeSameIncarnation(r, m, heardAt, now)
	}
	if r.member.State == Left && r.status != StatusLeft {
		r.status, r.endedAt = StatusLeft, now
		t.addEvent(MemberLeft, r)
	}
}

// mergeSameIncarnation applies an entry of the incarnation that r already has.
func (t *Table) mergeSameIncarnation(r *record, m Member, heardAt, now time.Time) {
	heartbeat := r.member.Heartbeat
	newer := m.Heartbeat > heartbeat
	if m.Version > r.member.Version || m.Version == r.member.Version && newer {
		if m.Revision > r.member.Revision {
			r.confirmedAt = time.Time{}
		}
		if m.Address == "" {
			m.Address, m.HTTPAddress, m.Zone = r.member.Address, r.member.HTTPAddress, r.member.Zone
		}
		r.member = m
		r.member.Heartbeat = heartbeat
	}
	if m.Revision == r.member.Revision {
		r.updateConfirmation(confirmationTime(m, now))
	}
	if newer {
		t.applyHeartbeat(r, m.Heartbeat, heardAt, now)
	}
}

func (r *record) updateConfirmation(at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// applyHeartbeat applies a newer heartbeat that was sent at heardAt.
func (t *Table) applyHeartbeat(r *record, heartbeat uint64, heardAt, now time.Time) {
	r.member.Heartbeat = heartbeat
	if heardAt.After(r.heardAt) {
		r.heardAt = heardAt
	}
	if r.status == StatusLeft || now.Sub(r.heardAt) >= t.options.SuspectAfter {
		return
	}
	if r.status != Alive {
		r.status = Alive
		t.addEvent(Returned, r)
	}
}

func (t *Table) mergeHeartbeats(d Digest, now time.Time) {
	records, hash := t.roster(now)
	if d.Indexed && d.Roster != hash {
		return
	}
	byReference := make(map[uint32]*record, len(t.records))
	for _, r := range t.records {
		byReference[r.reference] = r
	}
	for _, p := range d.Heartbeats {
		r := byReference[p.Reference]
		if d.Indexed {
			if int(p.Reference) >= len(records) {
				continue
			}
			r = records[p.Reference]
		}
		if r != nil && r != t.self {
			t.mergeHeartbeat(r, p, now)
		}
	}
}

func (t *Table) mergeHeartbeat(r *record, e HeartbeatEntry, now time.Time) {
	if e.Confirmed != NoAge && e.Version == uint8(r.member.Version) && r.member.Revision != 0 {
		r.updateConfirmation(now.Add(-time.Duration(e.Confirmed) * AgeUnit))
	}
	if ahead := int16(e.Heartbeat - uint16(r.member.Heartbeat)); ahead > 0 {
		t.applyHeartbeat(r, r.member.Heartbeat+uint64(ahead), now.Add(-time.Duration(e.Heard)*AgeUnit), now)
	}
}
