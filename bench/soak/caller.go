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
	// callPause is the mean pause between two requests of a caller.
	callPause = 40 * time.Millisecond
	// callTimeout is the caller's client timeout. It exceeds callDeadline, so that a node
	// has time to respond at the deadline.
	callTimeout = 6 * time.Second
	// callDeadline is the deadline that callers send in Deadline-Ms.
	callDeadline = 4 * time.Second
	// excuseTime is how long after a kill, a pause or an unexpected exit of the node a
	// missing response is no violation.
	excuseTime = 6 * time.Second
	// One request in orderEvery is an order, which may run only once.
	orderEvery = 3
)

// runCaller sends requests to one node over persistent connections until ctx ends.
func (s *soak) runCaller(ctx context.Context, n *node, caller int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		attempt := fmt.Sprintf("s%d-c%d-%d", s.options.Seed, caller, i)
		body := ""
		if i%orderEvery == 0 {
			body = s.orderBody(attempt, caller, i)
		}
		s.request(ctx, client, n, attempt, body, s.keyOf(caller+i))
		time.Sleep(callPause/2 + rand.N(callPause))
	}
}

// keyOf returns the key that request i sends, "" in a run without accounts.
func (s *soak) keyOf(i int) string {
	if !s.options.Accounts {
		return ""
	}
	return keyOf(i)
}

// request sends one request and checks the response. A request with a body is an order.
func (s *soak) request(ctx context.Context, client *http.Client, n *node, attempt, body, key string) {
	method, path, once := http.MethodGet, "/look/"+attempt, body != ""
	if once {
		method, path = http.MethodPost, "/order/"+attempt
	}
	var content io.Reader = strings.NewReader(body)
	if len(body) > slowBodyMin {
		content = newSlowBody(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, content)
	if err != nil {
		s.checker.violate("harness: %v", err)
		return
	}
	trace := &connTrace{start: time.Now()}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace.clientTrace()))
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	request := method + " " + path + " "
	if len(body) < largeUploadBytes { // Those never run.
		request += body
	}
	s.checker.recordSent(n, attempt, request, once, key)
	if mustBeServed(key) {
		s.asked.Add(1)
	}
	starts := n.starts.Load()
	resp, err := client.Do(r)
	if err != nil {
		s.checker.countOutcome(n.name + " without an answer")
		s.checkUnanswered(ctx, n, attempt, starts, trace, errors.Wrap(err, trace.String()))
		return
	}
	s.checker.countOutcome(fmt.Sprint(n.name, " ", resp.StatusCode, " ", resp.Header.Get(result.Header)))
	defer resp.Body.Close() //nolint:errcheck // The body is only read.
	text, err := io.ReadAll(resp.Body)
	if err == nil && n.starts.Load() == starts {
		s.checker.statements.passedOn(n.name, resp.Header)
	}
	s.check(n, attempt, key, resp.StatusCode, string(text), err)
}

// check compares a response with the one expected for the attempt.
func (s *soak) check(n *node, attempt, key string, status int, body string, err error) {
	switch {
	case status == http.StatusOK && err == nil && body == expectedBody(attempt):
		if mustBeServed(key) {
			s.served.Add(1)
		}
	case status == http.StatusOK && err == nil:
		s.checker.violate("MIXED: %s got %q", attempt, body[:min(len(body), 60)])
	case status == http.StatusNotFound || status == http.StatusUnauthorized && key != keyUnknown:
		s.checker.violate("DENIED: %s by %s", attempt, n.name)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		s.checker.recordRefused(attempt)
	}
}

// checkUnanswered checks a request that got no response. It reports a timeout, and any
// other failure if an upstream ran the request or its connection was new, unless the node was
// killed, paused or exited unexpectedly within excuseTime. A planned stop excuses none of them.
func (s *soak) checkUnanswered(ctx context.Context, n *node, attempt string, starts int64, trace *connTrace, err error) {
	if ctx.Err() != nil {
		return
	}
	excused := time.Since(time.Unix(0, n.disruptedAt.Load())) < excuseTime
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && !excused {
		s.checker.violate("LOST: %s by %s, life %d: no answer in %v (connected: %t, begun while the listener may have been closing: %t; kernel since the start: %s): %v",
			attempt, n.name, starts, time.Since(trace.start).Round(time.Millisecond), trace.connected(), n.stops.overlaps(trace.start), s.kernel.since(), err)
		return
	}
	if !excused && (s.checker.runs(attempt) > 0 || trace.freshConn()) {
		s.checker.violate("LOST: %s by %s, life %d: %v", attempt, n.name, starts, err)
	}
}
