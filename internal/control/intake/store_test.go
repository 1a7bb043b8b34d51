package intake

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// memoryStore is a store in memory. It keeps transactions for later, as the platform's store may.
type memoryStore struct {
	port.TxnStore

	mu       sync.Mutex
	revision int64
	entries  map[string]memoryEntry
	leaseEnd map[port.LeaseID]time.Time
	commits  int
	slow     time.Duration // of each transaction
	hold     bool          // transactions get no answer and aren't carried out until release
	held     []port.Txn
}

type memoryEntry struct {
	port.Entry
	lease port.LeaseID
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, entries: map[string]memoryEntry{}, leaseEnd: map[port.LeaseID]time.Time{}}
}

func (m *memoryStore) Grant(_ context.Context, ttl time.Duration) (port.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.leaseEnd[port.LeaseID(m.revision)] = time.Now().Add(ttl)
	return port.LeaseID(m.revision), nil
}

func (m *memoryStore) Commit(_ context.Context, t port.Txn) (int64, error) {
	time.Sleep(m.slow)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	if m.hold {
		m.held = append(m.held, t)
		return 0, port.ErrUnknownOutcome
	}
	return m.carryOut(t)
}

// writes returns the number of changes so far. Each grant and each transaction is one.
func (m *memoryStore) writes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// release carries out the transactions that were held.
func (m *memoryStore) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hold = false
	for _, t := range m.held {
		_, _ = m.carryOut(t) // nobody waits for the outcome
	}
	m.held = nil
}

func (m *memoryStore) carryOut(t port.Txn) (int64, error) {
	m.expire()
	conflict := &port.TxnConflictError{}
	failed := false
	for _, e := range t.Conditions {
		current, exists := m.entries[e.Key]
		if exists {
			conflict.Current = append(conflict.Current, current.Entry)
		}
		failed = failed || current.Revision != e.Revision
	}
	if failed {
		return 0, conflict
	}
	for _, p := range t.Puts {
		if _, exists := m.leaseEnd[p.Lease]; p.Lease != 0 && !exists {
			return 0, port.ErrLeaseLapsed
		}
	}
	m.revision++
	for _, p := range t.Puts {
		m.entries[p.Key] = memoryEntry{port.Entry{Key: p.Key, Value: p.Value, Revision: m.revision}, p.Lease}
	}
	return m.revision, nil
}

func (m *memoryStore) expire() {
	for id, end := range m.leaseEnd {
		if time.Now().Before(end) {
			continue
		}
		delete(m.leaseEnd, id)
		for key, e := range m.entries {
			if e.lease == id {
				delete(m.entries, key)
			}
		}
	}
}

// count returns the number of keys with a prefix.
func (m *memoryStore) count(prefix string) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	for key := range m.entries {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// newTestIntake returns the intake of a node that uses a store, with an open window.
func newTestIntake(t *testing.T, store *memoryStore) *Intake {
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	i := New(Options{Node: fmt.Sprint("node-", store.revision), Store: NewLeasedStore(store, time.Second), StoreAvailable: func() bool { return true },
		Log: log, Metrics: telemetry.NewRegistry(log)})
	assert.NilError(t, i.OpenWindow(t.Context()))
	return i
}

// accept submits job a of a team.
func accept(t *testing.T, i *Intake, team string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := i.Accept(ctx, Submission{ID: "a", Team: team, Record: []byte("record")})
	return err
}

// forbid cancels a job that doesn't exist.
func forbid(t *testing.T, i *Intake, id cell.JobID, team string) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return i.Forbid(ctx, id, team)
}
