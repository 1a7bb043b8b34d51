package cli

import (
	"context"
	"time"

	"sequoiastall/internal/port"
)

// fakeStore is a store in memory. Calls that publish doesn't make fail as unavailable.
type fakeStore struct {
	entries  map[string]port.Entry
	revision int64
	puts     int
	// beforePut runs before the n-th Put, from 1. Its error is returned in place of the result; apply tells whether the
	// write takes effect nevertheless.
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
	apply, lost := true, error(nil)
	if s.beforePut != nil {
		apply, lost = s.beforePut(s.puts)
	}
	if !apply {
		return 0, lost
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
	if lost != nil {
		return 0, lost
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

// fakeNodes have a revision in force from a number of asks on.
type fakeNodes struct {
	asks    int
	arrives map[string]int
	order   []string
}

func (f *fakeNodes) Revisions(context.Context, port.Store) ([]NodeRevision, error) {
	f.asks++
	var nodes []NodeRevision
	for _, name := range f.order {
		n := NodeRevision{Node: name, Error: "connection refused"}
		if at := f.arrives[name]; at > 0 && f.asks >= at {
			n = NodeRevision{Node: name, Revision: 1}
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
