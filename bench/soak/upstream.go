package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// heartbeatEvery is the pace of heartbeats.
	heartbeatEvery = 250 * time.Millisecond
	// leaveTime is how long a leaving upstream goes on serving.
	leaveTime = 2500 * time.Millisecond
	// drainTime is how long after its acknowledgement new work may still come.
	drainTime = 2 * time.Second
	// Work takes between workLeast and workMost, evenly.
	workLeast = 10 * time.Millisecond
	workMost  = 80 * time.Millisecond
	// breakShare of its requests a failing upstream resets, half of them after the work.
	breakShare = 0.7
	// slots is what an upstream says of itself; it keeps to no bound.
	slots = 4
)

// upstream does a service's work and reports to the node beside it.
type upstream struct {
	address string
	reports string
	ledger  *ledger
	failing atomic.Bool
	leaving sync.Mutex // Held while it leaves.
	mu      sync.Mutex
	id      string
	number  int
	born    int64 // Unix milliseconds.
	state   string
	seq     int
	left    time.Time          // When it was acknowledged as leaving; zero if it was not.
	server  *http.Server       // nil while the process is away.
	endings map[string]*ending // Requests under which it ends, by path.
	inTouch func() bool        // The node beside it is.
	// evacuated returns since when its data centre is to get nothing; zero if it may.
	evacuated func() time.Time
}

func startUpstream(ctx context.Context, ip, reports string, l *ledger) (*upstream, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	u := &upstream{address: listener.Addr().String(), reports: reports, ledger: l, state: "ready"}
	u.renew(false)
	u.serve(ctx, listener)
	go u.report(ctx)
	return u, nil
}

// serve runs the upstream's process until it is closed or ctx ends.
func (u *upstream) serve(ctx context.Context, listener net.Listener) {
	server := &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	go server.Serve(listener) //nolint:errcheck // It ends with the run.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = server
}

// renew begins another incarnation, which may have the id of the one before.
func (u *upstream) renew(sameID bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !sameID {
		u.number++
	}
	u.id = "i-" + u.address + "-" + strconv.Itoa(u.number)
	u.born = time.Now().UnixMilli()
	u.state, u.seq, u.left = "ready", 0, time.Time{}
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id, state, left := u.id, u.state, u.left
	u.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", id)
		if state != "ready" {
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !left.IsZero() && time.Since(left) > drainTime {
		u.ledger.violate("DRAIN: %s got %s %v after its acknowledgement", id, attempt, time.Since(left))
	}
	broken := u.failing.Load() && rand.Float64() < breakShare
	if broken && rand.Float64() < 0.5 {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Authorization") != "" {
		u.ledger.violate("SECRET: %s was shown the key of %s", id, attempt)
	}
	e := u.endings[r.URL.Path]
	if e != nil {
		e.arrived(u.inTouch(), u.ledger)
	}
	u.checkEvacuated(attempt)
	u.ledger.ran(attempt, r.Method+" "+r.RequestURI+" "+string(body), r.Header.Get("Tenant"))
	time.Sleep(workLeast + rand.N(workMost-workLeast))
	if e != nil {
		e.ended()
		go u.end(context.WithoutCancel(r.Context()))
		<-r.Context().Done()
		return
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Stamp", id)
	_, _ = io.WriteString(w, expectedBody(attempt)) // The node may have left.
}

// expectedBody is what belongs to an attempt.
func expectedBody(attempt string) string { return strings.Repeat(attempt+" ", 40) }

// report sends heartbeats until ctx ends.
func (u *upstream) report(ctx context.Context) {
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for {
		u.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// beat reports once, and reports whether it was acknowledged within a second.
func (u *upstream) beat(ctx context.Context) bool {
	u.mu.Lock()
	if u.server == nil {
		u.mu.Unlock()
		return false
	}
	u.seq++
	id, state := u.id, u.state
	body := fmt.Sprintf(`{"service":"a","address":%q,"zone":"d","version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"callSeq":%d,"born":%d}`, u.address, slots, state, u.seq, u.born)
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.reports+"/-/rpc?call=instances.heartbeat&of="+id, strings.NewReader(body))
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	acknowledged := answer.StatusCode == http.StatusOK
	if acknowledged && state != "ready" {
		u.mu.Lock()
		if u.left.IsZero() && u.id == id {
			u.left = time.Now()
		}
		u.mu.Unlock()
	}
	return acknowledged
}

// leave announces the end of this incarnation, serves on for a while and begins
// the next one.
func (u *upstream) leave(ctx context.Context) {
	u.leaving.Lock()
	defer u.leaving.Unlock()
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.beat(ctx)
	time.Sleep(leaveTime)
	u.renew(false)
}
