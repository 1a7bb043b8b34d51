package object

import (
	"fmt"
	"strings"

	"sequoiastall/internal/core/resource"
)

func (c *checker) services() {
	limits := map[string]Limit{}
	for _, l := range c.set.Limits {
		if _, seen := limits[l.Team]; !seen {
			limits[l.Team] = l
		}
	}
	total, last := map[string]resource.Vector{}, map[string]occurrence{}
	over := map[string]bool{} // teams with a single service beyond the limit
	for _, s := range c.set.Services {
		c.enter(s.Meta)
		c.service(s)
		limit, limited := limits[s.Team]
		if !limited {
			continue
		}
		size := s.Resources.Vector().Min(taskBounds) // sizes beyond the bounds are reported already
		all := size.Scale(int64(max(0, min(s.Replicas, MaxReplicas))))
		if !c.fitsLimit(limit, size, all) {
			over[s.Team] = true
		}
		total[s.Team], last[s.Team] = total[s.Team].Add(all), c.at
	}
	for _, t := range c.set.Teams {
		limit, sum := limits[t.Name], total[t.Name]
		if over[t.Name] || sum.Fits(limit.Max.Vector()) {
			continue
		}
		c.at = last[t.Name]
		c.report("replicas", "the services of team %q together need %s, which is beyond limit %q (%s)",
			t.Name, exceeding(sum, limit.Max.Vector()), limit.Name, "all replicas of all its services must fit")
		total[t.Name] = resource.Vector{} // a team that occurs twice is reported once
	}
}

func (c *checker) service(s Service) {
	c.refer("team", KindTeam, s.Team, false)
	if c.refer("queue", KindQueue, s.Queue, false) {
		q := c.queue[s.Queue]
		if q.Class != ClassService {
			c.report("queue", "queue %q is of class %s, must be of class service", s.Queue, q.Class)
		}
		if !c.usable(s.Queue, s.Team) {
			c.report("queue", "queue %q belongs to team %q", s.Queue, q.Team)
		}
		if tasks := q.TaskLimit(); s.Replicas > tasks && q.Class == ClassService {
			c.report("replicas", "replicas: %d is more than max_tasks of queue %q, %d", s.Replicas, s.Queue, tasks)
		}
	}
	c.refer("pool", KindPool, s.Pool, true)
	c.refer("retry_policy", KindRetryPolicy, s.RetryPolicy, true)
	if _, given := c.set.origins[c.at].lines["replicas"]; !given && c.set.origins != nil {
		c.report("replicas", "field \"replicas\" is missing")
	}
	c.within("replicas", int64(s.Replicas), 0, MaxReplicas)
	c.within("request_timeout_ms", s.RequestTimeoutMS, 1, MaxTimeoutMS)
	concurrent := c.within("concurrency", int64(s.Concurrency), 1, MaxConcurrency)
	r := s.Resources
	if concurrent && r.Slots != int64(s.Concurrency) {
		c.report("resources", "resources.slots: %d differs from concurrency, %d; leave it out", r.Slots, s.Concurrency)
	}
	c.within("resources.milli_cpu", r.MilliCPU, 1, taskBounds.MilliCPU)
	c.within("resources.memory_mb", r.MemoryMB, 1, taskBounds.MemoryMB)
	c.within("resources.accelerators", r.Accelerators, 0, taskBounds.Accelerators)
	for i, name := range s.DependsOn {
		if i > 0 && s.DependsOn[i-1] == name {
			c.report("depends_on", "depends_on: %q occurs twice", name)
			continue
		}
		c.refer("depends_on", KindService, name, false)
	}
}

// fitsLimit checks one service against its team's limit, one replica first, then all of them.
func (c *checker) fitsLimit(limit Limit, one, all resource.Vector) bool {
	most := limit.Max.Vector()
	switch {
	case !one.Fits(most):
		c.report("resources", "one replica needs %s, which is beyond limit %q of team %q", exceeding(one, most), limit.Name, limit.Team)
	case !all.Fits(most):
		c.report("replicas", "all replicas together need %s, which is beyond limit %q of team %q", exceeding(all, most), limit.Name, limit.Team)
	default:
		return true
	}
	return false
}

// exceeding names the first resource of which v needs more than there is.
func exceeding(v, most resource.Vector) string {
	for _, r := range []struct {
		name      string
		need, max int64
	}{
		{"slots", v.Slots, most.Slots}, {"milli_cpu", v.MilliCPU, most.MilliCPU},
		{"memory_mb", v.MemoryMB, most.MemoryMB}, {"accelerators", v.Accelerators, most.Accelerators},
	} {
		if r.need > r.max {
			return fmt.Sprintf("%s %d of at most %d", r.name, r.need, r.max)
		}
	}
	return "nothing"
}

// cycles reports each cycle of depends_on once, at the service where the search meets it first.
func (c *checker) cycles() {
	services := map[string]Service{}
	for _, s := range c.set.Services {
		services[s.Name] = s
	}
	const visiting, done = 1, 2
	state := map[string]int{}
	var path []string
	var visit func(name string)
	visit = func(name string) {
		state[name] = visiting
		path = append(path, name)
		for _, next := range services[name].DependsOn {
			switch {
			case state[next] == visiting:
				c.reportCycle(path, next)
			case state[next] == 0:
				if _, exists := services[next]; exists {
					visit(next)
				}
			}
		}
		path = path[:len(path)-1]
		state[name] = done
	}
	for _, s := range c.set.Services {
		if state[s.Name] == 0 {
			visit(s.Name)
		}
	}
}

func (c *checker) reportCycle(path []string, start string) {
	for i, name := range path {
		if name == start {
			cycle := append(append([]string{}, path[i:]...), start)
			c.at = occurrence{kind: KindService, name: start}
			c.report("depends_on", "depends_on forms a cycle: %s", strings.Join(cycle, " -> "))
			return
		}
	}
}
