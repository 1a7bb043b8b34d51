package control

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// registry is a node's copy of the registry of workers. The whole list is read once, or again after the store has
// discarded its history; after that, only changes are read. It is safe for concurrent use.
type registry struct {
	source port.ConfigSource

	mu        sync.Mutex
	reports   map[cell.WorkerID]cell.WorkerReport
	changedAt map[cell.WorkerID]int64 // revision up to which the registry was read when a worker last changed or left
	readAt    int64                   // revision at which the whole list was read
	revision  int64                   // up to which changes were read, 0 if the whole list has to be read
	readTime  time.Time               // when the registry was last read
}

// maxChangesAge is the age of the copy from which the whole list is read. Workers write their entries every second or
// two, so the changes would be larger.
const maxChangesAge = 3 * time.Second

// workerChanges is what has changed in the registry of workers.
type workerChanges struct {
	full     bool // reports is the whole registry
	reports  []cell.WorkerReport
	removed  []cell.WorkerID
	revision int64 // up to which changes are included
}

func (c workerChanges) empty() bool { return !c.full && len(c.reports) == 0 && len(c.removed) == 0 }

// since reads the registry and returns what has changed after a revision.
func (r *registry) since(ctx context.Context, after int64) (workerChanges, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.refresh(ctx); err != nil {
		return workerChanges{}, err
	}
	c := workerChanges{full: after < r.readAt, revision: r.revision}
	for id, w := range r.reports {
		if c.full || r.changedAt[id] > after {
			c.reports = append(c.reports, w)
		}
	}
	for id, at := range r.changedAt {
		if _, listed := r.reports[id]; !listed && !c.full && at > after {
			c.removed = append(c.removed, id)
		}
	}
	return c, nil
}

// refresh reads the registry's changes, or the whole list if that isn't possible. The caller must hold mu.
func (r *registry) refresh(ctx context.Context) error {
	if r.revision == 0 || time.Since(r.readTime) > maxChangesAge {
		return r.readAll(ctx)
	}
	changes, revision, err := r.source.WorkerChanges(ctx, r.revision)
	if errors.Is(err, port.ErrCompacted) {
		return r.readAll(ctx)
	}
	if err != nil {
		return err
	}
	r.revision, r.readTime = revision, time.Now()
	for _, c := range changes {
		r.apply(c)
	}
	return nil
}

// apply applies a change. Workers write their entries again and again, mostly without a change that matters here.
func (r *registry) apply(c port.WorkerChange) {
	old, listed := r.reports[c.ID]
	switch {
	case c.Report == nil && !listed, c.Report != nil && listed && reflect.DeepEqual(old, *c.Report):
		return
	case c.Report == nil:
		delete(r.reports, c.ID)
	default:
		r.reports[c.ID] = *c.Report
	}
	r.changedAt[c.ID] = r.revision
}

func (r *registry) readAll(ctx context.Context) error {
	reports, revision, err := r.source.Workers(ctx)
	if err != nil {
		return err
	}
	r.reports, r.changedAt = make(map[cell.WorkerID]cell.WorkerReport, len(reports)), map[cell.WorkerID]int64{}
	r.readAt, r.revision, r.readTime = revision, revision, time.Now()
	for _, w := range reports {
		r.reports[w.ID] = w
	}
	return nil
}

// pollRegistry keeps the scheduler's workers up to date with the registry.
func (s *activeTerm) pollRegistry() {
	known, revision := map[cell.WorkerID]cell.WorkerReport{}, int64(-1)
	for {
		began := time.Now()
		c, err := s.workersSince(revision)
		switch {
		case err == nil:
			revision = c.revision
			s.postWorkers(known, c, began)
		case s.ctx.Err() == nil:
			s.node.options.Log.Warn("registry not read", "error", err.Error())
		}
		if !s.pause(registryPollInterval) {
			return
		}
	}
}

// postWorkers applies changes to the known workers and passes them to the scheduler. The registry was read at asOf or later.
func (s *activeTerm) postWorkers(known map[cell.WorkerID]cell.WorkerReport, c workerChanges, asOf time.Time) {
	if c.full {
		clear(known)
	}
	for _, w := range c.reports {
		known[w.ID] = w
	}
	for _, id := range c.removed {
		delete(known, id)
	}
	var reports []cell.WorkerReport
	if !c.empty() {
		reports = make([]cell.WorkerReport, 0, len(known))
		for _, w := range known {
			reports = append(reports, w)
		}
	}
	s.post(s.ctx, func() {
		if !c.empty() {
			s.core.SetWorkers(reports, time.Now())
		}
		s.core.RegistryRead(asOf)
		s.core.ForgetIdleWorkers()
		s.updateLinks()
	})
}
