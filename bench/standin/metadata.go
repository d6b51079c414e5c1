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

// MetadataFaults are the faults that a Metadata store injects. The JSON names belong to the
// control API; where they differ, the field names say what a field does.
type MetadataFaults struct {
	Busy         bool          `json:"busy"`        // Every request gets 503.
	Unresponsive bool          `json:"silent"`      // No request gets a response.
	LoseWrites   bool          `json:"lose_writes"` // Writes take effect, but their responses are lost.
	DropChanges  bool          `json:"deaf"`        // Watches report no changes until they time out.
	Delay        time.Duration `json:"delay"`
	RateLimited  []string      `json:"refuse"` // IP addresses of nodes that get 429.
}

// Metadata is an in-memory server for the published protocol of the store on the
// users' platform. It ignores the preconditions and leases of transactions, and applies
// their writes one by one.
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

// Directory returns the underlying directory.
func (m *Metadata) Directory() *memory.Directory { return m.directory }

// SetFaults replaces the faults.
func (m *Metadata) SetFaults(f MetadataFaults) {
	m.faults.Store(&f)
	m.directory.SetFaults(memory.Faults{DropChanges: f.DropChanges})
}

// Calls returns the number of requests received, other than control requests.
func (m *Metadata) Calls() int64 { return m.calls.Load() }

// control replaces the faults, for tests that run in another process.
func (m *Metadata) control(w http.ResponseWriter, r *http.Request) {
	var f MetadataFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.SetFaults(f)
}

// operator writes a key as an operator does, regardless of the faults.
func (m *Metadata) operator(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = m.directory.Put(r.Context(), "op/"+r.PathValue("key"), text)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// faulty wraps a handler with the faults.
func (m *Metadata) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m.calls.Add(1)
		f := m.faults.Load()
		if !sleep(r.Context(), f.Delay) {
			return
		}
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		for _, refused := range f.RateLimited {
			if host == refused {
				http.Error(w, "too many", http.StatusTooManyRequests)
				return
			}
		}
		switch {
		case f.Unresponsive:
			<-r.Context().Done()
		case f.Busy:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case f.LoseWrites && r.Method != http.MethodGet:
			next(discard{}, r)
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		default:
			next(w, r)
		}
	}
}

// sleep waits for d and returns true, or returns false once ctx is done.
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

// discard is a ResponseWriter that drops the headers and the body.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
