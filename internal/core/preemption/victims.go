package preemption

import (
	"cmp"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// unit is what is preempted together: a task, or a whole gang.
type unit struct {
	tasks      []*Running
	within     int           // tasks of teams that aren't above their share
	lost       time.Duration // by stops
	stops      int
	ineligible bool
	freed      resource.Vector // on the worker in question
}

func (u *unit) compare(v *unit) int {
	return cmp.Or(
		cmp.Compare(u.within, v.within), cmp.Compare(u.lost, v.lost), cmp.Compare(u.stops, v.stops),
		cmp.Compare(len(u.tasks), len(v.tasks)), compareTasks(u.tasks[0].Task, v.tasks[0].Task),
	)
}

// plan is a choice of units on one worker.
type plan struct {
	worker string
	units  []*unit
	total  unit
}

// Victims chooses the tasks that make room for need on one of the workers in o.Free. It prefers teams above their share,
// then the least progress lost, then few stops and few tasks, and takes gangs whole. The result is empty if need fits
// already. It fails with *InsufficientError.
func Victims(need resource.Vector, candidates []Running, o Options) ([]Victim, error) {
	workers := make([]string, 0, len(o.Free))
	for worker, free := range o.Free {
		if need.Fits(free) {
			return nil, nil
		}
		workers = append(workers, worker)
	}
	slices.Sort(workers)
	byWorker := group(candidates, &o)
	var best *plan
	for _, worker := range workers {
		p := choose(worker, need.Sub(o.Free[worker]), byWorker[worker])
		if p != nil && (best == nil || p.total.compareCost(&best.total) < 0) {
			best = p
		}
	}
	if best == nil {
		return nil, &InsufficientError{Need: need, Workers: len(workers)}
	}
	return best.victims(&o), nil
}

// group builds the units and lists them by worker, without those that can't be preempted.
func group(candidates []Running, o *Options) map[string][]*unit {
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
		u.within++
	}
	if action(r) == Stop {
		u.stops++
		u.lost += r.Progress
	}
}

// frees returns what the unit reserves on a worker.
func (u *unit) frees(worker string) resource.Vector {
	var sum resource.Vector
	for _, r := range u.tasks {
		if r.Worker == worker {
			sum = sum.Add(r.Reserved)
		}
	}
	return sum
}

// choose takes the cheapest units that help until the lacking resources are free, then gives back those that turned out
// to be unnecessary, most expensive first.
func choose(worker string, lacking resource.Vector, units []*unit) *plan {
	units = slices.Clone(units)
	slices.SortFunc(units, (*unit).compare)
	p := &plan{worker: worker}
	for _, u := range units {
		if !positive(lacking) {
			break
		}
		u.freed = u.frees(worker)
		if !helps(u.freed, lacking) {
			continue
		}
		lacking = lacking.Sub(u.freed)
		p.units = append(p.units, u)
	}
	if positive(lacking) {
		return nil
	}
	for i := len(p.units) - 1; i >= 0; i-- {
		if without := lacking.Add(p.units[i].freed); !positive(without) {
			lacking = without
			p.units = slices.Delete(p.units, i, i+1)
		}
	}
	for _, u := range p.units {
		p.total.tasks = append(p.total.tasks, u.tasks...)
		p.total.within += u.within
		p.total.lost += u.lost
		p.total.stops += u.stops
	}
	return p
}

// compareCost is compare for whole plans, of which the first in the order of workers wins a tie.
func (u *unit) compareCost(v *unit) int {
	return cmp.Or(
		cmp.Compare(u.within, v.within), cmp.Compare(u.lost, v.lost), cmp.Compare(u.stops, v.stops),
		cmp.Compare(len(u.tasks), len(v.tasks)),
	)
}

// positive reports whether a component of v is above 0.
func positive(v resource.Vector) bool { return !v.Fits(resource.Vector{}) }

// helps reports whether given has some of what is lacking.
func helps(given, lacking resource.Vector) bool { return positive(given.Min(lacking)) }

func (p *plan) victims(o *Options) []Victim {
	victims := make([]Victim, 0, len(p.total.tasks))
	for _, r := range p.total.tasks {
		v := Victim{Task: r.Task, Attempt: r.Attempt, Worker: r.Worker, Action: action(r)}
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
