package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"sequoiastall/internal/contain"
	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/wait"
)

// activeTerm runs the scheduler during a term of this node. The core must be used only on the goroutine of loop; other
// goroutines post events to it.
type activeTerm struct {
	node   *Node
	term   *term
	core   *cell.Scheduler
	events chan func()
	ctx    context.Context
	end    context.CancelCauseFunc
	tasks  conc.WaitGroup

	links         map[cell.WorkerID]*workerLink
	unsettled     unsettledStarts
	advice        *advicePool
	committer     *committer
	members       *members
	carriers      *carriers
	latency       orderLatency
	retries       retryBudget
	busyUntil     atomic.Int64 // Unix nanoseconds until which this node counts as busy
	recordWaiters recordWaiters
	began         time.Time   // when the campaign for the term began
	wonAt         time.Time   // after the term was won: earlier holders can't confirm their terms any more
	loaded        atomic.Bool // the state is loaded; events are queued until then
}

const (
	// eventBuffer bounds the queued events. Senders block while the queue is full.
	eventBuffer = 4096
	// tickInterval is the maximum time between two calls of Scheduler.Advance.
	tickInterval = 10 * time.Millisecond
)

// schedule runs the scheduler for a term and returns why the term ended.
func (n *Node) schedule(ctx context.Context, t *term, began time.Time) error {
	termCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	s := &activeTerm{node: n, term: t, events: make(chan func(), eventBuffer), ctx: termCtx, end: end, links: map[cell.WorkerID]*workerLink{},
		unsettled: unsettledStarts{}, recordWaiters: recordWaiters{}, began: began, wonAt: time.Now()}
	s.core = cell.New(cell.Options{EndedRetention: n.options.EndedRetention, MaxRegistryAge: maxRegistryAge}, decisionLog{n.options.Log, n.metrics})
	s.advice = newAdvicePool(s)
	s.committer = newCommitter(s)
	s.members = newMembers(s)
	s.carriers = newCarriers(n.options.Workers, n.knownSpreading())
	s.spawn(func() {
		if err := n.renewTerm(termCtx, t); err != nil {
			end(err)
		}
	})
	// The other nodes must be able to attach at once: loading may take longer than their heartbeat timeout.
	n.activeTerm.Store(s)
	s.spawn(s.members.run)
	s.spawn(s.run)
	<-termCtx.Done()
	n.activeTerm.CompareAndSwap(s, nil)
	// Calls in flight end with their timeouts. In the meantime this node follows the next holder.
	n.endedTerms.Go(s.tasks.Wait)
	return context.Cause(termCtx)
}

// spawn runs fn in a goroutine of the term. A panic ends the term instead of the process: the state may be inconsistent,
// and the next term builds it anew from the records.
func (s *activeTerm) spawn(fn func()) {
	s.tasks.Go(func() {
		if contain.Panics(s.node.options.Log, "scheduling", fn) {
			s.end(errPanic)
		}
	})
}

// errPanic means that an error of the program ended the term.
var errPanic = errors.New("a panic ended the term")

// run loads the cell's state and schedules until the term ends.
func (s *activeTerm) run() {
	revision, err := s.load()
	if err != nil {
		s.end(errors.Wrap(err, "load state"))
		return
	}
	s.spawn(func() { s.pollChanges(revision) })
	s.spawn(s.pollRegistry)
	s.loaded.Store(true)
	recordSince(s.node.metrics.takeover, s.began)
	s.loop()
}

// loop runs the scheduler's events. Its goroutine is the scheduler's goroutine.
func (s *activeTerm) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case event := <-s.events:
			event()
			s.drainEvents()
		case <-ticker.C:
		}
		s.advance()
		now := time.Now()
		if now.Sub(last) > maxLoopGap {
			s.busyUntil.Store(now.Add(busyPeriod).UnixNano())
		}
		last = now
	}
}

// drainEvents runs the queued events, so that a single call of Scheduler.Advance follows them.
func (s *activeTerm) drainEvents() {
	for range len(s.events) {
		(<-s.events)()
	}
}

// advance calls Scheduler.Advance and carries out the resulting actions.
func (s *activeTerm) advance() {
	actions := s.core.Advance(time.Now())
	for _, r := range actions.Advice {
		s.advice.enqueue(r)
	}
	for _, o := range actions.Orders {
		s.sendOrder(o)
	}
	for _, id := range actions.Probes {
		s.probe(id)
	}
	s.advice.dispatch()
	s.committer.flush()
}

// post sends an event to the scheduler's goroutine. It returns false if ctx or the term ended first.
func (s *activeTerm) post(ctx context.Context, event func()) bool {
	select {
	case s.events <- event:
		return true
	case <-s.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// query runs fn on the scheduler's goroutine and waits for it. It returns false if the state isn't loaded yet, or if
// ctx or the term ended first.
func (s *activeTerm) query(ctx context.Context, fn func()) bool {
	if !s.loaded.Load() {
		return false
	}
	done := make(chan struct{})
	if !s.post(ctx, func() { fn(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-s.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// load reads the cell's state from the store. It returns the revision after which changes have to be read.
func (s *activeTerm) load() (revision int64, err error) {
	now := time.Now()
	if c := s.node.config.Load(); c != nil {
		s.core.SetConfig(c.Config)
	}
	in, revision, err := s.readAll(storekey.In)
	if err != nil {
		return 0, err
	}
	progress, _, err := s.readAll(storekey.Progress)
	if err != nil {
		return 0, err
	}
	byJob := make(map[cell.JobID][]byte, len(progress))
	for _, e := range progress {
		if id, ok := storekey.ID(e.Key, storekey.Progress); ok {
			byJob[id] = e.Value
			s.committer.progressRevisions[id] = e.Revision
		}
	}
	s.applyEntries(in, byJob)
	revision = s.catchUp(revision, now)
	s.node.options.Log.Info("decision", "subject", s.node.options.Name, "decision", "state loaded", "term", s.term.number, "jobs", len(in),
		"progress", len(progress), "took_ms", time.Since(now).Milliseconds())
	return revision, nil
}

// slowLoad is the duration of a load after which the changes since its beginning are read before anything is started. A
// cancellation that was acknowledged in the meantime must count within 3 s.
const slowLoad = 500 * time.Millisecond

// catchUp applies what was accepted and canceled after a revision if the load has taken long. It returns the revision after
// which changes have to be read. If that fails, pollChanges reads them.
func (s *activeTerm) catchUp(revision int64, began time.Time) int64 {
	if time.Since(began) < slowLoad {
		return revision
	}
	entries, at, err := s.readJobChanges(revision)
	if err != nil {
		s.node.options.Log.Warn("changes during the load not read", "after", revision, "error", err.Error())
		return revision
	}
	s.applyEntries(entries, nil)
	return at
}

// addJob adds a job from its record. A record that can't be decoded is logged and skipped, and doesn't affect other
// jobs.
func (s *activeTerm) addJob(e port.Entry, progress map[cell.JobID][]byte) {
	id, ok := storekey.ID(e.Key, storekey.Jobs)
	if !ok {
		return
	}
	err := errPanic // unless the record is handled
	contain.Panics(s.node.options.Log, "adding job "+string(id), func() {
		var j cell.Job
		if j, err = cell.DecodeJob(e.Value); err == nil {
			s.committer.jobRevisions[id] = e.Revision
			err = s.core.AddJob(j, progress[id], time.Now())
		}
	})
	if err != nil {
		s.node.options.Log.Error("record set aside", "key", e.Key, "revision", e.Revision, "error", err.Error())
	}
}

// readAll returns all entries with a prefix and the store's revision as of the first page.
func (s *activeTerm) readAll(prefix string) ([]port.Entry, int64, error) {
	var entries []port.Entry
	after, revision := "", int64(0)
	for {
		page, err := s.node.options.Store.Page(s.ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return entries, revision, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// pollChanges reads accepted and canceled jobs from the store, for the case that the accepting nodes' messages were
// lost.
func (s *activeTerm) pollChanges(after int64) {
	for {
		entries, at, err := s.jobChanges(after)
		switch {
		case errors.Is(err, port.ErrCompacted):
			s.node.options.Log.Warn("changes of the store are gone, reading all jobs", "after", after)
			if entries, at, err = s.readAll(storekey.In); err == nil {
				after = at
				s.post(s.ctx, func() { s.applyEntries(entries, nil) })
			}
		case err == nil:
			after = at
			if len(entries) > 0 {
				s.post(s.ctx, func() { s.applyEntries(entries, nil) })
			}
		}
		if !s.pause(changesPollInterval) {
			return
		}
	}
}

// applyEntries adds the jobs and cancellations in entries, in any order. Jobs that ended during this term are known and
// stay unchanged. progress holds the progress records of the jobs that may have one.
func (s *activeTerm) applyEntries(entries []port.Entry, progress map[cell.JobID][]byte) {
	for _, e := range entries {
		if id, ok := storekey.ID(e.Key, storekey.Cancels); ok {
			s.core.CancelJob(id)
			continue
		}
		s.addJob(e, progress)
	}
}

// pause waits for d and reports whether the term still lasts.
func (s *activeTerm) pause(d time.Duration) bool { return wait.For(s.ctx, d) }
