package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Mode sets the faults that an upstream simulates. The JSON names belong to the control API;
// where they differ, the field names say what a field does.
type Mode struct {
	FailShare      float64       `json:"fail_share"`  // Share of requests that get 500.
	SlowFactor     float64       `json:"slow_factor"` // Factor on the work time; 0 and 1 are normal speed.
	Hang           bool          `json:"hang"`        // Accepts requests and does not respond for hangLimit.
	TruncateShare  float64       `json:"cut"`         // Share of responses that are truncated halfway.
	FlapPeriod     time.Duration `json:"flap_period"` // Time for which FailShare, SlowFactor, Hang and TruncateShare alternately apply and do not; 0 for always.
	Shed           bool          `json:"shed"`        // Refuses all requests with 503 and Retry-After.
	Leaving        bool          `json:"leaving"`     // Refuses all requests as Shed does and reports that it is shutting down.
	FailingAccount string        `json:"bad_caller"`  // Client account whose requests always get 500.
	ColdPeriod     time.Duration `json:"cold"`        // Time after the start in which work takes twice as long.
}

// UpstreamOptions are the settings of an upstream that do not change while it runs.
type UpstreamOptions struct {
	Name  string
	Slots int           // Requests that it works on at once.
	Work  time.Duration // Median work time of a request.
	Sigma float64       // Standard deviation of the logarithm of the work time; 0.5 is typical, 1.0 has a heavy tail.
	Log   string        // File to which the start of each request's work is appended.
	Seed  uint64
}

// Upstream simulates an instance of a service. Its /health endpoint reports success
// in every mode, as in a gray failure.
type Upstream struct {
	o           UpstreamOptions
	mux         *http.ServeMux
	mode        atomic.Pointer[Mode]
	slots       chan struct{}
	started     time.Time
	modeChanged atomic.Int64 // Unix nanoseconds of the last change of mode.
	mu          sync.Mutex
	random      *rand.Rand
	log         *bufio.Writer
	file        *os.File
	counts      UpstreamCounts
}

// UpstreamCounts counts the requests of an upstream by outcome.
type UpstreamCounts struct {
	Started   int64 `json:"started"`
	Succeeded int64 `json:"good"`
	Failed    int64 `json:"failed"`
	Shed      int64 `json:"shed"`
	Expired   int64 `json:"late"` // Refused because the deadline had passed.
	// Arrivals lists when requests arrived, in milliseconds since the last change of mode.
	// It shows for how long an unhealthy upstream kept receiving requests.
	Arrivals []int64 `json:"hits,omitempty"`
}

const (
	coldSlowFactor = 2
	hangLimit      = time.Minute
	shedRetryAfter = "1"
)

// NewUpstream returns a healthy upstream.
func NewUpstream(o UpstreamOptions) (*Upstream, error) {
	u := &Upstream{o: o, mux: http.NewServeMux(), slots: make(chan struct{}, o.Slots), started: time.Now(), random: rand.New(rand.NewPCG(o.Seed, o.Seed))}
	u.mode.Store(&Mode{})
	u.modeChanged.Store(u.started.UnixNano())
	if o.Log != "" {
		f, err := os.OpenFile(o.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		u.file, u.log = f, bufio.NewWriter(f)
	}
	u.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	u.mux.HandleFunc("PUT /control", u.control)
	u.mux.HandleFunc("GET /control", u.showCounts)
	u.mux.HandleFunc("/", u.serveWork)
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.mux.ServeHTTP(w, r) }

// SetMode replaces the mode and clears the recorded arrivals.
func (u *Upstream) SetMode(m Mode) {
	u.mu.Lock()
	u.counts.Arrivals = nil
	u.mu.Unlock()
	u.modeChanged.Store(time.Now().UnixNano())
	u.mode.Store(&m)
}

// serveWork handles a request.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	m := u.mode.Load()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // Ignores an incomplete request.
	}
	u.recordArrival()
	w.Header().Set("Eiderfold-Attempt", r.Header.Get("Eiderfold-Attempt"))
	if m.Leaving || m.Shed {
		u.refuse(w, m)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		u.refuse(w, m)
		return
	}
	if deadlinePassed(r) {
		u.updateCounts(func(c *UpstreamCounts) { c.Expired++ })
		w.Header().Set("Retry-After", shedRetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.recordStart(r)
	unhealthy := m.FlapPeriod == 0 || time.Since(time.Unix(0, u.modeChanged.Load()))/m.FlapPeriod%2 == 0
	u.simulateWork(r, m, unhealthy)
	if unhealthy && u.randomFloat() < m.FailShare || m.FailingAccount != "" && r.Header.Get("Eiderfold-Account") == m.FailingAccount {
		u.updateCounts(func(c *UpstreamCounts) { c.Failed++ })
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	u.updateCounts(func(c *UpstreamCounts) { c.Succeeded++ })
	u.respond(w, r, body, unhealthy && u.randomFloat() < m.TruncateShare)
}

// deadlinePassed reports whether the request's deadline, if it has one, has passed.
func deadlinePassed(r *http.Request) bool {
	deadline, err := strconv.ParseInt(r.Header.Get("Eiderfold-Deadline"), 10, 64)
	return err == nil && time.Now().UnixMilli() > deadline
}

func (u *Upstream) refuse(w http.ResponseWriter, m *Mode) {
	u.updateCounts(func(c *UpstreamCounts) { c.Shed++ })
	if m.Leaving {
		w.Header().Set("Upstream-State", "leaving")
	}
	w.Header().Set("Retry-After", shedRetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// recordStart counts and logs the start of the work, before any of it is done. Tests find
// operations that started twice in the log. The mark (header X-Mark) is the caller's id of
// the request.
func (u *Upstream) recordStart(r *http.Request) {
	u.updateCounts(func(c *UpstreamCounts) { c.Started++ })
	if u.log == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	fmt.Fprintf(u.log, "%s %s %s %s\n", r.Header.Get("X-Mark"), r.Header.Get("Idempotency-Key"), r.Method, r.URL.Path)
	_ = u.log.Flush()
}

func (u *Upstream) simulateWork(r *http.Request, m *Mode, unhealthy bool) {
	if unhealthy && m.Hang {
		select {
		case <-time.After(hangLimit):
		case <-r.Context().Done():
		}
		return
	}
	u.mu.Lock()
	factor := lognormal(u.random, u.o.Sigma)
	u.mu.Unlock()
	if unhealthy && m.SlowFactor > 0 {
		factor *= m.SlowFactor
	}
	if time.Since(u.started) < m.ColdPeriod {
		factor *= coldSlowFactor
	}
	select {
	case <-time.After(time.Duration(float64(u.o.Work) * factor)):
	case <-r.Context().Done():
	}
}

// respond writes the request's mark (header X-Mark), the upstream's name, the request's
// body and a checksum, by which a caller checks that the response is complete and its own.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, body []byte, cut bool) {
	text := fmt.Sprintf("%s %s %s", r.Header.Get("X-Mark"), u.o.Name, body)
	text += fmt.Sprintf(" %08x", crc32.ChecksumIEEE([]byte(text)))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if cut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text) // The client may have disconnected.
}

func (u *Upstream) recordArrival() {
	at := time.Since(time.Unix(0, u.modeChanged.Load())).Milliseconds()
	u.updateCounts(func(c *UpstreamCounts) { c.Arrivals = append(c.Arrivals, at) })
}

func (u *Upstream) randomFloat() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64()
}

func (u *Upstream) updateCounts(change func(*UpstreamCounts)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.counts)
}

func (u *Upstream) control(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetMode(m)
}

func (u *Upstream) showCounts(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writeJSON(w, 0, u.counts)
}
