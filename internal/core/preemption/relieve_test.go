package preemption

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/job"
)

// TestRelieveMemory guards against a host that runs out of memory, against acting on tasks within their declaration or
// stopping tasks that can't be rerun, and against acting twice on the same memory pressure.
func TestRelieveMemory(t *testing.T) {
	use := func(id string, declared, used int64, change func(*Usage)) Usage {
		u := Usage{Task: job.TaskID{Job: job.ID(id)}, Idempotent: true, CanCheckpoint: true, Declared: vec(1, declared), Used: vec(1, used)}
		if change != nil {
			change(&u)
		}
		return u
	}
	throttled := func(u *Usage) { u.Throttled = true }
	for _, test := range []struct {
		name   string
		tasks  []Usage
		task   job.ID // empty if nothing is done
		action Action
	}{
		{"enough memory", []Usage{use("a", 10, 89, nil)}, "", None},
		{"furthest above its declaration", []Usage{use("a", 40, 45, nil), use("b", 30, 46, nil)}, "b", Throttle},
		{"throttled already", []Usage{use("a", 40, 45, nil), use("b", 30, 46, throttled)}, "b", Checkpoint},
		{"can't checkpoint", []Usage{use("b", 30, 91, func(u *Usage) { u.Throttled, u.CanCheckpoint = true, false })}, "b", Stop},
		{"checkpoint failed", []Usage{use("b", 30, 91, func(u *Usage) { u.Throttled, u.CheckpointFailed = true, true })}, "b", Stop},
		{"critical", []Usage{use("b", 30, 97, nil)}, "b", Checkpoint},
		{"can't run again", []Usage{use("a", 10, 90, func(u *Usage) { u.Throttled, u.CanCheckpoint, u.Idempotent = true, false, false })}, "", None},
		{"can't run again, critical", []Usage{use("a", 10, 99, func(u *Usage) { u.CanCheckpoint, u.Idempotent = false, false })}, "a", Throttle},
		{"the next after one that can't run again", []Usage{use("c", 5, 7, nil),
			use("a", 10, 90, func(u *Usage) { u.Throttled, u.CanCheckpoint, u.Idempotent = true, false, false })}, "c", Checkpoint},
		{"urgent last", []Usage{use("a", 10, 90, func(u *Usage) { u.Urgent = true }), use("b", 3, 4, nil)}, "b", Throttle},
		{"within the declaration", []Usage{use("a", 95, 95, nil)}, "", None},
		{"throttle pending", []Usage{use("a", 40, 91, func(u *Usage) { u.Pending = Throttle })}, "", None},
		{"throttle pending, critical", []Usage{use("a", 40, 98, func(u *Usage) { u.Pending = Throttle })}, "a", Checkpoint},
		{"checkpoint pending is enough", []Usage{use("a", 40, 91, func(u *Usage) { u.Pending = Checkpoint })}, "", None},
		{"checkpoint pending isn't enough", []Usage{use("a", 4, 9, func(u *Usage) { u.Pending = Checkpoint }), use("b", 80, 91, nil)}, "b", Throttle},
	} {
		t.Run(test.name, func(t *testing.T) {
			relief, needed := RelieveMemory(vec(8, 100), test.tasks)
			assert.Equal(t, needed, test.task != "")
			assert.Equal(t, relief.Task.Job, test.task)
			assert.Equal(t, relief.Action, test.action)
		})
	}
}
