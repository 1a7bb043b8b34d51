package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sharedWorker returns a harness in which a service with a latency target of 100 ms and a best-effort task run on one
// worker.
func sharedWorker(t *testing.T) (h *harness, serving, filling Order) {
	h = newHarness(t, 1)
	st := service(1, 1000)
	st.LatencyTargetMS = 100
	serving = h.startService("a", plainQueue, st)[0]
	fill := tasks(1, 1000)
	fill.BestEffort = true
	filling = h.startService("b", plainQueue, fill, serving)[0]
	return h, serving, filling
}

// report delivers an inventory with the latency of the service, and returns the pace orders that follow.
func (h *harness) report(serving, filling Order, latencyMS float64) []Order {
	h.advance(time.Second)
	h.takeStops()
	h.renew(0, []RunningRow{{Run: serving.Run, Percent: fullProgress, Usage: latencyMS}, {Run: filling.Run, Percent: 10}}, nil)
	h.advance(10 * time.Millisecond)
	orders := h.takeStops()
	for _, o := range orders {
		h.s.ApplyOrderOutcome(o, OrderDone, h.now)
	}
	return orders
}

// Guards against a service that stays over its latency target because of best-effort tasks that work on beside it.
func TestBestEffortIsPausedBesideServiceOverItsTarget(t *testing.T) {
	h, serving, filling := sharedWorker(t)
	assert.Equal(t, len(h.report(serving, filling, 50)), 0)
	orders := h.report(serving, filling, 120)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, OrderPace)
	assert.Equal(t, orders[0].Run, filling.Run)
	assert.Equal(t, orders[0].Pace, 0)
}

// Guards against best-effort tasks that stay paused after the latency has fallen, and against a return to full pace at
// once, which would disturb the service again.
func TestPaceOfBestEffortRisesInSteps(t *testing.T) {
	h, serving, filling := sharedWorker(t)
	h.report(serving, filling, 120)
	var paces []int
	for range 15 {
		for _, o := range h.report(serving, filling, 30) {
			paces = append(paces, o.Pace)
		}
	}
	assert.DeepEqual(t, paces, []int{20, 40, 60, 80, 100})
}

// Guards against taking a paused task for one that makes no progress.
func TestPausedTaskIsNotStalled(t *testing.T) {
	h, serving, filling := sharedWorker(t)
	for range 6 {
		for _, o := range h.report(serving, filling, 120) {
			assert.Equal(t, o.Kind, OrderPace)
		}
	}
}

// Guards against a pace order that is lost: the next inventory must repeat it.
func TestUnansweredPaceOrderIsRepeated(t *testing.T) {
	h, serving, filling := sharedWorker(t)
	for range 3 {
		h.advance(time.Second)
		h.takeStops()
		h.renew(0, []RunningRow{{Run: serving.Run, Percent: fullProgress, Usage: 120}, {Run: filling.Run, Percent: 10}}, nil)
		h.advance(10 * time.Millisecond)
		orders := h.takeStops()
		assert.Equal(t, len(orders), 1)
		h.s.ApplyOrderOutcome(orders[0], OrderUnanswered, h.now)
	}
}

// Guards against best-effort tasks that are placed beside a service with a latency target while another worker has room.
func TestBestEffortAvoidsWorkersOfServices(t *testing.T) {
	h := newHarness(t, 3)
	st := service(1, 1000)
	st.LatencyTargetMS = 100
	serving := h.startService("a", plainQueue, st)[0]
	fill := tasks(2, 1000)
	fill.BestEffort = true
	for _, o := range h.startService("b", plainQueue, fill, serving) {
		assert.Assert(t, o.Worker != serving.Worker)
	}
}

// Guards against a successor that leaves best-effort tasks at the pace that an earlier lease holder ordered.
func TestSuccessorSetsPaceAnew(t *testing.T) {
	h := newHarness(t, 1)
	fill := tasks(1, 1000)
	fill.BestEffort = true
	job := Job{ID: "b", Queue: plainQueue, Team: "team", Service: "pool", Steps: []Step{fill}, AcceptedMS: h.now.UnixMilli()}
	o := h.startService("b", plainQueue, fill)[0]
	h.s = h.newScheduler()
	h.registerWorkers(1, false)
	assert.NilError(t, h.s.AddJob(job, h.records["b"], h.now))
	h.renew(0, []RunningRow{{Run: o.Run, Percent: 10}}, nil)
	h.advance(10 * time.Millisecond)
	orders := h.takeStops()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Pace, fullPace)
}
