package demo

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/standin/worker"
)

// level is an amount of slots over time.
type level struct {
	now, peak int64
	area      float64 // slot seconds within the window
	window    time.Duration
}

func (l *level) mean() float64 {
	if l.window <= 0 {
		return 0
	}
	return l.area / l.window.Seconds()
}

// use is what ran over time, in slots: in all, by team and by worker. Peaks are those of the whole run.
type use struct {
	window  time.Duration
	total   *level
	teams   map[string]*level
	workers map[string]*level
	// busy is the time within the window in which a worker ran something, by worker.
	busy map[string]time.Duration
}

func newUse(runs []worker.Run, teams map[job.ID]string, from, to time.Time) *use {
	u := &use{window: to.Sub(from), teams: map[string]*level{}, workers: map[string]*level{}, busy: map[string]time.Duration{}}
	u.total = &level{window: u.window}
	for _, team := range teams {
		u.teams[team] = &level{window: u.window}
	}
	last := from
	for _, c := range changesOf(runs) {
		if c.at.After(last) && c.at.After(from) {
			u.pass(min(c.at.Sub(last), max(0, to.Sub(last))))
			last = c.at
		}
		u.apply(c, teams[c.run.Task.Job])
	}
	u.pass(max(0, to.Sub(last)))
	return u
}

// pass lets time pass at the present levels.
func (u *use) pass(d time.Duration) {
	for _, l := range u.teams {
		l.area += float64(l.now) * d.Seconds()
	}
	for name, l := range u.workers {
		l.area += float64(l.now) * d.Seconds()
		if l.now > 0 {
			u.busy[name] += d
		}
	}
	u.total.area += float64(u.total.now) * d.Seconds()
}

func (u *use) apply(c change, team string) {
	w := u.workers[c.run.Worker]
	if w == nil {
		w = &level{window: u.window}
		u.workers[c.run.Worker] = w
	}
	t := u.teams[team]
	if t == nil {
		t = &level{window: u.window}
		u.teams[team] = t
	}
	for _, l := range []*level{u.total, t, w} {
		l.now += c.amount.Slots
		l.peak = max(l.peak, l.now)
	}
}

func (u *use) packing(slots int64, capacity map[string]resource.Vector) Packing {
	p := Packing{PeakPercent: 100 * float64(u.total.peak) / float64(max(1, slots)), MeanPercent: 100 * u.total.mean() / float64(max(1, slots))}
	used, had := 0.0, 0.0
	for name, l := range u.workers {
		used += l.area
		had += u.busy[name].Seconds() * float64(capacity[name].Slots)
	}
	if had > 0 {
		p.HostPercent = 100 * used / had
	}
	return p
}
