package control

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// unresponsiveStore answers no call. It counts the transactions.
type unresponsiveStore struct {
	port.TxnStore
	commits atomic.Int64
}

func (s *unresponsiveStore) Commit(context.Context, port.Txn) (int64, error) {
	s.commits.Add(1)
	return 0, errors.Wrap(port.ErrUnknownOutcome, "no answer")
}

// unresponsiveConfigSource answers no call. It counts the calls.
type unresponsiveConfigSource struct {
	port.ConfigSource
	calls atomic.Int64
}

func (s *unresponsiveConfigSource) Configuration(context.Context) (*cell.Config, []byte, error) {
	s.calls.Add(1)
	return nil, nil, errors.Wrap(port.ErrUnavailable, "no answer")
}

func newIsolatedNode() (*Node, *unresponsiveStore, *unresponsiveConfigSource) {
	store, source := &unresponsiveStore{}, &unresponsiveConfigSource{}
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	n := New(Options{Name: "a", Address: "127.0.0.1:1", Store: store, ConfigSource: source, Log: log, Metrics: telemetry.NewRegistry(log)})
	n.config.Store(&activeConfig{Config: cell.NewConfig(cell.Config{Version: 1})})
	n.store.TxnStore = &recordStore{}
	if err := n.intake.OpenWindow(context.Background()); err != nil {
		panic(err) // the store accepts every transaction
	}
	n.store.TxnStore = store
	return n, store, source
}

// While the circuit to the store is open, a job must be refused without delay, and its record must not be sent: a
// record that is written after all would run a job whose caller was told that it never runs.
func TestSubmitRefusedImmediatelyWhileStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, store, _ := newIsolatedNode()
		n.storeFailures.Store(circuitOpenThreshold)
		began := time.Now()
		err := n.Submit(t.Context(), cell.Job{ID: "a"})
		assert.ErrorIs(t, err, port.ErrNotAccepted)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, store.commits.Load(), int64(0))
	})
}

// A job whose record may have been written must not be refused.
func TestUndecidedJobIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, store, _ := newIsolatedNode()
		assert.ErrorIs(t, n.Submit(t.Context(), cell.Job{ID: "a"}), port.ErrAcceptanceUnknown)
		assert.Equal(t, store.commits.Load(), int64(circuitOpenThreshold))
	})
}

// Asking unresponsive nodes for the configuration one after another must not delay the next call to the store, or the
// node doesn't notice that the store answers again.
func TestUnresponsiveNodesDoNotDelayConfigPoll(t *testing.T) {
	n, _, source := newIsolatedNode()
	members := make([]string, 20)
	for i := range members {
		hanging, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer hanging.Close()
		members[i] = hanging.Addr().String()
	}
	n.membership.Store(&membership{address: members[0], members: members, lastContact: time.Now()})
	ctx, cancel := context.WithCancel(t.Context())
	polled := make(chan struct{})
	go func() { defer close(polled); n.pollConfig(ctx) }()
	for source.calls.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, n.fetchingConfig.Load(), "the other nodes are still being asked")
	cancel()
	<-polled
	n.peers.close()
}

// Records must not queue behind a few slow transactions, and a fast store must not get one call for each record.
func TestSlowStoreIsUsedInParallel(t *testing.T) {
	for _, c := range []struct {
		busy, jobs int
		begin      bool
	}{{0, 0, false}, {baseTxns - 1, 1, true}, {baseTxns, 1, false}, {baseTxns, minBacklogForExtraTxn, true}, {maxTxns, 100, false}} {
		assert.Equal(t, (&committer{inFlight: c.busy}).mayStart(c.jobs), c.begin, "%v", c)
	}
}
