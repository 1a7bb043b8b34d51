package platform

import (
	"sort"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiastall/internal/rpc/platformpb"
)

// watch is one open watch. Server.mu guards it.
type watch struct {
	prefix string
	after  int64 // revision up to which events were delivered or didn't match
	silent bool
}

// Watch implements platformpb.StoreServer.
func (s *Server) Watch(r *platformpb.WatchRequest, stream grpc.ServerStreamingServer[platformpb.WatchResponse]) error {
	ctx := stream.Context()
	if err := s.beginCall(ctx, &s.counters.Watches); err != nil {
		return err
	}
	w := &watch{prefix: r.Prefix, after: r.AfterRevision}
	s.mu.Lock()
	w.silent = s.faults.SilentWatches
	s.watches[w] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches, w)
		s.mu.Unlock()
	}()
	for {
		out, changed, delay, err := s.nextDelivery(w)
		if err != nil {
			return err
		}
		if out == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return status.FromContextError(ctx.Err()).Err()
			}
		}
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return status.FromContextError(ctx.Err()).Err()
			}
		}
		if err := stream.Send(out); err != nil {
			return err
		}
		if out.Compacted {
			return nil
		}
	}
}

// nextDelivery returns the next response of the watch and the delay before it is sent, or nil and a channel that closes
// at the next change.
func (s *Server) nextDelivery(w *watch) (*platformpb.WatchResponse, <-chan struct{}, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, nil, 0, status.Error(codes.Unavailable, "platform is stopping")
	}
	if w.silent || s.faults.Down == Hang {
		return nil, s.changed, 0, nil
	}
	if s.faults.Down == Fail {
		return nil, nil, 0, errDown
	}
	if w.after < s.compacted {
		return &platformpb.WatchResponse{Compacted: true}, nil, s.faults.Delay, nil
	}
	out := &platformpb.WatchResponse{}
	// Events are in order of revision, so a binary search finds the first new one; a scan of all events for each watch
	// and write would dominate the cost in a large cell.
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Entry.Revision > w.after })
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Entry.Key, w.prefix) {
			out.Events = append(out.Events, e)
		}
	}
	w.after = max(w.after, s.revision)
	if len(out.Events) == 0 {
		return nil, s.changed, 0, nil
	}
	return out, nil, s.faults.Delay, nil
}
