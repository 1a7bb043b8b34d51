package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/cellpb"
)

// slowStore answers each read after a delay, and counts the reads of single records.
type slowStore struct {
	port.TxnStore
	delay time.Duration
	gets  int
	jobs  []port.WatchEvent
}

func (s *slowStore) Get(_ context.Context, key string) (port.Entry, error) {
	time.Sleep(s.delay)
	s.gets++
	return jobEntry(key[len(storekey.Jobs):]), nil
}

func (s *slowStore) Changes(context.Context, string, int64, time.Duration) ([]port.WatchEvent, int64, error) {
	time.Sleep(s.delay)
	return s.jobs, 9, nil
}

func jobEntry(id string) port.Entry {
	record, err := cell.EncodeJob(cell.Job{ID: cell.JobID(id), Steps: []cell.Step{{Count: 1}}})
	if err != nil {
		panic(err) // can't happen: every field can be encoded
	}
	return port.Entry{Key: storekey.Jobs + id, Value: record, Revision: 2}
}

// Guards against a cancellation that reaches the scheduler seconds late, because the records of hundreds of jobs that it
// doesn't know are read one after the other from a slow store.
func TestCancellationDoesNotWaitForUnknownJobs(t *testing.T) {
	m := newMemberCell(t, 0)
	s := m.s
	s.committer = newCommitter(s)
	store := &slowStore{delay: 50 * time.Millisecond}
	s.node.options.Store = store
	s.query(t.Context(), func() { s.addJob(jobEntry("known"), nil) })
	reply := &cellpb.JobsReply{Revision: 9, Canceled: []string{"known"}}
	for i := range 200 {
		id := fmt.Sprint("unknown-", i)
		reply.Accepted = append(reply.Accepted, id)
		store.jobs = append(store.jobs, port.WatchEvent{Entry: jobEntry(id)})
	}
	entries, at, err := s.resolveJobs(reply, 5)
	assert.NilError(t, err)
	assert.Equal(t, at, int64(9))
	assert.Equal(t, len(entries), 200)
	assert.Equal(t, store.gets, 0)
	var state cell.JobState
	s.query(t.Context(), func() { state = s.core.State("known") })
	assert.Equal(t, state.Phase, cell.Canceled)
}

// Guards against jobs that stay unknown to the scheduler although they are durable, and against a cancellation that comes
// with its job and is dropped.
func TestDelegateFindsJobsWhoseMessagesWereLost(t *testing.T) {
	m := newMemberCell(t, 0)
	s := m.s
	s.committer = newCommitter(s)
	s.node.options.Store = &slowStore{}
	entries, _, err := s.resolveJobs(&cellpb.JobsReply{Revision: 9, Accepted: []string{"a", "b"}, Canceled: []string{"b"}}, 5)
	assert.NilError(t, err)
	states := map[string]cell.JobState{}
	s.query(t.Context(), func() {
		s.applyEntries(entries, nil)
		for _, id := range []string{"a", "b"} {
			states[id] = s.core.State(cell.JobID(id))
		}
	})
	assert.Equal(t, states["a"].Phase, cell.Pending)
	assert.Equal(t, states["b"].Phase, cell.Canceled)
}

// Guards against a job that runs although its cancellation was acknowledged: after the store has discarded its history, the
// scheduling node reads all records, and a cancellation's key comes before that of its job.
func TestCancellationsReadBeforeTheirJobsCount(t *testing.T) {
	m := newMemberCell(t, 0)
	s := m.s
	s.committer = newCommitter(s)
	var state cell.JobState
	s.query(t.Context(), func() {
		s.applyEntries([]port.Entry{{Key: storekey.Cancel("a")}, jobEntry("a")}, nil)
		state = s.core.State("a")
	})
	assert.Equal(t, state.Phase, cell.Canceled)
}

// Guards against the same where the messages of two nodes arrive in the other order: one has accepted the job, the other
// has acknowledged its cancellation.
func TestCancellationReportedBeforeItsJobCounts(t *testing.T) {
	m := newMemberCell(t, 0)
	s := m.s
	s.committer = newCommitter(s)
	accepted := jobEntry("a")
	s.members.handleMessage(&member{}, &cellpb.MemberMessage{CanceledJob: "a"})
	s.members.handleMessage(&member{}, &cellpb.MemberMessage{AcceptedJob: accepted.Value, Revision: accepted.Revision})
	var state cell.JobState
	s.query(t.Context(), func() { state = s.core.State("a") })
	assert.Equal(t, state.Phase, cell.Canceled)
}
