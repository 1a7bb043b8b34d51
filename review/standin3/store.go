package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	maxPageItems  = 500
	maxTxnEntries = 32
	historyLength = 20 * time.Second
	beatsToExpiry = 3 // heartbeats of silence after which a worker's entry is removed
)

// item is an entry of the store, or an event.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`

	written time.Time
}

type storeLease struct{ ttl, expires time.Duration } // expires is on the store's clock

// fate is what becomes of a call.
type fate struct {
	delay  time.Duration // of the answer
	silent bool          // no answer
	late   time.Duration // with silent: executed so much later; not executed if 0
	done   bool          // with silent: executed at once
	status int           // refused with this status
}

// store stands in for the platform's store. Each node has a listener of its own, so that calls can be told apart.
type store struct {
	started time.Time

	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	compacted int64
	leases    map[int64]*storeLease
	beats     map[string]time.Time // last heartbeat by worker
	faults    func(node int, r *http.Request) fate
}

func newStore() *store {
	return &store{started: time.Now(), revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, beats: map[string]time.Time{}}
}

// serve starts a listener for the calls of one node and returns its address.
func (s *store) serve(node int) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	for pattern, handle := range map[string]http.HandlerFunc{
		"GET /kv-key": s.get, "GET /kv-range": s.list, "GET /kv-watch": s.watch, "POST /kv-txn": s.txn, "POST /kv-lease": s.grant,
		"POST /kv-keep/{id}": s.keep, "DELETE /kv-lease-end/{id}": s.endLease,
	} {
		mux.HandleFunc(pattern, handle)
	}
	server := &http.Server{Handler: s.withFaults(node, mux)}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// setFaults sets what becomes of each further call; nil ends all faults.
func (s *store) setFaults(f func(node int, r *http.Request) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *store) withFaults(node int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		var f fate
		if faults != nil {
			f = faults(node, r)
		}
		switch {
		case f.status != 0:
			w.WriteHeader(f.status)
		case f.silent:
			body := &recorded{header: http.Header{}}
			call := detached(r)
			if f.done {
				next.ServeHTTP(body, call)
			} else if f.late > 0 {
				time.AfterFunc(f.late, func() { next.ServeHTTP(body, call) })
			}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
			time.Sleep(f.delay)
			next.ServeHTTP(w, r)
		}
	})
}

// lose returns faults that leave a share of the writes without an answer; late ones are executed up to six seconds later.
func lose(share float64, late bool) func(int, *http.Request) fate {
	return func(_ int, r *http.Request) fate {
		if r.Method != http.MethodPost || r.URL.Path != "/kv-txn" || rand.Float64() >= share {
			return fate{}
		}
		if late {
			return fate{silent: true, late: time.Second + rand.N(5*time.Second)}
		}
		return fate{silent: true, done: true}
	}
}

func (s *store) put(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, written: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.note(item{Key: key, Revision: s.revision, Tombstone: true, written: time.Now()})
	}
}

func (s *store) note(event item) {
	s.history = append(s.history, event)
	for len(s.history) > 0 && time.Since(s.history[0].written) > historyLength {
		s.compacted, s.history = s.history[0].Revision, s.history[1:]
	}
}

// write changes a key as the operator does and returns when the store has acknowledged it.
func (s *store) write(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // can't happen: the values are plain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, b, 0)
	return time.Now()
}

// beat applies a heartbeat of a worker.
func (s *store) beat(id string, entry []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	s.revision++
	s.put("servers/"+id, entry, 0)
}

// expireWorkers removes the entries of workers that are silent.
func (s *store) expireWorkers(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, last := range s.beats {
		if time.Since(last) > beatsToExpiry*interval {
			delete(s.beats, id)
			s.revision++
			s.remove("servers/" + id)
		}
	}
}

// withdraw removes the entry of a worker that has left.
func (s *store) withdraw(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, id)
	s.revision++
	s.remove("servers/" + id)
}

func (s *store) expireLeases() {
	now := time.Since(s.started)
	for id, l := range s.leases {
		if now >= l.expires {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has left
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
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
	more := len(items) > maxPageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxPageItems)], "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	for end := time.Now().Add(time.Duration(waitMS) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		events, at, gone := s.changes(r.FormValue("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !time.Now().Before(end) {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) changes(prefix string, after int64) (events []item, at int64, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	events = []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, after < s.compacted
}

type txnCall struct {
	Expected []item   `json:"expected_rev"`
	Puts     []item   `json:"puts"`
	Deletes  []string `json:"deletes"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txnCall
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Deletes) > maxTxnEntries {
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
	s.expireLeases()
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
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
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
	s.leases[s.revision] = &storeLease{ttl, time.Since(s.started) + ttl}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Since(s.started) + l.ttl
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	answer(w, http.StatusOK, map[string]any{})
}

// compact discards the history of changes.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}
