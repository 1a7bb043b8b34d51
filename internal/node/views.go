package node

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/gateway"
)

var _ gateway.Node = (*Node)(nil)

// Authenticate finds the owner of a secret. It fails with gateway.ErrNoAuthority while the configuration isn't
// confirmed, because the key may have been revoked.
func (n *Node) Authenticate(secret string) (gateway.Identity, error) {
	if err := n.Authority(); err != nil {
		return gateway.Identity{}, err
	}
	key, found := n.current().Authenticate(secret)
	if !found {
		return gateway.Identity{}, gateway.ErrUnknownKey
	}
	return gateway.Identity{Key: key.Name, Team: key.Team}, nil
}

// Authority applies the freshness rule.
func (n *Node) Authority() error {
	if a := n.authority(); !a.Serve {
		return errors.Wrap(gateway.ErrNoAuthority, string(a.Reason))
	}
	return nil
}

// Queue returns a queue of the configuration in force.
func (n *Node) Queue(name string) (gateway.Queue, bool) {
	held := n.current()
	if held == nil {
		return gateway.Queue{}, false
	}
	q, found := held.Index.Queue(name)
	return gateway.Queue{Name: q.Name, Team: q.Team, Open: q.Open}, found
}

// Service returns a service of the configuration in force.
func (n *Node) Service(name string) (gateway.Service, bool) {
	held := n.current()
	if held == nil {
		return gateway.Service{}, false
	}
	s, found := held.Index.Service(name)
	if !found {
		return gateway.Service{}, false
	}
	view := gateway.Service{Name: s.Name, Queue: s.Queue, Idempotent: s.Idempotent, Hedge: s.Idempotent,
		Deadline: time.Duration(s.RequestTimeoutMS) * time.Millisecond}
	if q, found := held.Index.Queue(s.Queue); found {
		view.WaitingLimit = int(q.WaitingLimit())
		if q.Priority == object.Urgent {
			view.Class = 1
		}
	}
	if p, found := held.Index.RetryPolicy(s.RetryPolicy); found {
		view.Hedge = view.Hedge && !p.HedgeDisabled
	}
	return view, true
}

// Nodes lists the ingress nodes that this one knows.
func (n *Node) Nodes() []gateway.NodeView {
	n.mu.Lock()
	defer n.mu.Unlock()
	var views []gateway.NodeView
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

// Queues lists the queues with what is pending and running in them.
func (n *Node) Queues() []gateway.QueueView {
	held := n.current()
	if held == nil {
		return nil
	}
	pending := map[string]int64{}
	for _, r := range n.state.jobsOf("") {
		if !r.Phase.Final() {
			pending[r.Spec.Queue] += int64(r.Spec.Tasks)
		}
	}
	var views []gateway.QueueView
	for _, q := range held.Set.Queues {
		views = append(views, gateway.QueueView{Name: q.Name, Team: q.Team, Open: q.Open, Pending: pending[q.Name]})
	}
	return views
}

// Teams lists the teams with what they run and wait for.
func (n *Node) Teams() []gateway.TeamView {
	held := n.current()
	if held == nil {
		return nil
	}
	running, backlog := map[string]resource.Vector{}, map[string]resource.Vector{}
	for _, s := range n.remoteSummaries("") {
		for _, t := range s.Teams {
			running[t.Team] = running[t.Team].Add(t.Running)
			backlog[t.Team] = backlog[t.Team].Add(t.Backlog)
		}
	}
	var views []gateway.TeamView
	for _, name := range held.Index.Teams() {
		team, _ := held.Index.Team(name)
		view := gateway.TeamView{Name: name, Weight: team.Weight, Running: running[name].Slots, Backlog: backlog[name].Slots}
		if team.Limited {
			view.Limit = team.Limit.Slots
		}
		views = append(views, view)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}
