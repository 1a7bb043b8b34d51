package partition

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/port"
)

// newUnsettledMachine returns a machine that lacks only the reports of its workers w1 and w2 to settle.
func newUnsettledMachine(sequence uint64) *Machine {
	m := New(Options{Partition: "p", Node: "n", Timing: DefaultTiming()}, epoch)
	m.SetHosts([]port.Host{{ID: "w1"}, {ID: "w2"}}, epoch)
	m.LoadProgress(Progress{Sequence: sequence}, int64(sequence))
	m.JobsLoaded()
	return m
}

func (m *Machine) report(id string, token port.Token, mark uint64, now time.Time, tasks ...port.TaskRecord) {
	m.Acquired(id, port.Inventory{Token: token, Capacity: slot.Scale(4), DurableMark: mark, Tasks: tasks}, now, now)
}

// Guards against owners that settle on reports that another owner may have made obsolete, or on an old progress
// document.
func TestSettle(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	tests := []struct {
		name string
		run  func(m *Machine)
		end  int
		want bool
	}{
		{"all have reported", func(m *Machine) { m.report("w1", 1, 5, at(0)); m.report("w2", 1, 5, at(1)) }, 1, true},
		{"one hasn't reported", func(m *Machine) { m.report("w1", 1, 5, at(0)) }, 1, false},
		{"the document is older than a mark", func(m *Machine) { m.report("w1", 1, 5, at(0)); m.report("w2", 1, 6, at(1)) }, 1, false},
		{"no marks and not verified", func(m *Machine) { m.report("w1", 1, 0, at(0)); m.report("w2", 1, 0, at(1)) }, 1, false},
		{"the first lease may have lapsed", func(m *Machine) { m.report("w1", 1, 5, at(0)); m.report("w2", 1, 5, at(10)) }, 10, false},
		{"the first lease was renewed", func(m *Machine) {
			m.report("w1", 1, 5, at(0))
			m.Synced("w1", port.Sync{Token: 1}, port.SyncResult{}, at(2), at(2))
			m.report("w2", 1, 5, at(4))
		}, 4, true},
		{"one was lost and regained", func(m *Machine) {
			m.report("w1", 1, 5, at(0))
			m.report("w2", 1, 5, at(0))
			m.settle(at(0))
			m.LeaseLost("w2", at(1))
			m.report("w2", 3, 5, at(2))
		}, 2, true},
		{"all were lost and one regained", func(m *Machine) {
			m.report("w1", 1, 5, at(0))
			m.report("w2", 1, 5, at(0))
			m.settle(at(0))
			m.LeaseLost("w1", at(5))
			m.LeaseLost("w2", at(5))
			m.report("w2", 3, 5, at(6))
		}, 6, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newUnsettledMachine(5)
			test.run(m)
			m.settle(at(test.end))
			assert.Equal(t, m.Settled(), test.want)
		})
	}
}

// Guards against tasks of a cancelled job that keep running because the stop was lost with the lease or the task was
// found after the cancellation, and against a task that is restarted by two owners that held its worker in turn.
func TestRegainedWorker(t *testing.T) {
	m := newUnsettledMachine(5)
	record := job.Record{ID: "J", Spec: batch(1), Phase: job.Pending}
	running := port.TaskRecord{Task: job.TaskID{Job: "J"}, Attempt: 1, Reserved: slot}
	m.SetAllowance("a", slot.Scale(9))
	m.SetJob(record, epoch)
	m.report("w1", 1, 5, epoch, running)
	m.report("w2", 1, 5, epoch)
	m.settle(epoch)
	m.LeaseLost("w1", epoch)
	m.report("w1", 3, 5, epoch) // another owner held it in between, and the task doesn't run there any more
	m.LeaseLost("w2", epoch)
	m.Cycle(epoch)
	assert.Equal(t, m.jobs["J"].Count(job.TaskPending), int32(1), "it may run on w2")
	m.report("w2", 3, 5, epoch, running)
	record.CancelRequested = true
	m.SetJob(record, epoch)
	for range 2 {
		s, _ := m.TakeBatch("w2", epoch)
		assert.DeepEqual(t, s.Commands, []port.Command{{Task: running.Task, Attempt: 1, Action: port.Stop}})
		m.LeaseLost("w2", epoch)
		m.report("w2", 4, 5, epoch, running)
	}
	successor := newUnsettledMachine(5)
	successor.SetJob(record, epoch)
	successor.report("w1", 9, 5, epoch, running)
	s, _ := successor.TakeBatch("w1", epoch)
	assert.Equal(t, len(s.Commands), 1)
}

// Guards against losing progress and intents of jobs whose records a new owner hasn't seen when it writes its document,
// and against a start although another owner's intent turns up.
func TestProgressKeepsUnknownJobs(t *testing.T) {
	m := New(Options{Partition: "p", Node: "n", Timing: DefaultTiming()}, epoch)
	jp := JobProgress{Intents: map[string]*job.Ranges{"w1": {}}}
	jp.Succeeded.Add(0)
	jp.Intents["w1"].Add(1)
	loaded := Progress{Sequence: 5, Jobs: map[job.ID]JobProgress{"J": jp}}
	m.LoadProgress(loaded, 5)
	for range 2 { // before and after the job's record is known
		doc, _, ok := m.BuildProgress()
		assert.Assert(t, ok)
		assert.Equal(t, string(Progress{Jobs: doc.Jobs}.Encode()), string(Progress{Jobs: loaded.Jobs}.Encode()))
		m.ProgressFailed()
		spec := batch(2)
		spec.Idempotent = false
		m.SetJob(job.Record{ID: "J", Spec: spec, Phase: job.Pending}, epoch)
	}
}
