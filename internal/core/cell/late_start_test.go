package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that runs twice: an attempt of its start had no answer, a later one was carried out, and the worker
// restarted. The new instance carries out the first attempt if it comes late, unless the run was stopped there.
func TestRunWithAnUnansweredAttemptIsStoppedOnTheNextInstance(t *testing.T) {
	for name, settled := range map[string]bool{"one attempt has no answer": false, "all attempts are answered": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.addJob(Job{ID: "a", Steps: []Step{tasks(1, 1000)}})
			h.advance(0)
			o := h.takeStarts()[0]
			if !settled {
				h.s.ApplyOrderOutcome(o, OrderUnanswered, h.now)
				h.advance(orderRetryInterval)
				assert.Equal(t, len(h.takeStarts()), 1, "the order is repeated")
			}
			h.s.ApplyOrderOutcome(o, OrderDone, h.now)
			restarted := Inventory{Worker: o.Worker, StartMS: 2, RequestSequence: h.s.OrderSequence()}
			h.s.ApplyInventory(restarted, h.now)
			h.advance(20 * time.Millisecond)
			if settled {
				assert.Equal(t, len(h.takeStarts()), 1, "nothing can start the run on the new instance")
				return
			}
			assert.Equal(t, len(h.takeStarts()), 0)
			stops := h.takeStops()
			assert.Equal(t, len(stops), 1)
			h.s.ApplyOrderOutcome(stops[0], OrderDone, h.now)
			restarted.RequestSequence = h.s.OrderSequence()
			h.s.ApplyInventory(restarted, h.now)
			h.advance(20 * time.Millisecond)
			assert.Equal(t, len(h.takeStarts()), 1)
		})
	}
}
