package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// drainDuration is how long a draining upstream continues to serve.
	drainDuration = 2500 * time.Millisecond
	// drainGrace is how long after the acknowledgement of its draining state an upstream
	// may still receive new requests.
	drainGrace = 2 * time.Second
	// The time to run a request is uniform between minWork and maxWork.
	minWork = 10 * time.Millisecond
	maxWork = 80 * time.Millisecond
	// failShare is the share of requests that a failing upstream resets, half of them
	// after it ran them.
	failShare = 0.7
	// slots is the concurrency that an upstream reports. It does not enforce it.
	slots = 4
)

// upstream serves requests and sends heartbeats to the node beside it.
type upstream struct {
	address          string
	reportAddress    string
	checker          *checker
	failing          atomic.Bool
	unruly           atomic.Bool // It answers early and sends answers twice.
	garbling         atomic.Bool // It sends what is no answer.
	draining         sync.Mutex  // Held while it drains.
	limiting         sync.Mutex  // Held while it names limits.
	mu               sync.Mutex
	id               string
	generation       int
	startedAt        int64 // Start of the incarnation, in Unix milliseconds.
	state            string
	silent           bool // It has deregistered and sends no more heartbeats.
	lies             bool // Its health answers are good although it leaves.
	seq              int
	said             said
	drainingSince    time.Time                   // When the draining state was acknowledged; zero if it was not.
	server           *http.Server                // nil while the upstream is down.
	closed           bool                        // The run has ended.
	lateness         func() time.Duration        // Returns how late the next heartbeat arrives.
	crashingRequests map[string]*crashingRequest // Requests that crash it, by path.
	nodeConnected    func() bool                 // Reports whether the node beside it is connected.
	// evacuatedSince returns when the evacuation of its data centre began; the zero time
	// if there is none.
	evacuatedSince func() time.Time
}

func startUpstream(ctx context.Context, address, reportAddress string, c *checker, lateness func() time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	u := &upstream{address: listener.Addr().String(), reportAddress: reportAddress, checker: c, state: "ready", lateness: lateness}
	u.newIncarnation(false)
	u.serve(ctx, listener)
	go u.sendHeartbeats(ctx)
	return u, nil
}

// serve runs the upstream's server until it is closed or ctx ends.
func (u *upstream) serve(ctx context.Context, listener net.Listener) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		_ = listener.Close() // Nothing was accepted on it.
		return
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	server := u.server
	go server.Serve(unrulyListener{listener, u}) //nolint:errcheck // Closed at the end of the run.
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// close closes the upstream's server for good, also if the upstream is about to start again.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.server != nil {
		_ = u.server.Close() // Its connections may be in use.
	}
}

// newIncarnation starts a new incarnation, with the previous id if sameID is set.
func (u *upstream) newIncarnation(sameID bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !sameID {
		u.generation++
	}
	u.id = "i-" + u.address + "-" + strconv.Itoa(u.generation)
	u.startedAt = time.Now().UnixMilli()
	u.state, u.seq, u.drainingSince, u.said = "ready", 0, time.Time{}, said{}
	u.silent, u.lies = false, false
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id, stamp, state, drainingSince, lies := u.id, u.stamp(), u.state, u.drainingSince, u.lies
	u.mu.Unlock()
	if r.URL.Path == "/health" {
		u.writeStatements(w.Header())
		w.Header().Set("Instance-Id", id)
		if state != "ready" && !lies {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if u.sheds(w, r) || u.garbles(w, r, stamp) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !drainingSince.IsZero() && time.Since(drainingSince) > drainGrace {
		u.checker.violate("DRAIN: %s got %s %v after its acknowledgement", id, attempt, time.Since(drainingSince))
	}
	u.checker.recordArrival(attempt, stamp)
	broken := u.failing.Load() && rand.Float64() < failShare
	if broken && rand.Float64() < 0.5 {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Authorization") != "" {
		u.checker.violate("SECRET: %s was shown the key of %s", id, attempt)
	}
	e := u.crashingRequests[r.URL.Path]
	if e != nil {
		e.recordArrival(u.nodeConnected(), u.checker)
	}
	u.checkEvacuated(attempt)
	u.checker.recordRun(attempt, r.Method+" "+r.RequestURI+" "+string(body), r.Header.Get("Tenant"))
	time.Sleep(minWork + rand.N(maxWork-minWork))
	if e != nil {
		e.recordCrash()
		go u.crash(context.WithoutCancel(r.Context()))
		<-r.Context().Done()
		return
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Stamp", stamp)
	u.writeStatements(w.Header())
	answer := expectedBody(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // The node may have closed the connection.
}

// sendHeartbeats sends heartbeats until ctx ends.
func (u *upstream) sendHeartbeats(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		if late := u.lateness(); late > 0 {
			go u.heartbeatLate(ctx, late)
		} else {
			u.heartbeat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged within a second.
func (u *upstream) heartbeat(ctx context.Context) bool { return u.heartbeatLate(ctx, 0) }

// heartbeatLate is heartbeat for one that says what holds now and arrives late.
func (u *upstream) heartbeatLate(ctx context.Context, late time.Duration) bool {
	u.mu.Lock()
	if u.server == nil || u.silent {
		u.mu.Unlock()
		return false
	}
	id, state, body := u.id, u.state, u.nextHeartbeat()
	u.mu.Unlock()
	time.Sleep(late)
	acknowledged := u.report(ctx, "instances.heartbeat", id, body)
	if acknowledged && state != "ready" {
		u.noteAcknowledged(id)
	}
	return acknowledged
}

// nextHeartbeat returns the body of the next heartbeat. The lock must be held.
func (u *upstream) nextHeartbeat() string {
	u.seq++
	return fmt.Sprintf(`{"service":"a","address":%q,"zone":"d","version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"callSeq":%d,"born":%d}`, u.address, slots, u.state, u.seq, u.startedAt)
}

// drain reports this incarnation as draining, continues to serve for drainDuration and
// then starts the next incarnation.
func (u *upstream) drain(ctx context.Context) {
	u.draining.Lock()
	defer u.draining.Unlock()
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.heartbeat(ctx)
	time.Sleep(drainDuration)
	u.newIncarnation(false)
}
