package node

import (
	"cmp"
	"context"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/gateway"
)

const (
	// maxListedJobs limits the jobs in a list, because each costs a call to the owner of its partition.
	maxListedJobs = 500
	// maxStatusCalls limits the concurrent status calls of a list.
	maxStatusCalls = 16
)

// activeJobs returns the jobs of a team that haven't ended, oldest first; those of all teams if team is empty.
func (n *Node) activeJobs(team string) []job.Record {
	active := slices.DeleteFunc(n.state.allJobs(), func(r job.Record) bool {
		return r.Phase.Final() || team != "" && r.Spec.Team != team
	})
	slices.SortFunc(active, func(a, b job.Record) int {
		return cmp.Or(cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
	})
	return active
}

// statuses returns the statuses of jobs from the owners of their partitions. A job whose owner doesn't answer counts as
// pending.
func (n *Node) statuses(ctx context.Context, records []job.Record) []job.Status {
	found := make([]job.Status, len(records))
	calls := pool.New().WithMaxGoroutines(maxStatusCalls)
	for i, r := range records {
		calls.Go(func() {
			status, err := n.Status(ctx, r.ID)
			if err != nil {
				status = job.Status{Record: r, Phase: r.Phase, Pending: r.Spec.Tasks, Waiting: err.Error()}
			}
			found[i] = status
		})
	}
	calls.Wait()
	return found
}

// Jobs lists the jobs of a team that haven't ended, with the reason why each is waiting.
func (n *Node) Jobs(ctx context.Context, team string) gateway.JobList {
	active := n.activeJobs(team)
	list := gateway.JobList{Jobs: []gateway.JobView{}, Total: len(active)}
	for _, s := range n.statuses(ctx, active[:min(len(active), maxListedJobs)]) {
		list.Jobs = append(list.Jobs, gateway.JobView{ID: s.ID, Name: s.Spec.Name, Queue: s.Spec.Queue, Partition: s.Partition,
			Phase: s.Phase, Tasks: s.Spec.Tasks, Pending: s.Pending, Running: s.Running, SubmittedMS: s.SubmittedMS,
			Waiting: s.Waiting})
	}
	return list
}

// Queues lists the queues with the numbers of pending and running tasks. Tasks of jobs beyond maxListedJobs count as
// pending.
func (n *Node) Queues(ctx context.Context) []gateway.QueueView {
	views := []gateway.QueueView{}
	config := n.currentConfig()
	if config == nil {
		return views
	}
	pending, running := map[string]int64{}, map[string]int64{}
	active := n.activeJobs("")
	queried := min(len(active), maxListedJobs)
	for _, s := range n.statuses(ctx, active[:queried]) {
		pending[s.Spec.Queue] += int64(s.Pending)
		running[s.Spec.Queue] += int64(s.Running)
	}
	for _, r := range active[queried:] {
		pending[r.Spec.Queue] += int64(r.Spec.Tasks)
	}
	for _, q := range config.Set.Queues {
		views = append(views, gateway.QueueView{Name: q.Name, Team: q.Team, Open: q.Open, Class: string(q.Class),
			Pending: pending[q.Name], Running: running[q.Name]})
	}
	return views
}
