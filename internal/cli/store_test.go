package cli

import (
	"context"
	"time"

	"sequoiastall/internal/port"
)

// fakeStore is an in-memory store. The methods that publish doesn't call return ErrUnavailable.
type fakeStore struct {
	entries  map[string]port.Entry
	revision int64
	puts     int
	// beforePut, if set, runs before the n-th Put, counted from 1. If it returns an error, Put returns that error instead of
	// its result. apply reports whether the write takes effect in any case.
	beforePut func(n int) (apply bool, err error)
	getErr    error
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]port.Entry{}} }

func (s *fakeStore) Get(_ context.Context, key string) (port.Entry, error) {
	if s.getErr != nil {
		return port.Entry{}, s.getErr
	}
	e, ok := s.entries[key]
	if !ok {
		return port.Entry{}, port.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) Put(_ context.Context, w port.Write) (int64, error) {
	s.puts++
	apply, putErr := true, error(nil)
	if s.beforePut != nil {
		apply, putErr = s.beforePut(s.puts)
	}
	if !apply {
		return 0, putErr
	}
	e, exists := s.entries[w.Key]
	var err error
	if w.Condition == port.IfAbsent && exists || w.Condition == port.IfRevision && e.Revision != w.Revision {
		err = &port.ConflictError{Key: w.Key}
		if exists {
			err = &port.ConflictError{Key: w.Key, Current: &e}
		}
	} else {
		s.revision++
		s.entries[w.Key] = port.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	if putErr != nil {
		return 0, putErr
	}
	return s.revision, err
}

func (s *fakeStore) Range(context.Context, string) ([]port.Entry, int64, error) {
	return nil, 0, port.ErrUnavailable
}
func (s *fakeStore) Delete(context.Context, string, int64) error { return port.ErrUnavailable }
func (s *fakeStore) Grant(context.Context, time.Duration) (port.LeaseID, error) {
	return 0, port.ErrUnavailable
}
func (s *fakeStore) KeepAlive(context.Context, port.LeaseID) error { return port.ErrUnavailable }
func (s *fakeStore) Watch(context.Context, string, int64, func([]port.WatchEvent) error) error {
	return port.ErrUnavailable
}

// fakeRevisions reports revision 1 as in force at a node from the call of Revisions with the number in inForceAt on. Before
// that, or without a number, it reports the node as unreachable.
type fakeRevisions struct {
	calls     int
	inForceAt map[string]int
	names     []string
}

func (f *fakeRevisions) Revisions(context.Context, port.Store) ([]NodeRevision, error) {
	f.calls++
	var nodes []NodeRevision
	for _, name := range f.names {
		n := NodeRevision{Node: name, Error: "connection refused"}
		if at := f.inForceAt[name]; at > 0 && f.calls >= at {
			n = NodeRevision{Node: name, Revision: 1}
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
