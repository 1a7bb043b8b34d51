package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"sequoiastall/internal/contain"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
	"sequoiastall/internal/wait"
)

// The carrier's end of the stream, on a member: it executes the calls.

// maxCarriedCalls bounds the calls that a carrier executes at the same time. Further ones wait in the stream.
const maxCarriedCalls = 512

// refuse replies that a call wasn't made, because it arrived too late.
func refuse(ctx context.Context, replies chan<- *cellpb.CarriedReply, call *cellpb.CarriedCall) {
	select {
	case replies <- &cellpb.CarriedReply{Id: call.Id, Outcome: cellpb.CarriedReply_NOT_SENT, Error: "the call arrived too late"}:
	case <-ctx.Done():
	}
}

// delayFilter tells calls that lay in a buffer while the carrier was paused from those that were just sent. It compares
// the times of day of the two nodes, whose difference is unknown but nearly constant. After a step of one clock, it
// adapts within some messages.
type delayFilter struct {
	known bool
	usual int64 // difference of the times of day on arrival, in milliseconds
}

const (
	// maxDelayMS is how much later than usual a message may arrive.
	maxDelayMS = 1500
	// delayStepMS is by how much the usual difference rises with each message that arrives later.
	delayStepMS = 100
)

// late reports whether a message arrived much later than usual.
func (f *delayFilter) late(sentMS, arrivedMS int64) bool {
	difference := arrivedMS - sentMS
	if !f.known || difference < f.usual {
		f.known, f.usual = true, difference
		return false
	}
	late := difference > f.usual+maxDelayMS
	f.usual = min(difference, f.usual+delayStepMS)
	return late
}

// carryRetryDelay is the delay before a member offers itself as a carrier again after its stream has ended.
const carryRetryDelay = 500 * time.Millisecond

// keepCarrying executes calls to workers for the scheduling node until ctx is done.
func (n *Node) keepCarrying(ctx context.Context, address string) {
	for !n.stopping.Load() {
		n.carry(ctx, address)
		if !wait.For(ctx, carryRetryDelay) {
			return
		}
	}
}

// carry executes calls to workers for the scheduling node until ctx is done or the stream ends.
func (n *Node) carry(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := n.peers.client(address).Carry(ctx)
	if err != nil {
		return
	}
	if err := stream.Send(&cellpb.CarriedReplies{Node: n.options.Name, Zone: n.options.Zone}); err != nil {
		return
	}
	replies := make(chan *cellpb.CarriedReply, maxCarriedCalls)
	slots := make(chan struct{}, maxCarriedCalls)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { n.sendReplies(ctx, stream, replies) })
	var delays delayFilter
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		late := delays.late(m.SentMs, time.Now().UnixMilli())
		for _, call := range m.Calls {
			if late {
				refuse(ctx, replies, call)
				continue
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			tasks.Go(func() {
				defer func() { <-slots }()
				reply := &cellpb.CarriedReply{} // an unknown outcome, unless the call ends without a panic
				contain.Panics(n.options.Log, "carrying a call", func() { reply = n.execute(ctx, call) })
				reply.Id = call.Id
				n.metrics.count("carried_calls_total", kindOf(call), reply.Outcome.String())
				select {
				case replies <- reply:
				case <-ctx.Done():
				}
			})
		}
	}
}

func (n *Node) sendReplies(ctx context.Context, stream cellpb.Cell_CarryClient, replies <-chan *cellpb.CarriedReply) {
	leaving := n.leaving
	for {
		m := &cellpb.CarriedReplies{}
		select {
		case r := <-replies:
			m.Replies = batchOf(replies, r)
		case <-leaving:
			m.Leaving, leaving = true, nil
		case <-ctx.Done():
			return
		}
		if stream.Send(m) != nil {
			return
		}
	}
}

// kindOf names the kind of a call.
func kindOf(m *cellpb.CarriedCall) string {
	switch m.Call.(type) {
	case *cellpb.CarriedCall_Renew:
		return "renewal"
	case *cellpb.CarriedCall_Start:
		return string(cell.OrderStart)
	case *cellpb.CarriedCall_Stop:
		return string(cell.OrderStop)
	case *cellpb.CarriedCall_Pace:
		return string(cell.OrderPace)
	}
	return "unknown"
}

// execute makes a call to a worker.
func (n *Node) execute(ctx context.Context, m *cellpb.CarriedCall) *cellpb.CarriedReply {
	w := port.WorkerRef{ID: cell.WorkerID(m.Worker), Address: m.Address}
	switch call := m.Call.(type) {
	case *cellpb.CarriedCall_Renew:
		reply, err := n.options.Workers.Renew(ctx, w, port.Renewal{Token: m.Token, LeaseEndMS: call.Renew.LeaseEndMs, Ack: call.Renew.Ack,
			Wait: time.Duration(call.Renew.WaitMs) * time.Millisecond})
		if err != nil {
			return replyOf(0, err)
		}
		return &cellpb.CarriedReply{Outcome: cellpb.CarriedReply_DONE, ClockMs: reply.ClockMS, Inventory: inventoryMessage(reply.Inventory)}
	case *cellpb.CarriedCall_Start:
		s := call.Start
		order := cell.Order{Kind: cell.OrderStart, Worker: w.ID, Run: runFrom(s.Run), Spec: s.Spec, Ticket: s.Ticket, Checkpoint: s.Checkpoint}
		return replyOf(n.options.Workers.Start(ctx, w, port.Start{Order: order, Token: m.Token, LeaseEndMS: s.LeaseEndMs}))
	case *cellpb.CarriedCall_Stop:
		return replyOf(n.options.Workers.Stop(ctx, w, runFrom(call.Stop), m.Token))
	case *cellpb.CarriedCall_Pace:
		return replyOf(0, n.options.Workers.Pace(ctx, w, runFrom(call.Pace.Run), int(call.Pace.Percent), m.Token))
	}
	return replyOf(0, port.ErrMalformed)
}
