// Package partition implements the state machine of a partition's owner: which workers it holds, what runs on them,
// which jobs wait, and what to start, move or stop next. It does no I/O: the caller passes in events and the time, and
// carries out the batches and reports that it returns. A Machine isn't safe for concurrent use.
package partition

import (
	"sort"
	"time"

	"sequoiastall/internal/core/estimate"
	"sequoiastall/internal/core/health"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
)

// Machine holds the state of one partition on one node, from the moment at which the node tries to acquire it.
type Machine struct {
	options        Options
	acquiringSince time.Time // when this node began to acquire the partition, the first time or again after unsettle
	config         Config

	cluster         *placement.Cluster
	shares          *quota.Shares
	ledger          *quota.Ledger
	sizes           *estimate.Table
	health          *health.Tracker
	workers         map[string]*worker
	jobs            map[job.ID]*job.State
	desiredServices map[job.ID]DesiredService
	progress        progressState

	pendingProgress  map[job.ID]JobProgress // from the last progress document, for jobs whose records aren't known yet
	maxCapacity      resource.Vector        // largest capacity of any worker, by resource
	jobsLoaded       bool
	verified         bool
	settled          bool
	exclusiveSince   time.Time // since when no other node can hold a worker of the partition; zero if one may
	mayStart         bool
	requeueUncertain bool // set while tasks are requeued that another owner may have restarted
	anyUncertain     bool // some requeued task is uncertain
	hasUnmanaged     bool // a worker may run a task that isn't booked; cleared by the next cycle if none does
	announcedWorkers int  // number of workers that a previous owner announced
	claimedElsewhere bool

	queue            queue
	reservation      *reservation
	scannedAt        time.Time // last cycle in which every waiting job was tried
	plannedAt        time.Time // last time a reservation was planned
	waitReasons      map[job.ID]string
	requeued         map[job.TaskID]requeued
	startTimes       map[job.ID]time.Time
	moving           map[job.ID]*move
	quarantined      map[string]bool
	probes           map[string]job.TaskID // by worker
	beneficiaries    map[job.TaskID]job.ID // job for which each stopping victim was preempted
	stoppingVictims  map[job.ID]int        // number of stopping victims by job
	lacksAllowance   map[string]bool       // teams without enough allowance for a gang or for urgent work
	sharePreemptedAt time.Time             // last cycle that tried to restore shares by preemption, even without victims
	endReportedAt    map[job.ID]time.Time
	decisions        []Decision
}

// New returns the state machine of a partition that this node begins to acquire at now.
func New(o Options, now time.Time) *Machine {
	if o.Invariant == nil {
		o.Invariant = func(string, bool, ...any) bool { return true }
	}
	return &Machine{
		options:         o,
		acquiringSince:  now,
		cluster:         placement.NewCluster(placement.Policy{Packing: 1, Share: 1, Waiting: 1}),
		shares:          quota.NewShares(),
		ledger:          quota.NewLedger(),
		sizes:           estimate.NewTable(resource.Vector{}),
		health:          health.NewTracker(),
		workers:         map[string]*worker{},
		jobs:            map[job.ID]*job.State{},
		desiredServices: map[job.ID]DesiredService{},
		waitReasons:     map[job.ID]string{},
		requeued:        map[job.TaskID]requeued{},
		startTimes:      map[job.ID]time.Time{},
		endReportedAt:   map[job.ID]time.Time{},
		mayStart:        true, progress: progressState{intents: map[job.TaskID]string{}},
		lacksAllowance: map[string]bool{},
		moving:         map[job.ID]*move{}, quarantined: map[string]bool{}, probes: map[string]job.TaskID{}, beneficiaries: map[job.TaskID]job.ID{}, stoppingVictims: map[job.ID]int{},
	}
}

// SetConfig applies a newer configuration.
func (m *Machine) SetConfig(c Config, now time.Time) {
	m.config = c
	m.cluster.SetPolicy(c.Policy)
	for team, t := range c.Teams {
		m.shares.SetWeight(team, t.Weight)
	}
	m.applyServices(now)
}

// SetCellCapacity sets the capacity of the whole cell, on which shares are based.
func (m *Machine) SetCellCapacity(v resource.Vector) { m.shares.SetCapacity(v) }

// SetRemoteUsage sets the resources that a team uses in other partitions.
func (m *Machine) SetRemoteUsage(team string, v resource.Vector) { m.shares.SetRemote(team, v) }

// SetAllowance sets the part of a team's limit that this partition may use.
func (m *Machine) SetAllowance(team string, v resource.Vector) { m.ledger.SetAllowance(team, v) }

// AllowanceSlack returns the part of a team's allowance that its tasks may still use or that another partition may
// receive.
func (m *Machine) AllowanceSlack(team string) resource.Vector {
	return m.ledger.Slack(team).Sub(m.unreportedUsage(team)).Sub(m.unattributedUsage()).Max(resource.Vector{})
}

// unreportedUsage returns the resources that a team's tasks may hold on workers that haven't reported. Until the
// workers have reported, these tasks count as running, because a previous owner may have started them.
func (m *Machine) unreportedUsage(team string) resource.Vector {
	var sum resource.Vector
	if m.settled && !m.anyUncertain {
		return sum
	}
	for _, s := range m.queue.teams[team] {
		size := m.sizes.Reservation(statsKey(s), s.Record.Spec.Resources)
		for i := range s.Tasks {
			r := m.requeued[job.TaskID{Job: s.Record.ID, Index: int32(i)}]
			if s.Tasks[i].Phase == job.TaskPending && (r.uncertain || !m.settled && !r.endConfirmed) {
				sum = sum.Add(size)
			}
		}
	}
	return sum
}

// Capacity returns the total capacity of the workers that this node holds.
func (m *Machine) Capacity() resource.Vector { return m.cluster.Capacity() }

// Used returns the resources that a team's tasks hold in the partition.
func (m *Machine) Used(team string) resource.Vector { return m.ledger.Used(team) }

// Backlog returns the resources that a team's pending tasks need.
func (m *Machine) Backlog(team string) resource.Vector {
	var sum resource.Vector
	for _, s := range m.queue.teams[team] {
		if !s.Record.CancelRequested {
			sum = sum.Add(s.Record.Spec.Resources.Scale(int64(s.Count(job.TaskPending))))
		}
	}
	return sum
}

// SetMayStart sets whether the isolation rule allows this node to start tasks.
func (m *Machine) SetMayStart(mayStart bool) { m.mayStart = mayStart }

// SetExclusive sets whether no other node can hold a worker of the partition: every member that could hold one either
// has left, or was heard from and doesn't claim the partition.
func (m *Machine) SetExclusive(exclusive bool, now time.Time) {
	switch {
	case !exclusive:
		m.exclusiveSince = time.Time{}
	case m.exclusiveSince.IsZero():
		m.exclusiveSince = now
	}
}

// SetClaimedElsewhere sets whether another live member claims the partition. That member may renew the leases of its
// workers, so none of them is considered lapsed, whatever the host list says.
func (m *Machine) SetClaimedElsewhere(claimed bool) { m.claimedElsewhere = claimed }

// SetAnnouncedWorkers sets how many workers of the partition its previous owner announced last. If this owner's host
// list holds fewer, it is out of date; the leases of a worker that is missing from it have lapsed after
// ForeignLeaseExpiry.
func (m *Machine) SetAnnouncedWorkers(workers int) { m.announcedWorkers = workers }

// Settled reports whether the tasks of every worker of the partition are accounted for.
func (m *Machine) Settled() bool { return m.settled }

// Partition returns the partition's name.
func (m *Machine) Partition() string { return m.options.Partition }

// Summary returns the summary of the partition that is distributed by gossip.
func (m *Machine) Summary() membership.Summary {
	s := membership.Summary{Partition: m.options.Partition, Capacity: m.cluster.Capacity(), Free: m.cluster.Free(), Settled: m.settled}
	for _, w := range m.workers {
		if w.held {
			s.Workers++
		}
	}
	teams := make([]string, 0, len(m.config.Teams))
	for t := range m.config.Teams {
		teams = append(teams, t)
	}
	sort.Strings(teams)
	for _, t := range teams {
		u := membership.TeamUsage{Team: t, Running: m.ledger.Used(t), Backlog: m.Backlog(t)}
		if !u.Running.IsZero() || !u.Backlog.IsZero() {
			s.Teams = append(s.Teams, u)
		}
	}
	return s
}

// recordDecision adds a decision to those that the next report returns for the decision log.
func (m *Machine) recordDecision(d Decision) { m.decisions = append(m.decisions, d) }
