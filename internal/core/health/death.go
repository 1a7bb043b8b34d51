package health

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
)

// lossEvent is the loss of one or more workers, presumably with the same cause.
type lossEvent struct {
	zone       string
	lastLoss   time.Time
	jobs       map[job.ID]jobExposure
	attributed bool // to a job that was marked faulty
}

// jobExposure describes a job that ran on workers lost in an event.
type jobExposure struct {
	firstWorker string  // the first lost worker on which it ran
	probability float64 // probability that the event hits the job if workers are lost at random
}

// suspect is a job that may have caused the loss of workers.
type suspect struct {
	job         job.ID
	workers     []string
	probability float64 // probability of being hit that often by chance
}

// coincidenceLimit is the probability of a coincidence at or below which losses are attributed to a job. It protects a
// service that runs on most workers and so is hit by most losses.
const coincidenceLimit = 0.01

// RecordLoss records the loss of a worker and returns verdicts on the jobs that presumably caused it and earlier
// losses. Losses in one zone in close succession count as one event.
func (t *Tracker) RecordLoss(loss WorkerLoss, now time.Time) []Verdict {
	t.ForgetWorker(loss.Worker)
	t.losses = slices.DeleteFunc(t.losses, func(e lossEvent) bool { return now.Sub(e.lastLoss) > lossWindow })
	i := slices.IndexFunc(t.losses, func(e lossEvent) bool { return e.zone == loss.Zone && now.Sub(e.lastLoss) <= lossGroupWindow })
	if i < 0 {
		i = len(t.losses)
		t.losses = append(t.losses, lossEvent{zone: loss.Zone, jobs: map[job.ID]jobExposure{}})
	}
	e := &t.losses[i]
	e.lastLoss = now
	for _, j := range loss.Jobs {
		p, known := e.jobs[j.Job]
		if !known {
			p.firstWorker = loss.Worker
		}
		p.probability = min(1, p.probability+float64(j.Workers)/float64(max(1, loss.Workers)))
		e.jobs[j.Job] = p
	}
	return t.attributeLosses()
}

// attributeLosses marks the job as faulty whose exposure to the losses is least likely to be a coincidence. The events
// that hit it no longer count against other jobs that ran on the same workers. Jobs with the same probability can't be
// told apart and are all marked.
func (t *Tracker) attributeLosses() []Verdict {
	suspects := t.suspects()
	if len(suspects) == 0 {
		return nil
	}
	var verdicts []Verdict
	for _, s := range suspects {
		if s.probability > suspects[0].probability {
			break
		}
		t.jobEvidence(s.job).markedFaulty = true
		verdicts = append(verdicts, Verdict{Action: FailJob, Job: s.job, Reason: fmt.Sprintf(
			"it ran on %d different workers when they died: %v", len(s.workers), s.workers)})
		for i := range t.losses {
			if _, present := t.losses[i].jobs[s.job]; present {
				t.losses[i].attributed = true
			}
		}
	}
	return verdicts
}

// suspects returns the jobs that were hit often enough to be suspect, the least likely coincidence first.
func (t *Tracker) suspects() []suspect {
	type hits struct {
		workers        []string
		probabilitySum float64
		events         int
	}
	byJob, unattributed := map[job.ID]*hits{}, 0
	for _, e := range t.losses {
		if e.attributed {
			continue
		}
		unattributed++
		for id, p := range e.jobs {
			h := byJob[id]
			if h == nil {
				h = &hits{}
				byJob[id] = h
			}
			h.events++
			h.probabilitySum += p.probability
			if !slices.Contains(h.workers, p.firstWorker) {
				h.workers = append(h.workers, p.firstWorker)
			}
		}
	}
	var suspects []suspect
	for id, h := range byJob {
		if len(h.workers) < jobFailureWorkers || (t.jobs[id] != nil && t.jobs[id].markedFaulty) {
			continue
		}
		probability := binomialTail(len(h.workers), unattributed, h.probabilitySum/float64(h.events))
		if probability <= coincidenceLimit {
			suspects = append(suspects, suspect{id, h.workers, probability})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(a.probability, b.probability), cmp.Compare(a.job, b.job))
	})
	return suspects
}

// binomialTail returns the probability of at least k hits in n independent events of probability p.
func binomialTail(k, n int, p float64) float64 {
	belowK, term := 0.0, math.Pow(1-p, float64(n)) // term is the probability of exactly i hits
	if p >= 1 {
		return 1
	}
	for i := range k {
		belowK += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return max(0, 1-belowK)
}
