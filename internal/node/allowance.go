package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// allowanceInterval is how often the collected allowance needs are processed. It adds to the time that a partition
// waits for an allowance.
const allowanceInterval = 50 * time.Millisecond

// maxConflicts limits the attempts of a compare-and-swap that loses against other writers.
const maxConflicts = 5

// allowanceGrant is an amount that an owner no longer uses because it grants it to another partition.
type allowanceGrant struct {
	team   string
	amount resource.Vector
}

// grantSettled reports to an owner that a grant has been written to the record, or definitely hasn't been and won't be.
type grantSettled struct{ grant allowanceGrant }

func (e grantSettled) apply(o *owner, _ time.Time) {
	o.pendingGrants[e.grant.team] = o.pendingGrants[e.grant.team].Sub(e.grant.amount)
	o.applyAllowances()
}

// applyAllowances sets what each team may use in the partition.
func (o *owner) applyAllowances() {
	config := o.node.currentConfig()
	if config == nil {
		return
	}
	for _, team := range config.Index.Teams() {
		o.machine.SetAllowance(team, o.allowanceOf(team))
	}
}

// allowanceOf returns a team's allowance in the partition, from the allowance record and the published limit. An owner
// that hasn't verified its cache against the store since it started may have an old record, from before a former owner
// granted allowance to another partition. Until it has verified the cache, its teams' usage must not grow.
func (o *owner) allowanceOf(team string) resource.Vector {
	limit, limited := limitOf(o.node.currentConfig(), team)
	if !limited {
		return quota.Unlimited
	}
	entry, found := o.node.state.allowance(team)
	if !o.verified {
		// What was running at the takeover is within the allowance, whatever the record says. The limit is the maximum
		// usage since then, so that tasks adopted from further workers aren't stopped, and ended ones may be replaced.
		o.peakUsage[team] = o.peakUsage[team].Max(o.machine.Used(team))
	}
	if !found && !o.verified {
		return o.peakUsage[team]
	}
	if !found {
		o.node.recordAllowanceNeed(o.partition, partition.AllowanceNeed{Team: team})
		return resource.Vector{}
	}
	allowance := entry.record.Effective(limit, o.partition).Sub(o.pendingGrants[team]).Max(resource.Vector{})
	if !o.verified {
		return allowance.Min(o.peakUsage[team])
	}
	return allowance
}

// requestAllowance records the part of a need that is to be obtained from other partitions: all of the resources that
// hold work back, and of the others what exceeds the slack once more. If it recorded the whole need, partitions whose
// slots are at the limit would transfer CPU and memory that none of them can use back and forth, which caused 80 store
// writes a second for one team.
func (o *owner) requestAllowance(need partition.AllowanceNeed) {
	need.Amount = need.Blocking.Max(shortfall(need.Amount, o.machine.AllowanceSlack(need.Team)))
	if !need.Amount.IsZero() {
		o.node.recordAllowanceNeed(o.partition, need)
	}
}

// shortfall returns the part of an amount that the slack doesn't cover.
func shortfall(amount, slack resource.Vector) resource.Vector {
	return amount.Sub(slack).Max(resource.Vector{})
}

// reserveGrant returns the amount that the partition can spare for a request, and stops using it. It grants nothing
// before the cache is verified.
func (o *owner) reserveGrant(r quota.AllowanceRequest) allowanceGrant {
	g := allowanceGrant{team: r.Team, amount: o.machine.SpareAllowance(r.Team, r.Amount, r.To)}
	if g.amount.IsZero() || !o.verified {
		return allowanceGrant{team: r.Team}
	}
	o.pendingGrants[r.Team] = o.pendingGrants[r.Team].Add(g.amount)
	o.applyAllowances()
	return g
}

// transferAllowance moves allowance from a partition of this node to another partition. The owner stops using it before
// the record is written.
func (n *Node) transferAllowance(ctx context.Context, o *owner, r quota.AllowanceRequest) (quota.AllowanceReply, error) {
	// A grant whose requester has stopped waiting isn't written, so the owner may use it again.
	release := func(late allowanceReply) { o.send(grantSettled{late.granted}) }
	reply, err := queryOwner(ctx, o, func(c chan allowanceReply) event { return allowanceQuery{r, c} }, release)
	if err != nil || reply.granted.amount.IsZero() {
		return quota.AllowanceReply{}, err
	}
	written := make(chan quota.AllowanceReply, 1)
	go func() {
		// The write continues after the caller's context is done: the allowance must not stay out of use.
		call, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		revision, err := n.updateAllowance(call, r.Team, func(record quota.Record) (quota.Record, error) {
			return record.Move(r.From, r.To, reply.granted.amount)
		})
		if err != nil && errors.Is(err, port.ErrUnknownOutcome) {
			n.log.Warn("allowance stays out of use, its move can't be confirmed", "team", r.Team, "error", err)
			return
		}
		o.send(grantSettled{reply.granted})
		if err == nil {
			n.log.Info("allowance", "team", r.Team, "from", r.From, "to", r.To, "amount", reply.granted.amount)
			written <- quota.AllowanceReply{Moved: reply.granted.amount, Revision: revision}
		}
	}()
	select {
	case w := <-written:
		return w, nil
	case <-ctx.Done():
		return quota.AllowanceReply{}, port.ErrUnknownOutcome
	}
}

// updateAllowance changes a team's record by compare-and-swap. After an unknown outcome it repeats the same write,
// which can succeed at most once, until the store has answered. It must not change the record again if that write has
// succeeded and others have followed it: a move would be applied twice.
func (n *Node) updateAllowance(ctx context.Context, team string,
	change func(quota.Record) (quota.Record, error)) (int64, error) {
	entry, found := n.state.allowance(team)
	for conflicts := 0; conflicts < maxConflicts; {
		record, condition := entry.record, port.IfRevision
		if !found {
			record, condition = quota.Record{Team: team}, port.IfAbsent
		}
		next, err := change(record)
		if err != nil {
			return 0, err
		}
		next = next.WrittenBy(n.nextWriterID())
		var revision int64
		var current *allowanceEntry
		attempts := 0
		err = repeatUntilDecided(ctx, syncRetry, func() (err error) {
			attempts++
			revision, current, err = n.putAllowance(ctx, next, condition, entry.revision)
			return err
		})
		switch {
		case err == nil:
			n.cacheAllowance(next, revision)
			return revision, nil
		case current != nil:
			n.cacheAllowance(current.record, current.revision)
			included, known := current.record.Includes(next.Writer, record)
			if included {
				return current.revision, nil
			}
			if !known && attempts > 1 {
				return 0, errors.Wrapf(port.ErrUnknownOutcome, "allowance of team %s: too many writes followed", team)
			}
			entry, found = *current, true
			conflicts++
		default:
			return 0, err
		}
	}
	return 0, errors.Wrapf(port.ErrUnavailable, "allowance of team %s: lost to other writers %d times", team, maxConflicts)
}

// putAllowance writes a record and returns its revision, or the current entry if the condition failed.
func (n *Node) putAllowance(ctx context.Context, r quota.Record, c port.Condition, revision int64) (int64,
	*allowanceEntry, error) {
	return put(ctx, n, port.Write{Key: port.AllowancePrefix + r.Team, Condition: c, Revision: revision}, r)
}

func (n *Node) cacheAllowance(r quota.Record, revision int64) {
	n.metrics.Invariant("allowance_sum", r.Check() == nil, "team", r.Team)
	n.state.putAllowance(r, revision)
	n.owners.each(func(o *owner) { o.send(allowanceChanged{}) })
}

// allowanceNeeds collects the allowances that the owners on this node need from other partitions.
type allowanceNeeds struct {
	mu      sync.Mutex
	amounts map[needKey]resource.Vector
}

type needKey struct{ partition, team string }

// recordAllowanceNeed adds a need to those that allowanceLoop processes next.
func (n *Node) recordAllowanceNeed(name string, need partition.AllowanceNeed) {
	n.allowanceNeeds.mu.Lock()
	defer n.allowanceNeeds.mu.Unlock()
	if n.allowanceNeeds.amounts == nil {
		n.allowanceNeeds.amounts = map[needKey]resource.Vector{}
	}
	key := needKey{name, need.Team}
	n.allowanceNeeds.amounts[key] = n.allowanceNeeds.amounts[key].Max(need.Amount)
}

func (a *allowanceNeeds) take() map[needKey]resource.Vector {
	a.mu.Lock()
	defer a.mu.Unlock()
	amounts := a.amounts
	a.amounts = nil
	return amounts
}

// allowanceLoop obtains needed allowances from other partitions.
func (n *Node) allowanceLoop(ctx context.Context) {
	runEvery(ctx, allowanceInterval, func(ctx context.Context) {
		for key, amount := range n.allowanceNeeds.take() {
			if err := n.obtainAllowance(ctx, key, amount); err != nil {
				n.log.Debug("allowance not obtained", "team", key.team, "partition", key.partition, "error", err)
			}
		}
	})
}

// obtainAllowance creates the record if there is none, or adapts it if the limit has changed. Otherwise it requests the
// amount from other partitions, those with the most slack first.
func (n *Node) obtainAllowance(ctx context.Context, key needKey, amount resource.Vector) error {
	config := n.currentConfig()
	limit, limited := limitOf(config, key.team)
	if !limited {
		return nil
	}
	var partitions []string
	for _, p := range n.partitionsOf(config) {
		partitions = append(partitions, string(p))
	}
	entry, found := n.state.allowance(key.team)
	if !found || entry.record.Limit != limit {
		_, err := n.updateAllowance(ctx, key.team, func(r quota.Record) (quota.Record, error) {
			if r.Parts == nil {
				return quota.Initial(key.team, limit, partitions), nil
			}
			return r.WithLimit(limit, partitions), nil
		})
		return err
	}
	for _, source := range n.sourcePartitions(key, amount, entry.record, limit) {
		if amount.IsZero() {
			return nil
		}
		moved, err := n.requestFromSource(ctx, source, key, amount)
		if err != nil {
			return err
		}
		amount = amount.Sub(moved).Max(resource.Vector{})
	}
	return nil
}

type sourcePartition struct {
	partition string
	slack     resource.Vector
}

// sourcePartitions lists the partitions that, according to gossip, don't use some of the amount, largest slack first.
func (n *Node) sourcePartitions(key needKey, amount resource.Vector, r quota.Record,
	limit resource.Vector) []sourcePartition {
	running := map[string]resource.Vector{}
	for _, s := range n.partitionSummaries(key.partition) {
		for _, t := range s.Teams {
			if t.Team == key.team {
				running[s.Partition] = t.Running
			}
		}
	}
	var sources []sourcePartition
	for p := range r.Parts {
		slack := r.Effective(limit, p).Sub(running[p]).Max(resource.Vector{})
		if p != key.partition && !slack.Min(amount).IsZero() {
			sources = append(sources, sourcePartition{p, slack})
		}
	}
	slices.SortFunc(sources, func(a, b sourcePartition) int {
		return cmp.Or(cmp.Compare(b.slack.DominantShare(limit), a.slack.DominantShare(limit)),
			cmp.Compare(a.partition, b.partition))
	})
	return sources
}

func (n *Node) requestFromSource(ctx context.Context, source sourcePartition, key needKey,
	amount resource.Vector) (resource.Vector, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.Timing.PeerTimeout)
	defer cancel()
	request := quota.AllowanceRequest{Team: key.team, From: source.partition, To: key.partition, Amount: amount}
	address, known := n.ownerAddresses()[source.partition]
	if !known {
		return resource.Vector{}, nil
	}
	var reply quota.AllowanceReply
	var err error
	if address == "" {
		reply, err = n.AskAllowance(ctx, request)
	} else {
		reply, err = n.ports.Peers.AskAllowance(ctx, address, request)
	}
	if err != nil || reply.Moved.IsZero() {
		return resource.Vector{}, err
	}
	n.refreshAllowance(ctx, key.team)
	return reply.Moved, nil
}

// refreshAllowance updates the cached record from the store, sooner than the watch does.
func (n *Node) refreshAllowance(ctx context.Context, team string) {
	entry, err := n.ports.Store.Get(ctx, port.AllowancePrefix+team)
	n.recordStoreResult(err)
	if err != nil {
		return
	}
	var r quota.Record
	if json.Unmarshal(entry.Value, &r) == nil {
		n.cacheAllowance(r, entry.Revision)
	}
}
