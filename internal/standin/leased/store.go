// Package leased provides stand-ins for the users' platform in tests: its store, its workers and its advice service.
// They serve HTTP on loopback and inject faults. The workers report their runs to a RunChecker, which checks
// the scheduler's guarantees as a back end would see them.
package leased

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that the store injects into a request.
type Fault int

// Faults of the store.
const (
	Healthy      Fault = iota
	Unavailable        // 503, the request has no effect
	NoResponse         // no effect and no response
	LostResponse       // the request takes effect, and the connection closes without a response
)

// Store is an in-memory stand-in for the platform's key-value store.
type Store struct {
	server *httptest.Server

	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	compacted int64 // history up to and including this revision has been discarded
	leases    map[int64]*lease
	faultFor  func(path string) Fault
	calls     int
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore starts an empty store on a free port of the loopback interface.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleGet)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTxn)
	mux.HandleFunc("POST /kv-lease", s.handleGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeepAlive)
	s.server = httptest.NewServer(s.injectFaults(mux))
	return s
}

// Address returns the store's IP and port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault sets the function that chooses the fault of each further request by its path; nil removes all faults.
func (s *Store) SetFault(f func(path string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = f
}

// Put writes a key unconditionally and without a lease, as the operator or a worker does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Value returns a key's value, if the key exists.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	i, ok := s.items[key]
	return i.Value, ok
}

// CompactHistory discards the change history, so that watches from an earlier revision get 410 Gone.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Calls returns the number of requests received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := Healthy
		if s.faultFor != nil {
			fault = s.faultFor(r.URL.Path)
		}
		s.mu.Unlock()
		switch fault {
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case NoResponse:
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			<-r.Context().Done() // the server notices a closed connection only once the body has been read
		case LostResponse:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Store) put(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// expireLeases removes expired leases and their keys. The caller holds mu.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.revision++
				s.remove(key)
			}
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler) // the client has disconnected
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

// pageSize is small, so that clients have to read several pages.
const pageSize = 20

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": hasMore, "at": s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if after < s.compacted {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
			events = append(events, i)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": s.revision})
}

type txnRequest struct {
	Expected []item   `json:"expected_rev"`
	Puts     []item   `json:"puts"`
	Deletes  []string `json:"deletes"`
}

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txnRequest
	// The platform accepts at most 32 entries in a transaction.
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Deletes) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	current, conflict := []item{}, false
	for _, e := range t.Expected {
		i := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		i.Key = e.Key
		current = append(current, i)
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
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
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTLMS})
}

func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
