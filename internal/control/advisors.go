package control

import (
	"slices"
	"time"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/rpc/cellpb"
)

const (
	// longCallThreshold is the duration from which a call to the advice service counts as long.
	longCallThreshold = 150 * time.Millisecond
	// At least minShortCallNodes nodes of the cell, and at least one in shortCallNodeDivisor, are kept free of long calls,
	// so that short calls don't wait behind them.
	minShortCallNodes    = 2
	shortCallNodeDivisor = 4
	// maxAdviceQueue bounds the number of requests waiting for a node.
	maxAdviceQueue = 4096
)

// adviceNode is a node that can call the advice service: this node or an attached one. The service handles one call at
// a time for each node.
type adviceNode struct {
	name       string
	send       func(id int64, r cell.AdviceRequest) bool
	inFlightID int64 // ID of the request in flight, 0 if there is none
	failing    bool  // its last call failed
}

func isShortCall(r cell.AdviceRequest) bool { return r.Duration < longCallThreshold }

// advicePool distributes the advice requests over the cell's nodes. It must be used only on the scheduler's goroutine.
type advicePool struct {
	s        *activeTerm
	waiting  []waitingAdvice
	nodes    []*adviceNode
	inFlight map[int64]adviceCall
	nextID   int64
	lastScan time.Time // when dispatch last scanned all waiting requests
}

type waitingAdvice struct {
	request  cell.AdviceRequest
	enqueued time.Time
}

// scanInterval is the minimum time between two scans of the waiting requests while all nodes are busy.
const scanInterval = 20 * time.Millisecond

// maxAdviceQueueTime is how long a request may wait for a node. After that it is withdrawn, and the scheduler decides
// again when to send it.
const maxAdviceQueueTime = 250 * time.Millisecond

type adviceCall struct {
	request cell.AdviceRequest
	node    *adviceNode
	sent    time.Time
}

func newAdvicePool(s *activeTerm) *advicePool {
	p := &advicePool{s: s, inFlight: map[int64]adviceCall{}}
	p.add(&adviceNode{name: s.node.options.Name, send: p.callLocal})
	return p
}

func (p *advicePool) add(a *adviceNode) { p.nodes = append(p.nodes, a) }

// remove removes a node that is no longer attached and puts its request in flight back into the queue.
func (p *advicePool) remove(a *adviceNode) {
	p.nodes = slices.DeleteFunc(p.nodes, func(x *adviceNode) bool { return x == a })
	if f, ok := p.inFlight[a.inFlightID]; ok && f.node == a {
		delete(p.inFlight, a.inFlightID)
		p.waiting = append(p.waiting, waitingAdvice{f.request, time.Now()})
	}
}

// enqueue adds a request to the queue. If the queue is full, the request fails at once.
func (p *advicePool) enqueue(r cell.AdviceRequest) {
	if len(p.waiting) >= maxAdviceQueue {
		p.s.core.ApplyAdvice(r, nil, time.Now(), 0, true, time.Now())
		return
	}
	p.waiting = append(p.waiting, waitingAdvice{r, time.Now()})
}

// dispatch assigns waiting requests to idle nodes.
func (p *advicePool) dispatch() {
	p.expire()
	now := time.Now()
	if len(p.waiting) == 0 || !p.anyIdle() && now.Sub(p.lastScan) < scanInterval {
		return
	}
	p.lastScan = now
	slices.SortStableFunc(p.waiting, func(a, b waitingAdvice) int {
		switch {
		case a.request.Before(b.request):
			return -1
		case b.request.Before(a.request):
			return 1
		}
		return 0
	})
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		switch {
		case p.assign(w.request):
		case now.Sub(w.enqueued) > maxAdviceQueueTime:
			p.s.core.WithdrawAdvice(w.request)
		default:
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// assign hands a request to an idle node and reports whether one has taken it. A node may be unable to, because its messages
// queue up.
func (p *advicePool) assign(r cell.AdviceRequest) bool {
	for _, a := range p.idle(r) {
		p.nextID++
		if a.send(p.nextID, r) {
			a.inFlightID = p.nextID
			p.inFlight[p.nextID] = adviceCall{r, a, time.Now()}
			return true
		}
	}
	return false
}

func (p *advicePool) anyIdle() bool {
	return slices.ContainsFunc(p.nodes, func(a *adviceNode) bool { return a.inFlightID == 0 })
}

// idle returns the idle nodes that may make the call, those whose last call failed after the others. A node that is cut off
// or frozen is idle again and again until it is removed.
func (p *advicePool) idle(r cell.AdviceRequest) []*adviceNode {
	long := 0
	var idle, failing []*adviceNode
	for _, a := range slices.Backward(p.nodes) {
		switch {
		case a.inFlightID != 0:
			if !isShortCall(p.inFlight[a.inFlightID].request) {
				long++
			}
		case a.failing:
			failing = append(failing, a)
		default:
			idle = append(idle, a)
		}
	}
	if !isShortCall(r) && long >= p.maxLongCalls() {
		return nil
	}
	return append(idle, failing...)
}

// maxLongCalls returns how many nodes may make long calls at the same time, which is at least one.
func (p *advicePool) maxLongCalls() int {
	n := len(p.nodes)
	return max(1, n-max(minShortCallNodes, n/shortCallNodeDivisor))
}

// adviceCallGrace is added to a call's expected duration. When both have passed without an answer, the call has failed
// and its node counts as idle again.
const adviceCallGrace = time.Second

// expire fails requests whose answers are overdue.
func (p *advicePool) expire() {
	now := time.Now()
	for id, f := range p.inFlight {
		if now.Sub(f.sent) > f.request.Duration+adviceCallGrace {
			p.finish(id, nil, f.sent, 0, true)
		}
	}
}

// finish passes an answer to the scheduler. The tickets become valid at the end of the call at the earliest.
func (p *advicePool) finish(id int64, tickets []cell.Ticket, asked time.Time, validity time.Duration, failed bool) {
	f, ok := p.inFlight[id]
	if !ok {
		return
	}
	delete(p.inFlight, id)
	f.node.inFlightID, f.node.failing = 0, failed
	recordSince(p.s.node.metrics.adviceTime, f.sent)
	if failed {
		p.s.node.metrics.count("advice_total", "call", "failed")
	} else {
		p.s.node.metrics.count("advice_total", "call", "answered")
	}
	p.s.core.ApplyAdvice(f.request, tickets, asked.Add(f.request.Duration), validity, failed, time.Now())
}

// callLocal calls the advice service from this node.
func (p *advicePool) callLocal(id int64, r cell.AdviceRequest) bool {
	p.s.spawn(func() {
		asked := time.Now()
		tickets, validity, err := p.s.node.options.Advisor.Advise(p.s.ctx, r.Step, r.Workers, r.Duration+adviceTimeoutMargin)
		if err != nil && p.s.ctx.Err() == nil {
			p.s.node.options.Log.Warn("advice failed", "subject", r.Step.String(), "workers", len(r.Workers), "error", err.Error())
		}
		p.s.post(p.s.ctx, func() { p.finish(id, tickets, asked, validity, err != nil) })
	})
	return true
}

// adviceMessage encodes a request for another node.
func adviceMessage(id int64, r cell.AdviceRequest) *cellpb.AdviceRequest {
	workers := make([]string, len(r.Workers))
	for i, w := range r.Workers {
		workers[i] = string(w)
	}
	return &cellpb.AdviceRequest{Id: id, Job: string(r.Step.Job), Step: int32(r.Step.Step), Workers: workers, DurationMs: r.Duration.Milliseconds()}
}

// handleReply handles another node's answer.
func (p *advicePool) handleReply(a *cellpb.AdviceReply, received time.Time) {
	tickets := make([]cell.Ticket, len(a.Tickets))
	for i, t := range a.Tickets {
		tickets[i] = cell.Ticket{Worker: cell.WorkerID(t.Worker), Value: t.Value}
	}
	asked := received.Add(-time.Duration(a.AskedBeforeMs) * time.Millisecond)
	p.finish(a.Id, tickets, asked, time.Duration(a.ValidityMs)*time.Millisecond, a.Failed)
}
