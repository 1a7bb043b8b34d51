package health

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// event is one or several deaths with presumably the same cause.
type event struct {
	zone      string
	last      time.Time
	jobs      map[job.ID]presence
	explained bool // by a job that was convicted
}

// presence is a job's part in an event.
type presence struct {
	worker string  // the first on which it ran
	chance float64 // that the job was hit if the workers died by chance
}

// suspect is a job with the deaths that it may have caused.
type suspect struct {
	job         job.ID
	workers     []string
	probability float64 // of being hit that often by chance
}

// chanceLimit is the probability of a coincidence from which deaths are blamed on a job. It spares a service that runs
// on most workers and so is hit by most deaths.
const chanceLimit = 0.01

// Died records the loss of a worker and returns the jobs that are held responsible for it and earlier ones. Deaths in
// one zone in close succession count as one.
func (t *Tracker) Died(d Death, now time.Time) []Verdict {
	t.ForgetWorker(d.Worker)
	t.deaths = slices.DeleteFunc(t.deaths, func(e event) bool { return now.Sub(e.last) > deathTime })
	at := slices.IndexFunc(t.deaths, func(e event) bool { return e.zone == d.Zone && now.Sub(e.last) <= sameEvent })
	if at < 0 {
		at = len(t.deaths)
		t.deaths = append(t.deaths, event{zone: d.Zone, jobs: map[job.ID]presence{}})
	}
	e := &t.deaths[at]
	e.last = now
	for _, j := range d.Jobs {
		p, known := e.jobs[j.Job]
		if !known {
			p.worker = d.Worker
		}
		p.chance = min(1, p.chance+float64(j.Workers)/float64(max(1, d.Workers)))
		e.jobs[j.Job] = p
	}
	return t.blame()
}

// blame convicts the job whose presence at the deaths is the least likely coincidence. Its deaths no longer count
// against the jobs that happened to run beside it; jobs that can't be told apart are all convicted.
func (t *Tracker) blame() []Verdict {
	suspects := t.suspects()
	if len(suspects) == 0 {
		return nil
	}
	var verdicts []Verdict
	for _, s := range suspects {
		if s.probability > suspects[0].probability {
			break
		}
		t.history(s.job).convicted = true
		verdicts = append(verdicts, Verdict{Action: FailJob, Job: s.job, Reason: fmt.Sprintf(
			"it ran on %d different workers when they died: %v", len(s.workers), s.workers)})
		for i := range t.deaths {
			if _, present := t.deaths[i].jobs[s.job]; present {
				t.deaths[i].explained = true
			}
		}
	}
	return verdicts
}

// suspects returns the jobs that were hit often enough, least likely coincidence first.
func (t *Tracker) suspects() []suspect {
	type hits struct {
		workers []string
		chance  float64 // sum
		events  int
	}
	byJob, open := map[job.ID]*hits{}, 0
	for _, e := range t.deaths {
		if e.explained {
			continue
		}
		open++
		for id, p := range e.jobs {
			h := byJob[id]
			if h == nil {
				h = &hits{}
				byJob[id] = h
			}
			h.events++
			h.chance += p.chance
			if !slices.Contains(h.workers, p.worker) {
				h.workers = append(h.workers, p.worker)
			}
		}
	}
	var suspects []suspect
	for id, h := range byJob {
		if len(h.workers) < jobWorkers || (t.jobs[id] != nil && t.jobs[id].convicted) {
			continue
		}
		probability := atLeast(len(h.workers), open, h.chance/float64(h.events))
		if probability <= chanceLimit {
			suspects = append(suspects, suspect{id, h.workers, probability})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(a.probability, b.probability), cmp.Compare(a.job, b.job))
	})
	return suspects
}

// atLeast returns the probability of at least k hits in n independent events of probability p.
func atLeast(k, n int, p float64) float64 {
	below, term := 0.0, math.Pow(1-p, float64(n)) // of exactly 0 hits
	if p >= 1 {
		return 1
	}
	for i := range k {
		below += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return max(0, 1-below)
}
