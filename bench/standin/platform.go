// Package standin holds small servers that simulate the surroundings of a fleet: the
// platform's store and instance list, upstreams with gray failures, and a proxy that
// injects faults into the links between them.
//
// # Usage
//
//	p := standin.NewPlatform()
//	http.ListenAndServe("127.0.0.1:8500", p)
//
// Each has a control API over HTTP, through which a test changes the behaviour of a
// server that runs in another process.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderfold/memory"
	"eiderfold/port"
)

// PlatformFaults are the faults that a Platform injects.
type PlatformFaults struct {
	Outage     bool          `json:"out"`         // Every request fails, except registrations and deregistrations.
	LoseWrites bool          `json:"lose_writes"` // Writes take effect, but their responses are lost.
	Delay      time.Duration `json:"delay"`
	ListLag    time.Duration `json:"list_lag"`   // Delay until a change shows in the instance list.
	WriteRate  int           `json:"write_rate"` // Largest number of writes per second, 0 for no limit.
}

// PlatformCounts counts the requests to a platform's store and list.
type PlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// Platform implements the parts of Consul's HTTP API that a node uses.
type Platform struct {
	store   *memory.Store
	list    *memory.List
	faults  atomic.Pointer[PlatformFaults]
	mux     *http.ServeMux
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
	refused atomic.Int64
	mu      sync.Mutex
	second  int64 // Unix time that written counts for.
	written int
}

const (
	defaultWait  = 5 * time.Minute
	maxValueSize = 1 << 20 // Bytes.
)

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	p := &Platform{store: memory.NewStore(), list: memory.NewList(), mux: http.NewServeMux()}
	p.faults.Store(&PlatformFaults{})
	p.mux.HandleFunc("GET /v1/kv/{key...}", p.faulty(p.get))
	p.mux.HandleFunc("PUT /v1/kv/{key...}", p.faulty(p.put))
	p.mux.HandleFunc("GET /v1/health/service/{service}", p.faulty(p.health))
	p.mux.HandleFunc("PUT /v1/agent/service/register", p.register)
	p.mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", p.deregister)
	p.mux.HandleFunc("PUT /control", p.control)
	p.mux.HandleFunc("GET /control", p.counts)
	return p
}

// Store returns the underlying store, for tests in the same process.
func (p *Platform) Store() *memory.Store { return p.store }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) { p.faults.Store(&f) }

// faulty wraps a handler with the faults.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.faults.Load()
		time.Sleep(f.Delay)
		if f.Outage {
			p.refused.Add(1)
			http.Error(w, "out", http.StatusInternalServerError)
			return
		}
		if r.Method == http.MethodPut && f.LoseWrites {
			next(&discardBody{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discardBody is a ResponseWriter that drops the body.
type discardBody struct{ header http.Header }

func (n *discardBody) Header() http.Header         { return n.header }
func (n *discardBody) Write(b []byte) (int, error) { return len(b), nil }
func (n *discardBody) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	switch {
	case query.Has("keys"):
		p.reads.Add(1)
		keys, _ := p.store.Keys(r.Context(), key)
		writeJSON(w, 0, keys)
	case query.Has("recurse"):
		p.watches.Add(1)
		ctx, cancel := blockingContext(r)
		defer cancel()
		index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
		entries, next, _ := p.store.Watch(ctx, key, index)
		writeEntries(w, next, entries)
	default:
		p.reads.Add(1)
		e, err := p.store.Get(r.Context(), key)
		if err != nil {
			writeEntries(w, 1, nil)
			return
		}
		writeEntries(w, e.Version, []port.Entry{e})
	}
}

// blockingContext returns a context that ends when a blocking query times out.
func blockingContext(r *http.Request) (context.Context, context.CancelFunc) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	return context.WithTimeout(r.Context(), wait)
}

type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

func writeEntries(w http.ResponseWriter, index uint64, entries []port.Entry) {
	if len(entries) == 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	pairs := make([]kvPair, 0, len(entries))
	for _, e := range entries {
		pairs = append(pairs, kvPair{e.Key, e.Value, e.Version})
	}
	writeJSON(w, index, pairs)
}

func writeJSON(w http.ResponseWriter, index uint64, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	_ = json.NewEncoder(w).Encode(value) // The client may have disconnected.
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	if !p.allowWrite() {
		p.refused.Add(1)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueSize+1))
	if err != nil || len(value) > maxValueSize {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas is needed", http.StatusBadRequest)
		return
	}
	swapped, _ := p.store.CompareAndSwap(r.Context(), port.Entry{Key: r.PathValue("key"), Value: value, Version: version})
	writeJSON(w, 0, swapped)
}

// allowWrite reports whether the write rate permits one more write in this second.
func (p *Platform) allowWrite() bool {
	rate := p.faults.Load().WriteRate
	if rate == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.second {
		p.second, p.written = now, 0
	}
	p.written++
	return p.written <= rate
}

type registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var reg registration
	if err := json.NewDecoder(r.Body).Decode(&reg); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.afterLag(func() {
		p.list.Put(reg.Name, port.Instance{
			Name: reg.ID, Address: reg.Address + ":" + strconv.Itoa(reg.Port),
			DataCentre: reg.Meta["data_centre"], Generation: reg.Meta["generation"], State: port.State(reg.Meta["state"]),
		})
	})
}

func (p *Platform) deregister(_ http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	p.afterLag(func() {
		if service, _, ok := p.list.Find(id); ok {
			p.list.Remove(service, id)
		}
	})
}

// afterLag applies a change to the list after the configured lag.
func (p *Platform) afterLag(change func()) {
	if lag := p.faults.Load().ListLag; lag > 0 {
		time.AfterFunc(lag, change)
		return
	}
	change()
}

type healthEntry struct {
	Node    struct{ Datacenter string }
	Service struct {
		ID      string
		Address string
		Port    int
		Meta    map[string]string
	}
}

func (p *Platform) health(w http.ResponseWriter, r *http.Request) {
	p.watches.Add(1)
	ctx, cancel := blockingContext(r)
	defer cancel()
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	found, next, _ := p.list.Instances(ctx, r.PathValue("service"), index)
	rows := make([]healthEntry, 0, len(found))
	for _, i := range found {
		var row healthEntry
		addr, err := netip.ParseAddrPort(i.Address)
		if err != nil {
			continue
		}
		row.Node.Datacenter = i.DataCentre
		row.Service.ID, row.Service.Address, row.Service.Port = i.Name, addr.Addr().String(), int(addr.Port())
		row.Service.Meta = map[string]string{"state": string(i.State), "data_centre": i.DataCentre, "generation": i.Generation}
		rows = append(rows, row)
	}
	writeJSON(w, next, rows)
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, 0, PlatformCounts{Reads: p.reads.Load(), Writes: p.writes.Load(), Watches: p.watches.Load(), Refused: p.refused.Load()})
}

// Registration returns the JSON that registers an instance.
func Registration(service, name, address, dataCentre, generation string, state port.State) string {
	host, number, _ := strings.Cut(address, ":")
	n, _ := strconv.Atoi(number)
	text, _ := json.Marshal(registration{
		ID: name, Name: service, Address: host, Port: n,
		Meta: map[string]string{"state": string(state), "data_centre": dataCentre, "generation": generation},
	})
	return string(text)
}
