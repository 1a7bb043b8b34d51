package cell

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// checkFinal checks that a job recorded as failed has a task or gang that failed twice, or a task under which two workers have
// crashed.
func (m *model) checkFinal(w Write) {
	r, err := DecodeFinal(w.Value)
	if err != nil {
		m.t.Fatal(err)
	}
	if r.Phase != Failed {
		return
	}
	m.failed[w.Job] = true
	for n, spec := range m.jobs[w.Job].Steps {
		if spec.Gang && len(m.failures[StepID{w.Job, n}]) >= 2 {
			return
		}
		for task := range spec.Count {
			id := TaskID{w.Job, n, task}
			if m.failedRuns(id) >= 2 || m.startedCrashes[id] >= maxConfirmedCrashes || m.orderedCrashes[id] >= maxCrashes {
				return
			}
		}
	}
	m.t.Fatalf("job %s is recorded as failed (%s), but no task or gang has failed twice or lost two workers", w.Job, r.Reason)
}

// failureKey identifies a run among the runs of a step's tasks.
func failureKey(r RunID) int { return r.Task.Task*1000 + r.Run }

func (m *model) failedRuns(id TaskID) int {
	n := 0
	for key := range m.failures[StepID{id.Job, id.Step}] {
		if key/1000 == id.Task {
			n++
		}
	}
	return n
}

func (m *model) checkInvariants(t *rapid.T) {
	running := map[TaskID]WorkerID{}
	for _, w := range m.workers {
		for _, id := range sortedTasks(w.runs) {
			if !w.up || w.runs[id].misdirected {
				continue
			}
			if other, exists := running[id]; exists {
				t.Fatalf("%v runs on %s and %s", id, other, w.id)
			}
			running[id] = w.id
		}
		if used := w.usedCPU(time.Time{}); w.up && used > modelCapacity {
			t.Fatalf("%s runs %d of %d thousandths of a core", w.id, used, modelCapacity)
		}
	}
}

// recoverAndCheck ends all faults and checks that every job ends.
func (m *model) recoverAndCheck() {
	m.recovered, m.storeDown = true, false
	for _, w := range m.workers {
		w.isolated = false
		if !w.up {
			m.boot(w)
		}
		m.setCapacity(w, modelCapacity)
	}
	service := m.keepOneService()
	m.finishRuns(200)
	m.checkService(service)
	if service != "" {
		m.s.CancelJob(service)
	}
	m.finishRuns(400)
	for _, id := range m.jobIDs() {
		if !m.final[id] {
			m.t.Fatalf("job %s hasn't ended: %s", id, m.describe(id))
		}
	}
}

// keepOneService cancels all jobs with a long-running step but the first, which may need all capacity for itself. It
// returns that one, or "" if there is none.
func (m *model) keepOneService() JobID {
	kept := JobID("")
	for _, id := range m.jobIDs() {
		if m.final[id] || !m.jobs[id].Steps[0].LongRunning {
			continue
		}
		if j := m.s.jobs[id]; kept == "" && !m.crashing[TaskID{id, 0, 0}] && j != nil && !j.cancelRequested && !j.phase.Final() {
			kept = id
		} else {
			m.s.CancelJob(id)
		}
	}
	return kept
}

// checkService checks that all tasks of a long-running job run, unless the job was given up: checkFinal has checked the
// reason then.
func (m *model) checkService(id JobID) {
	if id == "" || m.failed[id] {
		return
	}
	running := map[TaskID]bool{}
	for _, w := range m.workers {
		for task := range w.runs {
			running[task] = true
		}
	}
	for n := range m.jobs[id].Steps[0].Count {
		if !running[TaskID{id, 0, n}] {
			m.t.Fatalf("task %d of service %s doesn't run: %s", n, id, m.describe(id))
		}
	}
}

// finishRuns moves the clock and lets all runs succeed except those of services.
func (m *model) finishRuns(ticks int) {
	for range ticks {
		m.tick()
		for _, w := range m.workers {
			if !w.up {
				m.boot(w)
			}
			for _, id := range sortedTasks(w.runs) {
				if _, exists := w.runs[id]; exists && !m.jobs[id.Job].Steps[id.Step].LongRunning {
					m.endTaskOrGang(id, w, EndDone)
				}
			}
		}
		m.checkInvariants(m.t)
	}
}

// describe returns a job's state for a failure message.
func (m *model) describe(id JobID) string {
	j := m.s.jobs[id]
	if j == nil {
		return "unknown"
	}
	text := fmt.Sprintf("phase %s (%s), allocated tasks %d, version %d, recorded %d, dirty %t, writing %t", j.phase, j.reason, j.allocatedTasks, j.version, j.recorded, j.dirty, j.writing)
	for _, st := range j.steps {
		for _, t := range st.tasks {
			text += fmt.Sprintf("; %v phase %d run %d order in flight %t worker %t", t.id, t.phase, t.run, t.orderInFlight, t.worker != nil)
		}
	}
	return text
}
