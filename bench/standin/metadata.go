package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"eiderfold/memory"
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

// NewMetadata returns an empty store without faults.
func NewMetadata() *Metadata {
	m := &Metadata{directory: memory.NewDirectory(), mux: http.NewServeMux()}
	m.faults.Store(&MetadataFaults{})
	for pattern, handler := range map[string]http.HandlerFunc{
		"GET /-/kv-key":   m.key,
		"GET /-/kv-range": m.items,
		"GET /-/kv-watch": m.watch,
		"POST /-/kv-txn":  m.transaction,
	} {
		m.mux.HandleFunc(pattern, m.faulty(handler))
	}
	m.mux.HandleFunc("PUT /control", m.control)
	m.mux.HandleFunc("POST /control/compact", func(http.ResponseWriter, *http.Request) { m.directory.Compact() })
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

// control sets the faults, for tests of other processes.
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
		err = m.directory.Put(r.Context(), "op/"+r.PathValue("key"), text)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// faulty puts the faults before a call.
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
