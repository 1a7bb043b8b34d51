package node

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// populated returns the partitions that have a worker which isn't dead, in order.
func (n *Node) populated() []string {
	held := n.current()
	if held == nil {
		return nil
	}
	hosts, _ := n.hosts.get()
	var names []string
	for _, h := range hosts {
		if h.State == port.HostLive {
			names = append(names, partitionOf(h, held.Index.Cell().PartitionsPerZone))
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// partitionConfig extracts what a partition needs of a configuration.
func (n *Node) partitionConfig(held *configuration.Held, name string) partition.Config {
	policy := held.Index.Cell().Policy
	c := partition.Config{
		Policy: placement.Policy{Packing: policy.Packing, Share: policy.Share, Waiting: policy.Waiting},
		Teams:  map[string]partition.Team{},
	}
	for _, team := range held.Index.Teams() {
		t, _ := held.Index.Team(team)
		c.Teams[team] = partition.Team{Weight: t.Weight}
	}
	populated := n.populated()
	for _, s := range held.Set.Services {
		c.Services = append(c.Services, serviceGoal(held.Index, s, instancesIn(s, name, populated)))
	}
	return c
}

// instancesIn returns how many instances of a service a partition runs: they are dealt out one by one over the
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

func serviceGoal(index *object.Index, s object.Service, instances int32) partition.ServiceGoal {
	resources := s.Resources.Vector()
	if resources.Slots == 0 {
		resources.Slots = int64(s.Concurrency)
	}
	spec := job.Spec{Team: s.Team, Queue: s.Queue, Name: s.Name, Class: job.Service, Tasks: instances, Resources: resources,
		Idempotent: true, Pool: poolLabel(index, s.Pool), Service: s.Name, Concurrency: s.Concurrency}
	return partition.ServiceGoal{Spec: spec, Version: serviceVersion(s, spec.Pool, resources)}
}

// poolLabel returns the label that the workers of a pool carry, empty for no pool.
func poolLabel(index *object.Index, name string) string {
	if p, found := index.Pool(name); found && p.Label != "" {
		return p.Label
	}
	return name
}

// ServiceID returns the ID of the job whose tasks are a service's instances in a partition.
func ServiceID(index *object.Index, name string, s object.Service) job.ID {
	return partition.ServiceID(name, serviceGoal(index, s, 0))
}

// serviceVersion changes when running instances have to be replaced.
func serviceVersion(s object.Service, pool string, r resource.Vector) string {
	text := s.Team + "\x00" + pool + "\x00" + strconv.Itoa(int(s.Concurrency))
	for _, v := range []int64{r.Slots, r.MilliCPU, r.MemoryMB, r.Accelerators} {
		text += "\x00" + strconv.FormatInt(v, 10)
	}
	return strconv.FormatUint(xxhash.Sum64String(text), 36)
}

// limitOf returns a team's published upper limit.
func limitOf(held *configuration.Held, team string) (limit resource.Vector, limited bool) {
	t, found := held.Index.Team(team)
	if !found {
		return resource.Vector{}, true
	}
	if !t.Limited {
		return quota.Unlimited, false
	}
	return t.Limit, true
}
