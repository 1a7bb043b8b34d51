package port

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of the store, the host list and the workers. Use errors.Is.
var (
	// ErrUnavailable: the call had no effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome: the call may have taken effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrNotFound: the key doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted: the store no longer has the events that a watch asked for; call Range again.
	ErrCompacted = errors.New("watch events compacted")
	// ErrLeaseLapsed: the store lease no longer exists.
	ErrLeaseLapsed = errors.New("store lease lapsed")
)

// ConflictError reports that the condition of a write failed and nothing was written.
type ConflictError struct {
	Key     string
	Current *Entry // nil if the key is absent
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("conflict on %s: key is absent", e.Key)
	}
	return fmt.Sprintf("conflict on %s: current revision is %d", e.Key, e.Current.Revision)
}

// Entry is a key with its value and the store revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Condition is the precondition of a write.
type Condition int

// Conditions of a write.
const (
	Always Condition = iota
	IfAbsent
	IfRevision
)

// Write is a conditional write of one key.
type Write struct {
	Key       string
	Value     []byte
	Condition Condition
	Revision  int64   // for IfRevision
	Lease     LeaseID // 0 for none
}

// LeaseID identifies a store lease. Keys written under it are deleted when it lapses.
type LeaseID int64

// WatchEvent is one change of a key.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
}

// Store is the platform's key-value store. Each method makes one call; a watch is one call that stays open.
// Reads fail with ErrUnavailable; writes with ErrUnavailable, ErrUnknownOutcome or *ConflictError.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error) // ErrNotFound if absent
	// Range returns the entries below prefix in key order and the store's revision at the time.
	Range(ctx context.Context, prefix string) ([]Entry, int64, error)
	Put(ctx context.Context, w Write) (revision int64, err error)
	// Delete removes a key; ifRevision 0 is unconditional.
	Delete(ctx context.Context, key string, ifRevision int64) error
	// Grant creates a store lease that lapses after ttl unless KeepAlive renews it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a store lease. It fails with ErrLeaseLapsed if the lease no longer exists.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch calls handle with the events below prefix after the given revision, in order, until ctx ends, the watch
	// fails or handle returns an error. A watch may stop delivering events without failing.
	Watch(ctx context.Context, prefix string, after int64, handle func([]WatchEvent) error) error
}

// HostState is the platform's view of a host.
type HostState int

// States of a host.
const (
	HostLive HostState = iota
	HostLeaving
	HostDead
)

// String returns the state's name.
func (s HostState) String() string { return [...]string{"live", "leaving", "dead"}[s] }

// Host is a worker's entry in the host list.
type Host struct {
	ID      string
	Zone    string
	Rack    string
	Address string // IP:port of the worker's agent
	State   HostState
}

// HostList is the platform's list of hosts, which lags behind their actual state.
type HostList interface {
	List(ctx context.Context) ([]Host, error)
}
