//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It follows PROTOCOL.md; its limits on the rate of calls are not
// reached by these cases and not checked.
type store struct {
	address string

	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	compacted int64         // the history up to this revision has been discarded
	changed   chan struct{} // closed and replaced at each change
	leases    map[int64]*storeLease
	beats     map[string]time.Time // last heartbeat of each registry entry
	muted     int64                // while above 0, watches show nothing after this revision
	// loseAnswer reports whether the answer to an executed transaction is lost.
	loseAnswer func(puts []item) bool
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

const (
	heartbeat    = 1500 * time.Millisecond
	missedBeats  = 3
	maxRangeRows = 500
	maxTxn       = 32
)

func newStore(ip string) (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, beats: map[string]time.Time{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	if strings.HasPrefix(key, "servers/") {
		s.beats[key] = time.Now()
	}
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.erase(key)
	s.notify()
}

// mute makes watches hear nothing from now on.
func (s *store) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = s.revision
}

// compact ends a mute and discards the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.history, s.compacted = 0, nil, s.revision
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) erase(key string) {
	delete(s.beats, key)
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// expire removes the keys of ended leases, and registry entries after three heartbeat intervals of silence.
func (s *store) expire() {
	now := time.Now()
	var gone []string
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				gone = append(gone, key)
			}
		}
	}
	for key, at := range s.beats {
		if now.Sub(at) >= missedBeats*heartbeat {
			gone = append(gone, key)
		}
	}
	for _, key := range gone {
		s.revision++
		s.erase(key)
		s.notify()
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have closed the connection
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			rows = append(rows, i)
		}
	}
	slices.SortFunc(rows, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > maxRangeRows
	answer(w, http.StatusOK, map[string]any{"items": rows[:min(len(rows), maxRangeRows)], "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		at, events := s.revision, []item{}
		if s.muted > 0 {
			at = max(after, s.muted)
		}
		for _, i := range s.history {
			if i.Revision > after && i.Revision <= at && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if last || len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected_rev"`
		Puts     []item   `json:"puts"`
		Deletes  []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Deletes) > maxTxn {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, conflict := []item{}, false
	for _, e := range t.Expected {
		i := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		i.Key = e.Key
		current = append(current, i)
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.erase(key)
	}
	s.notify()
	if s.loseAnswer != nil && s.loseAnswer(t.Puts) {
		panic(http.ErrAbortHandler) // executed; the connection returns nothing further
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.expires = time.Now()
	}
	s.expire()
	w.WriteHeader(http.StatusOK)
}
