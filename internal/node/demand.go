package node

import (
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/resource"
)

// demandSummaries returns the announced partitions with free capacity and backlog computed from the accepted jobs and
// the services. Gossip announces quantities only every 10 s, and all jobs that arrive in between would go to the
// partition that was the emptiest at the last announcement. The state watch delivers each accepted job to every node at
// once.
func (n *Node) demandSummaries() []membership.Summary {
	demand := map[string]resource.Vector{}
	for _, r := range n.state.allJobs() {
		if r.Phase.Final() || r.CancelRequested {
			continue
		}
		for _, run := range r.PartRecords() {
			if !run.Phase.Final() {
				demand[run.Partition] = demand[run.Partition].Add(remainingResources(run))
			}
		}
	}
	n.addServiceDemand(demand)
	summaries := n.partitionSummaries("")
	for i := range summaries {
		s := &summaries[i]
		wanted := demand[s.Partition]
		s.Free = s.Capacity.Sub(wanted).Max(resource.Vector{})
		s.Teams = []membership.TeamUsage{{Running: wanted.Min(s.Capacity), Backlog: wanted.Sub(s.Capacity).Max(resource.Vector{})}}
	}
	return summaries
}

// noisePercent limits the random change of free capacity and backlog.
const noisePercent = 30

// addNoise changes free capacity and backlog at random, so that nodes that accept jobs at the same moment don't all
// choose the same partition. The state watch delivers the other nodes' choices only a few
// milliseconds later.
func (n *Node) addNoise(summaries []membership.Summary) []membership.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range summaries {
		s := &summaries[i]
		s.Free = s.Free.MulDiv(int64(100-n.random.IntN(noisePercent)), 100)
		extra := s.Capacity.MulDiv(int64(n.random.IntN(noisePercent)), 100)
		s.Teams = append(s.Teams, membership.TeamUsage{Backlog: extra})
	}
	return summaries
}

// remainingResources returns the resources that a run's tasks use or wait for, according to its record.
func remainingResources(run job.Record) resource.Vector {
	return run.Spec.Resources.Scale(int64(run.Spec.Tasks - run.Completed.Len()))
}

// addServiceDemand adds the resources that the services' instances need.
func (n *Node) addServiceDemand(demand map[string]resource.Vector) {
	config := n.currentConfig()
	if config == nil {
		return
	}
	for _, p := range n.partitionsOf(config) {
		for _, g := range n.partitionConfig(config, string(p)).Services {
			demand[string(p)] = demand[string(p)].Add(g.Spec.Resources.Scale(int64(g.Spec.Tasks)))
		}
	}
}
