package workerclient

import (
	"fmt"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/workerpb"
)

var taskStates = map[workerpb.TaskState]port.TaskState{
	workerpb.TaskState_RUNNING:      port.TaskRunning,
	workerpb.TaskState_SUCCEEDED:    port.TaskSucceeded,
	workerpb.TaskState_FAILED:       port.TaskFailed,
	workerpb.TaskState_STOPPED:      port.TaskStopped,
	workerpb.TaskState_CHECKPOINTED: port.TaskCheckpointed,
	workerpb.TaskState_LAPSED:       port.TaskLapsed,
}

var refusalCodes = map[workerpb.Refusal_Code]port.RefusalCode{
	workerpb.Refusal_CAPACITY:  port.RefusedCapacity,
	workerpb.Refusal_DUPLICATE: port.RefusedDuplicate,
	workerpb.Refusal_LEAVING:   port.RefusedLeaving,
}

var actions = map[port.Action]workerpb.Action{
	port.Stop:       workerpb.Action_STOP,
	port.Checkpoint: workerpb.Action_CHECKPOINT,
	port.Throttle:   workerpb.Action_THROTTLE,
	port.Unthrottle: workerpb.Action_UNTHROTTLE,
	port.Drain:      workerpb.Action_DRAIN,
}

func toVector(r *workerpb.Resources) resource.Vector {
	return resource.Vector{
		Slots: r.GetSlots(), MilliCPU: r.GetMilliCpu(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
	}
}

func fromVector(v resource.Vector) *workerpb.Resources {
	return &workerpb.Resources{Slots: v.Slots, MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}

func toTaskID(j string, index int32) job.TaskID { return job.TaskID{Job: job.ID(j), Index: index} }

// toRecord fails with port.ErrUnknownOutcome for an undefined state, because the call that returned the record took
// effect.
func toRecord(host port.Host, r *workerpb.TaskRecord) (port.TaskRecord, error) {
	id := toTaskID(r.GetJob(), r.GetIndex())
	state, ok := taskStates[r.GetState()]
	if !ok {
		return port.TaskRecord{}, errors.Wrapf(port.ErrUnknownOutcome, "worker %s: state %d of %s is not defined", host.ID, r.GetState(), id)
	}
	return port.TaskRecord{
		Task: id, Attempt: r.GetAttempt(), State: state, Reserved: toVector(r.GetReserved()), Address: r.GetAddress(),
		Checkpoint: r.GetCheckpoint(), Message: r.GetMessage(), Throttled: r.GetThrottled(),
	}, nil
}

func toInventory(host port.Host, r *workerpb.AcquireResponse) (port.Inventory, error) {
	out := port.Inventory{
		Token: port.Token(r.Token), Capacity: toVector(r.Capacity), Connections: r.Connections, Pool: r.Pool,
		Sequence: r.EventSequence, DurableMark: r.DurableMark,
	}
	for _, t := range r.Tasks {
		record, err := toRecord(host, t)
		if err != nil {
			return port.Inventory{}, err
		}
		out.Tasks = append(out.Tasks, record)
	}
	return out, nil
}

func fromSync(s port.Sync) (*workerpb.SyncRequest, error) {
	out := &workerpb.SyncRequest{
		Token: uint64(s.Token), Node: s.Node, ForgetThrough: s.ForgetThrough, SeenThrough: s.SeenThrough, DurableMark: s.DurableMark,
		WaitMs: s.Wait.Milliseconds(), WantUsage: s.WantUsage,
	}
	for _, g := range s.Starts {
		group := &workerpb.StartGroup{
			Job: string(g.Job), Reserved: fromVector(g.Reserved), DurationMs: g.Duration.Milliseconds(),
			Service: g.Service, Concurrency: g.Concurrency, Payload: g.Payload, FirstIndex: g.FirstIndex,
		}
		for _, t := range g.Tasks {
			group.Tasks = append(group.Tasks, &workerpb.TaskStart{Index: t.Index, Attempt: t.Attempt, Checkpoint: t.Checkpoint})
		}
		out.Starts = append(out.Starts, group)
	}
	for _, c := range s.Commands {
		action, ok := actions[c.Action]
		if !ok {
			return nil, &InvalidError{fmt.Sprintf("action %d on %s is not defined", c.Action, c.Task)}
		}
		out.Commands = append(out.Commands, &workerpb.Command{
			Job: string(c.Task.Job), Index: c.Task.Index, Attempt: c.Attempt, Action: action,
		})
	}
	return out, nil
}

func toResult(host port.Host, r *workerpb.SyncResponse) (port.SyncResult, error) {
	var out port.SyncResult
	for _, f := range r.Refusals {
		id := toTaskID(f.Job, f.Index)
		code, ok := refusalCodes[f.Code]
		if !ok {
			return out, errors.Wrapf(port.ErrUnknownOutcome, "worker %s: refusal %d of %s is not defined", host.ID, f.Code, id)
		}
		out.Refusals = append(out.Refusals, port.Refusal{Task: id, Attempt: f.Attempt, Code: code})
	}
	for _, e := range r.Events {
		record, err := toRecord(host, e.Task)
		if err != nil {
			return out, err
		}
		out.Events = append(out.Events, port.TaskEvent{Sequence: e.Sequence, Record: record})
	}
	for _, u := range r.Usage {
		out.Usage = append(out.Usage, port.TaskUsage{Task: toTaskID(u.Job, u.Index), MilliCPU: u.MilliCpu, MemoryMB: u.MemoryMb})
	}
	return out, nil
}
