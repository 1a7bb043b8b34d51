package partition

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// smallCell returns a cell without faults that has workers p1, p2, ... of 4 slots in partition p, and the owner of p.
func smallCell(workers int) (*cell, *fakeOwner) {
	c := newCell()
	for i := range workers {
		c.addWorker(fmt.Sprintf("p%d", i+1), "p", fmt.Sprintf("r%d", i), 4)
	}
	c.refreshHosts()
	o := c.startOwner("p", 0)
	c.run(1)
	return c, o
}

// run advances the time by the given number of seconds.
func (c *cell) run(seconds float64) {
	for range int(seconds * 4) {
		c.advance(250 * time.Millisecond)
	}
}

func (c *cell) assertNoViolations(t *testing.T) {
	t.Helper()
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

// finishAll lets every running batch task succeed.
func (c *cell) finishAll() {
	for _, w := range c.workers {
		for _, a := range w.attempts() {
			if c.specs[a.task.Job].Class != job.Service {
				w.end(c.history, a, port.TaskSucceeded)
			}
		}
	}
}

func batch(tasks int32) job.Spec {
	return job.Spec{Team: "a", Queue: "x", Class: job.Batch, Tasks: tasks, Resources: slot, Idempotent: true}
}

// Guards against restarting a task before its worker has certainly stopped it, and against waiting longer than the
// ownership rules require.
func TestLeaseExpiry(t *testing.T) {
	tests := []struct {
		name               string
		dead, other, owned bool
		want               time.Duration // 0: never
	}{
		{"own worker out of reach", false, false, true, 15750 * time.Millisecond},
		{"own worker listed as dead, another owner may be there", true, false, true, 15750 * time.Millisecond},
		{"foreign worker out of reach", false, false, false, 26250 * time.Millisecond},
		{"foreign worker listed as dead", true, false, false, 26250 * time.Millisecond},
		{"another owner claims the partition", true, true, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(Options{Partition: "p", Node: "n", Timing: DefaultTiming()}, epoch)
			state := port.HostLive
			if test.dead {
				state = port.HostDead
			}
			m.SetHosts([]port.Host{{ID: "w"}}, epoch)
			if test.owned {
				m.Acquired("w", port.Inventory{Token: 1, Capacity: slot}, epoch, epoch)
				m.LeaseLost("w", epoch)
			}
			m.SetHosts([]port.Host{{ID: "w", State: state}}, epoch)
			m.SetClaimedElsewhere(test.other)
			m.SetExclusive(!test.other, epoch)
			lapsed := time.Duration(0)
			for d := time.Duration(0); d < time.Minute && lapsed == 0; d += 50 * time.Millisecond {
				if m.expireWorkers(epoch.Add(d)); m.workers["w"].tasksKnown {
					lapsed = d
				}
			}
			assert.Equal(t, lapsed, test.want)
		})
	}
}

// Guards against using a worker that may be missing from a successor's host list.
func TestAnnounceDelay(t *testing.T) {
	m := New(Options{Partition: "p", Node: "n", Timing: DefaultTiming()}, epoch)
	m.SetHosts([]port.Host{{ID: "old"}}, epoch)
	later := epoch.Add(time.Second)
	m.SetHosts([]port.Host{{ID: "old"}, {ID: "new"}}, later)
	assert.Equal(t, len(m.ToAcquire(later.Add(2*time.Second-1))), 1)
	assert.Equal(t, len(m.ToAcquire(later.Add(2*time.Second))), 2)
}

// Guards against a successor that settles on a host list older than its predecessor's.
func TestAnnouncedWorkersMustBeListed(t *testing.T) {
	c, o := smallCell(2)
	o.m.unsettle(c.now)
	o.m.SetAnnouncedWorkers(3)
	o.cycle()
	assert.Assert(t, !o.m.Settled())
	c.run(26)
	assert.Assert(t, !o.m.Settled())
	c.run(0.5)
	assert.Assert(t, o.m.Settled())
}

// Guards against a second start of a non-idempotent task, and against giving up one that was never started.
func TestIntentsOfFormerOwner(t *testing.T) {
	tests := []struct {
		name   string
		worker string
		mark   uint64
		want   job.TaskPhase
	}{
		{"the worker has no record", "p1", 1, job.TaskRunning},
		{"the worker has lost its memory", "p1", 0, job.TaskUnknown},
		{"the worker is gone", "p9", 0, job.TaskUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCell()
			w := c.addWorker("p1", "p", "r", 4)
			w.mark = test.mark
			c.refreshHosts()
			spec := batch(1)
			spec.Idempotent = false
			id := c.submit("p", spec)
			var intents job.Ranges
			intents.Add(0)
			c.put(change{progress: "p", doc: Progress{Sequence: 1, Jobs: map[job.ID]JobProgress{
				id: {Intents: map[string]*job.Ranges{test.worker: &intents}}}}.Encode()})
			o := c.startOwner("p", len(c.log))
			c.run(1)
			if s := o.m.jobs[id]; s != nil {
				assert.Equal(t, s.Tasks[0].Phase, test.want)
			} else {
				r, _ := c.record(id)
				assert.Equal(t, r.Unknown, int32(1))
			}
			c.assertNoViolations(t)
		})
	}
}

// Guards against tasks, reservations or records that are left behind when many jobs are cancelled at once.
func TestCancellationBurst(t *testing.T) {
	c, o := smallCell(8)
	for i := range 400 {
		spec := batch(1 + int32(i%3))
		spec.Idempotent = i%4 > 0
		if i%5 == 0 {
			spec.Class = job.Gang
		}
		c.submit("p", spec)
	}
	c.run(2)
	assert.Equal(t, o.m.Used("a"), slot.Scale(32))
	for id := range c.specs {
		c.changeRecord(id, func(r *job.Record) bool { r.CancelRequested = true; return true })
	}
	c.run(6)
	for id := range c.specs {
		r, _ := c.record(id)
		assert.Equal(t, r.Phase, job.Cancelled)
	}
	for _, w := range c.workers {
		assert.Equal(t, len(w.running)+len(w.ended), 0)
	}
	checkLeaks(t, o.m)
	c.assertNoViolations(t)
}

// Guards against a team that stays above a lowered allowance, or starts tasks while it is above it.
func TestLoweredAllowance(t *testing.T) {
	c, o := smallCell(2)
	c.submit("p", batch(8))
	c.run(1)
	assert.Equal(t, o.m.Used("a"), slot.Scale(8))
	c.limits["a"] = slot.Scale(3)
	o.m.SetAllowance("a", slot.Scale(3))
	c.run(1)
	assert.Equal(t, o.m.Used("a"), slot.Scale(3))
	c.run(5)
	c.assertNoViolations(t)
}

// Guards against a team above its limit after a takeover: the instances of a service that has left the configuration use
// the limit until they have stopped, although their team isn't known.
func TestTasksOfUnknownTeamUseTheLimit(t *testing.T) {
	c, o := smallCell(3)
	c.teams["a"] = slot.Scale(5)
	c.limits["a"] = c.teams["a"]
	c.setService("p", "v1", 2)
	c.run(2)
	assert.Equal(t, o.m.Used("a"), slot.Scale(4))
	c.kill(o)
	c.services["p"] = nil
	id := c.submit("p", batch(5))
	o = c.startOwner("p", len(c.log))
	c.run(40)
	c.assertNoViolations(t)
	assert.Equal(t, o.m.Used("a"), slot.Scale(5))
	status, _ := o.m.Status(id)
	assert.Equal(t, status.Running, int32(5))
}

// Guards against a broken worker that attracts all work because its tasks fail quickly, and against one that stays
// quarantined after it has recovered. Only one task at a time probes it.
func TestQuarantineAndProbe(t *testing.T) {
	c, o := smallCell(3)
	c.workers[0].failing = true
	for range 40 {
		c.submit("p", batch(1))
		c.run(0.5)
		c.finishAll()
	}
	assert.Assert(t, o.m.quarantined["p1"])
	c.workers[0].failing = false
	most := 0
	for range 120 {
		c.submit("p", batch(1))
		c.run(0.5)
		if o.m.quarantined["p1"] {
			most = max(most, len(c.workers[0].running))
		}
		c.finishAll()
	}
	assert.Equal(t, most, 1)
	assert.Assert(t, !o.m.quarantined["p1"])
	for id := range c.specs {
		r, _ := c.record(id)
		assert.Assert(t, r.Phase != job.Failed, "%+v", r)
	}
	c.assertNoViolations(t)
}

// Guards against a job that crashes one worker after another.
func TestJobThatKillsWorkers(t *testing.T) {
	c, o := smallCell(30)
	crashingJob := c.submit("p", batch(1))
	for range 10 {
		c.run(1)
		if s := o.m.jobs[crashingJob]; s != nil && s.Tasks[0].Phase == job.TaskRunning {
			c.worker(s.Tasks[0].Worker).crash(c.history)
		}
		c.run(30)
	}
	r, _ := c.record(crashingJob)
	assert.Equal(t, r.Phase, job.Failed)
	assert.Assert(t, strings.Contains(r.Reason, "3 different workers when they died"), r.Reason)
	dead := 0
	for _, w := range c.workers {
		if w.down {
			dead++
		}
	}
	assert.Equal(t, dead, 3)
}

// Guards against a job that can never run and delays other jobs, or doesn't report why it waits.
func TestJobThatNeverFits(t *testing.T) {
	for _, class := range []job.Class{job.Batch, job.Gang} {
		c, o := smallCell(2)
		spec := batch(2)
		spec.Class, spec.Resources, spec.Urgent = class, slot.Scale(5), true
		never := c.submit("p", spec)
		other := c.submit("p", batch(8))
		c.run(2)
		assert.Equal(t, o.m.jobs[other].Count(job.TaskRunning), int32(8))
		status, _ := o.m.Status(never)
		assert.Assert(t, strings.Contains(status.Waiting, "too small or too few even when empty"), status.Waiting)
	}
}

func (c *cell) setService(partition, version string, n int32) {
	spec := job.Spec{Team: "a", Queue: "x", Class: job.Service, Service: "s", Tasks: n, Resources: slot.Scale(2), Idempotent: true, Concurrency: 2}
	d := DesiredService{Spec: spec, Version: version}
	c.services[partition] = []DesiredService{d}
	c.specs[ServiceID(partition, d)] = spec
	c.revision++
}

// servingByWorker returns the number of instances that take requests, by worker and, under "", in total.
func (o *fakeOwner) servingByWorker() map[string]int {
	n := map[string]int{}
	for _, i := range o.m.Instances() {
		if !i.Endpoint.Draining {
			n[i.Endpoint.Worker]++
			n[""]++
		}
	}
	return n
}

// Guards against an interruption of service while instances are replaced, because of a new version, a leaving worker, a
// dead worker or a new owner, and against more instances than wanted.
func TestServices(t *testing.T) {
	c, o := smallCell(3)
	c.setService("p", "v1", 2)
	// step runs the cell and returns the lowest and the last number of instances that took requests.
	step := func(seconds int) (least, last int) {
		least = 99
		for range seconds * 8 {
			c.advance(125 * time.Millisecond)
			last = o.servingByWorker()[""]
			least = min(least, last)
		}
		return least, last
	}
	expect := func(what string, seconds, wantLeast, wantLast int) {
		t.Helper()
		least, last := step(seconds)
		assert.Assert(t, least >= wantLeast && last == wantLast, "%s: at least %d, at the end %d: %v", what, least, last, o.servingByWorker())
		c.assertNoViolations(t)
	}
	expect("start", 2, 0, 2)
	c.setService("p", "v2", 2)
	expect("new version", 4, 2, 2)
	c.setService("p", "v2", 4)
	expect("scale up", 2, 2, 4)
	for _, w := range c.workers {
		if o.servingByWorker()[w.host.ID] > 0 {
			w.host.State, w.leaving = port.HostLeaving, true
			break
		}
	}
	expect("leaving worker", 5, 4, 4)
	for _, w := range c.workers {
		assert.Assert(t, !w.leaving || len(w.running) == 0)
	}
	c.setService("p", "v2", 1)
	expect("scale down", 3, 1, 1)
	c.kill(o)
	o = c.startOwner("p", 0)
	expect("new owner", 10, 0, 1)
	c.setService("p", "v3", 4)
	expect("no room beside the old version", 6, 0, 4)
	for _, i := range o.m.Instances() {
		assert.Equal(t, i.Endpoint.Instance.Job, ServiceID("p", c.services["p"][0]))
	}
	c.services["p"] = nil
	c.revision++
	expect("removed", 3, 0, 0)
	checkLeaks(t, o.m)
	assert.Equal(t, o.m.cluster.Free(), o.m.cluster.Capacity())
	assert.Assert(t, o.m.cluster.Capacity() != resource.Vector{})
}
