package stand2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is the platform's metadata store: linearizable, without faults of its own.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{} // Closed and replaced at each change.
	busy     atomic.Bool
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

const (
	pageItems = 500
	maxWait   = 30 * time.Second
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// Serve serves the store's calls on an address.
func (s *Store) Serve(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transaction)
	go http.Serve(l, s.unlessBusy(mux)) //nolint:errcheck // It ends with the process.
	return nil
}

// SetBusy sets whether the store is down: it answers every call with 503, and ends the watches that wait.
func (s *Store) SetBusy(on bool) {
	s.busy.Store(on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

func (s *Store) unlessBusy(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.busy.Load() {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.wake()
}

// set writes a key at the current revision. The lock must be held.
func (s *Store) set(key string, value []byte) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": at})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"currentRev"`
	}{i, at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "morePages": more, "currentRev": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	until := time.After(min(time.Duration(ms)*time.Millisecond, maxWait))
	for {
		if s.busy.Load() {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("pathPrefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": at})
			return
		}
		select {
		case <-changed:
		case <-until:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []item   `json:"expectedRev"`
		SetKeys     []item   `json:"setKeys"`
		Remove      []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	s.revision++
	for _, i := range t.SetKeys {
		s.set(i.Key, i.Value)
	}
	for _, k := range t.Remove {
		delete(s.items, k)
		s.events = append(s.events, item{Key: k, Revision: s.revision, Tombstone: true})
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have left.
}
