package node

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/gateway"
)

var _ gateway.Node = (*Node)(nil)

// Authenticate returns the identity that a secret belongs to. It fails with gateway.ErrNoAuthority while the
// configuration isn't confirmed, because the key may have been revoked.
func (n *Node) Authenticate(secret string) (gateway.Identity, error) {
	if err := n.Authority(); err != nil {
		return gateway.Identity{}, err
	}
	key, found := n.currentConfig().Authenticate(secret)
	if !found {
		return gateway.Identity{}, gateway.ErrUnknownKey
	}
	return gateway.Identity{Key: key.Name, Team: key.Team, Queues: key.Queues}, nil
}

// MayUse reports whether a queue accepts work that is submitted with the identity's key.
func (n *Node) MayUse(id gateway.Identity, queue string) bool {
	config := n.currentConfig()
	return config != nil && config.Index.MayUse(object.Key{Team: id.Team, Queues: id.Queues}, queue)
}

// Authority returns gateway.ErrNoAuthority if the freshness rule doesn't let this node serve requests.
func (n *Node) Authority() error {
	if a := n.cachedAuthority(); !a.Serve {
		return errors.Wrap(gateway.ErrNoAuthority, string(a.Reason))
	}
	return nil
}

// Queue returns a queue of the active configuration.
func (n *Node) Queue(name string) (gateway.Queue, bool) {
	config := n.currentConfig()
	if config == nil {
		return gateway.Queue{}, false
	}
	q, found := config.Index.Queue(name)
	return gateway.Queue{Name: q.Name, Team: q.Team, Open: q.Open, Class: job.Class(q.Class)}, found
}

// Service returns a service of the active configuration.
func (n *Node) Service(name string) (gateway.Service, bool) {
	config := n.currentConfig()
	if config == nil {
		return gateway.Service{}, false
	}
	s, found := config.Index.Service(name)
	if !found {
		return gateway.Service{}, false
	}
	view := gateway.Service{Name: s.Name, Team: s.Team, Queue: s.Queue, Idempotent: s.Idempotent, Hedge: s.Idempotent,
		Deadline: time.Duration(s.RequestTimeoutMS) * time.Millisecond}
	if q, found := config.Index.Queue(s.Queue); found {
		view.WaitingLimit = int(q.WaitingLimit())
		if q.Priority == object.Urgent {
			view.Class = 1
		}
	}
	if p, found := config.Index.RetryPolicy(s.RetryPolicy); found {
		view.Hedge = view.Hedge && !p.HedgeDisabled
	}
	return view, true
}

// Nodes lists the ingress nodes in this node's membership table.
func (n *Node) Nodes() []gateway.NodeView {
	n.mu.Lock()
	defer n.mu.Unlock()
	views := []gateway.NodeView{}
	for _, v := range n.table.Members(n.ports.Clock.Now()) {
		state := v.State.String()
		if v.Status != membership.Alive && !v.Self {
			state = v.Status.String()
		}
		view := gateway.NodeView{ID: v.ID, Zone: v.Zone, Address: v.HTTPAddress, State: state, Revision: v.Revision}
		for _, s := range v.Partitions {
			view.Partitions = append(view.Partitions, s.Partition)
		}
		views = append(views, view)
	}
	return views
}

// Teams lists the teams with their running and waiting slots.
func (n *Node) Teams() []gateway.TeamView {
	config := n.currentConfig()
	if config == nil {
		return []gateway.TeamView{}
	}
	running, backlog := map[string]resource.Vector{}, map[string]resource.Vector{}
	for _, s := range n.partitionSummaries("") {
		for _, t := range s.Teams {
			running[t.Team] = running[t.Team].Add(t.Running)
			backlog[t.Team] = backlog[t.Team].Add(t.Backlog)
		}
	}
	views := []gateway.TeamView{}
	for _, name := range config.Index.Teams() {
		team, _ := config.Index.Team(name)
		view := gateway.TeamView{Name: name, Weight: team.Weight, Running: running[name].Slots, Backlog: backlog[name].Slots}
		if team.Limited {
			view.Limit, view.Limited = team.Limit.Slots, true
		}
		views = append(views, view)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}

// Partitions lists the partitions of the active configuration with the state that their owners announce.
func (n *Node) Partitions() []gateway.PartitionView {
	views := []gateway.PartitionView{}
	config := n.currentConfig()
	if config == nil {
		return views
	}
	announced := n.announcedPartitions()
	for _, p := range n.partitionsOf(config) {
		view, known := announced[string(p)]
		if !known {
			view.Name = string(p)
		}
		views = append(views, view)
	}
	return views
}

// announcedPartitions returns the partitions that members that aren't dead announce. For this node's own partitions it
// uses the owners' current summaries.
func (n *Node) announcedPartitions() map[string]gateway.PartitionView {
	views := map[string]gateway.PartitionView{}
	add := func(owner string, s membership.Summary) {
		views[s.Partition] = gateway.PartitionView{Name: s.Partition, Owner: owner, Workers: s.Workers, Settled: s.Settled,
			Capacity: s.Capacity, Free: s.Free}
	}
	n.mu.Lock()
	for _, v := range n.table.Members(n.ports.Clock.Now()) {
		if v.Self || v.Status == membership.Dead {
			continue
		}
		for _, s := range v.Partitions {
			add(v.ID, s)
		}
	}
	n.mu.Unlock()
	for _, s := range n.owners.summaries() {
		add(n.options.ID, s)
	}
	return views
}

// Revision returns the revision of this node's active configuration.
func (n *Node) Revision() gateway.RevisionView {
	view := gateway.RevisionView{Node: n.options.ID}
	if config := n.currentConfig(); config != nil {
		view.Revision = config.Document.Revision
	}
	return view
}
