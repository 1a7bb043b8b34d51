package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
)

// newAdvicePoolOf returns a pool of nodes, and what each of them was sent. A node sends nothing while its queue is full.
func newAdvicePoolOf(t *testing.T, nodes int) (p *advicePool, sent []int, full []bool) {
	p = newMemberCell(t, 0).s.advice
	sent, full = make([]int, nodes), make([]bool, nodes)
	for i := range nodes {
		p.add(&adviceNode{name: fmt.Sprint("front-", i), send: func(int64, cell.AdviceRequest) bool {
			if full[i] {
				return false
			}
			sent[i]++
			return true
		}})
	}
	return p, sent, full
}

// expireCalls makes all calls in flight overdue and fails them.
func (p *advicePool) expireCalls() {
	for id, f := range p.inFlight {
		f.sent = time.Now().Add(-f.request.Duration - 2*adviceCallGrace)
		p.inFlight[id] = f
	}
	p.expire()
}

// Guards against requests for advice that wait beside idle nodes, because another idle node can't take them.
func TestAdviceGoesToANodeThatTakesIt(t *testing.T) {
	for stuck := range 3 {
		p, sent, full := newAdvicePoolOf(t, 3)
		full[stuck] = true
		p.enqueue(cell.AdviceRequest{})
		p.enqueue(cell.AdviceRequest{})
		p.dispatch()
		assert.Equal(t, len(p.waiting), 0)
		assert.Equal(t, sent[0]+sent[1]+sent[2], 2)
	}
}

// Guards against calls that fail one after the other at a node that takes them and never answers, beside idle nodes.
func TestNodeWhoseCallFailedIsAskedLast(t *testing.T) {
	p, sent, _ := newAdvicePoolOf(t, 3)
	p.enqueue(cell.AdviceRequest{})
	p.dispatch()
	assert.Equal(t, len(p.inFlight), 1)
	p.expireCalls()
	for range 2 {
		p.enqueue(cell.AdviceRequest{})
	}
	p.dispatch()
	for i, n := range sent {
		assert.Equal(t, n, 1, "node %d", i)
	}
	for id := range p.inFlight {
		p.finish(id, nil, time.Now(), 0, false)
	}
	for range 3 {
		p.enqueue(cell.AdviceRequest{})
	}
	p.dispatch()
	for i, n := range sent {
		assert.Equal(t, n, 2, "node %d", i)
	}
}
