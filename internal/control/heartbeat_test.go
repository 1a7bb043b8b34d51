package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// newMemberCell returns the members of a term with n attached nodes. No heartbeat has been sent yet, and the greetings
// have been received.
func newMemberCell(t *testing.T, n int) *members {
	node, _, _ := newIsolatedNode()
	ctx, end := context.WithCancelCause(t.Context())
	t.Cleanup(func() { end(nil) })
	s := &activeTerm{node: node, term: &term{number: 4}, ctx: ctx, end: end, events: make(chan func(), eventBuffer)}
	s.core = cell.New(cell.Options{}, decisionLog{node.options.Log, node.metrics})
	s.advice = &advicePool{s: s, inFlight: map[int64]adviceCall{}}
	s.members = newMembers(s)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case event := <-s.events:
				event()
			}
		}
	}()
	s.loaded.Store(true)
	for i := range n {
		s.members.join(&cellpb.MemberMessage{Node: fmt.Sprintf("front-zone-a-%03d", i), Address: fmt.Sprintf("10.1.0.%d:7420", i), Strength: 0.4})
	}
	return s.members
}

// drain returns the messages that a member would receive, and their size.
func drain(x *member) (messages []*cellpb.SchedulerMessage, bytes int) {
	for {
		select {
		case m := <-x.out:
			messages = append(messages, m)
			bytes += proto.Size(m)
		default:
			return messages, bytes
		}
	}
}

// Guards against heartbeats whose total size grows with the square of the number of members, which fills the link of the
// scheduling node in a large cell.
func TestHeartbeatBytesGrowWithMembersOnly(t *testing.T) {
	total := map[int]int{}
	for _, n := range []int{30, 300} {
		m := newMemberCell(t, n)
		m.sendHeartbeats() // the succession is announced
		for _, x := range m.list {
			drain(x)
		}
		m.countedAt = time.Now().Add(time.Hour) // without the numbers of waiting jobs, which depend on the queues
		for range 20 {
			m.sendHeartbeats()
		}
		for _, x := range m.list {
			_, bytes := drain(x)
			total[n] += bytes
		}
	}
	assert.Assert(t, total[300] < 10*total[30], "%v", total)
}

// Guards against a member that learns neither the succession nor its heartbeat interval, and against one whose heartbeats
// come later than announced.
func TestMembersHearSuccessionAndInterval(t *testing.T) {
	m := newMemberCell(t, 130)
	m.sendHeartbeats()
	m.countedAt = time.Now().Add(time.Hour)
	for i, x := range m.list {
		messages, _ := drain(x)
		interval, members := int64(0), 0
		for _, message := range messages {
			if message.HeartbeatMs > 0 {
				interval = message.HeartbeatMs
			}
			members = max(members, len(message.Members))
		}
		assert.Equal(t, members, maxSuccession)
		expected := int64(100)
		if i >= promptMembers {
			expected = 300
		}
		assert.Equal(t, interval, expected)
	}
	for range 30 {
		m.sendHeartbeats()
	}
	first, _ := drain(m.list[0])
	last, _ := drain(m.list[129])
	assert.Equal(t, len(first), 30)
	assert.Equal(t, len(last), 10)
}

// Guards against members that all ask the scheduling node for a new configuration at once: each reads the store.
func TestNewerConfigurationIsReadFromTheStore(t *testing.T) {
	node, _, _ := newIsolatedNode()
	source := &countingSource{}
	node.options.ConfigSource = source
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { node.pollConfig(ctx); close(ended) }()
	waitUntil(t, func() bool { return source.reads.Load() == 1 })
	node.handleSchedulerMessage(&holder{Address: "127.0.0.1:1"}, &cellpb.SchedulerMessage{Term: 1, ConfigVersion: 9})
	waitUntil(t, func() bool { return source.reads.Load() > 1 })
	assert.Assert(t, !node.fetchingConfig.Load())
	cancel()
	<-ended
}

// countingSource counts the reads of the configuration.
type countingSource struct {
	port.ConfigSource
	reads atomic.Int64
}

func (c *countingSource) Configuration(context.Context) (*cell.Config, []byte, error) {
	c.reads.Add(1)
	return cell.NewConfig(cell.Config{Version: 2}), nil, nil
}
