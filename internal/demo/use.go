package demo

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/standin/worker"
)

// slotLevel tracks a number of used slots over time.
type slotLevel struct {
	current, peak int64
	slotSeconds   float64 // integral of current over the window
	window        time.Duration
}

func (l *slotLevel) mean() float64 {
	if l.window <= 0 {
		return 0
	}
	return l.slotSeconds / l.window.Seconds()
}

// usage tracks the slots in use over time: in total, by team and by worker. Means are taken over the window, peaks over
// the whole run.
type usage struct {
	window  time.Duration
	total   *slotLevel
	teams   map[string]*slotLevel
	workers map[string]*slotLevel
	// busy is the time within the window during which a worker ran at least one task, by worker.
	busy map[string]time.Duration
}

func newUsage(runs []worker.Run, teams map[job.ID]string, from, to time.Time) *usage {
	u := &usage{window: to.Sub(from), teams: map[string]*slotLevel{}, workers: map[string]*slotLevel{}, busy: map[string]time.Duration{}}
	u.total = &slotLevel{window: u.window}
	for _, team := range teams {
		u.teams[team] = &slotLevel{window: u.window}
	}
	last := from
	for _, c := range changesOf(runs) {
		if c.at.After(last) && c.at.After(from) {
			u.advance(min(c.at.Sub(last), max(0, to.Sub(last))))
			last = c.at
		}
		u.apply(c, teams[c.run.Task.Job])
	}
	u.advance(max(0, to.Sub(last)))
	return u
}

// advance accounts for a duration at the current levels.
func (u *usage) advance(d time.Duration) {
	for _, l := range u.teams {
		l.slotSeconds += float64(l.current) * d.Seconds()
	}
	for name, l := range u.workers {
		l.slotSeconds += float64(l.current) * d.Seconds()
		if l.current > 0 {
			u.busy[name] += d
		}
	}
	u.total.slotSeconds += float64(u.total.current) * d.Seconds()
}

func (u *usage) apply(c usageChange, team string) {
	w := u.workers[c.run.Worker]
	if w == nil {
		w = &slotLevel{window: u.window}
		u.workers[c.run.Worker] = w
	}
	t := u.teams[team]
	if t == nil {
		t = &slotLevel{window: u.window}
		u.teams[team] = t
	}
	for _, l := range []*slotLevel{u.total, t, w} {
		l.current += c.delta.Slots
		l.peak = max(l.peak, l.current)
	}
}

func (u *usage) packing(slots int64, capacity map[string]resource.Vector) Packing {
	p := Packing{PeakPercent: 100 * float64(u.total.peak) / float64(max(1, slots)), MeanPercent: 100 * u.total.mean() / float64(max(1, slots))}
	usedSlotSeconds, availableSlotSeconds := 0.0, 0.0
	for name, l := range u.workers {
		usedSlotSeconds += l.slotSeconds
		availableSlotSeconds += u.busy[name].Seconds() * float64(capacity[name].Slots)
	}
	if availableSlotSeconds > 0 {
		p.HostPercent = 100 * usedSlotSeconds / availableSlotSeconds
	}
	return p
}
