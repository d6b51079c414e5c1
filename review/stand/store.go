package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: keys, ranges, watches and transactions
// without leases. It never loses what it acknowledged.
type Store struct {
	address string
	mu      sync.Mutex
	items   map[string]item
	log     []item
	rev     uint64
	changed chan struct{} // Closed and replaced at each change.
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// NewStore starts a store at an address.
func NewStore(address string) (*Store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Store{address: l.Addr().String(), items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.rangeItems)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transaction)
	go func() { _ = http.Serve(l, mux) }() // Ends with the process.
	return s, nil
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.address }

// Put writes a key, as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, value)
	s.wake()
}

func (s *Store) set(key string, value []byte) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.rev, Created: created}
	s.items[key] = i
	s.log = append(s.log, i)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The node may have gone.
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"currentRev"`
	}{i, s.rev})
}

func (s *Store) rangeItems(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	found := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": found, "morePages": false, "currentRev": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.log {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-until:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	s.rev++
	for _, k := range t.SetKeys {
		s.set(k.Key, k.Value)
	}
	for _, k := range t.Remove {
		delete(s.items, k)
		s.log = append(s.log, item{Key: k, Revision: s.rev, Tombstone: true})
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}
