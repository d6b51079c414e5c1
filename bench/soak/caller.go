package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eiderfold/result"
)

const (
	// callPause is the mean pause of a caller between two requests.
	callPause = 40 * time.Millisecond
	// callTimeout is how long a caller waits: over the deadline it sends, so that a
	// node has time for its own answer.
	callTimeout = 6 * time.Second
	// callDeadline is the deadline that callers send.
	callDeadline = 4 * time.Second
	// harmTime is how long after a kill or a pause a broken connection is excused.
	harmTime = 6 * time.Second
	// orderOf is how many requests there are for one that may run only once.
	orderOf = 3
)

// call sends requests to one node until ctx ends, over connections that it keeps.
func (s *soak) call(ctx context.Context, n *node, caller int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("s%d-c%d-%d", s.options.Seed, caller, i)
		body := ""
		if i%orderOf == 0 {
			body = s.orderBody(attempt, caller)
		}
		s.request(ctx, client, n, attempt, body, s.keyOf(caller+i))
		time.Sleep(callPause/2 + rand.N(callPause))
	}
}

// keyOf is the key that a caller's request shows, "" in a run without accounts.
func (s *soak) keyOf(i int) string {
	if !s.options.Accounts {
		return ""
	}
	return keyOf(i)
}

// request sends one request and judges what came of it: an order, if it has a body.
func (s *soak) request(ctx context.Context, client *http.Client, n *node, attempt, body, key string) {
	method, path, once := http.MethodGet, "/look/"+attempt, body != ""
	if once {
		method, path = http.MethodPost, "/order/"+attempt
	}
	var content io.Reader = strings.NewReader(body)
	if len(body) > pacedFrom {
		content = newSlowBody(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, content)
	if err != nil {
		s.ledger.violate("harness: %v", err)
		return
	}
	way := &connectionStory{begun: time.Now()}
	r = r.WithContext(httptrace.WithClientTrace(ctx, way.trace()))
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	s.ledger.send(attempt, method+" "+path+" "+body, once, key)
	if countsAsServed(key) {
		s.asked.Add(1)
	}
	life := n.lives.Load()
	answer, err := client.Do(r)
	if err != nil {
		s.ledger.noteEnd(n.name + " without an answer")
		s.unanswered(ctx, n, attempt, life, way, errors.Wrap(err, way.String()))
		return
	}
	s.ledger.noteEnd(fmt.Sprint(n.name, " ", answer.StatusCode, " ", answer.Header.Get(result.Header)))
	defer answer.Body.Close() //nolint:errcheck // Nothing is written to it.
	text, err := io.ReadAll(answer.Body)
	s.check(n, attempt, key, answer.StatusCode, string(text), err)
}

// check compares an answer with what belongs to the attempt.
func (s *soak) check(n *node, attempt, key string, status int, body string, err error) {
	switch {
	case status == http.StatusOK && err == nil && body == expectedBody(attempt):
		if countsAsServed(key) {
			s.served.Add(1)
		}
	case status == http.StatusOK && err == nil:
		s.ledger.violate("MIXED: %s got %q", attempt, body[:min(len(body), 60)])
	case status == http.StatusNotFound || status == http.StatusUnauthorized && key != keyUnknown:
		s.ledger.violate("DENIED: %s by %s", attempt, n.name)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.ledger.deny(attempt)
	}
}

// unanswered looks at a connection that ended without an answer. A planned stop is
// no excuse if an upstream has run the request.
func (s *soak) unanswered(ctx context.Context, n *node, attempt string, life int64, way *connectionStory, err error) {
	if ctx.Err() != nil {
		return
	}
	harmed := time.Since(time.Unix(0, n.harmed.Load())) < harmTime
	var late net.Error
	if errors.As(err, &late) && late.Timeout() && !harmed {
		s.ledger.violate("LOST: %s by %s, life %d: no answer in %v (connected: %t, begun while the listener may have been closing: %t; kernel since the start: %s): %v",
			attempt, n.name, life, time.Since(way.begun).Round(time.Millisecond), way.connected(), n.stops.met(way.begun), s.kernel.since(), err)
		return
	}
	if !harmed && s.ledger.runs(attempt) > 0 {
		s.ledger.violate("LOST: %s by %s, life %d: %v", attempt, n.name, life, err)
	}
}
