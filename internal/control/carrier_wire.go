package control

import (
	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// outcomes lists the errors of calls to workers with their form on the wire. Any other error is an unknown outcome.
var outcomes = []struct {
	err     error
	outcome cellpb.CarriedReply_Outcome
}{
	{port.ErrUnknownOutcome, cellpb.CarriedReply_UNKNOWN},
	{port.ErrConnectionRefused, cellpb.CarriedReply_CONNECTION_REFUSED},
	{port.ErrUnavailable, cellpb.CarriedReply_NOT_SENT},
	{port.ErrFenced, cellpb.CarriedReply_FENCED},
	{port.ErrStaleRun, cellpb.CarriedReply_STALE},
	{port.ErrRefused, cellpb.CarriedReply_REFUSED},
	{port.ErrNoTicket, cellpb.CarriedReply_NO_TICKET},
	{port.ErrInstanceChanged, cellpb.CarriedReply_INSTANCE_CHANGED},
	{port.ErrMalformed, cellpb.CarriedReply_MALFORMED},
}

func replyOf(clockMS int64, err error) *cellpb.CarriedReply {
	reply := &cellpb.CarriedReply{Outcome: cellpb.CarriedReply_DONE, ClockMs: clockMS}
	if err == nil {
		return reply
	}
	reply.Outcome, reply.Error = cellpb.CarriedReply_UNKNOWN, err.Error()
	for _, o := range outcomes {
		if errors.Is(err, o.err) {
			reply.Outcome = o.outcome
			return reply
		}
	}
	return reply
}

// errorOf returns the error of a carried call, nil if the worker executed it.
func errorOf(r *cellpb.CarriedReply) error {
	if r.Outcome == cellpb.CarriedReply_DONE {
		return nil
	}
	for _, o := range outcomes {
		if r.Outcome == o.outcome {
			return errors.Wrap(o.err, r.Error)
		}
	}
	return errors.Wrap(port.ErrUnknownOutcome, r.Error)
}

func runMessage(r cell.RunID) *cellpb.CarriedRun {
	return &cellpb.CarriedRun{Job: string(r.Task.Job), Step: int32(r.Task.Step), Task: int32(r.Task.Task), Run: int32(r.Run)}
}

func runFrom(m *cellpb.CarriedRun) cell.RunID {
	return cell.RunID{Task: cell.TaskID{Job: cell.JobID(m.GetJob()), Step: int(m.GetStep()), Task: int(m.GetTask())}, Run: int(m.GetRun())}
}

func inventoryMessage(inv cell.Inventory) *cellpb.CarriedInventory {
	m := &cellpb.CarriedInventory{StartMs: inv.StartMS, Truncated: inv.Truncated}
	for _, r := range inv.Running {
		m.Running = append(m.Running, &cellpb.CarriedRunning{Run: runMessage(r.Run), Checkpoint: r.Checkpoint, Percent: float32(r.Percent), Usage: float32(r.Usage)})
	}
	for _, e := range inv.Ended {
		m.Ended = append(m.Ended, &cellpb.CarriedEnd{Run: runMessage(e.Run), Number: e.Number, Kind: string(e.Kind), Checkpoint: e.Checkpoint})
	}
	return m
}

func renewalReplyFrom(id cell.WorkerID, r *cellpb.CarriedReply) port.RenewalReply {
	if r == nil || r.Inventory == nil {
		return port.RenewalReply{}
	}
	reply := port.RenewalReply{ClockMS: r.ClockMs, Inventory: cell.Inventory{Worker: id, StartMS: r.Inventory.StartMs, Truncated: r.Inventory.Truncated}}
	for _, x := range r.Inventory.Running {
		reply.Inventory.Running = append(reply.Inventory.Running, cell.RunningRow{Run: runFrom(x.Run), Checkpoint: x.Checkpoint,
			Percent: float64(x.Percent), Usage: float64(x.Usage)})
	}
	for _, x := range r.Inventory.Ended {
		reply.Inventory.Ended = append(reply.Inventory.Ended, cell.EndedRow{Run: runFrom(x.Run), Number: x.Number, Kind: cell.EndKind(x.Kind),
			Checkpoint: x.Checkpoint})
	}
	return reply
}
