package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eiderfold/memory"
	"eiderfold/port"
)

// MetadataFaults is what is wrong with a Metadata store.
type MetadataFaults struct {
	Busy       bool          `json:"busy"`        // Every call gets 503.
	Silent     bool          `json:"silent"`      // No call gets an answer.
	LoseWrites bool          `json:"lose_writes"` // Writes are done and not answered.
	Deaf       bool          `json:"deaf"`        // Watches hear nothing until they end.
	Delay      time.Duration `json:"delay"`
	Refuse     []string      `json:"refuse"` // Addresses of nodes that get 429.
}

// Metadata is the users' platform's store, as their published protocol says.
type Metadata struct {
	directory *memory.Directory
	faults    atomic.Pointer[MetadataFaults]
	calls     atomic.Int64
	mux       *http.ServeMux
}

// maxMetadataWait is the longest wait of a watch that the protocol allows.
const maxMetadataWait = 30 * time.Second

// NewMetadata returns an empty store without faults.
func NewMetadata() *Metadata {
	m := &Metadata{directory: memory.NewDirectory(time.Now), mux: http.NewServeMux()}
	m.faults.Store(&MetadataFaults{})
	for pattern, handler := range map[string]http.HandlerFunc{
		"GET /-/kv-key":                m.key,
		"GET /-/kv-range":              m.items,
		"GET /-/kv-watch":              m.watch,
		"POST /-/kv-txn":               m.transaction,
		"POST /-/kv-lease":             m.lease,
		"POST /-/kv-keep/{lease}":      m.keep,
		"DELETE /-/kv-lease-end/{end}": m.end,
	} {
		m.mux.HandleFunc(pattern, m.faulty(handler))
	}
	m.mux.HandleFunc("PUT /control", m.control)
	m.mux.HandleFunc("POST /control/compact", func(http.ResponseWriter, *http.Request) { m.directory.Compact() })
	m.mux.HandleFunc("POST /control/revoke", func(http.ResponseWriter, *http.Request) { m.directory.Revoke() })
	m.mux.HandleFunc("PUT /control/op/{key...}", m.operator)
	return m
}

// ServeHTTP implements http.Handler.
func (m *Metadata) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

// Directory returns what the store holds.
func (m *Metadata) Directory() *memory.Directory { return m.directory }

// SetFaults changes what is wrong.
func (m *Metadata) SetFaults(f MetadataFaults) {
	m.faults.Store(&f)
	m.directory.SetFaults(memory.Faults{Deaf: f.Deaf})
}

// Calls returns how many calls came.
func (m *Metadata) Calls() int64 { return m.calls.Load() }

func (m *Metadata) control(w http.ResponseWriter, r *http.Request) {
	var f MetadataFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.SetFaults(f)
}

// operator writes a key as the operator does, whatever is wrong for nodes.
func (m *Metadata) operator(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = m.directory.Put(r.Context(), "op/"+r.PathValue("key"), text, 0)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (m *Metadata) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m.calls.Add(1)
		f := m.faults.Load()
		if !sleep(r.Context(), f.Delay) {
			return
		}
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		for _, refused := range f.Refuse {
			if host == refused {
				http.Error(w, "too many", http.StatusTooManyRequests)
				return
			}
		}
		switch {
		case f.Silent:
			<-r.Context().Done()
		case f.Busy:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case f.LoseWrites && r.Method != http.MethodGet:
			next(discard{}, r)
			panic(http.ErrAbortHandler) // The connection ends without an answer.
		default:
			next(w, r)
		}
	}
}

// sleep waits and reports whether the caller is still there.
func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// discard is an answer that gets lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// metadataItem is a key as the protocol shows it.
type metadataItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

func items(entries []port.Entry) []metadataItem {
	out := []metadataItem{}
	for _, e := range entries {
		out = append(out, metadataItem{Key: e.Key, Value: e.Value, Revision: e.Version, Created: e.Version})
	}
	return out
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may be gone.
}

// failed answers an error of the directory.
func failed(w http.ResponseWriter, revision uint64, err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, port.ErrMissing):
		reply(w, http.StatusNotFound, map[string]any{"currentRev": revision})
	case errors.Is(err, port.ErrCompacted):
		reply(w, http.StatusGone, map[string]any{"error": "history is gone"})
	default:
		reply(w, http.StatusServiceUnavailable, map[string]any{"error": err.Error()})
	}
	return true
}

func (m *Metadata) key(w http.ResponseWriter, r *http.Request) {
	e, revision, err := m.directory.Get(r.Context(), r.URL.Query().Get("key"))
	if failed(w, revision, err) {
		return
	}
	reply(w, http.StatusOK, struct {
		metadataItem
		CurrentRev uint64 `json:"currentRev"`
	}{items([]port.Entry{e})[0], revision})
}

// pageItems is how many items one page of a range has; small, so that tests see pages.
const pageItems = 3

func (m *Metadata) items(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	entries, err := m.directory.Range(r.Context(), q.Get("pathPrefix"))
	if failed(w, 0, err) {
		return
	}
	var page []port.Entry
	more := false
	for _, e := range entries {
		if e.Key <= q.Get("after") {
			continue
		}
		if more = len(page) == pageItems; more {
			break
		}
		page = append(page, e)
	}
	reply(w, http.StatusOK, map[string]any{"items": items(page), "morePages": more})
}

func (m *Metadata) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil || wait < 0 || time.Duration(wait)*time.Millisecond > maxMetadataWait {
		http.Error(w, "after or waitMs", http.StatusBadRequest)
		return
	}
	entries, at, err := m.directory.Watch(r.Context(), q.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	if failed(w, 0, err) {
		return
	}
	reply(w, http.StatusOK, map[string]any{"events": items(entries), "currentRev": at})
}

func (m *Metadata) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		SetKeys []metadataItem `json:"setKeys"`
		Remove  []string       `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, s := range t.SetKeys {
		if strings.HasPrefix(s.Key, "op/") || strings.HasPrefix(s.Key, "servers/") {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
		if failed(w, 0, m.directory.Put(r.Context(), s.Key, s.Value, port.Lease(s.Lease))) {
			return
		}
	}
	for _, key := range t.Remove {
		if failed(w, 0, m.directory.Remove(r.Context(), key)) {
			return
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": 0})
}

func (m *Metadata) lease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil || ask.TTLMs <= 0 {
		http.Error(w, "ttlMs", http.StatusBadRequest)
		return
	}
	l, err := m.directory.Grant(r.Context(), time.Duration(ask.TTLMs)*time.Millisecond)
	if failed(w, 0, err) {
		return
	}
	reply(w, http.StatusOK, map[string]any{"lease": l, "ttlMs": ask.TTLMs})
}

func (m *Metadata) keep(w http.ResponseWriter, r *http.Request) {
	m.byLease(w, r, "lease", m.directory.Renew)
}

func (m *Metadata) end(w http.ResponseWriter, r *http.Request) {
	m.byLease(w, r, "end", m.directory.End)
}

func (m *Metadata) byLease(w http.ResponseWriter, r *http.Request, name string, do func(context.Context, port.Lease) error) {
	l, err := strconv.ParseUint(r.PathValue(name), 10, 64)
	if err != nil {
		http.Error(w, name, http.StatusBadRequest)
		return
	}
	if !failed(w, 0, do(r.Context(), port.Lease(l))) {
		reply(w, http.StatusOK, map[string]any{})
	}
}
