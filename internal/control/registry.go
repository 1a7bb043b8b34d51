package control

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// registry is a copy of the registry of workers. The whole list is read once in a term, or again after the store has
// discarded its history; after that, only changes are read.
type registry struct {
	source   port.ConfigSource
	reports  map[cell.WorkerID]cell.WorkerReport
	revision int64 // after which changes have to be read, 0 if the whole list has to be read
}

// pollRegistry keeps the scheduler's workers up to date with the registry.
func (s *activeTerm) pollRegistry() {
	r := registry{source: s.node.options.ConfigSource}
	for {
		changed, err := r.poll(s)
		switch {
		case err == nil:
			s.node.storeAnswered()
		case s.ctx.Err() == nil:
			s.node.options.Log.Warn("registry not read", "error", err.Error())
		}
		reports := slices.Collect(maps.Values(r.reports))
		s.post(s.ctx, func() {
			if changed {
				s.core.SetWorkers(reports, time.Now())
			}
			s.core.ForgetIdleWorkers()
			s.updateLinks()
		})
		if !s.pause(registryPollInterval) {
			return
		}
	}
}

// poll reads the registry or its changes, and reports whether the copy has changed.
func (r *registry) poll(s *activeTerm) (changed bool, err error) {
	if r.revision == 0 {
		return r.readAll(s)
	}
	changes, revision, err := r.source.WorkerChanges(s.ctx, r.revision)
	if errors.Is(err, port.ErrCompacted) {
		s.node.options.Log.Warn("changes of the registry are gone, reading all workers", "after", r.revision)
		return r.readAll(s)
	}
	if err != nil {
		return false, err
	}
	r.revision = revision
	for _, c := range changes {
		if c.Report == nil {
			delete(r.reports, c.ID)
		} else {
			r.reports[c.ID] = *c.Report
		}
	}
	return len(changes) > 0, nil
}

func (r *registry) readAll(s *activeTerm) (changed bool, err error) {
	reports, revision, err := r.source.Workers(s.ctx)
	if err != nil {
		return false, err
	}
	r.reports, r.revision = make(map[cell.WorkerID]cell.WorkerReport, len(reports)), revision
	for _, w := range reports {
		r.reports[w.ID] = w
	}
	return true, nil
}
