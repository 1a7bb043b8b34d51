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
	// shareWindow is the time over which the distance from the shares is averaged.
	shareWindow = time.Minute
	// packingInterval is how often the packing is compared with the offline bound.
	packingInterval = 10 * time.Second
	// fullFactor is the demand, in relation to the capacity, from which the cell counts as full.
	fullFactor = 1.02
)

// progress is what was seen of a job.
type progress struct {
	job      *Job
	started  []bool
	finished int
	doneAt   time.Time
}

// recorder watches the workers, so that every scheduler is measured alike.
type recorder struct {
	index    *object.Index
	fleet    *fleet
	capacity resource.Vector
	teamOf   func(job.ID) string
	jobs     map[*Job]*progress
	order    []*progress
	waits    map[string][]time.Duration // by class, of the tasks that started
	used     map[string]resource.Vector // by team
	floor    map[string]resource.Vector // by team: services and urgent work, which shares don't stop
	pending  map[string]resource.Vector // by team, as declared
	windows  window
	distance []float64
	packing  []float64
	reserved []float64
	overload int // samples of a worker whose tasks really use more memory than it has
	samples  int
	attempts int
}

// window sums samples of a minute.
type window struct {
	count        int
	used, target map[string]float64
}

func newRecorder(index *object.Index, workers int) *recorder {
	return &recorder{index: index, capacity: workerCapacity.Scale(int64(workers)), jobs: map[*Job]*progress{},
		waits: map[string][]time.Duration{}, used: map[string]resource.Vector{}, floor: map[string]resource.Vector{},
		pending: map[string]resource.Vector{}}
}

func (r *recorder) submitted(j *Job) {
	p := &progress{job: j, started: make([]bool, len(j.Durations))}
	r.jobs[j] = p
	r.order = append(r.order, p)
	if !j.Never {
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
	r.book(a, 1)
	if p == nil {
		return
	}
	team := p.job.Record.Spec.Team
	r.pending[team] = r.pending[team].Sub(p.job.Record.Spec.Resources)
	r.attempts++
	if !p.started[a.index] {
		p.started[a.index] = true
		class := classOf(p.job)
		r.waits[class] = append(r.waits[class], now.Sub(p.job.Submitted()))
	}
}

func (r *recorder) ended(a *attempt, now time.Time) {
	p := r.jobs[a.job]
	r.book(a, -1)
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

func (r *recorder) book(a *attempt, sign int64) {
	p, team := r.jobs[a.job], ""
	if p != nil {
		team = p.job.Record.Spec.Team
	} else {
		team = r.teamOf(a.task.Job)
	}
	v := a.reserved.Scale(sign)
	r.used[team] = r.used[team].Add(v)
	if p == nil || p.job.Record.Spec.Urgent {
		r.floor[team] = r.floor[team].Add(v)
	}
}

// sample looks at the shares every second and at the packing every ten.
func (r *recorder) sample(now time.Time) {
	var total resource.Vector
	for _, team := range r.index.Teams() {
		total = total.Add(r.demand(team))
	}
	if total.DominantShare(r.capacity) < fullFactor {
		r.windows = window{}
		return
	}
	r.sampleShares()
	if now.Sub(epoch)%packingInterval == 0 {
		r.samplePacking()
	}
}

// demand is what a team would use if it could, within its limit.
func (r *recorder) demand(team string) resource.Vector {
	t, _ := r.index.Team(team)
	demand := r.used[team].Add(r.pending[team])
	if t.Limited {
		demand = demand.Min(t.Limit)
	}
	return demand
}

func (r *recorder) sampleShares() {
	w := &r.windows
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
		r.distance = append(r.distance, abs(w.used[team]-w.target[team])/float64(w.count))
	}
	r.windows = window{}
}

// targets divides what is in use by the teams' weights. No team gets more than it demands, nor less than its services
// and urgent work take.
func (r *recorder) targets() map[string]float64 {
	type bounds struct{ weight, low, high float64 }
	teams := map[string]bounds{}
	total := 0.0
	for _, name := range r.index.Teams() {
		t, _ := r.index.Team(name)
		low := r.floor[name].DominantShare(r.capacity)
		teams[name] = bounds{t.Weight, low, max(low, r.demand(name).DominantShare(r.capacity))}
		total += r.used[name].DominantShare(r.capacity)
	}
	targets := map[string]float64{}
	level, low, high := 0.0, 0.0, 100.0
	for range 60 {
		level = (low + high) / 2
		sum := 0.0
		for _, name := range r.index.Teams() {
			b := teams[name]
			targets[name] = min(max(level*b.weight, b.low), b.high)
			sum += targets[name]
		}
		if sum < total {
			low = level
		} else {
			high = level
		}
	}
	return targets
}

// samplePacking compares what runs with what best fit decreasing would pack of the tasks that run or wait.
func (r *recorder) samplePacking() {
	limits := map[string]resource.Vector{}
	for _, name := range r.index.Teams() {
		if t, _ := r.index.Team(name); t.Limited {
			limits[name] = t.Limit
		}
	}
	var running, reserved resource.Vector
	var sizes, declared []piece
	for _, w := range r.fleet.workers {
		var memory int64
		for _, a := range w.running {
			size := actual(a)
			running, reserved = running.Add(size), reserved.Add(a.reserved)
			memory += size.MemoryMB
			team := ""
			if p := r.jobs[a.job]; p != nil {
				team = p.job.Record.Spec.Team
			} else {
				team = r.teamOf(a.task.Job)
			}
			sizes, declared = append(sizes, piece{team, size}), append(declared, piece{team, a.reserved})
		}
		r.samples++
		if memory > w.capacity.MemoryMB {
			r.overload++
		}
	}
	for _, p := range r.order {
		if p.job.Never {
			continue
		}
		spec := &p.job.Record.Spec
		for range p.waiting(r.fleet) {
			sizes = append(sizes, piece{spec.Team, p.job.Actual})
			declared = append(declared, piece{spec.Team, spec.Resources.Max(p.job.Actual)})
		}
	}
	bound := packable(sizes, len(r.fleet.workers), limits).DominantShare(r.capacity)
	r.packing = append(r.packing, running.DominantShare(r.capacity)/bound)
	bound = packable(declared, len(r.fleet.workers), limits).DominantShare(r.capacity)
	r.reserved = append(r.reserved, reserved.DominantShare(r.capacity)/bound)
}

// waiting returns the number of a job's tasks that neither run nor have finished.
func (p *progress) waiting(f *fleet) int {
	return len(p.started) - p.finished - f.runningOf[p.job]
}

func abs(v float64) float64 { return max(v, -v) }

func percentile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
