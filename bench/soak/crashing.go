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
	"time"
)

const (
	// maxCrashes is how many upstreams a request may crash before the fleet has to
	// quarantine it. Later than propagationTime after that, connected nodes may send it
	// to upstreams at most maxLateArrivals times, which is a requirement of the users.
	// A node counts as connected again propagationTime after its last fault.
	maxCrashes      = 3
	maxLateArrivals = 3
	propagationTime = 3 * time.Second
	// crashingPause is the mean pause between two attempts of a crashing request.
	crashingPause = 400 * time.Millisecond
	// A crashed upstream restarts after minDowntime to maxDowntime.
	minDowntime = 300 * time.Millisecond
	maxDowntime = 1500 * time.Millisecond
)

// crashingRequest is a request that crashes every upstream which runs it. It is sent
// repeatedly, to any node, each time with a new attempt id.
type crashingRequest struct {
	method, path string
	mu           sync.Mutex
	crashes      int
	maxCrashesAt time.Time // When the crash count reached maxCrashes.
	lateArrivals int       // Arrivals at upstreams later than propagationTime after maxCrashesAt.
}

// newCrashingRequests returns a crashing lookup and a crashing order, by path.
func newCrashingRequests() map[string]*crashingRequest {
	out := map[string]*crashingRequest{}
	for _, e := range []*crashingRequest{{method: http.MethodGet, path: "/look/ending"}, {method: http.MethodPost, path: "/order/ending"}} {
		out[e.path] = e
	}
	return out
}

// recordArrival records that the request reached an upstream. Arrivals through nodes that
// are not connected do not count.
func (e *crashingRequest) recordArrival(nodeConnected bool, c *checker) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.maxCrashesAt.IsZero() || time.Since(e.maxCrashesAt) <= propagationTime || !nodeConnected {
		return
	}
	if e.lateArrivals++; e.lateArrivals == maxLateArrivals+1 {
		c.violate("BUDGET: %s reached upstreams %d times later than %v after it had ended %d", e.path, e.lateArrivals, propagationTime, maxCrashes)
	}
}

// recordCrash records that an upstream crashes while running the request.
func (e *crashingRequest) recordCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashes++; e.crashes == maxCrashes {
		e.maxCrashesAt = time.Now()
	}
}

// sendCrashing sends the request to randomly selected nodes until ctx ends.
func (s *soak) sendCrashing(ctx context.Context, e *crashingRequest) {
	client := &http.Client{Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("s%d%s-%d", s.options.Seed, strings.ReplaceAll(e.path, "/", "-"), i)
		s.sendCrashingOnce(ctx, client, e, s.nodes[rand.IntN(len(s.nodes))], attempt)
		time.Sleep(crashingPause/2 + rand.N(crashingPause))
	}
}

func (s *soak) sendCrashingOnce(ctx context.Context, client *http.Client, e *crashingRequest, n *node, attempt string) {
	r, err := http.NewRequestWithContext(ctx, e.method, "http://"+n.callers+e.path, nil)
	if err != nil {
		s.checker.violate("harness: %v", err)
		return
	}
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	key := ""
	if s.options.Accounts {
		key = keyOffice
		r.Header.Set("Authorization", "Token "+key)
	}
	s.checker.recordSent(n, attempt, e.method+" "+e.path+" ", e.method == http.MethodPost, key)
	resp, err := client.Do(r)
	if err != nil {
		return // The node may be down; runCaller checks for that.
	}
	defer resp.Body.Close() //nolint:errcheck // The body is only read.
	text, _ := io.ReadAll(resp.Body)
	s.check(n, attempt, key, resp.StatusCode, string(text), nil)
}

// crash stops the upstream together with all requests in flight. After a pause it restarts
// at the same address as a new incarnation, half of the time with the same id.
func (u *upstream) crash(ctx context.Context) {
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.mu.Unlock()
	if server == nil {
		return // Another crashing request has stopped it already.
	}
	_ = server.Close()
	select {
	case <-ctx.Done():
		return
	case <-time.After(minDowntime + rand.N(maxDowntime-minDowntime)):
	}
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		u.checker.violate("harness: upstream not back: %v", err)
		return
	}
	u.newIncarnation(rand.IntN(2) == 0)
	u.serve(ctx, listener)
}
