package control

import (
	"slices"
	"time"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/rpc/cellpb"
)

const (
	// longAdvice is the duration from which a call for advice counts as long.
	longAdvice = 150 * time.Millisecond
	// reservedForShort of the cell's nodes never make long calls, so that short ones don't wait behind them. In a large
	// cell it is one node of reservedPart.
	reservedForShort = 2
	reservedPart     = 4
	// maxAdviceQueue bounds the requests that wait for a node.
	maxAdviceQueue = 4096
)

// adviser asks the advice service: this node or another one. The service handles one call at a time for each node.
type adviser struct {
	name string
	send func(id int64, r cell.AdviceRequest) bool
	busy int64 // id of the request under way, 0 for none
}

func isShort(r cell.AdviceRequest) bool { return r.Duration < longAdvice }

// advisorPool spreads the requests for advice over the cell's nodes. It belongs to the scheduler's goroutine.
type advisorPool struct {
	s        *scheduling
	waiting  []waitingAdvice
	advisers []*adviser
	flight   map[int64]adviceFlight
	nextID   int64
	swept    time.Time // last look at all waiting requests
}

type waitingAdvice struct {
	request cell.AdviceRequest
	since   time.Time
}

// adviceSweep is the time between two looks at the waiting requests while all nodes make calls.
const adviceSweep = 20 * time.Millisecond

// maxAdviceWait is how long a request waits for a node before its turn is decided anew.
const maxAdviceWait = 250 * time.Millisecond

type adviceFlight struct {
	request cell.AdviceRequest
	by      *adviser
	sent    time.Time
}

func newAdvisorPool(s *scheduling) *advisorPool {
	p := &advisorPool{s: s, flight: map[int64]adviceFlight{}}
	p.add(&adviser{name: s.node.options.Name, send: p.sendSelf})
	return p
}

func (p *advisorPool) add(a *adviser) { p.advisers = append(p.advisers, a) }

// remove takes out a node that is no longer attached and returns its request to the queue.
func (p *advisorPool) remove(a *adviser) {
	p.advisers = slices.DeleteFunc(p.advisers, func(x *adviser) bool { return x == a })
	if f, ok := p.flight[a.busy]; ok && f.by == a {
		delete(p.flight, a.busy)
		p.waiting = append(p.waiting, waitingAdvice{f.request, time.Now()})
	}
}

// ask queues a request.
func (p *advisorPool) ask(r cell.AdviceRequest) {
	if len(p.waiting) >= maxAdviceQueue {
		p.s.core.Advised(r, nil, time.Now(), 0, true, time.Now())
		return
	}
	p.waiting = append(p.waiting, waitingAdvice{r, time.Now()})
}

// dispatch gives waiting requests to idle nodes.
func (p *advisorPool) dispatch() {
	p.expire()
	now := time.Now()
	if len(p.waiting) == 0 || !p.anyIdle() && now.Sub(p.swept) < adviceSweep {
		return
	}
	p.swept = now
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
		case now.Sub(w.since) > maxAdviceWait:
			p.s.core.AdviceWithdrawn(w.request)
		default:
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

func (p *advisorPool) assign(r cell.AdviceRequest) bool {
	a := p.idle(r)
	if a == nil {
		return false
	}
	p.nextID++
	if !a.send(p.nextID, r) {
		return false
	}
	a.busy = p.nextID
	p.flight[p.nextID] = adviceFlight{r, a, time.Now()}
	return true
}

func (p *advisorPool) anyIdle() bool {
	return slices.ContainsFunc(p.advisers, func(a *adviser) bool { return a.busy == 0 })
}

// idle returns a node that can make the call, nil if there is none.
func (p *advisorPool) idle(r cell.AdviceRequest) *adviser {
	long := 0
	var idle *adviser
	for _, a := range p.advisers {
		if a.busy == 0 {
			idle = a
		} else if !isShort(p.flight[a.busy].request) {
			long++
		}
	}
	if !isShort(r) && long >= p.mostLong() {
		return nil
	}
	return idle
}

// mostLong is how many nodes may make long calls at a time.
func (p *advisorPool) mostLong() int {
	n := len(p.advisers)
	return max(1, n-max(reservedForShort, n/reservedPart))
}

// adviceOverdue is added to a call's duration before its node counts as idle again.
const adviceOverdue = time.Second

// expire gives up requests whose answers are overdue.
func (p *advisorPool) expire() {
	now := time.Now()
	for id, f := range p.flight {
		if now.Sub(f.sent) > f.request.Duration+adviceOverdue {
			p.finish(id, nil, f.sent, 0, true)
		}
	}
}

// finish takes an answer to the scheduler. The tickets hold from the end of the call at the earliest.
func (p *advisorPool) finish(id int64, tickets []cell.Ticket, asked time.Time, validity time.Duration, failed bool) {
	f, ok := p.flight[id]
	if !ok {
		return
	}
	delete(p.flight, id)
	f.by.busy = 0
	since(p.s.node.metrics.adviceTime, f.sent)
	if failed {
		p.s.node.metrics.count("advice_total", "call", "failed")
	} else {
		p.s.node.metrics.count("advice_total", "call", "answered")
	}
	p.s.core.Advised(f.request, tickets, asked.Add(f.request.Duration), validity, failed, time.Now())
}

// sendSelf makes the call from this node.
func (p *advisorPool) sendSelf(id int64, r cell.AdviceRequest) bool {
	p.s.tasks.Go(func() {
		asked := time.Now()
		tickets, validity, err := p.s.node.options.Advisor.Advise(p.s.ctx, r.Step, r.Workers, r.Duration+adviceSlack)
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
func (p *advisorPool) answered(a *cellpb.AdviceReply, received time.Time) {
	tickets := make([]cell.Ticket, len(a.Tickets))
	for i, t := range a.Tickets {
		tickets[i] = cell.Ticket{Worker: cell.WorkerID(t.Worker), Value: t.Value}
	}
	asked := received.Add(-time.Duration(a.AskedBeforeMs) * time.Millisecond)
	p.finish(a.Id, tickets, asked, time.Duration(a.ValidityMs)*time.Millisecond, a.Failed)
}
