package cell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// advisedGang adds a job with a gang of three labelled tasks, at most two of them on one worker, in a queue with advice.
func (h *harness) advisedGang(id JobID) {
	gang := labelled(tasks(3, 1000))
	gang.Gang, gang.MaxPerWorker = true, 2
	h.addJob(Job{ID: id, Queue: advisedQueue, Steps: []Step{gang}})
}

// newAdvisedGang returns a cell with three labelled workers, of which only the last is listed, and a gang for which that one
// has advice and no room, because two of its tasks at most may run there.
func newAdvisedGang(t *testing.T) (h *harness, all []WorkerReport) {
	h = newLabelledHarness(t, 3)
	all = slices.Clone(h.reports)
	h.reports = h.reports[2:]
	h.s.SetWorkers(h.reports, h.now)
	h.advisedGang("a")
	h.advance(10 * time.Millisecond)
	h.answerAdvice()
	h.advance(time.Second)
	h.answerAdvice()
	assert.Equal(t, len(h.takeStarts()), 0)
	return h, all
}

// Guards against a gang that waits for good: only the workers in its first call for advice are considered, of which one counted
// as enough, because its room did and the limit of tasks on one worker didn't.
func TestGangAsksAboutWorkersThatComeLater(t *testing.T) {
	t.Run("they come back", func(t *testing.T) {
		h, all := newAdvisedGang(t)
		h.reports = all
		h.s.SetWorkers(h.reports, h.now)
		h.renewIdle()
		h.assertGangStarts(3, time.Second)
	})
	t.Run("they are new", func(t *testing.T) {
		h, _ := newAdvisedGang(t)
		for i := range 2 {
			r := h.workerReport(20 + i)
			r.Labels = []string{testLabel}
			h.reports = append(h.reports, r)
		}
		h.s.SetWorkers(h.reports, h.now)
		h.renewIdle()
		h.assertGangStarts(3, time.Second)
	})
	t.Run("they were set aside", func(t *testing.T) {
		h := newLabelledHarness(t, 3)
		h.setAside(0, 1)
		h.advisedGang("a")
		h.advance(10 * time.Millisecond)
		h.answerAdvice()
		h.advance(maxFaultPause)
		h.assertGangStarts(3, time.Second)
	})
}

// Guards against a gang that waits for a worker that it avoids, and asks about no other one meanwhile.
func TestGangThatAvoidsItsWorkerAsksAboutOthers(t *testing.T) {
	h := newHarness(t, 40)
	gang := tasks(2, 1000)
	gang.Gang = true
	h.addJob(Job{ID: "a", Queue: advisedQueue, Steps: []Step{gang}})
	h.advance(0)
	assert.Equal(t, len(h.advice), 1)
	asked := h.advice[0].Workers
	assert.Assert(t, len(asked) < 40, "%d workers", len(asked))
	h.answerAdvice(asked[0])
	h.advance(20 * time.Millisecond)
	h.failGang()
	h.assertGangStarts(2, avoidance/2)
}

// Guards against a step that stands still without a line in the log, or with one in each pass.
func TestStandstillIsLogged(t *testing.T) {
	h, _ := newAdvisedGang(t)
	log := &decisionLog{decision: "waits beside free capacity"}
	h.s.events = log
	for range 100 {
		h.advance(100 * time.Millisecond)
	}
	assert.Assert(t, len(log.lines) >= 2 && len(log.lines) <= 3, "%v", log.lines)
	for _, l := range log.lines {
		assert.Equal(t, l["may_run"], 1)
		assert.Equal(t, l["room_for_tasks"], 2)
		assert.Equal(t, l["without_advice"], 0)
	}
}

// failGang fails the gang that the scheduler starts next.
func (h *harness) failGang() {
	starts := h.takeStarts()
	assert.Assert(h.t, len(starts) > 0, "no run starts")
	var rows []EndedRow
	h.confirm(starts...)
	for i, o := range starts {
		kind := EndGangAborted
		if i == 0 {
			kind = EndFailed
		}
		rows = append(rows, EndedRow{Number: h.nextEnd(), Run: o.Run, Kind: kind})
	}
	h.renew(indexOf(starts[0].Worker), nil, rows)
}

// assertGangStarts checks that a gang with the given number of members starts in time. The advice allows every worker.
func (h *harness) assertGangStarts(members int, within time.Duration) {
	h.t.Helper()
	var started []Order
	for began := h.now; len(started) < members && h.now.Sub(began) < within; {
		h.advance(20 * time.Millisecond)
		h.answerAdvice()
		started = append(started, h.takeStarts()...)
	}
	assert.Equal(h.t, len(started), members)
}
