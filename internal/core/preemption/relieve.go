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
	// pressurePercent is the memory use, in percent of capacity, at which a host needs relief. It leaves headroom for the
	// growth that hasn't been reported yet.
	pressurePercent = 90
	// criticalPercent is the memory use at which there is no time left for a throttled task to free memory.
	criticalPercent = 97
)

// Usage is a running task with its observed resource usage.
type Usage struct {
	Task             job.TaskID
	Attempt          int32
	Urgent           bool
	Idempotent       bool
	CanCheckpoint    bool
	CheckpointFailed bool // a checkpoint was attempted and failed
	Throttled        bool
	Pending          Action // action that was sent, but whose effect isn't in the report yet
	Declared         resource.Vector
	Used             resource.Vector
	Progress         time.Duration // work that a stop would lose
}

// MemoryRelief is an action on a task that frees memory on its host.
type MemoryRelief struct {
	Task    job.TaskID
	Attempt int32
	Action  Action
	Reason  string
}

// RelieveMemory chooses a task and an action to relieve a host whose observed memory use is close to its capacity. The
// task furthest above its declared memory is throttled, then checkpointed, then stopped. Urgent tasks come after all
// others, tasks within their declaration aren't chosen, and a task that can be neither resumed nor rerun is only
// throttled. While the effect of an earlier action is outstanding, nothing more is done unless the memory it will free
// isn't enough.
func RelieveMemory(capacity resource.Vector, tasks []Usage) (MemoryRelief, bool) {
	used, throttlePending := int64(0), false
	for i := range tasks {
		switch tasks[i].Pending {
		case Checkpoint, Stop: // its memory is about to be freed
			continue
		case Throttle:
			throttlePending = true
		}
		used += tasks[i].Used.MemoryMB
	}
	critical := used*100 >= capacity.MemoryMB*criticalPercent
	if used*100 < capacity.MemoryMB*pressurePercent || (throttlePending && !critical) {
		return MemoryRelief{}, false
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
		if action := t.nextAction(critical); action != None {
			return MemoryRelief{Task: t.Task, Attempt: t.Attempt, Action: action, Reason: fmt.Sprintf(
				"observed memory is %d of %d MB; the task uses %d MB and declared %d MB",
				used, capacity.MemoryMB, t.Used.MemoryMB, t.Declared.MemoryMB)}, true
		}
	}
	return MemoryRelief{}, false
}

// excess returns the memory used above the declared amount.
func (t *Usage) excess() int64 { return t.Used.MemoryMB - t.Declared.MemoryMB }

// nextAction returns the least severe action that wasn't taken yet. If memory is critical, throttling frees it too late
// and is used only on tasks that can be neither resumed nor rerun.
func (t *Usage) nextAction(critical bool) Action {
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
