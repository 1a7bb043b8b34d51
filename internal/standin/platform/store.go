package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/rpc/platformpb"
)

// lease is a store lease with the keys written under it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

// Get implements platformpb.StoreServer.
func (s *Server) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	if err := s.beginCall(ctx, &s.counters.Gets); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[r.Key]
	return &platformpb.GetResponse{Found: ok, Entry: e}, nil
}

// Range implements platformpb.StoreServer.
func (s *Server) Range(ctx context.Context, r *platformpb.RangeRequest) (*platformpb.RangeResponse, error) {
	if err := s.beginCall(ctx, &s.counters.Ranges); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	out := &platformpb.RangeResponse{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, r.Prefix) {
			out.Entries = append(out.Entries, s.entries[key])
		}
	}
	return out, nil
}

// Put implements platformpb.StoreServer.
func (s *Server) Put(ctx context.Context, r *platformpb.PutRequest) (*platformpb.PutResponse, error) {
	if err := s.beginCall(ctx, &s.counters.Puts); err != nil {
		return nil, err
	}
	if r.Key == "" {
		return nil, status.Error(codes.InvalidArgument, "key is empty")
	}
	if len(r.Value) > MaxValueBytes {
		return nil, status.Errorf(codes.InvalidArgument, "value of %s has %d bytes, the limit is %d", r.Key, len(r.Value), MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	old := s.entries[r.Key]
	ok, err := conditionHolds(r, old)
	if err != nil {
		return nil, err
	}
	if !ok {
		return &platformpb.PutResponse{Revision: s.revision, Current: old}, nil
	}
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return nil, status.Errorf(codes.FailedPrecondition, "lease %d doesn't exist", r.Lease)
	}
	s.write(&platformpb.Entry{Key: r.Key, Value: slices.Clone(r.Value), Lease: r.Lease}, false)
	if err := s.loseAnswer(); err != nil {
		return nil, err
	}
	return &platformpb.PutResponse{Applied: true, Revision: s.revision}, nil
}

func conditionHolds(r *platformpb.PutRequest, old *platformpb.Entry) (bool, error) {
	switch r.Condition {
	case platformpb.PutRequest_ALWAYS:
		return true, nil
	case platformpb.PutRequest_IF_ABSENT:
		return old == nil, nil
	case platformpb.PutRequest_IF_REVISION:
		return old != nil && old.Revision == r.Revision, nil
	}
	return false, status.Errorf(codes.InvalidArgument, "condition %d is not defined", r.Condition)
}

// Delete implements platformpb.StoreServer. Deleting an absent key unconditionally applies and changes nothing.
func (s *Server) Delete(ctx context.Context, r *platformpb.DeleteRequest) (*platformpb.DeleteResponse, error) {
	if err := s.beginCall(ctx, &s.counters.Deletes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	old := s.entries[r.Key]
	if r.IfRevision != 0 && (old == nil || old.Revision != r.IfRevision) {
		return &platformpb.DeleteResponse{Revision: s.revision, Current: old}, nil
	}
	if old != nil {
		s.write(&platformpb.Entry{Key: r.Key}, true)
	}
	if err := s.loseAnswer(); err != nil {
		return nil, err
	}
	return &platformpb.DeleteResponse{Applied: true, Revision: s.revision}, nil
}

// write applies one change under the next revision and records its event. Entries are never modified afterwards, so
// that responses may share them. The caller holds s.mu.
func (s *Server) write(e *platformpb.Entry, deleted bool) {
	s.revision++
	e.Revision = s.revision
	if old := s.entries[e.Key]; old != nil && s.leases[old.Lease] != nil {
		delete(s.leases[old.Lease].keys, e.Key)
	}
	if deleted {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = e
		if l := s.leases[e.Lease]; l != nil {
			l.keys[e.Key] = struct{}{}
		}
	}
	s.events = append(s.events, &platformpb.WatchEvent{Entry: e, Deleted: deleted})
	if drop := len(s.events) - s.maxEvents; drop > 0 {
		s.compacted = s.events[drop-1].Entry.Revision
		s.events = slices.Delete(s.events, 0, drop)
	}
	s.broadcast()
}

// Grant implements platformpb.StoreServer.
func (s *Server) Grant(ctx context.Context, r *platformpb.GrantRequest) (*platformpb.GrantResponse, error) {
	if err := s.beginCall(ctx, &s.counters.Grants); err != nil {
		return nil, err
	}
	ttl := time.Duration(r.TtlMs) * time.Millisecond
	if ttl <= 0 {
		return nil, status.Errorf(codes.InvalidArgument, "lease of %d ms is not positive", r.TtlMs)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, errDown
	}
	s.lastLease++
	s.leases[s.lastLease] = &lease{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
		timer:   time.AfterFunc(ttl, s.onLeaseTimer),
		keys:    map[string]struct{}{},
	}
	if err := s.loseAnswer(); err != nil {
		return nil, err
	}
	return &platformpb.GrantResponse{Lease: s.lastLease}, nil
}

// KeepAlive implements platformpb.StoreServer.
func (s *Server) KeepAlive(ctx context.Context, r *platformpb.KeepAliveRequest) (*platformpb.KeepAliveResponse, error) {
	if err := s.beginCall(ctx, &s.counters.KeepAlives); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[r.Lease]
	if l == nil {
		return &platformpb.KeepAliveResponse{}, nil
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return &platformpb.KeepAliveResponse{Alive: true}, nil
}

func (s *Server) onLeaseTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// expireLeases removes expired leases and deletes their keys. Leases also expire while the store is down. The caller
// holds s.mu.
func (s *Server) expireLeases() {
	if s.stopped {
		return
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		if now.Before(l.expires) {
			continue
		}
		l.timer.Stop()
		for _, key := range slices.Sorted(maps.Keys(l.keys)) {
			s.write(&platformpb.Entry{Key: key}, true)
		}
		delete(s.leases, id)
	}
}
