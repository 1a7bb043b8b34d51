package experiment

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
)

// firstFit is the baseline scheduler. It serves jobs in order of arrival and starts each task on the first worker with
// enough free capacity for its declared size, within the teams' limits. A gang starts completely or not at all. Shares,
// urgency, deadlines and preemption are ignored.
type firstFit struct {
	fleet    *fleet
	index    *object.Index
	recorder *recorder
	queue    []*waitingJob
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
		b := &firstFit{fleet: f, index: index, recorder: r}
		for _, s := range set.Services {
			id, size := job.NewID("service", s.Name), s.Resources.Vector()
			services[id] = s.Team
			size.Slots = max(size.Slots, int64(s.Concurrency))
			for i := range s.Replicas {
				if w := b.firstWithRoom(size, nil); w != nil {
					f.startAttempt(w, job.TaskID{Job: id, Index: i}, 1, size, nil, true, epoch)
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
		b.startTasks(q, refused, now)
		if int(q.next) < len(q.job.Durations) {
			kept = append(kept, q)
		}
	}
	b.queue = kept
}

func (b *firstFit) startTasks(q *waitingJob, refused map[resource.Vector]bool, now time.Time) {
	spec := &q.job.Record.Spec
	team, _ := b.index.Team(spec.Team)
	for int(q.next) < len(q.job.Durations) && !refused[spec.Resources] {
		count := int32(1)
		if spec.Class == job.Gang {
			count = spec.Tasks
		}
		if team.Limited && !b.recorder.used[spec.Team].Add(spec.Resources.Scale(int64(count))).Fits(team.Limit) {
			return
		}
		chosen := map[*fakeWorker]resource.Vector{}
		var workers []*fakeWorker
		for range count {
			w := b.firstWithRoom(spec.Resources, chosen)
			if w == nil {
				refused[spec.Resources] = count == 1
				return
			}
			chosen[w] = chosen[w].Add(spec.Resources)
			workers = append(workers, w)
		}
		for _, w := range workers {
			b.fleet.startAttempt(w, job.TaskID{Job: q.job.Record.ID, Index: q.next}, 1, spec.Resources, nil, false, now)
			q.next++
		}
	}
}

func (b *firstFit) firstWithRoom(size resource.Vector, chosen map[*fakeWorker]resource.Vector) *fakeWorker {
	for _, w := range b.fleet.workers {
		if w.reserved().Add(chosen[w]).Add(size).Fits(w.capacity) {
			return w
		}
	}
	return nil
}
