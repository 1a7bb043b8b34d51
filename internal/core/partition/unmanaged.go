package partition

import (
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/placement"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// addUnmanaged reserves capacity for a running task that isn't booked, for instance because its job isn't known yet or
// no longer exists.
func (m *Machine) addUnmanaged(w *worker, r port.TaskRecord) {
	request := placement.Request{Job: r.Task.Job, Resources: r.Reserved}
	w.unmanaged[r.Task] = unmanagedTask{request: request, attempt: r.Attempt, address: r.Address,
		reserved: m.cluster.Reserve(w.host.ID, request) == nil}
	m.hasUnmanaged = true
}

// unattributedUsage returns the resources of running tasks whose team isn't known. A previous owner may have started them
// for any team, for instance for a service that has left the configuration since.
func (m *Machine) unattributedUsage() resource.Vector {
	var sum resource.Vector
	if !m.hasUnmanaged {
		return sum
	}
	for _, w := range m.workers {
		for _, x := range w.unmanaged {
			if x.team == "" {
				sum = sum.Add(x.request.Resources)
			}
		}
	}
	return sum
}

func (m *Machine) anyUnmanaged() bool {
	for _, w := range m.workers {
		if len(w.unmanaged) > 0 {
			return true
		}
	}
	return false
}

// isUnmanaged reports whether an attempt of the task that isn't booked still runs.
func (m *Machine) isUnmanaged(id job.TaskID) bool {
	if !m.hasUnmanaged {
		return false
	}
	for _, w := range m.workers {
		if _, runs := w.unmanaged[id]; runs {
			return true
		}
	}
	return false
}

func (m *Machine) releaseUnmanaged(w *worker, id job.TaskID) {
	x := w.unmanaged[id]
	delete(w.unmanaged, id)
	if w.held && x.reserved {
		m.cluster.Release(w.host.ID, x.request)
	}
	if x.team != "" {
		m.ledger.Release(x.team, x.request.Resources)
	}
}

// unbookRunning ends the booking of a running attempt whose task no longer belongs to this owner or has ended
// elsewhere. The attempt becomes unmanaged and keeps its resources until the worker has stopped it.
func (m *Machine) unbookRunning(s *job.State, index int32) {
	t, id := &s.Tasks[index], job.TaskID{Job: s.Record.ID, Index: index}
	w := m.workers[t.Worker]
	request, attempt, address, team := m.request(s, t), t.Attempt, t.Address, s.Record.Spec.Team
	reservedOnWorker := w != nil && w.held && w.tasks[id] != nil && w.tasks[id].reserved // else no inventory has it
	m.unbook(s, index)
	if !reservedOnWorker {
		return
	}
	if i := slices.Index(w.starts, pendingStart{id, attempt}); i >= 0 && !w.startsInFlight {
		w.starts = slices.Delete(w.starts, i, i+1) // the start was never sent
		return
	}
	m.ledger.Restore(team, request.Resources)
	w.unmanaged[id] = unmanagedTask{request: request, attempt: attempt, address: address, team: team,
		reserved: m.cluster.Reserve(w.host.ID, request) == nil}
	m.stopUnmanaged(w, id)
}

// bookKnownTasks books the tasks of a job that became known after the inventories in which they were reported.
func (m *Machine) bookKnownTasks(s *job.State, now time.Time) {
	for _, id := range m.workerIDs() {
		w := m.workers[id]
		for task, x := range w.unmanaged {
			if task.Job != s.Record.ID || x.team != "" {
				continue
			}
			m.releaseUnmanaged(w, task)
			m.bookReported(w, port.TaskRecord{Task: task, Attempt: x.attempt, Reserved: x.request.Resources, Address: x.address}, now)
		}
		for _, r := range takeOrphans(w, s.Record.ID) {
			m.applyRecord(w, r, now)
		}
	}
}

// takeOrphans removes and returns the records of a job's ended attempts.
func takeOrphans(w *worker, id job.ID) (taken []port.TaskRecord) {
	kept := w.orphans[:0]
	for _, r := range w.orphans {
		if r.Task.Job == id {
			taken = append(taken, r)
		} else {
			kept = append(kept, r)
		}
	}
	w.orphans = kept
	return taken
}

// orphanRetention is how long the record of an ended attempt is kept until its job becomes known. Another owner may
// have loaded a new job's record, and run its tasks, before this one.
const orphanRetention = time.Minute

// dropOrphans discards records of attempts whose jobs no longer exist.
func (m *Machine) dropOrphans(now time.Time) {
	for _, w := range m.workers {
		if len(w.orphans) > 0 && m.verified && now.Sub(w.orphanedAt) >= orphanRetention {
			w.orphans = nil
			m.progress.dirty = true
		}
	}
}

// stopUnmanagedTasks stops tasks of jobs that no longer exist. It is called only while the known jobs are verified.
func (m *Machine) stopUnmanagedTasks(now time.Time) {
	await := m.awaitsReplacement(now)
	for _, w := range m.workers {
		for id, x := range w.unmanaged {
			if !w.held || x.stopping || (await && x.address != "") {
				continue
			}
			m.stopUnmanaged(w, id)
		}
	}
}

func (m *Machine) stopUnmanaged(w *worker, id job.TaskID) {
	x := w.unmanaged[id]
	action := stopCommand
	if x.address != "" {
		action = drainCommand
	}
	x.stopping = true
	w.unmanaged[id] = x
	w.commands = append(w.commands, port.Command{Task: id, Attempt: x.attempt, Action: action})
}
