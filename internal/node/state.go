package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

// entry is a record in the store with the revision of its last write.
type entry[T any] struct {
	record   T
	revision int64
}

type (
	jobEntry       = entry[job.Record]
	allowanceEntry = entry[quota.Record]
)

// progressEntry is a cached progress document with its store revision.
type progressEntry struct {
	doc      partition.Progress
	revision int64
}

// Registration is the value that a node writes under its own key in the store.
type Registration struct {
	Address     string `json:"address"` // peer address, for other nodes
	HTTPAddress string `json:"http_address"`
	Zone        string `json:"zone"`
	Count       uint64 `json:"count"`
}

// stateCache is this node's copy of the state in the store. The watch applies changes in revision order.
type stateCache struct {
	mu         sync.Mutex
	loaded     bool
	jobs       map[job.ID]jobEntry
	allowances map[string]allowanceEntry
	progress   map[string]progressEntry
	nodes      map[string]Registration
}

func newStateCache() *stateCache {
	return &stateCache{jobs: map[job.ID]jobEntry{}, allowances: map[string]allowanceEntry{},
		progress: map[string]progressEntry{}, nodes: map[string]Registration{}}
}

// apply stores one change unless the cache has a later one. A value that can't be decoded is skipped and returned as an
// error.
func (c *stateCache) apply(e port.WatchEvent) error {
	key, revision := e.Entry.Key, e.Entry.Revision
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case strings.HasPrefix(key, port.JobPrefix):
		id := job.ID(key[len(port.JobPrefix):])
		return applyChange(c.jobs, id, c.jobs[id].revision, e, func(r job.Record) jobEntry { return jobEntry{r, revision} })
	case strings.HasPrefix(key, port.AllowancePrefix):
		team := key[len(port.AllowancePrefix):]
		return applyChange(c.allowances, team, c.allowances[team].revision, e,
			func(r quota.Record) allowanceEntry { return allowanceEntry{r, revision} })
	case strings.HasPrefix(key, port.ProgressPrefix):
		name := key[len(port.ProgressPrefix):]
		return applyChange(c.progress, name, c.progress[name].revision, e,
			func(p partition.Progress) progressEntry { return progressEntry{p, revision} })
	case strings.HasPrefix(key, port.NodePrefix):
		return applyChange(c.nodes, key[len(port.NodePrefix):], 0, e, func(r Registration) Registration { return r })
	}
	return nil
}

func applyChange[K comparable, V, E any](m map[K]E, key K, knownRevision int64, e port.WatchEvent, wrap func(V) E) error {
	if knownRevision > e.Entry.Revision {
		return nil
	}
	if e.Deleted {
		delete(m, key)
		return nil
	}
	var value V
	if err := json.Unmarshal(e.Entry.Value, &value); err != nil {
		return errors.Wrapf(err, "decode value of %s", e.Entry.Key)
	}
	m[key] = wrap(value)
	return nil
}

// replace replaces the content by that of a complete read. It does so atomically: readers never see a part of it.
func (c *stateCache) replace(entries []port.Entry) (failed []error) {
	fresh := newStateCache()
	for _, e := range entries {
		if err := fresh.apply(port.WatchEvent{Entry: e}); err != nil {
			failed = append(failed, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs, c.allowances, c.progress, c.nodes, c.loaded = fresh.jobs, fresh.allowances, fresh.progress, fresh.nodes, true
	return failed
}

// job returns the cached record of a job.
func (c *stateCache) job(id job.ID) (jobEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.jobs[id]
	return e, found
}

// putJob caches a record that this node wrote or read, unless the cache has a later revision.
func (c *stateCache) putJob(r job.Record, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[r.ID].revision < revision {
		c.jobs[r.ID] = jobEntry{r, revision}
	}
}

// run returns the record of a run: the part of a job that one partition executes, under an ID of its own.
func (c *stateCache) run(id job.ID) (job.Record, bool) {
	parent, _ := id.Parent()
	entry, found := c.job(parent)
	if !found {
		return job.Record{}, false
	}
	for _, r := range entry.record.PartRecords() {
		if r.ID == id {
			return r, true
		}
	}
	return job.Record{}, false
}

// allJobs returns the records of all jobs.
func (c *stateCache) allJobs() []job.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]job.Record, 0, len(c.jobs))
	for _, e := range c.jobs {
		records = append(records, e.record)
	}
	return records
}

// runsOf returns the records of a partition's runs.
func (c *stateCache) runsOf(partition string) []job.Record {
	var runs []job.Record
	for _, r := range c.allJobs() {
		for _, run := range r.PartRecords() {
			if run.Partition == partition {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

func (c *stateCache) allowance(team string) (allowanceEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.allowances[team]
	return e, found
}

// putAllowance caches a record, unless the cache has a later revision.
func (c *stateCache) putAllowance(r quota.Record, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allowances[r.Team].revision < revision {
		c.allowances[r.Team] = allowanceEntry{r, revision}
	}
}

func (c *stateCache) progressOf(partition string) (progressEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.progress[partition]
	return e, found
}

func (c *stateCache) nodeAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for _, r := range c.nodes {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

func (c *stateCache) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// stateLoop maintains the cache: it loads the complete state and then applies the events of a watch. A watch that ends
// is resumed at the revision it had reached: if every node read the complete state again after a brief overload, the
// reads would prolong the overload. A watch that no longer delivers events, which shows in missing registrations of this
// node, is restarted from a complete read.
func (n *Node) stateLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.loadAndWatchState(ctx); err != nil && ctx.Err() == nil {
			n.log.Warn("state watch ended", "error", err)
		}
		if !wait.For(ctx, watchRestartDelay+rand.N(watchRestartDelay)) {
			return
		}
	}
}

// watchRestartDelay is the minimum delay between two watches. A random delay of up to the same length is added, so that
// nodes don't reconnect at the same moment.
const watchRestartDelay = 200 * time.Millisecond

func (n *Node) loadAndWatchState(ctx context.Context) error {
	revision := n.position.revision()
	if revision == 0 {
		var err error
		if revision, err = n.readState(ctx); err != nil {
			return err
		}
	}
	err := n.watchState(ctx, revision)
	if errors.Is(err, port.ErrCompacted) {
		n.position.reset()
	}
	return err
}

// readState loads the complete state and returns the revision of the read.
func (n *Node) readState(ctx context.Context) (int64, error) {
	call, cancelCall := context.WithTimeout(ctx, 4*n.options.Timing.StoreTimeout)
	entries, revision, err := n.ports.Store.Range(call, port.StatePrefix)
	cancelCall()
	n.recordStoreResult(err)
	if err != nil {
		return 0, err
	}
	n.loadState(entries)
	n.position.load(entries, revision)
	n.confirmByWatch()
	return revision, nil
}

// watchState applies the events after a revision until the watch ends.
func (n *Node) watchState(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.monitorWatch(ctx, cancel)
	return n.ports.Store.Watch(ctx, port.StatePrefix, revision, func(events []port.WatchEvent) error {
		n.applyEvents(events)
		n.position.advance(events)
		n.confirmByWatch()
		return nil
	})
}

// monitorWatch cancels a watch when a barrier has timed out, or when the watch hasn't delivered several registrations of
// this node.
func (n *Node) monitorWatch(ctx context.Context, cancel context.CancelFunc) {
	const missedLimit = 2 // 1 is normal: the watch may not have delivered the last registration yet
	ticker := time.NewTicker(n.options.Timing.Register)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.watchRestarts:
		case <-ticker.C:
			if n.registrar.count() < n.state.registrationCount(n.options.ID)+missedLimit {
				continue
			}
		}
		n.log.Warn("state watch is silent, starting it again")
		n.position.reset()
		cancel()
		return
	}
}

// restartWatch requests a restart of the state watch.
func (n *Node) restartWatch() {
	select {
	case n.watchRestarts <- struct{}{}:
	default:
	}
}

// registrationCount returns the count of a node's registration in the cache, 0 if there is none.
func (c *stateCache) registrationCount(id string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id].Count
}

// loadState replaces the cache by the result of a complete read and notifies the owners.
func (n *Node) loadState(entries []port.Entry) {
	before := n.state.allJobs()
	for _, err := range n.state.replace(entries) {
		n.log.Error("state entry ignored", "error", err)
	}
	for _, e := range entries {
		if e.Key == port.ConfigKey {
			n.offerEntry(e, time.Time{}, false)
		}
		n.notifyOwners(e.Key)
	}
	for _, r := range before {
		if _, found := n.state.job(r.ID); !found {
			n.notifyRunsRemoved(r)
		}
	}
}

// applyEvents updates the cache and notifies the owners.
func (n *Node) applyEvents(events []port.WatchEvent) {
	for _, e := range events {
		if e.Entry.Key == port.ConfigKey && !e.Deleted {
			n.offerEntry(e.Entry, time.Time{}, false)
			continue
		}
		if err := n.state.apply(e); err != nil {
			n.log.Error("state entry ignored", "error", err)
			continue
		}
		n.notifyOwners(e.Entry.Key)
	}
}

func (n *Node) notifyOwners(key string) {
	switch {
	case strings.HasPrefix(key, port.JobPrefix):
		if entry, found := n.state.job(job.ID(key[len(port.JobPrefix):])); found {
			n.notifyRuns(entry.record)
		}
	case strings.HasPrefix(key, port.AllowancePrefix):
		n.owners.each(func(o *owner) { o.send(allowanceChanged{}) })
	}
}

// notifyRuns sends each owner jobChanged for the job's runs in its partition, and jobRemoved for the job's other runs,
// which may have moved to another partition.
func (n *Node) notifyRuns(r job.Record) {
	runs := r.PartRecords()
	n.owners.each(func(o *owner) {
		for _, run := range runs {
			if run.Partition == o.partition {
				o.send(jobChanged{run})
			} else {
				o.send(jobRemoved{run.ID})
			}
		}
	})
}

// notifyRunsRemoved notifies the owners of a job that is no longer in the store.
func (n *Node) notifyRunsRemoved(r job.Record) {
	for _, run := range r.PartRecords() {
		n.owners.each(func(o *owner) { o.send(jobRemoved{run.ID}) })
	}
}
