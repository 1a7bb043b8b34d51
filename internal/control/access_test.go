package control

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/control/storekey"
	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// recordStore is a store of given records, in which every transaction succeeds.
type recordStore struct {
	port.TxnStore
	records map[string][]byte
	commits int
}

func (r *recordStore) Get(_ context.Context, key string) (port.Entry, error) {
	if b, ok := r.records[key]; ok {
		return port.Entry{Key: key, Value: b, Revision: 1}, nil
	}
	return port.Entry{}, port.ErrNotFound
}

func (r *recordStore) Commit(context.Context, port.Txn) (int64, error) {
	r.commits++
	return 2, nil
}

// Guards against callers who see or cancel the jobs of others: a caller without a key reaches only jobs that were
// submitted without one, and a team's key only those and the team's own. This holds for jobs that are pending, in
// progress and ended.
func TestCallersReachOnlyTheirJobs(t *testing.T) {
	for _, test := range []struct {
		caller, owner string
		access        bool
	}{
		{"red", "red", true}, {"red", "blue", false}, {"", "red", false}, {"", "", true}, {"red", "", true},
	} {
		job, err := cell.EncodeJob(cell.Job{ID: "a", Team: test.owner, Steps: []cell.Step{{Count: 1}}})
		assert.NilError(t, err)
		for name, records := range map[string]map[string][]byte{
			"pending": {storekey.Job("a"): job},
			"running": {storekey.Job("a"): job, storekey.ProgressOf("a"): []byte(`{"v":1,"phase":"running"}`)},
			"ended":   {storekey.Done("a"): []byte(`{"v":1,"phase":"completed","team":"` + test.owner + `"}`)},
		} {
			n, _, _ := newIsolatedNode()
			store := &recordStore{records: records}
			n.store.TxnStore = store
			_, known, err := n.State(t.Context(), "a", test.caller)
			assert.NilError(t, err)
			assert.Equal(t, known, test.access, "%s job of %q read by %q", name, test.owner, test.caller)
			known, err = n.Cancel(t.Context(), "a", test.caller)
			assert.NilError(t, err)
			assert.Equal(t, known, test.access, "%s job of %q canceled by %q", name, test.owner, test.caller)
			assert.Equal(t, store.commits, map[bool]int{true: 1}[test.access && name != "ended"])
		}
	}
}

// Guards against a malformed configuration that opens the circuit to the store or replaces the valid one.
func TestMalformedConfigurationLeavesStoreAvailable(t *testing.T) {
	n, _, _ := newIsolatedNode()
	source := &malformedSource{polled: make(chan struct{}, 100)}
	n.options.ConfigSource = source
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { n.pollConfig(ctx); close(ended) }()
	for range circuitOpenThreshold + 1 {
		<-source.polled
		n.newerConfig <- struct{}{}
	}
	cancel()
	<-ended
	assert.Assert(t, n.storeAvailable())
	assert.Equal(t, n.Config().Version, int64(1))
}

type malformedSource struct {
	port.ConfigSource
	polled chan struct{}
}

func (m *malformedSource) Configuration(context.Context) (*cell.Config, []byte, error) {
	m.polled <- struct{}{}
	return nil, nil, port.ErrMalformed
}
