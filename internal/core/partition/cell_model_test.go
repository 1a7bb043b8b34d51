package partition

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

var slot = resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 1000}

// model is a cell under random faults, for rapid's state machine test.
type model struct {
	*cell
	t *rapid.T
}

func newModel(t *rapid.T) *model {
	m := &model{cell: newCell(), t: t}
	for _, p := range []string{"p", "q"} {
		for _, n := range []string{"1", "2", "3"} {
			m.addWorker(p+n, p, p+n, 4)
		}
	}
	m.teams["a"] = slot.Scale(5)
	m.limits["a"] = m.teams["a"]
	m.refreshHosts()
	m.startOwner("p", 0)
	m.startOwner("q", 0)
	for range 6 {
		m.submitAny(t)
	}
	m.run(1)
	return m
}

func (m *model) pickOwner() *fakeOwner {
	if len(m.owners) == 0 {
		return m.startOwner("p", len(m.log))
	}
	return rapid.SampledFrom(m.owners).Draw(m.t, "owner")
}

func (m *model) pickWorker() *fakeWorker { return rapid.SampledFrom(m.workers).Draw(m.t, "worker") }

func (m *model) tick(t *rapid.T) {
	m.faults = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 1))
	for range rapid.IntRange(1, 6).Draw(t, "rounds") {
		m.advance(time.Duration(rapid.IntRange(20, 400).Draw(t, "ms")) * time.Millisecond)
	}
}

// wait advances the time far enough for leases to lapse.
func (m *model) wait(t *rapid.T) {
	m.faults = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 1))
	for range rapid.IntRange(5, 60).Draw(t, "halves") {
		m.advance(500 * time.Millisecond)
	}
}

func (m *model) submitAny(t *rapid.T) {
	tasks, size := rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.IntRange(1, 2).Draw(t, "size")
	class := rapid.SampledFrom([]job.Class{job.Batch, job.Batch, job.Gang}).Draw(t, "class")
	m.submit(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "partition"), job.Spec{
		Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Queue: "x", Class: class,
		Tasks: int32(tasks), Resources: slot.Scale(int64(min(size, 5/tasks))),
		Idempotent: rapid.IntRange(0, 2).Draw(t, "idempotent") > 0, Urgent: rapid.IntRange(0, 4).Draw(t, "urgent") == 0})
}

func (m *model) cancelAny(t *rapid.T) {
	for _, id := range m.openJobs() {
		m.changeRecord(id, func(r *job.Record) bool { r.CancelRequested = true; return true })
		return
	}
}

func (m *model) openJobs() []job.ID {
	var ids []job.ID
	for _, ch := range m.log {
		if ch.progress != "" || slices.Contains(ids, ch.record.ID) {
			continue
		}
		if r, _ := m.record(ch.record.ID); !r.Phase.Final() {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// finish ends some running tasks.
func (m *model) finish(t *rapid.T) {
	draws := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "ends"), 2))
	for _, w := range m.workers {
		for _, a := range w.attempts() {
			switch draws.IntN(8) {
			case 0:
				w.end(m.history, a, port.TaskFailed)
			case 1, 2:
				w.end(m.history, a, port.TaskSucceeded)
			}
		}
	}
}

func (m *model) move(t *rapid.T) {
	o := m.pickOwner()
	if o.paused {
		return
	}
	other := map[string]string{"p": "q", "q": "p"}[o.partition]
	for _, r := range o.m.StalledJobs(m.now, 0) {
		moved := o.m.PrepareMove(r.ID, m.now)
		if moved == nil {
			continue
		}
		record := copyRecord(*moved)
		wrote := m.changeRecord(r.ID, func(stored *job.Record) bool {
			if stored.Phase.Final() || stored.CancelRequested || stored.Partition != o.partition {
				return false
			}
			stored.Partition, stored.Completed, stored.Undecided = other, record.Completed, record.Undecided
			return true
		})
		if current, _ := m.record(r.ID); !wrote || current.Partition == o.partition {
			o.m.MoveFailed(r.ID)
		}
	}
}

// check asserts the invariants that hold at all times.
func (m *model) check(t *rapid.T) {
	if len(m.violations) > 0 {
		t.Fatalf("%v", m.violations)
	}
	for _, w := range m.workers {
		if !w.used().Fits(w.capacity) {
			t.Fatalf("%s holds %v of %v", w.host.ID, w.used(), w.capacity)
		}
	}
	for _, o := range m.owners {
		if n := o.m.cluster.OverReleased() + o.m.ledger.OverReleased(); n > 0 {
			t.Fatalf("%s released more than it held, %d times", o.id, n)
		}
		if !o.paused && o.m.Settled() {
			m.checkGangs(t, o)
		}
	}
}

// checkGangs asserts that no gang runs partially, unless its running tasks have been told to stop.
func (m *model) checkGangs(t *rapid.T, o *fakeOwner) {
	for id, s := range o.m.jobs {
		if s.Record.Spec.Class != job.Gang || s.Count(job.TaskPending) == 0 {
			continue
		}
		for i := range s.Tasks {
			task := &s.Tasks[i]
			if task.Phase == job.TaskIntended || (task.Phase == job.TaskRunning && !task.Stopping) {
				t.Fatalf("%s: gang %s runs partially: task %d is %s", o.id, id, i, task.Phase)
			}
		}
	}
}

// recoverAndFinish ends all faults and lets all jobs finish.
func (m *model) recoverAndFinish(t *rapid.T) {
	m.faults, m.storeDown, m.delayedMessages = nil, false, nil
	m.services, m.revision = map[string][]DesiredService{}, m.revision+1
	for _, w := range m.workers {
		w.disconnected, w.leaving, w.host.State = false, false, port.HostLive
		if w.down {
			w.restart()
		}
	}
	for _, p := range []string{"p", "q"} {
		for i, o := range slices.DeleteFunc(slices.Clone(m.owners), func(o *fakeOwner) bool { return o.partition != p }) {
			o.paused = false
			if i > 0 {
				m.kill(o)
			}
		}
		if !slices.ContainsFunc(m.owners, func(o *fakeOwner) bool { return o.partition == p }) {
			m.startOwner(p, len(m.log))
		}
	}
	for range 400 {
		for _, w := range m.workers {
			for _, a := range w.attempts() {
				w.end(m.history, a, port.TaskSucceeded)
			}
		}
		m.advance(300 * time.Millisecond)
		m.check(t)
	}
}

// checkEnd asserts that every job has ended with a correct record and that no resources or state are left behind.
func (m *model) checkEnd(t *rapid.T) {
	for id, spec := range m.specs {
		if spec.Class == job.Service {
			continue
		}
		r, _ := m.record(id)
		if !r.Phase.Final() {
			t.Fatalf("job %s (%+v) didn't end: %+v", id, spec, m.status(id))
		}
		succeeded, lost := int32(0), false
		for i := range spec.Tasks {
			lost = lost || m.lostSuccesses[job.TaskID{Job: id, Index: i}]
			if n := m.succeeded[job.TaskID{Job: id, Index: i}]; n > 0 {
				succeeded++
			}
		}
		if (r.Succeeded != succeeded && spec.Idempotent && !lost && !r.CancelRequested) || r.Succeeded > succeeded {
			t.Fatalf("record of job %s counts %d succeeded tasks, not %d: %+v", id, r.Succeeded, succeeded, r)
		}
		if spec.Idempotent && !r.CancelRequested && r.Phase != job.Done && r.Reason == "" {
			t.Fatalf("idempotent job %s ended as %+v", id, r)
		}
	}
	for _, o := range m.owners {
		checkLeaks(t, o.m)
	}
}

func (m *model) status(id job.ID) (out []job.Status) {
	for _, o := range m.owners {
		if s, known := o.m.Status(id); known {
			out = append(out, s)
		}
	}
	return out
}

// checkLeaks asserts that a machine without work holds no resources and keeps no state of jobs.
func checkLeaks(t assert.TestingT, m *Machine) {
	for _, w := range m.cluster.Workers() {
		assert.Assert(t, w.Reserved.IsZero(), "%s: %v", w.ID, w.Reserved)
	}
	for id, w := range m.workers {
		assert.Equal(t, len(w.tasks)+len(w.unmanaged)+len(w.starts)+len(w.commands), 0, id)
	}
	for team := range m.config.Teams {
		assert.Assert(t, m.Used(team).IsZero(), "%s: %v", team, m.Used(team))
		assert.Assert(t, m.shares.Usage(team).IsZero())
	}
	assert.Equal(t, len(m.jobs)+len(m.requeued)+len(m.waitReasons)+len(m.startTimes)+len(m.moving)+len(m.endReportedAt)+len(m.beneficiaries)+
		len(m.stoppingVictims)+len(m.pendingProgress)+len(m.progress.intents)+len(m.queue.teamOf)+len(m.queue.teams)+len(m.queue.unsorted), 0)
	assert.Assert(t, m.reservation == nil)
}

// Guards against tasks that run twice or are lost, overbooked hosts, exceeded allowances, gangs that run partially, and
// leaks, when owners die, pause and run at the same time, messages and workers are lost, and the store is unavailable.
func TestCellUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"tick": m.tick, "tick again": m.tick, "wait": m.wait, "submit": m.submitAny, "finish": m.finish, "move": m.move,
			"service": func(t *rapid.T) {
				m.setService(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "p"), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
					int32(rapid.IntRange(0, 3).Draw(t, "instances")))
			},
			"leave": func(*rapid.T) {
				w := m.pickWorker()
				w.leaving = !w.leaving
				w.host.State = map[bool]port.HostState{true: port.HostLeaving}[w.leaving]
			},
			"cancel": m.cancelAny,
			"pause":  func(*rapid.T) { o := m.pickOwner(); o.paused = !o.paused },
			"crash":  func(*rapid.T) { w := m.pickWorker(); w.crash(m.history); w.restart() },
			"take over": func(t *rapid.T) { // from an owner that dies or is paused
				o := m.pickOwner()
				if o.paused = true; rapid.Bool().Draw(t, "dies") {
					m.kill(o)
				}
				m.startOwner(o.partition, rapid.IntRange(max(0, len(m.log)-3), len(m.log)).Draw(t, "seen"))
			},
			"kill": func(*rapid.T) { m.kill(m.pickOwner()) },
			"take": func(t *rapid.T) {
				m.startOwner(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "p"), rapid.IntRange(0, len(m.log)).Draw(t, "seen"))
			},
			"cut": func(*rapid.T) { w := m.pickWorker(); w.disconnected = !w.disconnected },
			"die": func(*rapid.T) {
				w := m.pickWorker()
				if w.down {
					w.restart()
				} else {
					w.crash(m.history)
				}
			},
			"store": func(*rapid.T) { m.storeDown = !m.storeDown },
			"":      m.check,
		})
		m.recoverAndFinish(t)
		m.checkEnd(t)
	})
}
