package control

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/contain"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/rpc/cellpb"
	"sequoiastall/internal/wait"
)

// follow stays attached to the scheduling node until the connection is lost. If the other nodes have lost it as well,
// this node tries to take over.
func (n *Node) follow(ctx context.Context, h *holder) {
	takeOver, err := n.attach(ctx, h)
	if ctx.Err() != nil {
		return
	}
	n.peers.reset(h.Address)
	if takeOver {
		n.campaign(ctx, h.revision, "the scheduling node requested a handover")
		return
	}
	if errors.Is(err, errStaleTerm) {
		return
	}
	if status.Code(err) == codes.FailedPrecondition && n.refusedRevision != h.revision {
		n.refusedRevision = h.revision
		return // its term has ended: the record may already name another node
	}
	n.options.Log.Warn("dependency lost", "dependency", "scheduling node", "node", h.Node, "term", h.Term, "error", err.Error())
	alive, answered := n.pollMembers(ctx, h)
	if alive || !answered {
		// Either only this node's connection to the scheduling node is broken, or no other node could answer. The expiry of
		// the store lease decides.
		return
	}
	if n.awaitCandidacy(ctx, h) {
		n.campaign(ctx, h.revision, "no node receives heartbeats from the scheduling node")
	}
}

// awaitCandidacy waits until it is this node's turn to take over from a lost holder. It returns false if another node has
// taken over meanwhile, which this node then follows.
func (n *Node) awaitCandidacy(ctx context.Context, lost *holder) bool {
	for left := n.candidacyDelay(); left > 0; left -= holderCheckInterval {
		if !wait.For(ctx, min(left, holderCheckInterval)) {
			return false
		}
		if h, err := readHolder(ctx, n.store); err == nil && h != nil && h.revision != lost.revision {
			return false
		}
	}
	return ctx.Err() == nil
}

// holderCheckInterval is the interval between two checks for a new holder while a node waits for its turn.
const holderCheckInterval = 150 * time.Millisecond

// followLastKnown follows the last known scheduling node while the store doesn't answer.
func (n *Node) followLastKnown(ctx context.Context) {
	m := n.membership.Load()
	if m == nil {
		wait.For(ctx, heartbeatInterval)
		return
	}
	if _, err := n.attach(ctx, &holder{Address: m.address, Term: m.term}); err != nil && ctx.Err() == nil {
		n.peers.reset(m.address)
		wait.For(ctx, heartbeatInterval)
	}
}

const (
	// candidacyStep is the delay between the attempts of two successive nodes to take over.
	candidacyStep = 60 * time.Millisecond
	// candidacySpread is the number of further steps over which the nodes are spread that aren't in the known succession.
	candidacySpread = 8
)

// candidacyDelay staggers the attempts to take over, so that usually only the node with the most cores tries.
func (n *Node) candidacyDelay() time.Duration {
	f := fnv.New32a()
	f.Write([]byte(n.options.Name))
	step := time.Duration(f.Sum32() % candidacySpread)
	if m := n.membership.Load(); m != nil && len(m.members) > 0 {
		if i := slices.Index(m.members, n.options.Address); i >= 0 {
			return time.Duration(i) * candidacyStep
		}
		return (time.Duration(len(m.members)) + step) * candidacyStep
	}
	spread := step * candidacyStep / candidacySpread
	coreShortfall := 1 - min(n.options.Cores/fullCores, 1)
	return spread + time.Duration(coreShortfall*float64(maxLowCoresDelay))
}

// maxMembersPolled bounds how many members a node asks about the scheduling node. Each of the others may ask at the same
// time.
const maxMembersPolled = 8

// pollMembers asks the first members in the succession whether they still receive heartbeats from the scheduling node.
// answered reports whether at least one of them answered or there was none to ask.
func (n *Node) pollMembers(ctx context.Context, h *holder) (alive, answered bool) {
	m := n.membership.Load()
	if m == nil {
		return false, false
	}
	answers := make(chan hearsAnswer, len(m.members))
	asked := 0
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, address := range m.members {
		if address == n.options.Address || address == h.Address || asked == maxMembersPolled {
			continue
		}
		asked++
		client := n.peers.client(address)
		go func() {
			reply, err := client.Hears(call, &cellpb.HearsRequest{Term: h.Term})
			answers <- hearsAnswer{reply, err}
		}()
	}
	return evaluateAnswers(answers, asked, h.Term)
}

// hearsAnswer is a member's answer to the question when it last received a heartbeat.
type hearsAnswer struct {
	reply *cellpb.HearsReply
	err   error
}

// evaluateAnswers reports whether the scheduling node is alive, and whether any member has answered or none was asked. It
// returns as soon as half of the members have confirmed the loss: others may have been lost at the same time and don't
// answer at all.
func evaluateAnswers(answers <-chan hearsAnswer, asked int, term int64) (alive, answered bool) {
	confirmed := 0
	for range asked {
		a := <-answers
		if a.err != nil {
			continue
		}
		if a.reply.Term > term || a.reply.Term == term && a.reply.SilenceMs < heartbeatTimeout.Milliseconds()/2 {
			return true, true
		}
		if confirmed++; 2*confirmed >= asked {
			return false, true
		}
	}
	return false, confirmed > 0 || asked == 0
}

// errStaleTerm means that the node at the address doesn't hold the expected term.
var errStaleTerm = errors.New("the node doesn't hold the expected term")

// attach exchanges messages with the scheduling node until one side closes the stream. takeOver reports whether the
// scheduling node asked this node to take over.
func (n *Node) attach(ctx context.Context, h *holder) (takeOver bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interval := heartbeatInterval
	watchdog := time.AfterFunc(heartbeatTimeout, cancel)
	defer watchdog.Stop()
	stream, err := n.peers.client(h.Address).Attach(ctx)
	if err != nil {
		return false, err
	}
	sent := make(chan error, 1)
	advice := make(chan *cellpb.AdviceReply, outboxSize)
	intervals := make(chan time.Duration, 1)
	go func() { sent <- n.sendMessages(ctx, stream, advice, intervals) }()
	defer func() { cancel(); <-sent }()
	first := true
	for {
		m, err := stream.Recv()
		if err != nil {
			return false, err
		}
		if m.Term < h.Term {
			return false, errStaleTerm
		}
		if m.HeartbeatMs > 0 {
			interval = time.Duration(m.HeartbeatMs) * time.Millisecond
			replaceValue(intervals, interval)
		}
		watchdog.Reset(missedHeartbeats * interval)
		if first {
			first = false
			n.options.Log.Info("dependency regained", "dependency", "scheduling node", "node", m.Node, "term", m.Term)
			// Calls that are being carried may take a second; this node must be able to follow the next holder before.
			n.endedTerms.Go(func() { n.keepCarrying(ctx, h.Address) })
		}
		n.handleSchedulerMessage(h, m)
		if m.Advice != nil {
			go contain.Panics(n.options.Log, "calling the advice service", func() { n.advise(ctx, m.Advice, advice) })
		}
		if m.Resign {
			return true, nil
		}
	}
}

// handleSchedulerMessage processes a message of the scheduling node.
func (n *Node) handleSchedulerMessage(h *holder, m *cellpb.SchedulerMessage) {
	n.updateMembership(h.Address, m)
	if c := n.config.Load(); c == nil || c.Version < m.ConfigVersion {
		// The store is asked first: if all members asked the scheduling node at once, they would fill its link.
		select {
		case n.newerConfig <- struct{}{}:
		default:
		}
	}
}

// updateMembership stores the contents of a heartbeat. The numbers of waiting jobs and the members are kept until a
// heartbeat carries new ones.
func (n *Node) updateMembership(address string, m *cellpb.SchedulerMessage) {
	now := time.Now()
	next := &membership{term: m.Term, address: address, lastContact: now,
		storeAge: time.Duration(m.StoreAgeMs) * time.Millisecond}
	if old := n.membership.Load(); old != nil {
		next.members, next.waiting, next.waitingCountedAt = old.members, old.waiting, old.waitingCountedAt
	}
	if len(m.Members) > 0 {
		next.members = m.Members
	}
	if m.Counted {
		next.waiting, next.waitingCountedAt = map[string]int64{}, now
		for _, q := range m.Waiting {
			next.waiting[q.Queue] = q.Jobs
		}
	}
	n.membership.Store(next)
}

// fetchConfig fetches the configuration from other nodes in the background, so that the stream isn't blocked.
func (n *Node) fetchConfig(ctx context.Context) {
	if n.fetchingConfig.CompareAndSwap(false, true) {
		go func() {
			defer n.fetchingConfig.Store(false)
			n.fetchConfigFromPeers(ctx)
		}()
	}
}

// sendMessages sends heartbeats at the given intervals, messages about jobs and advice replies.
func (n *Node) sendMessages(ctx context.Context, stream cellpb.Cell_AttachClient, advice <-chan *cellpb.AdviceReply,
	intervals <-chan time.Duration) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	m := &cellpb.MemberMessage{Node: n.options.Name, Address: n.options.Address, Strength: n.options.Cores}
	for {
		m.StoreAgeMs, m.Leaving = n.storeAge().Milliseconds(), n.stopping.Load()
		if err := stream.Send(m); err != nil {
			return err
		}
		m = &cellpb.MemberMessage{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case interval := <-intervals:
			ticker.Reset(interval)
		case <-ticker.C:
		case m = <-n.outbox:
		case m.Advice = <-advice:
		}
	}
}

// replaceValue puts a value into a channel with a buffer of one, in place of an earlier one that hasn't been received.
func replaceValue[T any](c chan T, value T) {
	select {
	case <-c:
	default:
	}
	c <- value
}

// adviceTimeoutMargin is added to the configured duration of a call to the advice service.
const adviceTimeoutMargin = 600 * time.Millisecond

// advise calls the advice service on behalf of the scheduling node.
func (n *Node) advise(ctx context.Context, r *cellpb.AdviceRequest, out chan<- *cellpb.AdviceReply) {
	workers := make([]cell.WorkerID, len(r.Workers))
	for i, id := range r.Workers {
		workers[i] = cell.WorkerID(id)
	}
	asked := time.Now()
	timeout := time.Duration(r.DurationMs)*time.Millisecond + adviceTimeoutMargin
	tickets, validity, err := n.options.Advisor.Advise(ctx, cell.StepID{Job: cell.JobID(r.Job), Step: int(r.Step)}, workers, timeout)
	reply := &cellpb.AdviceReply{Id: r.Id, ValidityMs: validity.Milliseconds(), AskedBeforeMs: time.Since(asked).Milliseconds(), Failed: err != nil}
	if err != nil {
		n.options.Log.Warn("advice failed", "subject", r.Job, "step", r.Step, "workers", len(r.Workers), "error", err.Error())
	}
	for _, t := range tickets {
		reply.Tickets = append(reply.Tickets, &cellpb.Ticket{Worker: string(t.Worker), Value: t.Value})
	}
	select {
	case out <- reply:
	default:
		n.options.Log.Warn("advice dropped", "subject", r.Job, "step", r.Step, "reason", "the buffer to the scheduling node is full")
	}
}
