package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// testUpstream serves requests by a function and counts the runs of each attempt.
type testUpstream struct {
	*httptest.Server
	address   string // IP:port, kept across restarts.
	service   string
	healthy   atomic.Bool
	mu        sync.Mutex
	id        string // Of the current incarnation.
	life      int
	sameID    bool  // Restarts keep the first id.
	slots     int   // As reported; 0 for defaultSlots.
	startedAt int64 // Start time in ms reported by the current incarnation, 0 if none.
	runs      map[string]int
	callers   map[string]string
	headers   map[string]http.Header
	work      func(r *http.Request)
	limit     string // Limit that its responses name, "" for none.
	leaving   bool   // Its responses say that it leaves.
	arrivals  []arrival
}

// defaultSlots is how many slots an upstream reports by default.
const defaultSlots = 2

// arrival is a request that reached an upstream.
type arrival struct {
	attempt string
	at      time.Time
}

// setStatements sets what the upstream's responses say of itself: its limit, "" for none, and
// whether it leaves.
func (u *testUpstream) setStatements(limit string, leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit, u.leaving = limit, leaving
}

// state writes the upstream's statements to a response's header.
func (u *testUpstream) state(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit != "" {
		h.Set("Server-Limit", u.limit)
	}
	if u.leaving {
		h.Set("Server-Leaving", "1")
	}
}

// arrived returns the requests that have reached the upstream.
func (u *testUpstream) arrived() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

func (u *testUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := u.identity()
	if r.URL.Path == "/health" {
		u.state(w.Header())
		w.Header().Set("Instance-Id", id)
		if !u.healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	u.mu.Lock()
	u.runs[attempt]++
	u.callers[attempt] = r.Header.Get("Caller-Service")
	u.headers[attempt] = r.Header.Clone()
	u.arrivals = append(u.arrivals, arrival{attempt: attempt, at: time.Now()})
	work := u.work
	u.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	if work != nil {
		work(r)
	}
	u.state(w.Header())
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Stamp", "stamp-of-"+id)
	_, _ = fmt.Fprintf(w, "%s by %s: %s", r.RequestURI, id, body)
}

// identity returns the incarnation's id.
func (u *testUpstream) identity() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

// startField returns the start time as a field of a report, "" if there is none.
func (u *testUpstream) startField() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.startedAt == 0 {
		return ""
	}
	return fmt.Sprintf(`,"born":%d`, u.startedAt)
}

// crash closes the server with all requests in flight. After a pause the upstream is back
// at its address as another incarnation.
func (u *testUpstream) crash(pause time.Duration) error {
	u.mu.Lock()
	server := u.Server
	u.mu.Unlock()
	if err := server.Listener.Close(); err != nil {
		return err
	}
	server.CloseClientConnections()
	time.Sleep(pause)
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.life++
	u.startedAt = time.Now().UnixMilli()
	if !u.sameID {
		u.id = fmt.Sprintf("%s-%d", strings.TrimSuffix(u.id, fmt.Sprintf("-%d", u.life-1)), u.life)
	}
	u.Server = &httptest.Server{Listener: l, Config: &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}}
	u.Start()
	return nil
}

// close stops the upstream for good.
func (u *testUpstream) close() {
	u.mu.Lock()
	server := u.Server
	u.mu.Unlock()
	server.CloseClientConnections()
	server.Close()
}

func (u *testUpstream) setWork(f func(r *http.Request)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = f
}

// block makes the upstream's work wait until the returned function is called.
func (u *testUpstream) block() (started chan struct{}, release func()) {
	started, wait := make(chan struct{}, 16), make(chan struct{})
	u.setWork(func(*http.Request) {
		started <- struct{}{}
		<-wait
	})
	return started, sync.OnceFunc(func() { close(wait) })
}

// headerOf returns the header of an attempt, if it ran here.
func (u *testUpstream) headerOf(attempt string) (http.Header, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h, ok := u.headers[attempt]
	return h, ok
}

func (u *testUpstream) ran(attempt string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[attempt]
}
