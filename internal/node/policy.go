package node

import (
	"slices"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// populatedPartitions returns the partitions that have a live worker, sorted by name.
func (n *Node) populatedPartitions() []string {
	config := n.currentConfig()
	if config == nil {
		return nil
	}
	hosts, _ := n.hosts.get()
	var names []string
	for _, h := range hosts {
		if h.State == port.HostLive {
			names = append(names, partitionOf(h, config.Index.Cell().PartitionsPerZone))
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// partitionConfig returns the part of a configuration that a partition needs.
func (n *Node) partitionConfig(config *configuration.Active, name string) partition.Config {
	return partition.NewConfig(config.Index, config.Set, name, n.populatedPartitions())
}

// ServiceID returns the ID of the job whose tasks are a service's instances in a partition.
func ServiceID(index *object.Index, name string, s object.Service) job.ID {
	return partition.ServiceID(name, partition.NewDesiredService(index, s, 0))
}

// limitOf returns a team's published upper limit. An unknown team has a limit of zero.
func limitOf(config *configuration.Active, team string) (limit resource.Vector, limited bool) {
	t, found := config.Index.Team(team)
	if !found {
		return resource.Vector{}, true
	}
	if !t.Limited {
		return quota.Unlimited, false
	}
	return t.Limit, true
}
