package control

import (
	"slices"
	"time"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/rpc/cellpb"
)

const (
	// longAdvice is the duration from which a call for advice counts as long.
	longCallThreshold = 150 * time.Millisecond
	// reservedForShort of the cell's nodes never make long calls, so that short ones don't wait behind them. In a large
	// cell it is one node of reservedPart.
	minShortCallNodes    = 2
	shortCallNodeDivisor = 4
	// maxAdviceQueue bounds the requests that wait for a node.
	maxAdviceQueue = 4096
)

// adviser asks the advice service: this node or another one. The service handles one call at a time for each node.
type adviceNode struct {
	name       string
	send       func(id int64, r cell.AdviceRequest) bool
	inFlightID int64 // id of the request under way, 0 for none
}

func isShortCall(r cell.AdviceRequest) bool { return r.Duration < longCallThreshold }

// advisorPool spreads the requests for advice over the cell's nodes. It belongs to the scheduler's goroutine.
type advicePool struct {
	s        *activeTerm
	waiting  []waitingAdvice
	nodes    []*adviceNode
	inFlight map[int64]adviceCall
	nextID   int64
	lastScan time.Time // last look at all waiting requests
}

type waitingAdvice struct {
	request  cell.AdviceRequest
	enqueued time.Time
}

// adviceSweep is the time between two looks at the waiting requests while all nodes make calls.
const scanInterval = 20 * time.Millisecond

// maxAdviceWait is how long a request waits for a node before its turn is decided anew.
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

// remove takes out a node that is no longer attached and returns its request to the queue.
func (p *advicePool) remove(a *adviceNode) {
	p.nodes = slices.DeleteFunc(p.nodes, func(x *adviceNode) bool { return x == a })
	if f, ok := p.inFlight[a.inFlightID]; ok && f.node == a {
		delete(p.inFlight, a.inFlightID)
		p.waiting = append(p.waiting, waitingAdvice{f.request, time.Now()})
	}
}

// ask queues a request.
func (p *advicePool) enqueue(r cell.AdviceRequest) {
	if len(p.waiting) >= maxAdviceQueue {
		p.s.core.Advised(r, nil, time.Now(), 0, true, time.Now())
		return
	}
	p.waiting = append(p.waiting, waitingAdvice{r, time.Now()})
}

// dispatch gives waiting requests to idle nodes.
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
			p.s.core.AdviceWithdrawn(w.request)
		default:
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

func (p *advicePool) assign(r cell.AdviceRequest) bool {
	a := p.idle(r)
	if a == nil {
		return false
	}
	p.nextID++
	if !a.send(p.nextID, r) {
		return false
	}
	a.inFlightID = p.nextID
	p.inFlight[p.nextID] = adviceCall{r, a, time.Now()}
	return true
}

func (p *advicePool) anyIdle() bool {
	return slices.ContainsFunc(p.nodes, func(a *adviceNode) bool { return a.inFlightID == 0 })
}

// idle returns a node that can make the call, nil if there is none.
func (p *advicePool) idle(r cell.AdviceRequest) *adviceNode {
	long := 0
	var idle *adviceNode
	for _, a := range p.nodes {
		if a.inFlightID == 0 {
			idle = a
		} else if !isShortCall(p.inFlight[a.inFlightID].request) {
			long++
		}
	}
	if !isShortCall(r) && long >= p.maxLongCalls() {
		return nil
	}
	return idle
}

// mostLong is how many nodes may make long calls at a time.
func (p *advicePool) maxLongCalls() int {
	n := len(p.nodes)
	return max(1, n-max(minShortCallNodes, n/shortCallNodeDivisor))
}

// adviceOverdue is added to a call's duration before its node counts as idle again.
const adviceCallGrace = time.Second

// expire gives up requests whose answers are overdue.
func (p *advicePool) expire() {
	now := time.Now()
	for id, f := range p.inFlight {
		if now.Sub(f.sent) > f.request.Duration+adviceCallGrace {
			p.finish(id, nil, f.sent, 0, true)
		}
	}
}

// finish takes an answer to the scheduler. The tickets hold from the end of the call at the earliest.
func (p *advicePool) finish(id int64, tickets []cell.Ticket, asked time.Time, validity time.Duration, failed bool) {
	f, ok := p.inFlight[id]
	if !ok {
		return
	}
	delete(p.inFlight, id)
	f.node.inFlightID = 0
	recordSince(p.s.node.metrics.adviceTime, f.sent)
	if failed {
		p.s.node.metrics.count("advice_total", "call", "failed")
	} else {
		p.s.node.metrics.count("advice_total", "call", "answered")
	}
	p.s.core.Advised(f.request, tickets, asked.Add(f.request.Duration), validity, failed, time.Now())
}

// sendSelf makes the call from this node.
func (p *advicePool) callLocal(id int64, r cell.AdviceRequest) bool {
	p.s.tasks.Go(func() {
		asked := time.Now()
		tickets, validity, err := p.s.node.options.Advisor.Advise(p.s.ctx, r.Step, r.Workers, r.Duration+adviceTimeoutMargin)
		if err != nil && p.s.ctx.Err() == nil {
			p.s.node.options.Log.Warn("advice failed", "subject", r.Step.String(), "workers", len(r.Workers), "error", err.Error())
		}
		p.s.post(p.s.ctx, func() { p.finish(id, tickets, asked, validity, err != nil) })
	})
	return true
}

// adviceMessage returns the request to another node.
func adviceMessage(id int64, r cell.AdviceRequest) *cellpb.AdviceRequest {
	workers := make([]string, len(r.Workers))
	for i, w := range r.Workers {
		workers[i] = string(w)
	}
	return &cellpb.AdviceRequest{Id: id, Job: string(r.Step.Job), Step: int32(r.Step.Step), Workers: workers, DurationMs: r.Duration.Milliseconds()}
}

// answered takes another node's answer.
func (p *advicePool) handleReply(a *cellpb.AdviceReply, received time.Time) {
	tickets := make([]cell.Ticket, len(a.Tickets))
	for i, t := range a.Tickets {
		tickets[i] = cell.Ticket{Worker: cell.WorkerID(t.Worker), Value: t.Value}
	}
	asked := received.Add(-time.Duration(a.AskedBeforeMs) * time.Millisecond)
	p.finish(a.Id, tickets, asked, time.Duration(a.ValidityMs)*time.Millisecond, a.Failed)
}
