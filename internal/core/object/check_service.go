package object

import (
	"fmt"
	"strings"

	"sequoiastall/internal/core/resource"
)

func (c *checker) checkServices() {
	limits := map[string]Limit{}
	for _, l := range c.set.Limits {
		if _, seen := limits[l.Team]; !seen {
			limits[l.Team] = l
		}
	}
	total, last := map[string]resource.Vector{}, map[string]occurrence{}
	teamsOverLimit := map[string]bool{} // teams with a service that alone exceeds the limit
	for _, s := range c.set.Services {
		c.setCurrent(s.Meta)
		c.checkService(s)
		limit, limited := limits[s.Team]
		if !limited {
			continue
		}
		size := s.Resources.Vector().Min(maxTaskResources) // larger sizes have been reported already
		all := size.Scale(int64(max(0, min(s.Replicas, MaxReplicas))))
		if !c.checkServiceFitsLimit(limit, size, all) {
			teamsOverLimit[s.Team] = true
		}
		total[s.Team], last[s.Team] = total[s.Team].Add(all), c.current
	}
	for _, t := range c.set.Teams {
		limit, sum := limits[t.Name], total[t.Name]
		if teamsOverLimit[t.Name] || sum.Fits(limit.Max.Vector()) {
			continue
		}
		c.current = last[t.Name]
		c.report("replicas", "the services of team %q together need %s, which is beyond limit %q (%s)",
			t.Name, firstExceeded(sum, limit.Max.Vector()), limit.Name, "all replicas of all its services must fit")
		total[t.Name] = resource.Vector{} // a team that occurs twice is reported once
	}
}

func (c *checker) checkService(s Service) {
	c.checkReference("team", KindTeam, s.Team, false)
	if c.checkReference("queue", KindQueue, s.Queue, false) {
		q := c.queuesByName[s.Queue]
		if q.Class != ClassService {
			c.report("queue", "queue %q is of class %s, must be of class service", s.Queue, q.Class)
		}
		if !c.teamMayUseQueue(s.Queue, s.Team) {
			c.report("queue", "queue %q belongs to team %q", s.Queue, q.Team)
		}
		if tasks := q.TaskLimit(); s.Replicas > tasks && q.Class == ClassService {
			c.report("replicas", "replicas: %d is more than max_tasks of queue %q, %d", s.Replicas, s.Queue, tasks)
		}
	}
	c.checkReference("pool", KindPool, s.Pool, true)
	c.checkReference("retry_policy", KindRetryPolicy, s.RetryPolicy, true)
	if _, given := c.set.origins[c.current].fieldLines["replicas"]; !given && c.set.origins != nil {
		c.report("replicas", "field \"replicas\" is missing")
	}
	c.checkRange("replicas", int64(s.Replicas), 0, MaxReplicas)
	c.checkRange("request_timeout_ms", s.RequestTimeoutMS, 1, MaxTimeoutMS)
	concurrent := c.checkRange("concurrency", int64(s.Concurrency), 1, MaxConcurrency)
	r := s.Resources
	if concurrent && r.Slots != int64(s.Concurrency) {
		c.report("resources", "resources.slots: %d differs from concurrency, %d; leave it out", r.Slots, s.Concurrency)
	}
	c.checkRange("resources.milli_cpu", r.MilliCPU, 1, maxTaskResources.MilliCPU)
	c.checkRange("resources.memory_mb", r.MemoryMB, 1, maxTaskResources.MemoryMB)
	c.checkRange("resources.accelerators", r.Accelerators, 0, maxTaskResources.Accelerators)
	for i, name := range s.DependsOn {
		if i > 0 && s.DependsOn[i-1] == name {
			c.report("depends_on", "depends_on: %q occurs twice", name)
			continue
		}
		c.checkReference("depends_on", KindService, name, false)
	}
}

// checkServiceFitsLimit checks a service against its team's limit, first one replica, then all replicas together.
func (c *checker) checkServiceFitsLimit(limit Limit, replica, allReplicas resource.Vector) bool {
	limitVector := limit.Max.Vector()
	switch {
	case !replica.Fits(limitVector):
		c.report("resources", "one replica needs %s, which is beyond limit %q of team %q", firstExceeded(replica, limitVector), limit.Name, limit.Team)
	case !allReplicas.Fits(limitVector):
		c.report("replicas", "all replicas together need %s, which is beyond limit %q of team %q", firstExceeded(allReplicas, limitVector), limit.Name, limit.Team)
	default:
		return true
	}
	return false
}

// firstExceeded describes the first resource of which v needs more than limit allows.
func firstExceeded(v, limit resource.Vector) string {
	for _, r := range []struct {
		name      string
		need, max int64
	}{
		{"slots", v.Slots, limit.Slots}, {"milli_cpu", v.MilliCPU, limit.MilliCPU},
		{"memory_mb", v.MemoryMB, limit.MemoryMB}, {"accelerators", v.Accelerators, limit.Accelerators},
	} {
		if r.need > r.max {
			return fmt.Sprintf("%s %d of at most %d", r.name, r.need, r.max)
		}
	}
	return "nothing"
}

// checkDependencyCycles reports each cycle of depends_on once, at the service where the search reaches it first.
func (c *checker) checkDependencyCycles() {
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
			c.current = occurrence{kind: KindService, name: start}
			c.report("depends_on", "depends_on forms a cycle: %s", strings.Join(cycle, " -> "))
			return
		}
	}
}
