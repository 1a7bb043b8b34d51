package partition

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/resource"
)

const (
	// moveAfter is how long after its submission a waiting job may move to another partition.
	moveAfter = 5 * time.Second
	// urgentMoveAfter is the same for urgent work whose team is at its limit in this partition. It is longer than it
	// takes to obtain allowance from other partitions and to preempt tasks of the same team.
	urgentMoveAfter = time.Second
	// minFreeBesideBacklog is the fraction of a partition's capacity that has to be free before a partition with a
	// backlog counts as having room. Only that much free capacity shows that the backlog can't use it.
	minFreeBesideBacklog = 0.12
	// urgentAffinity makes the partition in which a team runs most outweigh backlogs of many times the capacity.
	urgentAffinity = 100
	// maxMovesPerRound bounds the jobs that a partition moves away in one round. Each move costs a write to the store.
	maxMovesPerRound = 8
)

// Move is a job to be moved to another partition.
type Move struct {
	Record job.Record // with its progress so far
	To     string
}

// Moves selects waiting jobs without running tasks and assigns them to partitions that have room for them according to
// gossip. Jobs thereby also leave a partition that has lost its workers. A selected job doesn't start here until
// MoveFailed is called.
func (m *Machine) Moves(remote []membership.Summary, now time.Time) []Move {
	var moves []Move
	remote = slices.Clone(remote)
	attempted := 0 // counts jobs whose move is only being prepared, too
	stalled := m.StalledJobs(now, urgentMoveAfter)
	slices.SortStableFunc(stalled, func(a, b job.Record) int {
		return cmp.Compare(m.shares.Ratio(a.Spec.Team), m.shares.Ratio(b.Spec.Team))
	})
	for _, r := range stalled {
		target := ""
		switch {
		case now.Sub(r.Submitted()) >= moveAfter:
			target = partitionWithRoom(remote, r.Spec)
		case r.Spec.Urgent && m.lacksAllowance[r.Spec.Team] && m.stoppingVictims[r.ID] == 0:
			target = partitionWithMostUsage(remote, r.Spec.Team, m.Used(r.Spec.Team))
		}
		if target == "" {
			continue
		}
		if record := m.PrepareMove(r.ID, now); record != nil {
			moves = append(moves, Move{*record, target})
		}
		reduceFree(remote, target, r.Spec)
		if attempted++; attempted >= maxMovesPerRound {
			break
		}
	}
	return moves
}

// partitionWithRoom returns the settled partition with the largest free fraction that has room for the job, or "" if
// there is none. A partition with a backlog has room only if much of it is free: its backlog then can't use that
// capacity, for instance because the team is at its limit.
func partitionWithRoom(remote []membership.Summary, spec job.Spec) string {
	need := spec.Resources
	if spec.Class == job.Gang {
		need = need.Scale(int64(spec.Tasks))
	}
	best, bestFree := "", 0.0
	for _, s := range remote {
		free := minFreeRatio(s.Free, s.Capacity)
		if s.Settled && need.Fits(s.Free) && free > bestFree && (totalBacklog(s).IsZero() || free >= minFreeBesideBacklog) {
			best, bestFree = s.Partition, free
		}
	}
	return best
}

// minFreeRatio returns the smallest ratio of free to total capacity over all resources.
func minFreeRatio(free, capacity resource.Vector) float64 {
	least := 1.0
	for _, c := range [...][2]int64{{free.Slots, capacity.Slots}, {free.MilliCPU, capacity.MilliCPU},
		{free.MemoryMB, capacity.MemoryMB}, {free.Accelerators, capacity.Accelerators}} {
		if c[1] > 0 {
			least = min(least, float64(c[0])/float64(c[1]))
		}
	}
	return least
}

// reduceFree subtracts the resources of a job that moves to a partition from the partition's free capacity, so that
// several jobs don't move for the same capacity.
func reduceFree(remote []membership.Summary, name string, spec job.Spec) {
	for i := range remote {
		if s := &remote[i]; s.Partition == name {
			s.Free = s.Free.Sub(spec.Resources.Scale(int64(spec.Tasks))).Max(resource.Vector{})
		}
	}
}

// partitionWithMostUsage returns the partition in which a team runs most, because tasks of the team itself can be
// preempted there for its urgent work. It returns "" if no partition exceeds the local usage, which is passed in most.
func partitionWithMostUsage(remote []membership.Summary, team string, most resource.Vector) string {
	best := ""
	for _, s := range remote {
		for _, t := range s.Teams {
			if t.Team == team && s.Settled && t.Running.Slots > most.Slots {
				best, most = s.Partition, t.Running
			}
		}
	}
	return best
}

func totalBacklog(s membership.Summary) resource.Vector {
	var backlog resource.Vector
	for _, t := range s.Teams {
		backlog = backlog.Add(t.Backlog)
	}
	return backlog
}

// ChoosePartition returns the partition for a new job, or "" if none has workers. It prefers settled partitions, and
// among them the one with the smallest sum of its backlog relative to its capacity and the job's size relative to its
// free capacity. A gang goes to a partition whose capacity it exceeds only if there is no other. Urgent work goes where
// its team runs most, because the team's own tasks can be preempted for it there if the team is at its limit.
func ChoosePartition(partitions []membership.Summary, spec job.Spec) string {
	need := spec.Resources.Scale(int64(spec.Tasks))
	best, bestScore := "", 0.0
	for _, s := range partitions {
		if s.Workers == 0 {
			continue
		}
		if score := partitionScore(s, need, spec); best == "" || score > bestScore {
			best, bestScore = s.Partition, score
		}
	}
	return best
}

// partitionScore returns the score by which ChoosePartition compares partitions. The constants rank the criteria for
// backlogs of up to many times the capacity: a gang that exceeds the capacity outweighs an unsettled partition, which
// outweighs urgentAffinity, which outweighs backlog and free capacity.
func partitionScore(s membership.Summary, need resource.Vector, spec job.Spec) float64 {
	score := -totalBacklog(s).DominantShare(s.Capacity) - need.DominantShare(s.Free)
	for _, t := range s.Teams {
		if spec.Urgent && t.Team == spec.Team {
			score += urgentAffinity * t.Running.DominantShare(s.Capacity)
		}
	}
	if s.Settled {
		score += 1000
	}
	if spec.Class == job.Gang && !need.Fits(s.Capacity) {
		score -= 100000
	}
	return score
}

// SpareAllowance returns how much of a team's allowance this partition may transfer to another one that requested some:
// what it doesn't use and, unless it lacks allowance itself, less what its backlog could start on its free capacity. A
// request for more than half of this partition's allowance is large. If this partition lacks allowance too, it grants
// large requests only to partitions with a lower name, so that two partitions don't take the allowance from each other
// in turn.
func (m *Machine) SpareAllowance(team string, wanted resource.Vector, to string) resource.Vector {
	slack := m.AllowanceSlack(team)
	large := !wanted.Fits(m.ledger.Allowance(team).MulDiv(1, 2))
	switch {
	case m.lacksAllowance[team] && large && to > m.options.Partition:
		return resource.Vector{}
	case !m.lacksAllowance[team]:
		slack = slack.Sub(startableBacklog(m.Backlog(team), slack.Min(m.cluster.Free())))
	}
	return wanted.Min(slack).Max(resource.Vector{})
}

// startableBacklog returns the part of a backlog that fits into the room. The scarcest resource decides: the other
// resources can't be used without it and are of more use to a partition that has it.
func startableBacklog(backlog, room resource.Vector) resource.Vector {
	num, den := int64(1), int64(1)
	for _, c := range [...][2]int64{{room.Slots, backlog.Slots}, {room.MilliCPU, backlog.MilliCPU},
		{room.MemoryMB, backlog.MemoryMB}, {room.Accelerators, backlog.Accelerators}} {
		if c[1] > 0 && float64(max(c[0], 0))/float64(c[1]) < float64(num)/float64(den) {
			num, den = max(c[0], 0), c[1]
		}
	}
	return backlog.MulDiv(num, den)
}
