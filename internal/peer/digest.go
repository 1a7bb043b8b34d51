package peer

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/rpc/peerpb"
)

const (
	referenceBytes = 4
	heartbeatBytes = 2
)

func fromVector(v resource.Vector) *peerpb.Resources {
	return &peerpb.Resources{Slots: v.Slots, MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}

func toVector(r *peerpb.Resources) resource.Vector {
	return resource.Vector{Slots: r.GetSlots(), MilliCPU: r.GetMilliCpu(), MemoryMB: r.GetMemoryMb(),
		Accelerators: r.GetAccelerators()}
}

// optionalVector returns nil for a zero vector, so that the message omits it.
func optionalVector(v resource.Vector) *peerpb.Resources {
	if v.IsZero() {
		return nil
	}
	return fromVector(v)
}

func fromAmounts(running, backlog resource.Vector) []int64 {
	amounts := []int64{running.Slots, running.MilliCPU, running.MemoryMB, running.Accelerators,
		backlog.Slots, backlog.MilliCPU, backlog.MemoryMB, backlog.Accelerators}
	for len(amounts) > 0 && amounts[len(amounts)-1] == 0 {
		amounts = amounts[:len(amounts)-1]
	}
	return amounts
}

func toAmounts(amounts []int64) (running, backlog resource.Vector) {
	var a [8]int64
	copy(a[:], amounts)
	return resource.Vector{Slots: a[0], MilliCPU: a[1], MemoryMB: a[2], Accelerators: a[3]},
		resource.Vector{Slots: a[4], MilliCPU: a[5], MemoryMB: a[6], Accelerators: a[7]}
}

func fromDigest(d membership.Digest) *peerpb.Digest {
	m := &peerpb.Digest{From: d.From, Roster: d.Roster, Indexed: d.Indexed, Position: uint32(d.Position)}
	sequential := d.Indexed
	for i, p := range d.Heartbeats {
		sequential = sequential && p.Reference == uint32(i)
		m.Heartbeats = binary.LittleEndian.AppendUint16(m.Heartbeats, p.Heartbeat)
		m.Versions = append(m.Versions, p.Version)
		m.Confirmed = append(m.Confirmed, p.Confirmed)
		m.Heard = append(m.Heard, p.Heard)
	}
	for _, p := range d.Heartbeats {
		switch {
		case sequential:
		case d.Indexed:
			m.References = append(m.References, byte(p.Reference))
		default:
			m.References = binary.LittleEndian.AppendUint32(m.References, p.Reference)
		}
	}
	for _, member := range d.Members {
		m.Members = append(m.Members, fromMember(member))
	}
	return m
}

func toDigest(m *peerpb.Digest) (membership.Digest, error) {
	d := membership.Digest{From: m.GetFrom(), Roster: m.GetRoster(), Indexed: m.GetIndexed()}
	n := len(m.GetVersions())
	if len(m.GetHeartbeats()) != n*heartbeatBytes || len(m.GetConfirmed()) != n || len(m.GetHeard()) != n {
		return d, errors.New("columns of pulses differ in length")
	}
	if m.GetPosition() > math.MaxUint8 {
		return d, errors.New("position is out of range")
	}
	d.Position = uint8(m.GetPosition())
	references := m.GetReferences()
	width := referenceBytes
	if d.Indexed {
		width = 1
	}
	sequential := d.Indexed && len(references) == 0
	if !sequential && len(references) != n*width {
		return d, errors.New("references of pulses have the wrong length")
	}
	for i := range n {
		p := membership.HeartbeatEntry{Reference: uint32(i), Version: m.Versions[i], Confirmed: m.Confirmed[i], Heard: m.Heard[i],
			Heartbeat: binary.LittleEndian.Uint16(m.Heartbeats[i*heartbeatBytes:])}
		switch {
		case sequential:
		case d.Indexed:
			p.Reference = uint32(references[i])
		default:
			p.Reference = binary.LittleEndian.Uint32(references[i*referenceBytes:])
		}
		d.Heartbeats = append(d.Heartbeats, p)
	}
	for _, member := range m.GetMembers() {
		if member.GetId() == "" {
			return d, errors.New("member without an ID")
		}
		if s := member.GetState(); s < int32(membership.Live) || s > int32(membership.Left) {
			return d, errors.Errorf("member %s has the unknown state %d", member.GetId(), s)
		}
		d.Members = append(d.Members, toMember(member))
	}
	return d, nil
}

func fromMember(m membership.Member) *peerpb.Member {
	r := &peerpb.Member{Id: m.ID, Address: m.Address, HttpAddress: m.HTTPAddress, Zone: m.Zone,
		Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, State: int32(m.State), Revision: m.Revision,
		StoreReachable: m.StoreReachable, Version: m.Version, HeardAgeMs: m.HeardAgeMS}
	if m.ConfirmedAgeMS >= 0 {
		r.ConfirmedAgeMs = &m.ConfirmedAgeMS
	}
	for _, s := range m.Partitions {
		summary := &peerpb.Summary{Partition: s.Partition, Workers: s.Workers, Capacity: optionalVector(s.Capacity),
			Free: optionalVector(s.Free), Settled: s.Settled}
		for _, u := range s.Teams {
			summary.Teams = append(summary.Teams, &peerpb.TeamUsage{Team: u.Team, Amounts: fromAmounts(u.Running, u.Backlog)})
		}
		r.Partitions = append(r.Partitions, summary)
	}
	return r
}

func toMember(r *peerpb.Member) membership.Member {
	m := membership.Member{ID: r.GetId(), Address: r.GetAddress(), HTTPAddress: r.GetHttpAddress(), Zone: r.GetZone(),
		Incarnation: r.GetIncarnation(), Heartbeat: r.GetHeartbeat(), State: membership.State(r.GetState()),
		Revision: r.GetRevision(), StoreReachable: r.GetStoreReachable(), Version: r.GetVersion(),
		HeardAgeMS: r.GetHeardAgeMs(), ConfirmedAgeMS: membership.NeverConfirmed}
	if r.ConfirmedAgeMs != nil {
		m.ConfirmedAgeMS = r.GetConfirmedAgeMs()
	}
	for _, s := range r.GetPartitions() {
		summary := membership.Summary{Partition: s.GetPartition(), Workers: s.GetWorkers(), Capacity: toVector(s.GetCapacity()),
			Free: toVector(s.GetFree()), Settled: s.GetSettled()}
		for _, u := range s.GetTeams() {
			running, backlog := toAmounts(u.GetAmounts())
			summary.Teams = append(summary.Teams, membership.TeamUsage{Team: u.GetTeam(), Running: running, Backlog: backlog})
		}
		m.Partitions = append(m.Partitions, summary)
	}
	return m
}
