package experiment

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
)

// firstFit is the baseline: jobs in order of arrival, each task on the first worker with room for its declared size,
// gangs whole or not at all, within the teams' limits. It knows no shares, urgency, deadlines or preemption.
type firstFit struct {
	fleet *fleet
	index *object.Index
	watch *recorder
	queue []*waitingJob
}

type waitingJob struct {
	job  *Job
	next int32
}

func runFirstFit(set object.Set, o Options) Result {
	index, err := object.NewIndex(set)
	if err != nil {
		panic(err)
	}
	result := replay(set, index, o, func(f *fleet, r *recorder) scheduler {
		services := map[job.ID]string{}
		r.teamOf = func(id job.ID) string { return services[id] }
		b := &firstFit{fleet: f, index: index, watch: r}
		for _, s := range set.Services {
			id, size := job.NewID("service", s.Name), s.Resources.Vector()
			services[id] = s.Team
			size.Slots = max(size.Slots, int64(s.Concurrency))
			for i := range s.Replicas {
				if w := b.room(size, nil); w != nil {
					f.start(w, job.TaskID{Job: id, Index: i}, 1, size, nil, true, epoch)
				}
			}
		}
		return b
	})
	result.Scheduler, result.Partitions = "first fit", 1
	return result
}

func (b *firstFit) submit(j *Job, _ time.Time) { b.queue = append(b.queue, &waitingJob{job: j}) }

func (b *firstFit) step(now time.Time) {
	kept := b.queue[:0]
	refused := map[resource.Vector]bool{}
	for _, q := range b.queue {
		b.serve(q, refused, now)
		if int(q.next) < len(q.job.Durations) {
			kept = append(kept, q)
		}
	}
	b.queue = kept
}

func (b *firstFit) serve(q *waitingJob, refused map[resource.Vector]bool, now time.Time) {
	spec := &q.job.Record.Spec
	team, _ := b.index.Team(spec.Team)
	for int(q.next) < len(q.job.Durations) && !refused[spec.Resources] {
		count := int32(1)
		if spec.Class == job.Gang {
			count = spec.Tasks
		}
		if team.Limited && !b.watch.used[spec.Team].Add(spec.Resources.Scale(int64(count))).Fits(team.Limit) {
			return
		}
		chosen := map[*fakeWorker]resource.Vector{}
		var workers []*fakeWorker
		for range count {
			w := b.room(spec.Resources, chosen)
			if w == nil {
				refused[spec.Resources] = count == 1
				return
			}
			chosen[w] = chosen[w].Add(spec.Resources)
			workers = append(workers, w)
		}
		for _, w := range workers {
			b.fleet.start(w, job.TaskID{Job: q.job.Record.ID, Index: q.next}, 1, spec.Resources, nil, false, now)
			q.next++
		}
	}
}

func (b *firstFit) room(size resource.Vector, chosen map[*fakeWorker]resource.Vector) *fakeWorker {
	for _, w := range b.fleet.workers {
		if w.reserved().Add(chosen[w]).Add(size).Fits(w.capacity) {
			return w
		}
	}
	return nil
}
