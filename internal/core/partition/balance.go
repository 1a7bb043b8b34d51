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
	// stuckAfter is how long a job waits in its partition before another one may take it.
	moveAfter = 5 * time.Second
	// urgentStuckAfter is the same for urgent work whose team is at its limit here. It is longer than allowance takes to
	// arrive and tasks of the same team to make room.
	urgentMoveAfter = time.Second
	// unusedPart of a partition is free in spite of a backlog only if the backlog can't use it.
	minFreeBesideBacklog = 0.12
	// urgentAffinity makes the place of a team's running work outweigh backlogs of many times the capacity.
	urgentAffinity = 100
	// maxMoves bounds the jobs that a partition gives away in one round. Each costs a write to the store.
	maxMovesPerRound = 8
)

// Move is a job that is to continue in another partition.
type Move struct {
	Record job.Record // with its progress so far
	To     string
}

// Moves chooses waiting jobs of which nothing runs for partitions that have room for them, as gossip tells. So a job
// also leaves a partition that has lost its workers. The jobs don't start here until MoveFailed is called.
func (m *Machine) Moves(remote []membership.Summary, now time.Time) []Move {
	var moves []Move
	remote = slices.Clone(remote)
	attempted := 0 // moves are prepared first
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

// betterPartition returns the settled partition with most room for the job, empty if there is none. One with a backlog has room
// only if much of it is free: then what waits there can't use it, for instance because its team is at its limit.
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

// scarcest returns the smallest free part of a resource.
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

// occupy lowers what is known to be free in a partition by what a job that moves there may take, so that several jobs
// don't move for the same room.
func reduceFree(remote []membership.Summary, name string, spec job.Spec) {
	for i := range remote {
		if s := &remote[i]; s.Partition == name {
			s.Free = s.Free.Sub(spec.Resources.Scale(int64(spec.Tasks))).Max(resource.Vector{})
		}
	}
}

// mostOf returns the partition in which a team runs most, where tasks of its own can make room for urgent ones. It is empty
// if that is here.
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

// Choose returns the partition for a new job, empty if none has workers. It prefers a settled partition whose free
// capacity holds the job, then the one with the least backlog in relation to its capacity. Urgent work goes where its team
// runs most, because tasks of its own can make room for it there if the team is at its limit.
func Choose(partitions []membership.Summary, spec job.Spec) string {
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

// Spare returns how much of a team's allowance the partition gives to another one that wants some: what it doesn't use,
// less what it could start on its free capacity. Of two partitions that both lack allowance for work that needs much at
// once only the one with the lower name is given large amounts, so that they don't take them from each other in turns.
func (m *Machine) Spare(team string, wanted resource.Vector, to string) resource.Vector {
	slack := m.Slack(team)
	large := !wanted.Fits(m.ledger.Allowance(team).MulDiv(1, 2))
	switch {
	case m.lacksAllowance[team] && large && to > m.options.Partition:
		return resource.Vector{}
	case !m.lacksAllowance[team]:
		slack = slack.Sub(startableBacklog(m.Backlog(team), slack.Min(m.cluster.Free())))
	}
	return wanted.Min(slack).Max(resource.Vector{})
}

// startable returns the part of a backlog for which there is room. The scarcest resource decides: what can't be used
// without it is better given to a partition that has it.
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
