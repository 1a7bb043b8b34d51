package preemption

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// unit is a task or a whole gang. It is preempted as one.
type unit struct {
	tasks        []*Running
	withinShare  int           // tasks of teams that aren't above their share
	lostProgress time.Duration // lost by stopping tasks
	stops        int
	ineligible   bool
	freed        resource.Vector // on the worker of the plan
}

func (u *unit) compare(v *unit) int {
	return cmp.Or(
		cmp.Compare(u.withinShare, v.withinShare), cmp.Compare(u.lostProgress, v.lostProgress), cmp.Compare(u.stops, v.stops),
		cmp.Compare(len(u.tasks), len(v.tasks)), compareTasks(u.tasks[0].Task, v.tasks[0].Task),
	)
}

// plan is a set of units whose preemption frees resources on one worker.
type plan struct {
	worker string
	units  []*unit
	total  unit
}

// Victims chooses tasks to preempt so that need fits on one of the workers in o.Free. It prefers tasks of teams above
// their share, then the least lost progress, then few stops and few tasks. Gangs are preempted as a whole. The result is
// empty if need already fits on a worker. It fails with *InsufficientError.
func Victims(need resource.Vector, candidates []Running, o Options) ([]Victim, error) {
	workers := make([]string, 0, len(o.Free))
	for worker, free := range o.Free {
		if need.Fits(free) {
			return nil, nil
		}
		workers = append(workers, worker)
	}
	slices.Sort(workers)
	byWorker := groupByWorker(candidates, &o)
	var best *plan
	for _, worker := range workers {
		p := planWorker(worker, need.Sub(o.Free[worker]), byWorker[worker])
		if p != nil && (best == nil || p.total.compareCost(&best.total) < 0) {
			best = p
		}
	}
	if best == nil {
		return nil, &InsufficientError{Need: need, Workers: len(workers)}
	}
	return best.victims(&o), nil
}

// groupByWorker groups the candidates into units and lists these by worker. Units that can't be preempted are left out.
func groupByWorker(candidates []Running, o *Options) map[string][]*unit {
	gangs := map[job.ID]*unit{}
	var units []*unit
	for i := range candidates {
		r := &candidates[i]
		u := gangs[r.Task.Job]
		if u == nil || r.Class != job.Gang {
			u = &unit{}
			units = append(units, u)
			if r.Class == job.Gang {
				gangs[r.Task.Job] = u
			}
		}
		u.add(r, o)
	}
	byWorker := map[string][]*unit{}
	for _, u := range units {
		slices.SortFunc(u.tasks, func(a, b *Running) int { return compareTasks(a.Task, b.Task) })
		if size, known := o.GangSize[u.tasks[0].Task.Job]; u.ineligible || (known && u.tasks[0].Class == job.Gang && len(u.tasks) < size) {
			continue
		}
		for _, r := range u.tasks {
			if list := byWorker[r.Worker]; len(list) == 0 || list[len(list)-1] != u {
				if !slices.Contains(list, u) {
					byWorker[r.Worker] = append(list, u)
				}
			}
		}
	}
	return byWorker
}

func (u *unit) add(r *Running, o *Options) {
	u.tasks = append(u.tasks, r)
	u.ineligible = u.ineligible || !eligible(r, o)
	if !o.OverShare[r.Team] {
		u.withinShare++
	}
	if leastSevereAction(r) == Stop {
		u.stops++
		u.lostProgress += r.Progress
	}
}

// reservedOn returns what the unit's tasks reserve on a worker.
func (u *unit) reservedOn(worker string) resource.Vector {
	var sum resource.Vector
	for _, r := range u.tasks {
		if r.Worker == worker {
			sum = sum.Add(r.Reserved)
		}
	}
	return sum
}

// planWorker adds the cheapest units that reduce the shortfall until it is covered, then drops units that turn out to be
// unnecessary, most expensive first. It returns nil if the shortfall can't be covered.
func planWorker(worker string, shortfall resource.Vector, units []*unit) *plan {
	units = slices.Clone(units)
	slices.SortFunc(units, (*unit).compare)
	p := &plan{worker: worker}
	for _, u := range units {
		if !anyPositive(shortfall) {
			break
		}
		u.freed = u.reservedOn(worker)
		if !contributes(u.freed, shortfall) {
			continue
		}
		shortfall = shortfall.Sub(u.freed)
		p.units = append(p.units, u)
	}
	if anyPositive(shortfall) {
		return nil
	}
	for i := len(p.units) - 1; i >= 0; i-- {
		if without := shortfall.Add(p.units[i].freed); !anyPositive(without) {
			shortfall = without
			p.units = slices.Delete(p.units, i, i+1)
		}
	}
	for _, u := range p.units {
		p.total.tasks = append(p.total.tasks, u.tasks...)
		p.total.withinShare += u.withinShare
		p.total.lostProgress += u.lostProgress
		p.total.stops += u.stops
	}
	return p
}

// compareCost compares the totals of plans like compare, but without a tie-break: the first worker's plan wins a tie.
func (u *unit) compareCost(v *unit) int {
	return cmp.Or(
		cmp.Compare(u.withinShare, v.withinShare), cmp.Compare(u.lostProgress, v.lostProgress), cmp.Compare(u.stops, v.stops),
		cmp.Compare(len(u.tasks), len(v.tasks)),
	)
}

// anyPositive reports whether a component of v is above 0.
func anyPositive(v resource.Vector) bool { return !v.Fits(resource.Vector{}) }

// contributes reports whether freed contains some of the shortfall.
func contributes(freed, shortfall resource.Vector) bool { return anyPositive(freed.Min(shortfall)) }

func (p *plan) victims(o *Options) []Victim {
	victims := make([]Victim, 0, len(p.total.tasks))
	for _, r := range p.total.tasks {
		v := Victim{Task: r.Task, Attempt: r.Attempt, Worker: r.Worker, Action: leastSevereAction(r)}
		switch {
		case o.OverShare[r.Team]:
			v.Reason = "team " + r.Team + " is above its share"
		default:
			v.Reason = "urgent work comes first"
		}
		if r.Class == job.Gang {
			v.Reason += "; its gang is preempted as a whole"
		}
		victims = append(victims, v)
	}
	return victims
}
