package partition

import (
	"maps"
	"slices"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/preemption"
	"sequoiastall/internal/core/resource"
)

// shareTolerance is the distance from a share, as a part of the cell, that is left to tasks which end by themselves.
const shareTolerance = 0.01

// balance projects what teams will use after the preemptions that were chosen. Every partition sees the same distance from the
// shares, so that each assumes that the others act as it does, and closes only its part.
type shareProjection struct {
	ratios         map[string]float64
	maxRatio       float64                                  // ratio at the beginning
	partitionShare float64                                  // of the cell that the partition is
	ratioChange    map[string]func(resource.Vector) float64 // what an amount in this partition means for a team's ratio
	weightShares   map[string]float64                       // part of all weights
	running        []preemption.Running
	gangs          map[job.ID]resource.Vector // what each running gang holds
}

func (m *Machine) newShareProjection() *shareProjection {
	b := &shareProjection{ratios: map[string]float64{}, ratioChange: map[string]func(resource.Vector) float64{}, weightShares: map[string]float64{},
		running: m.preemptible(), gangs: map[job.ID]resource.Vector{}}
	part := m.cluster.Capacity().DominantShare(m.shares.Capacity())
	b.partitionShare = min(part, 1)
	for team := range m.config.Teams {
		b.ratios[team] = m.shares.Ratio(team)
		b.maxRatio = max(b.maxRatio, b.ratios[team])
		b.weightShares[team] = m.shares.Weight(team)
		b.ratioChange[team] = func(v resource.Vector) float64 {
			if part <= 0 || b.weightShares[team] <= 0 {
				return 0
			}
			return v.DominantShare(m.shares.Capacity()) / b.weightShares[team] / min(part, 1)
		}
	}
	for _, r := range b.running {
		if r.Class == job.Gang {
			b.gangs[r.Task.Job] = b.gangs[r.Task.Job].Add(r.Reserved)
		}
	}
	var stopping []job.TaskID
	for victim := range m.beneficiaries {
		stopping = append(stopping, victim)
	}
	slices.SortFunc(stopping, compareTaskIDs)
	for _, victim := range stopping {
		s, t := m.jobs[m.beneficiaries[victim]], m.task(victim)
		if s == nil || t == nil {
			continue
		}
		b.subtract(m.jobs[victim.Job].Record.Spec.Team, t.Reserved)
		b.add(s.Record.Spec.Team, t.Reserved)
	}
	return b
}

func (b *shareProjection) subtract(team string, v resource.Vector) {
	if unit := b.ratioChange[team]; unit != nil {
		b.ratios[team] -= unit(v)
	}
}

func (b *shareProjection) add(team string, v resource.Vector) {
	if unit := b.ratioChange[team]; unit != nil {
		b.ratios[team] += unit(v)
	}
}

// allow notes in the options which teams may lose a task for the beneficiary to gain an amount: those that stay above it
// afterwards, so that two teams never preempt each other in turns. It returns false if there is none. A gang starts in one
// partition only; then the others aren't assumed to act too.
func (b *shareProjection) selectOverShare(o *preemption.Options, task, amount resource.Vector, gang bool) bool {
	unit := b.ratioChange[o.Team]
	if unit == nil {
		return false
	}
	clear(o.OverShare)
	gain := unit(amount)
	if gang {
		gain *= b.partitionShare
	}
	after := b.ratios[o.Team] + gain
	for _, team := range slices.Sorted(maps.Keys(b.ratios)) {
		significant := (b.ratios[team]-b.ratios[o.Team])*b.weightShares[o.Team] >= shareTolerance
		if team != o.Team && significant && b.ratios[team]-b.ratioChange[team](task) >= after {
			o.OverShare[team] = true
		}
	}
	return len(o.OverShare) > 0
}

// below reports whether a team is far enough below the highest one for that to make room.
func (b *shareProjection) isBelowHighest(team string) bool {
	return (b.maxRatio-b.ratios[team])*b.weightShares[team] >= shareTolerance
}

// candidates returns the tasks that may be preempted. For the sake of shares a gang is spared if its team would lose
// more with it than what it has above the lowest team.
func (b *shareProjection) candidates(urgent bool) []preemption.Running {
	if urgent || len(b.gangs) == 0 {
		return b.running
	}
	lowest := slices.Min(slices.Collect(maps.Values(b.ratios)))
	return slices.DeleteFunc(slices.Clone(b.running), func(r preemption.Running) bool {
		unit := b.ratioChange[r.Team]
		return r.Class == job.Gang && (unit == nil || b.ratios[r.Team]-unit(b.gangs[r.Task.Job]) < lowest)
	})
}

// take applies a choice to the free resources and the remaining candidates, so that the next choice builds on it. It
// returns the worker on which there is room then.
func (b *shareProjection) applyChoice(need resource.Vector, victims []preemption.Victim, free map[string]resource.Vector) string {
	taken := map[job.TaskID]bool{}
	for _, v := range victims {
		taken[v.Task] = true
	}
	b.running = slices.DeleteFunc(b.running, func(r preemption.Running) bool {
		if taken[r.Task] {
			free[r.Worker] = free[r.Worker].Add(r.Reserved)
			b.subtract(r.Team, r.Reserved)
		}
		return taken[r.Task]
	})
	workers := slices.Sorted(maps.Keys(free))
	if len(victims) > 0 {
		workers = workers[:0]
		for _, v := range victims {
			workers = append(workers, v.Worker)
		}
	}
	for _, w := range workers {
		if f, listed := free[w]; listed && need.Fits(f) {
			free[w] = f.Sub(need)
			return w
		}
	}
	return ""
}
