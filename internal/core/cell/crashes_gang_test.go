package cell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counting each member of a gang that loses several workers at once.
func TestCrashCountsOnceForAGang(t *testing.T) {
	h := newHarness(t, 20)
	gang := tasks(4, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Steps: []Step{gang}})
	orders := h.nextStarts()
	assert.Equal(t, len(orders), 4)
	h.confirm(orders...)
	for _, o := range orders {
		h.crash(o.Worker)
	}
	orders = h.nextStarts()
	assert.Equal(t, len(orders), 4)
	h.confirm(orders...)
	h.now = h.now.Add(time.Second)
	h.showAtWork(orders...)
	h.crash(orders[0].Worker)
	h.stopAll()
	for _, o := range orders[1:] {
		h.renew(indexOf(o.Worker), nil, []EndedRow{{Number: 1, Run: o.Run, Kind: EndStopped}})
	}
	assert.Equal(t, h.s.State("a").Phase, Running)
	assert.Equal(t, len(h.nextStarts()), 4)
}

// Guards against a gang that is shown as failed because two workers crashed by themselves, each under another member; and
// against a member that crashes its workers and is started for ever.
func TestCrashesUnderDifferentMembersDoNotEndAGang(t *testing.T) {
	h := newHarness(t, 8)
	gang := tasks(2, 3000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Steps: []Step{gang}})
	for _, member := range []int{0, 1, 1} {
		assert.Assert(t, h.s.State("a").Phase != Failed)
		orders := h.nextStarts()
		assert.Equal(t, len(orders), 2)
		h.confirm(orders...)
		i := slices.IndexFunc(orders, func(o Order) bool { return o.Run.Task.Task == member })
		h.crash(orders[i].Worker)
		h.stopAll()
	}
	assert.Equal(t, h.s.State("a").Phase, Failed)
}

// Guards against a successor that doesn't know of the crashes and starts such a task again and again.
func TestCrashCountSurvivesTakeover(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newHarness(t, 6)
		step := tasks(2, 3000)
		step.Gang = gang
		job := Job{ID: "a", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{step}, AcceptedMS: start.UnixMilli()}
		h.addJob(job)
		orders := h.nextStarts()
		assert.Equal(t, len(orders), 2)
		h.confirm(orders...)
		h.crash(orders[0].Worker)
		h.stopAll()
		h.commitRecords()

		h.s = h.newScheduler()
		assert.NilError(t, h.s.AddJob(job, h.records["a"], h.now))
		h.s.SetWorkers(h.reports, h.now)
		running := orders[1:]
		if gang { // the other member was stopped
			running = nil
		}
		h.renewIdle(running...)
		orders = h.nextStarts()
		assert.Assert(t, len(orders) > 0)
		h.confirm(orders...)
		h.crash(orders[0].Worker)
		h.stopAll()
		assert.Equal(t, h.s.State("a").Phase, Failed, "gang: %t", gang)
	}
}
