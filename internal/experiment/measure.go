package experiment

import (
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

const (
	sampleInterval = time.Second
	// shareWindow is the time over which the deviation from the shares is averaged.
	shareWindow = time.Minute
	// packingInterval is how often the packing is compared with the offline bound.
	packingInterval = 10 * time.Second
	// fullDemand is the ratio of demand to capacity from which the cell counts as full.
	fullDemand = 1.02
)

// jobProgress is the observed progress of a job.
type jobProgress struct {
	job      *Job
	started  []bool
	finished int
	doneAt   time.Time
}

// recorder measures a scheduler by observing the workers only, so that every scheduler is measured in the same way.
type recorder struct {
	index             *object.Index
	fleet             *fleet
	capacity          resource.Vector
	teamOf            func(job.ID) string
	jobs              map[*Job]*jobProgress
	submissionOrder   []*jobProgress
	waitingTimes      map[string][]time.Duration // by class, of the tasks that started
	used              map[string]resource.Vector // by team
	exemptFromShares  map[string]resource.Vector // by team: services and urgent work, which run regardless of shares
	pending           map[string]resource.Vector // by team, declared resources of the tasks that wait
	window            window
	shareDeviations   []float64
	packingRatios     []float64
	reservedRatios    []float64
	overloadedSamples int // samples of a worker whose tasks actually use more memory than it has
	samples           int
	attempts          int
}

// window sums the samples of one share window.
type window struct {
	count        int
	used, target map[string]float64
}

func newRecorder(index *object.Index, workers int) *recorder {
	return &recorder{index: index, capacity: workerCapacity.Scale(int64(workers)), jobs: map[*Job]*jobProgress{},
		waitingTimes: map[string][]time.Duration{}, used: map[string]resource.Vector{}, exemptFromShares: map[string]resource.Vector{},
		pending: map[string]resource.Vector{}}
}

func (r *recorder) submitted(j *Job) {
	p := &jobProgress{job: j, started: make([]bool, len(j.Durations))}
	r.jobs[j] = p
	r.submissionOrder = append(r.submissionOrder, p)
	if !j.Infeasible {
		team := j.Record.Spec.Team
		r.pending[team] = r.pending[team].Add(j.Record.Spec.Resources.Scale(int64(len(j.Durations))))
	}
}

func classOf(j *Job) string {
	if j.Record.Spec.Urgent {
		return "urgent"
	}
	return string(j.Record.Spec.Class)
}

func (r *recorder) started(a *attempt, now time.Time) {
	p := r.jobs[a.job]
	r.addReserved(a, 1)
	if p == nil {
		return
	}
	team := p.job.Record.Spec.Team
	r.pending[team] = r.pending[team].Sub(p.job.Record.Spec.Resources)
	r.attempts++
	if !p.started[a.index] {
		p.started[a.index] = true
		class := classOf(p.job)
		r.waitingTimes[class] = append(r.waitingTimes[class], now.Sub(p.job.Submitted()))
	}
}

func (r *recorder) ended(a *attempt, now time.Time) {
	p := r.jobs[a.job]
	r.addReserved(a, -1)
	if p == nil {
		return
	}
	if a.state == port.TaskSucceeded {
		if p.finished++; p.finished == len(p.started) {
			p.doneAt = now
		}
		return
	}
	team := p.job.Record.Spec.Team
	r.pending[team] = r.pending[team].Add(p.job.Record.Spec.Resources)
}

func (r *recorder) addReserved(a *attempt, sign int64) {
	p, team := r.jobs[a.job], ""
	if p != nil {
		team = p.job.Record.Spec.Team
	} else {
		team = r.teamOf(a.task.Job)
	}
	v := a.reserved.Scale(sign)
	r.used[team] = r.used[team].Add(v)
	if p == nil || p.job.Record.Spec.Urgent {
		r.exemptFromShares[team] = r.exemptFromShares[team].Add(v)
	}
}

// sample samples the shares every second and the packing every ten seconds while the cell is full.
func (r *recorder) sample(now time.Time) {
	var total resource.Vector
	for _, team := range r.index.Teams() {
		total = total.Add(r.demand(team))
	}
	if total.DominantShare(r.capacity) < fullDemand {
		r.window = window{}
		return
	}
	r.sampleShares()
	if now.Sub(epoch)%packingInterval == 0 {
		r.samplePacking()
	}
}

// demand returns what a team's running and waiting work needs, within the team's limit.
func (r *recorder) demand(team string) resource.Vector {
	t, _ := r.index.Team(team)
	demand := r.used[team].Add(r.pending[team])
	if t.Limited {
		demand = demand.Min(t.Limit)
	}
	return demand
}

func (r *recorder) sampleShares() {
	w := &r.window
	if w.count == 0 {
		w.used, w.target = map[string]float64{}, map[string]float64{}
	}
	targets := r.targets()
	for _, team := range r.index.Teams() {
		w.used[team] += r.used[team].DominantShare(r.capacity)
		w.target[team] += targets[team]
	}
	if w.count++; w.count < int(shareWindow/sampleInterval) {
		return
	}
	for _, team := range r.index.Teams() {
		r.shareDeviations = append(r.shareDeviations, abs(w.used[team]-w.target[team])/float64(w.count))
	}
	r.window = window{}
}

// targets divides the resources in use among the teams in proportion to their weights. No team gets more than it
// demands, nor less than its services and urgent work use.
func (r *recorder) targets() map[string]float64 {
	type bounds struct{ weight, low, high float64 }
	teams := map[string]bounds{}
	total := 0.0
	for _, name := range r.index.Teams() {
		t, _ := r.index.Team(name)
		low := r.exemptFromShares[name].DominantShare(r.capacity)
		teams[name] = bounds{t.Weight, low, max(low, r.demand(name).DominantShare(r.capacity))}
		total += r.used[name].DominantShare(r.capacity)
	}
	targets := map[string]float64{}
	// Find the scale at which the targets add up to total by bisection. After 60 halvings the interval, initially 100, is
	// below 1e-16.
	scale, low, high := 0.0, 0.0, 100.0
	for range 60 {
		scale = (low + high) / 2
		sum := 0.0
		for _, name := range r.index.Teams() {
			b := teams[name]
			targets[name] = min(max(scale*b.weight, b.low), b.high)
			sum += targets[name]
		}
		if sum < total {
			low = scale
		} else {
			high = scale
		}
	}
	return targets
}

// samplePacking compares the size of the running tasks with what best fit decreasing would place of all running and
// waiting tasks.
func (r *recorder) samplePacking() {
	limits := map[string]resource.Vector{}
	for _, name := range r.index.Teams() {
		if t, _ := r.index.Team(name); t.Limited {
			limits[name] = t.Limit
		}
	}
	var running, reserved resource.Vector
	var sizes, declared []packingItem
	for _, w := range r.fleet.workers {
		var memory int64
		for _, a := range w.running {
			size := actualUse(a)
			running, reserved = running.Add(size), reserved.Add(a.reserved)
			memory += size.MemoryMB
			team := ""
			if p := r.jobs[a.job]; p != nil {
				team = p.job.Record.Spec.Team
			} else {
				team = r.teamOf(a.task.Job)
			}
			sizes, declared = append(sizes, packingItem{team, size}), append(declared, packingItem{team, a.reserved})
		}
		r.samples++
		if memory > w.capacity.MemoryMB {
			r.overloadedSamples++
		}
	}
	for _, p := range r.submissionOrder {
		if p.job.Infeasible {
			continue
		}
		spec := &p.job.Record.Spec
		for range p.waiting(r.fleet) {
			sizes = append(sizes, packingItem{spec.Team, p.job.Actual})
			declared = append(declared, packingItem{spec.Team, spec.Resources.Max(p.job.Actual)})
		}
	}
	bound := bestFitDecreasing(sizes, len(r.fleet.workers), limits).DominantShare(r.capacity)
	r.packingRatios = append(r.packingRatios, running.DominantShare(r.capacity)/bound)
	bound = bestFitDecreasing(declared, len(r.fleet.workers), limits).DominantShare(r.capacity)
	r.reservedRatios = append(r.reservedRatios, reserved.DominantShare(r.capacity)/bound)
}

// waiting returns the number of a job's tasks that neither run nor have finished.
func (p *jobProgress) waiting(f *fleet) int {
	return len(p.started) - p.finished - f.runningOf[p.job]
}

func abs(v float64) float64 { return max(v, -v) }

func quantile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
