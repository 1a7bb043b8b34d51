package partition

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/resource"
)

// NewConfig extracts the configuration of one partition from an object set. populated lists the partitions that have
// workers.
func NewConfig(x *object.Index, set object.Set, name string, populated []string) Config {
	policy := x.Cell().Policy
	c := Config{
		Policy: placement.Policy{Packing: policy.Packing, Share: policy.Share, Waiting: policy.Waiting},
		Teams:  map[string]Team{},
	}
	for _, team := range x.Teams() {
		t, _ := x.Team(team)
		c.Teams[team] = Team{Weight: t.Weight}
	}
	for _, s := range set.Services {
		c.Services = append(c.Services, NewDesiredService(x, s, instancesIn(s, name, populated)))
	}
	return c
}

// instancesIn returns how many instances of a service a partition runs. Instances are distributed round-robin over the
// partitions that have workers, in an order that differs by service.
func instancesIn(s object.Service, name string, populated []string) int32 {
	order := slices.Clone(populated)
	slices.SortFunc(order, func(a, b string) int {
		x, y := xxhash.Sum64String(s.Name+"\x00"+a), xxhash.Sum64String(s.Name+"\x00"+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	position := int32(slices.Index(order, name))
	if position < 0 {
		return 0
	}
	share := s.Replicas / int32(len(order))
	if position < s.Replicas%int32(len(order)) {
		share++
	}
	return share
}

// NewDesiredService returns the desired state of a service in a partition that runs the given number of its instances.
func NewDesiredService(x *object.Index, s object.Service, instances int32) DesiredService {
	resources := s.Resources.Vector()
	if resources.Slots == 0 {
		resources.Slots = int64(s.Concurrency)
	}
	spec := job.Spec{Team: s.Team, Queue: s.Queue, Name: s.Name, Class: job.Service, Tasks: instances, Resources: resources,
		Idempotent: true, Pool: PoolLabel(x, s.Pool), Service: s.Name, Concurrency: s.Concurrency}
	return DesiredService{Spec: spec, Version: serviceVersion(s, spec.Pool, resources)}
}

// PoolLabel returns the label of a pool's workers: the pool's Label, or the pool's name if it sets none or isn't defined.
// It is "" if no pool is named.
func PoolLabel(x *object.Index, name string) string {
	if p, found := x.Pool(name); found && p.Label != "" {
		return p.Label
	}
	return name
}

// serviceVersion returns a digest that changes when running instances have to be replaced.
func serviceVersion(s object.Service, pool string, r resource.Vector) string {
	text := s.Team + "\x00" + pool + "\x00" + strconv.Itoa(int(s.Concurrency))
	for _, v := range []int64{r.Slots, r.MilliCPU, r.MemoryMB, r.Accelerators} {
		text += "\x00" + strconv.FormatInt(v, 10)
	}
	return strconv.FormatUint(xxhash.Sum64String(text), 36)
}
