package preemption

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

const (
	// pressurePercent of the memory in use is near capacity. It leaves room for the growth during the lag of reports.
	pressurePercent = 90
	// criticalPercent leaves no time for a throttled task to give memory back.
	criticalPercent = 97
)

// Usage is a running task with its observed use.
type Usage struct {
	Task             job.TaskID
	Attempt          int32
	Urgent           bool
	Idempotent       bool
	CanCheckpoint    bool
	CheckpointFailed bool // a checkpoint was tried in vain
	Throttled        bool
	Pending          Action // commanded, but its effect isn't in the report yet
	Declared         resource.Vector
	Used             resource.Vector
	Progress         time.Duration // work that a stop would lose
}

// Relief is what is done to a task.
type Relief struct {
	Task    job.TaskID
	Attempt int32
	Action  Action
	Reason  string
}

// Relieve chooses the task that relieves a host whose observed memory nears its capacity: the one furthest above its
// declaration is throttled, then checkpointed, then stopped. Urgent tasks follow the others, tasks within their
// declaration aren't touched, and a task that could be neither resumed nor run again is only throttled. While an earlier
// action hasn't shown its effect, nothing more is done unless the memory it will free isn't enough.
func Relieve(capacity resource.Vector, tasks []Usage) (Relief, bool) {
	used, throttling := int64(0), false
	for i := range tasks {
		switch tasks[i].Pending {
		case Checkpoint, Stop: // its memory will be free
			continue
		case Throttle:
			throttling = true
		}
		used += tasks[i].Used.MemoryMB
	}
	critical := used*100 >= capacity.MemoryMB*criticalPercent
	if used*100 < capacity.MemoryMB*pressurePercent || (throttling && !critical) {
		return Relief{}, false
	}
	order := make([]*Usage, 0, len(tasks))
	for i := range tasks {
		if t := &tasks[i]; t.excess() > 0 && t.Pending < Checkpoint {
			order = append(order, t)
		}
	}
	slices.SortFunc(order, func(a, b *Usage) int {
		return cmp.Or(compareBool(a.Urgent, b.Urgent), cmp.Compare(b.excess(), a.excess()), cmp.Compare(a.Progress, b.Progress), compareTasks(a.Task, b.Task))
	})
	for _, t := range order {
		if action := t.next(critical); action != None {
			return Relief{Task: t.Task, Attempt: t.Attempt, Action: action, Reason: fmt.Sprintf(
				"observed memory is %d of %d MB; the task uses %d MB and declared %d MB",
				used, capacity.MemoryMB, t.Used.MemoryMB, t.Declared.MemoryMB)}, true
		}
	}
	return Relief{}, false
}

// excess returns the memory above the declaration.
func (t *Usage) excess() int64 { return t.Used.MemoryMB - t.Declared.MemoryMB }

// next returns the mildest action that wasn't taken yet; throttling comes too late when memory is critical.
func (t *Usage) next(critical bool) Action {
	throttled := t.Throttled || t.Pending == Throttle
	canCheckpoint := t.CanCheckpoint && !t.CheckpointFailed
	switch {
	case !throttled && (!critical || (!canCheckpoint && !t.Idempotent)):
		return Throttle
	case canCheckpoint:
		return Checkpoint
	case t.Idempotent:
		return Stop
	}
	return None
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
