package partition

import (
	"maps"
	"slices"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/preemption"
	"sequoiastall/internal/core/resource"
)

// shareTolerance is the deviation from a share, as a fraction of the cell, that isn't corrected by preemption; it is
// left to tasks that end by themselves.
const shareTolerance = 0.01

// shareProjection projects the usage of teams after the preemptions chosen so far. Every partition sees the same
// deviation from the shares, so each assumes that the others act likewise and corrects only its own part.
type shareProjection struct {
	ratios         map[string]float64
	maxRatio       float64                                  // highest ratio at the start
	partitionShare float64                                  // fraction of the cell that the partition is
	ratioChange    map[string]func(resource.Vector) float64 // by team, from an amount used here to a change of the ratio
	weightShares   map[string]float64                       // by team, fraction of the sum of all weights
	running        []preemption.Running
	gangs          map[job.ID]resource.Vector // resources that each running gang holds
}

func (m *Machine) newShareProjection() *shareProjection {
	p := &shareProjection{ratios: map[string]float64{}, ratioChange: map[string]func(resource.Vector) float64{}, weightShares: map[string]float64{},
		running: m.preemptible(), gangs: map[job.ID]resource.Vector{}}
	part := m.cluster.Capacity().DominantShare(m.shares.Capacity())
	p.partitionShare = min(part, 1)
	for team := range m.config.Teams {
		p.ratios[team] = m.shares.Ratio(team)
		p.maxRatio = max(p.maxRatio, p.ratios[team])
		p.weightShares[team] = m.shares.Weight(team)
		p.ratioChange[team] = func(v resource.Vector) float64 {
			if part <= 0 || p.weightShares[team] <= 0 {
				return 0
			}
			return v.DominantShare(m.shares.Capacity()) / p.weightShares[team] / min(part, 1)
		}
	}
	for _, r := range p.running {
		if r.Class == job.Gang {
			p.gangs[r.Task.Job] = p.gangs[r.Task.Job].Add(r.Reserved)
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
		p.subtract(m.jobs[victim.Job].Record.Spec.Team, t.Reserved)
		p.add(s.Record.Spec.Team, t.Reserved)
	}
	return p
}

func (p *shareProjection) subtract(team string, v resource.Vector) {
	if change := p.ratioChange[team]; change != nil {
		p.ratios[team] -= change(v)
	}
}

func (p *shareProjection) add(team string, v resource.Vector) {
	if change := p.ratioChange[team]; change != nil {
		p.ratios[team] += change(v)
	}
}

// selectOverShare sets in the options which teams may lose a task so that the beneficiary gains an amount: those that
// stay above the beneficiary afterwards, so that two teams never preempt each other in turn. It returns false if there
// are none. A gang starts in one partition only, so the others aren't assumed to act likewise.
func (p *shareProjection) selectOverShare(o *preemption.Options, task, amount resource.Vector, gang bool) bool {
	change := p.ratioChange[o.Team]
	if change == nil {
		return false
	}
	clear(o.OverShare)
	gain := change(amount)
	if gang {
		gain *= p.partitionShare
	}
	after := p.ratios[o.Team] + gain
	for _, team := range slices.Sorted(maps.Keys(p.ratios)) {
		significant := (p.ratios[team]-p.ratios[o.Team])*p.weightShares[o.Team] >= shareTolerance
		if team != o.Team && significant && p.ratios[team]-p.ratioChange[team](task) >= after {
			o.OverShare[team] = true
		}
	}
	return len(o.OverShare) > 0
}

// isBelowHighest reports whether a team is far enough below the team with the highest ratio to justify preemption.
func (p *shareProjection) isBelowHighest(team string) bool {
	return (p.maxRatio-p.ratios[team])*p.weightShares[team] >= shareTolerance
}

// candidates returns the tasks that may be preempted. When shares are restored, a gang is excluded if its loss would
// put its team below the lowest team.
func (p *shareProjection) candidates(urgent bool) []preemption.Running {
	if urgent || len(p.gangs) == 0 {
		return p.running
	}
	lowest := slices.Min(slices.Collect(maps.Values(p.ratios)))
	return slices.DeleteFunc(slices.Clone(p.running), func(r preemption.Running) bool {
		change := p.ratioChange[r.Team]
		return r.Class == job.Gang && (change == nil || p.ratios[r.Team]-change(p.gangs[r.Task.Job]) < lowest)
	})
}

// applyChoice applies a choice of victims to the free resources and the remaining candidates, so that the next choice
// builds on it. It returns the worker that has room afterwards, or "".
func (p *shareProjection) applyChoice(need resource.Vector, victims []preemption.Victim, free map[string]resource.Vector) string {
	taken := map[job.TaskID]bool{}
	for _, v := range victims {
		taken[v.Task] = true
	}
	p.running = slices.DeleteFunc(p.running, func(r preemption.Running) bool {
		if taken[r.Task] {
			free[r.Worker] = free[r.Worker].Add(r.Reserved)
			p.subtract(r.Team, r.Reserved)
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
