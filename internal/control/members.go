package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// members holds the nodes that are attached to the scheduling node.
type members struct {
	s *activeTerm

	mu        sync.Mutex
	list      []*member // in succession order
	announced []string  // succession that was last sent to all members
	countedAt time.Time // when the waiting jobs were last sent
	ticks     int
	spreading spreading
	// delegateFailures is the number of failed calls to delegates, each of which makes another member the delegate.
	delegateFailures int
	handedOver       bool     // at least one member was asked to take over
	successors       []string // addresses of the members that were asked to take over
}

// member is an attached node.
type member struct {
	name, address     string
	out               chan *cellpb.SchedulerMessage
	storeAge          time.Duration
	leaving           bool
	cores             float64
	handoverRequested bool // was asked to take over
	// heartbeatEvery is the number of heartbeat intervals between two heartbeats.
	heartbeatEvery int
}

// memberBuffer bounds the messages queued for a member's stream. A member that falls behind misses heartbeats.
const memberBuffer = 64

func newMembers(s *activeTerm) *members { return &members{s: s, spreading: s.node.knownSpreading()} }

// knownSpreading returns whether the work was spread in the term that this node followed last. It isn't known how many
// members that term had beyond maxSuccession.
func (n *Node) knownSpreading() spreading {
	m := n.membership.Load()
	return spreading{active: m != nil && len(m.members) >= minSpreadMembers}
}

// run sends heartbeats, and requests a handover if this node is about to stop, can't reach the store while other nodes
// can, or has far fewer cores than a member.
func (m *members) run() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.s.ctx.Done():
			return
		case <-ticker.C:
		case <-m.s.node.leaving:
		}
		m.sendHeartbeats()
		m.requestHandover()
		if m.s.node.stopping.Load() && !m.s.pause(heartbeatInterval/2) {
			return
		}
	}
}

// sendHeartbeats sends a heartbeat to each member for which one is due. What changes seldom is sent only when it has
// changed, because a message to all members costs the more, the more there are.
func (m *members) sendHeartbeats() {
	message := &cellpb.SchedulerMessage{}
	toAll := m.addWaitingJobs(message)
	m.mu.Lock()
	defer m.mu.Unlock()
	toAll = m.addSuccession(message) || toAll
	m.setCommonFields(message)
	m.ticks++
	for i, x := range m.list {
		every := heartbeatsBetween(i, len(m.list))
		if every != x.heartbeatEvery {
			x.heartbeatEvery = every
			x.send(m.greeting(x))
		} else if toAll || m.ticks%every == 0 {
			x.send(message)
		}
	}
	m.s.node.updateMembership(m.s.node.options.Address, message)
}

// addWaitingJobs adds the numbers of waiting jobs if they are due, and reports whether it did.
func (m *members) addWaitingJobs(message *cellpb.SchedulerMessage) bool {
	m.mu.Lock()
	large := len(m.list) > promptMembers
	m.mu.Unlock()
	if large && time.Since(m.countedAt) < countInterval {
		return false
	}
	message.Counted = m.s.query(m.s.ctx, func() {
		for queue, jobs := range m.s.core.WaitingJobsByQueue() {
			message.Waiting = append(message.Waiting, &cellpb.QueueLength{Queue: queue, Jobs: jobs})
		}
	})
	if message.Counted {
		m.countedAt = time.Now()
	}
	return message.Counted
}

// addSuccession adds the succession if it has changed, and reports whether it did. The caller must hold mu.
func (m *members) addSuccession(message *cellpb.SchedulerMessage) bool {
	succession := m.succession()
	if slices.Equal(succession, m.announced) {
		return false
	}
	m.announced, message.Members = succession, succession
	return true
}

// greeting returns the first message to a member, or one that changes its heartbeat interval. The caller must hold mu.
func (m *members) greeting(x *member) *cellpb.SchedulerMessage {
	message := m.message()
	message.Node, message.Members = m.s.node.options.Name, m.announced
	message.HeartbeatMs = (time.Duration(x.heartbeatEvery) * heartbeatInterval).Milliseconds()
	return message
}

const (
	// promptMembers is the number of members, first in the succession, that get every heartbeat. They decide whether the
	// scheduling node is lost.
	promptMembers = 16
	// membersPerBeat is the number of members for which the others get every heartbeat too. With more members, they get
	// correspondingly fewer, so that the cost of heartbeats grows slowly with the cell.
	membersPerBeat = 64
	// maxSuccession bounds the succession that is sent to the members.
	maxSuccession = 24
	// countInterval is the interval at which the members are told how many jobs wait if there are more than promptMembers.
	// Otherwise every heartbeat says so.
	countInterval = 500 * time.Millisecond
)

// heartbeatsBetween returns after how many heartbeat intervals the member at a position in the succession gets the next
// heartbeat.
func heartbeatsBetween(position, members int) int {
	if position < promptMembers {
		return 1
	}
	return (members + membersPerBeat - 1) / membersPerBeat
}

// message returns a message with the common fields set. The caller must hold mu.
func (m *members) message() *cellpb.SchedulerMessage {
	message := &cellpb.SchedulerMessage{}
	m.setCommonFields(message)
	return message
}

// setCommonFields sets the common fields of a message. The caller must hold mu.
func (m *members) setCommonFields(message *cellpb.SchedulerMessage) {
	age := m.s.node.storeAge()
	for _, x := range m.list {
		age = min(age, x.storeAge)
	}
	message.Term, message.StoreAgeMs = m.s.term.number, age.Milliseconds()
	if c := m.s.node.config.Load(); c != nil {
		message.ConfigVersion = c.Version
	}
}

// succession sorts the members into succession order: eligible ones first, and among these the ones with the most cores.
// It returns the addresses of the first maxSuccession.
func (m *members) succession() []string {
	slices.SortStableFunc(m.list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(bool2int(a.ineligible()), bool2int(b.ineligible())), cmp.Compare(b.cores, a.cores), cmp.Compare(a.name, b.name))
	})
	list := make([]string, min(len(m.list), maxSuccession))
	for i := range list {
		list[i] = m.list[i].address
	}
	return list
}

func bool2int(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ineligible reports whether a member shouldn't become the scheduling node.
func (x *member) ineligible() bool { return x.leaving || x.storeAge > maxCandidateStoreAge }

const (
	// handoverStoreAge is the age of the store's last answer beyond which the scheduling node looks for a successor.
	handoverStoreAge = 350 * time.Millisecond
	// maxCandidateStoreAge is the maximum age of the store's last answer to a node that may schedule.
	maxCandidateStoreAge = 1500 * time.Millisecond
	// minStoreAgeGain is by how much a successor's last answer from the store must be more recent.
	minStoreAgeGain = 100 * time.Millisecond
	// handoverPollInterval is the interval between two checks whether a successor has taken over.
	handoverPollInterval = 40 * time.Millisecond
)

// requestHandover asks a member to take over if this node is about to stop, or if the store answers the member but not
// this node. It also asks, but only once, a member that has many more cores.
func (m *members) requestHandover() {
	node := m.s.node
	age := node.storeAge()
	storeDown := !node.storeAvailable() && age > handoverStoreAge
	mustHandOver := node.stopping.Load() || storeDown
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.list {
		stronger := x.cores > handoverCoresFactor*node.options.Cores && !m.handedOver
		if !mustHandOver && !stronger || x.ineligible() || x.handoverRequested || storeDown && x.storeAge > age-minStoreAgeGain {
			continue
		}
		if !m.handedOver {
			m.handedOver = true
			m.s.spawn(m.awaitSuccessor)
		}
		x.handoverRequested = true
		m.successors = append(m.successors, x.address)
		message := m.message()
		message.Resign = true
		node.options.Log.Info("decision", "subject", node.options.Name, "decision", "successor asked", "node", x.name, "term", m.s.term.number,
			"strength", x.cores, "stopping", node.stopping.Load(), "store_age_ms", node.storeAge().Milliseconds())
		x.send(message)
		return
	}
}

// awaitSuccessor ends the term as soon as another node holds a later one, so that the members attach to that node. It
// asks the requested successors first, because a store that rejects this node's calls can't report the new holder.
func (m *members) awaitSuccessor() {
	for m.s.pause(handoverPollInterval) {
		if m.successorTookOver() {
			m.s.end(errTermLost)
			return
		}
		if !m.s.node.storeAvailable() {
			continue
		}
		h, err := readHolder(m.s.ctx, m.s.node.store)
		if err == nil && h != nil && h.Term > m.s.term.number {
			m.s.end(errTermLost)
			return
		}
	}
}

// successorTookOver asks the nodes that were requested to take over whether they have received a message of a later
// term. By then they have left the list of members.
func (m *members) successorTookOver() bool {
	m.mu.Lock()
	asked := slices.Clone(m.successors)
	m.mu.Unlock()
	for _, address := range asked {
		ctx, cancel := context.WithTimeout(m.s.ctx, peerTimeout)
		reply, err := m.s.node.peers.client(address).Hears(ctx, &cellpb.HearsRequest{Term: m.s.term.number})
		cancel()
		if err == nil && reply.Term > m.s.term.number {
			return true
		}
	}
	return false
}

// silenceTimeout returns how long a member may be silent before it is considered lost.
func (m *members) silenceTimeout(x *member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return missedHeartbeats * time.Duration(x.heartbeatEvery) * heartbeatInterval
}

func (x *member) send(m *cellpb.SchedulerMessage) bool {
	select {
	case x.out <- m:
		return true
	default:
		return false
	}
}

// join adds the node that has sent the first message of a stream. The returned function removes it.
func (m *members) join(first *cellpb.MemberMessage) (*member, func()) {
	x := &member{name: first.Node, address: first.Address, cores: first.Strength, heartbeatEvery: 1, out: make(chan *cellpb.SchedulerMessage, memberBuffer)}
	a := &adviceNode{name: x.name, send: func(id int64, r cell.AdviceRequest) bool {
		m.mu.Lock()
		message := m.message()
		m.mu.Unlock()
		message.Advice = adviceMessage(id, r)
		return x.send(message)
	}}
	m.mu.Lock()
	m.list = append(m.list, x)
	x.send(m.greeting(x))
	m.mu.Unlock()
	m.s.post(m.s.ctx, func() { m.s.advice.add(a) })
	return x, func() {
		m.mu.Lock()
		m.list = slices.DeleteFunc(m.list, func(y *member) bool { return x == y })
		m.mu.Unlock()
		m.s.post(m.s.ctx, func() { m.s.advice.remove(a) })
	}
}

// handleMessage processes a member's message.
func (m *members) handleMessage(x *member, r *cellpb.MemberMessage) {
	m.mu.Lock()
	x.storeAge, x.leaving = time.Duration(r.StoreAgeMs)*time.Millisecond, r.Leaving
	m.mu.Unlock()
	received := time.Now()
	switch {
	case r.Advice != nil:
		m.s.post(m.s.ctx, func() { m.s.advice.handleReply(r.Advice, received) })
	case len(r.AcceptedJob) > 0:
		m.s.addAcceptedJob(r.AcceptedJob, r.Revision)
	case r.CanceledJob != "":
		m.s.post(m.s.ctx, func() { m.s.core.CancelJob(cell.JobID(r.CanceledJob)) })
	}
}

// addAcceptedJob adds a job whose record has just become durable.
func (s *activeTerm) addAcceptedJob(record []byte, revision int64) {
	j, err := cell.DecodeJob(record)
	if err != nil {
		s.node.options.Log.Error("job of another node can't be read", "error", err.Error())
		return
	}
	s.post(s.ctx, func() {
		s.addJob(port.Entry{Key: storekey.Job(j.ID), Value: record, Revision: revision}, nil)
	})
}
