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

// Mode is how an upstream behaves.
type Mode struct {
	FailShare  float64       `json:"fail_share"`  // Share of real work answered with 500.
	SlowFactor float64       `json:"slow_factor"` // 0 and 1 are the usual speed.
	Hang       bool          `json:"hang"`        // Takes work and never answers.
	Cut        float64       `json:"cut"`         // Share of answers that break off in the middle.
	FlapPeriod time.Duration `json:"flap_period"` // Sick for one period, well for the next.
	Shed       bool          `json:"shed"`        // Refuses all work by contract.
	Leaving    bool          `json:"leaving"`     // Refuses new work, as it is on its way out.
	BadCaller  string        `json:"bad_caller"`  // Client account whose requests fail everywhere.
	Cold       time.Duration `json:"cold"`        // Twice as slow for this long after the start.
}

// UpstreamOptions are fixed for an upstream's life.
type UpstreamOptions struct {
	Name  string
	Slots int
	Work  time.Duration // Median time of a piece of work.
	Sigma float64       // Spread of its logarithm; 0.5 is usual, 1.0 a heavy tail.
	Log   string        // File to append every start of real work to.
	Seed  uint64
}

// Upstream is a stand-in for a service's instance. Its /health always lies that
// all is well, as gray failures do.
type Upstream struct {
	o       UpstreamOptions
	mux     *http.ServeMux
	mode    atomic.Pointer[Mode]
	slots   chan struct{}
	started time.Time
	since   atomic.Int64 // Unix nanoseconds of the last change of mode.
	mu      sync.Mutex
	random  *rand.Rand
	log     *bufio.Writer
	file    *os.File
	counts  UpstreamCounts
}

// UpstreamCounts is what an upstream did.
type UpstreamCounts struct {
	Started int64 `json:"started"`
	Good    int64 `json:"good"`
	Failed  int64 `json:"failed"`
	Shed    int64 `json:"shed"`
	Late    int64 `json:"late"` // Refused to start as the deadline had passed.
	// Hit lists when real work came, as Unix milliseconds since the last change of
	// mode, for telling how long a sick upstream kept getting some.
	Hits []int64 `json:"hits,omitempty"`
}

const (
	slowFactorCold = 2
	hangLimit      = time.Minute
	shedRetryAfter = "1"
)

// NewUpstream returns an upstream in good health.
func NewUpstream(o UpstreamOptions) (*Upstream, error) {
	u := &Upstream{o: o, mux: http.NewServeMux(), slots: make(chan struct{}, o.Slots), started: time.Now(), random: rand.New(rand.NewPCG(o.Seed, o.Seed))}
	u.mode.Store(&Mode{})
	u.since.Store(u.started.UnixNano())
	if o.Log != "" {
		f, err := os.OpenFile(o.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		u.file, u.log = f, bufio.NewWriter(f)
	}
	u.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	u.mux.HandleFunc("PUT /control", u.control)
	u.mux.HandleFunc("GET /control", u.show)
	u.mux.HandleFunc("/", u.work)
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.mux.ServeHTTP(w, r) }

// SetMode changes how the upstream behaves.
func (u *Upstream) SetMode(m Mode) {
	u.mu.Lock()
	u.counts.Hits = nil
	u.mu.Unlock()
	u.since.Store(time.Now().UnixNano())
	u.mode.Store(&m)
}

// work does a piece of real work.
func (u *Upstream) work(w http.ResponseWriter, r *http.Request) {
	m := u.mode.Load()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // Half a request is no request.
	}
	u.hit()
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
	if passed(r) {
		u.add(func(c *UpstreamCounts) { c.Late++ })
		w.Header().Set("Retry-After", shedRetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.start(r)
	sick := m.FlapPeriod == 0 || time.Since(time.Unix(0, u.since.Load()))/m.FlapPeriod%2 == 0
	u.labour(r, m, sick)
	if sick && u.draw() < m.FailShare || m.BadCaller != "" && r.Header.Get("Eiderfold-Account") == m.BadCaller {
		u.add(func(c *UpstreamCounts) { c.Failed++ })
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	u.add(func(c *UpstreamCounts) { c.Good++ })
	u.answer(w, r, body, sick && u.draw() < m.Cut)
}

// passed refuses work whose deadline has passed, as the contract says.
func passed(r *http.Request) bool {
	deadline, err := strconv.ParseInt(r.Header.Get("Eiderfold-Deadline"), 10, 64)
	return err == nil && time.Now().UnixMilli() > deadline
}

func (u *Upstream) refuse(w http.ResponseWriter, m *Mode) {
	u.add(func(c *UpstreamCounts) { c.Shed++ })
	if m.Leaving {
		w.Header().Set("Upstream-State", "leaving")
	}
	w.Header().Set("Retry-After", shedRetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// start notes that work has begun, before any of it is done.
func (u *Upstream) start(r *http.Request) {
	u.add(func(c *UpstreamCounts) { c.Started++ })
	if u.log == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	fmt.Fprintf(u.log, "%s %s %s %s\n", r.Header.Get("X-Mark"), r.Header.Get("Idempotency-Key"), r.Method, r.URL.Path)
	_ = u.log.Flush()
}

func (u *Upstream) labour(r *http.Request, m *Mode, sick bool) {
	if sick && m.Hang {
		select {
		case <-time.After(hangLimit):
		case <-r.Context().Done():
		}
		return
	}
	u.mu.Lock()
	factor := lognormal(u.random, u.o.Sigma)
	u.mu.Unlock()
	if sick && m.SlowFactor > 0 {
		factor *= m.SlowFactor
	}
	if time.Since(u.started) < m.Cold {
		factor *= slowFactorCold
	}
	select {
	case <-time.After(time.Duration(float64(u.o.Work) * factor)):
	case <-r.Context().Done():
	}
}

// answer carries the request's own mark and a checksum, by which a caller tells
// that it is whole and its own.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte, cut bool) {
	text := fmt.Sprintf("%s %s %s", r.Header.Get("X-Mark"), u.o.Name, body)
	text += fmt.Sprintf(" %08x", crc32.ChecksumIEEE([]byte(text)))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if cut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text) // The caller may be gone.
}

func (u *Upstream) hit() {
	at := time.Since(time.Unix(0, u.since.Load())).Milliseconds()
	u.add(func(c *UpstreamCounts) { c.Hits = append(c.Hits, at) })
}

func (u *Upstream) draw() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64()
}

func (u *Upstream) add(change func(*UpstreamCounts)) {
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

func (u *Upstream) show(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	write(w, 0, u.counts)
}
