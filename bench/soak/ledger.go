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

	"github.com/pkg/errors"
)

// entry is what is known of one attempt.
type entry struct {
	once   bool // It may run only once.
	sent   string
	runs   int
	denied bool // The caller was told that it has not run and never will.
}

// ledger compares what callers were told with what upstreams ran.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*entry
	found   []string
}

func newLedger() *ledger { return &ledger{entries: map[string]*entry{}} }

func (l *ledger) violate(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.found = append(l.found, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

func (l *ledger) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.found...)
}

func (l *ledger) send(attempt, request string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[attempt] = &entry{once: once, sent: request}
}

// ran takes note of a run, and compares the request with what was sent.
func (l *ledger) ran(attempt, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[attempt]
	switch {
	case e == nil:
		l.found = append(l.found, "UNASKED: "+attempt)
		return
	case e.sent != request:
		l.found = append(l.found, fmt.Sprintf("UNASKED: %s ran as %q, sent as %q", attempt, request, e.sent))
	case e.once && e.runs > 0:
		l.found = append(l.found, "TWICE: "+attempt)
	case e.once && e.denied:
		l.found = append(l.found, "REFUSED, then ran: "+attempt)
	}
	e.runs++
}

// deny takes note that the caller was told that the attempt has not run.
func (l *ledger) deny(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[attempt]
	e.denied = true
	if e.once && e.runs > 0 {
		l.found = append(l.found, "REFUSED after it ran: "+attempt)
	}
}

func (l *ledger) runs(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[attempt].runs
}

// settle waits for what still runs.
func (l *ledger) settle() { time.Sleep(time.Second) }

const (
	callPause   = 40 * time.Millisecond
	callTimeout = 6 * time.Second
	// harmTime is how long after a kill or a pause a broken connection is excused.
	harmTime = 6 * time.Second
	orderOf  = 3 // One request in so many is an order.
)

// call sends requests to one node until ctx ends, over connections that it keeps.
func (s *soak) call(ctx context.Context, n *node, caller int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		s.request(ctx, client, n, fmt.Sprintf("s%d-c%d-%d", s.options.Seed, caller, i), i%orderOf == 0)
		time.Sleep(callPause/2 + rand.N(callPause))
	}
}

func (s *soak) request(ctx context.Context, client *http.Client, n *node, attempt string, once bool) {
	method, path, body := http.MethodGet, "/look/"+attempt, ""
	if once {
		method, path, body = http.MethodPost, "/order/"+attempt, "order of "+attempt
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		s.ledger.violate("harness: %v", err)
		return
	}
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", strconv.Itoa(int((4 * time.Second).Milliseconds())))
	s.ledger.send(attempt, method+" "+path+" "+body, once)
	s.asked.Add(1)
	life := n.lives.Load()
	answer, err := client.Do(r)
	if err != nil {
		s.unanswered(ctx, n, attempt, life, err)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // Nothing is written to it.
	text, err := io.ReadAll(answer.Body)
	s.check(n, attempt, answer.StatusCode, string(text), err)
}

// check compares an answer with what belongs to the attempt.
func (s *soak) check(n *node, attempt string, status int, body string, err error) {
	switch {
	case status == http.StatusOK && err == nil && body == expectedBody(attempt):
		s.served.Add(1)
	case status == http.StatusOK && err == nil:
		s.ledger.violate("MIXED: %s got %q", attempt, body[:min(len(body), 60)])
	case status == http.StatusNotFound:
		s.ledger.violate("DENIED: %s by %s", attempt, n.name)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.ledger.deny(attempt)
	}
}

// unanswered looks at a connection that ended without an answer. A planned stop is
// no excuse if an upstream has run the request.
func (s *soak) unanswered(ctx context.Context, n *node, attempt string, life int64, err error) {
	if ctx.Err() != nil {
		return
	}
	harmed := time.Since(time.Unix(0, n.harmed.Load())) < harmTime
	var late net.Error
	if errors.As(err, &late) && late.Timeout() && !harmed {
		s.ledger.violate("LOST: %s by %s, life %d: no answer in %v", attempt, n.name, life, callTimeout)
		return
	}
	if !harmed && s.ledger.runs(attempt) > 0 {
		s.ledger.violate("LOST: %s by %s, life %d: %v", attempt, n.name, life, err)
	}
}
