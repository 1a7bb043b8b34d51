package cell

import (
	"fmt"
	"testing"
	"time"

	"sequoiastall/internal/core/resource"
)

// BenchmarkPass measures a placement pass with many waiting jobs over a cell with 15/16 of its CPU allocated.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{48, 200}, {350, 200}, {350, 1500}, {1300, 1500}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			s, now := busyCell(size.workers, size.waiting)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(minPassInterval)
				s.changed = true
				s.Advance(now)
			}
		})
	}
}

// busyCell returns a scheduler of a cell with 15/16 of its CPU allocated, and the time of its last pass. Its waiting jobs
// have advice that allows a third of the workers; every tenth job is a gang.
func busyCell(workers, waiting int) (*Scheduler, time.Time) {
	s := New(Options{EndedRetention: time.Minute}, discardEvents{})
	s.SetConfig(testConfig())
	var reports []WorkerReport
	for i := range workers {
		reports = append(reports, WorkerReport{ID: workerID(i), Address: "a", Service: "pool", Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 64000}, StartMS: 1})
	}
	now := start
	s.SetWorkers(reports, now)
	for i := range workers {
		s.ApplyInventory(Inventory{Worker: workerID(i), StartMS: 1}, now)
	}
	add := func(j Job) *job {
		j.Team, j.Service, j.AcceptedMS = "team", "pool", now.UnixMilli()
		if err := s.AddJob(j, nil, now); err != nil {
			panic(err) // the jobs are valid
		}
		return s.jobs[j.ID]
	}
	add(Job{ID: "busy", Queue: plainQueue, Steps: []Step{tasks(15*workers, 1000)}})
	now = now.Add(minPassInterval)
	s.Advance(now)
	for i := range waiting {
		step := tasks(3, 2500)
		if i%10 == 0 {
			step = tasks(20, 4500)
			step.Gang = true
		}
		j := add(Job{ID: JobID(fmt.Sprint("waiting", i)), Queue: advisedQueue, Steps: []Step{step}})
		a := &j.steps[0].advice
		for w := range workers {
			a.setAnswer(workerID(w), nil, newAdviceAnswer(w%3 == 0, s.OrderSequence()))
		}
	}
	return s, now
}
