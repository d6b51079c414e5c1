package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"eiderfold/core"
	"eiderfold/socket"
)

const (
	connectTimeout = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxTracked     = 256 // Requests in flight that CountSlow checks; further ones are served untracked.
	maxHeaderBytes = 64 << 10
)

// Upstream holds this node's state of an upstream. The request path uses only its
// atomics, so requests to different upstreams do not contend.
type Upstream struct {
	name           string
	service        string
	address        string
	inFlight       atomic.Int32
	othersInFlight atomic.Int32 // Requests in flight from the other nodes, as last reported.
	fast           atomic.Uint32
	slow           atomic.Uint32
	failed         atomic.Uint32
	shedUntil      atomic.Int64 // Unix nanoseconds; no requests until then.
	leaving        atomic.Bool  // It reported that it is leaving.
	namesAttempts  atomic.Bool  // Its latest answer had AttemptHeader.
	nextTracked    atomic.Uint32
	tracked        [maxTracked]atomic.Pointer[inFlightRequest]
	shared         *http.Transport // For retryable work; connections are reused if the upstream names attempts.
	dedicated      *http.Transport // For at-most-once work; one connection per request.
}

// inFlightRequest is a request sent to an upstream and not yet finished.
type inFlightRequest struct {
	started    time.Time
	slowAfter  time.Duration // After this time it counts as slow.
	stallAfter time.Duration // After this time it counts as failed.
	counted    atomic.Uint32 // One of notCounted, countedSlow and countedFailed.
	index      int32         // In Upstream.tracked; -1 if untracked.
}

// Values of inFlightRequest.counted, in increasing severity.
const (
	notCounted uint32 = iota
	countedSlow
	countedFailed
)

// NewUpstream returns an upstream at an IP:port. Connections to it have local as
// their source address; nil lets the system choose.
func NewUpstream(service, name, address string, connections int, local net.IP) *Upstream {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if local != nil && !local.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return &Upstream{
		name:      name,
		service:   service,
		address:   address,
		shared:    transport(dialer, connections, false),
		dedicated: transport(dialer, connections, true),
	}
}

// transport returns a transport for retryable or at-most-once work with half of
// this node's connections. An upstream may close a reused connection just as a
// request is sent on it, and then it is unknown whether the request ran; so
// at-most-once work uses a dedicated connection for each request.
func transport(dialer *net.Dialer, connections int, dedicated bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &connectError{err}
			}
			return socket.KeepReset(connection), nil
		},
		MaxConnsPerHost:        max(connections/2, 1),
		MaxIdleConnsPerHost:    max(connections/2, 1),
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      dedicated,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// connectError is a failure to connect: nothing was sent.
type connectError struct{ error }

// Unwrap returns the dialer's error.
func (e *connectError) Unwrap() error { return e.error }

// Name returns the upstream's name in the instance list.
func (u *Upstream) Name() string { return u.name }

// Service returns the name of the service it belongs to.
func (u *Upstream) Service() string { return u.service }

// Address returns the IP:port.
func (u *Upstream) Address() string { return u.address }

// InFlight returns this node's number of requests in flight at the upstream.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Leaving reports whether the upstream has refused a request because it is leaving.
func (u *Upstream) Leaving() bool { return u.leaving.Load() }

// Close closes the idle connections.
func (u *Upstream) Close() {
	u.shared.CloseIdleConnections()
	u.dedicated.CloseIdleConnections()
}

// SetTotalInFlight derives the other nodes' requests in flight from the total of all nodes.
func (u *Upstream) SetTotalInFlight(total int) {
	u.othersInFlight.Store(int32(max(total-u.InFlight(), 0)))
}

// tryAcquire takes a slot and reports whether one was free.
func (u *Upstream) tryAcquire(slots int) bool {
	// This node always has one slot, or a stale report of the others' load could
	// keep it from ever sending a request.
	limit := max(int32(slots)-u.othersInFlight.Load(), 1)
	for {
		n := u.inFlight.Load()
		if n >= limit {
			return false
		}
		if u.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (u *Upstream) release() { u.inFlight.Add(-1) }

// track registers a request for CountSlow.
func (u *Upstream) track(at time.Time, slowAfter, stallAfter time.Duration) *inFlightRequest {
	f := &inFlightRequest{started: at, slowAfter: slowAfter, stallAfter: stallAfter, index: -1}
	first := u.nextTracked.Add(1)
	for i := range uint32(maxTracked) {
		index := (first + i) % maxTracked
		if u.tracked[index].CompareAndSwap(nil, f) {
			f.index = int32(index)
			break
		}
	}
	return f
}

// finish counts a request's outcome and stops tracking it.
func (u *Upstream) finish(f *inFlightRequest, o outcome, at time.Time) {
	if f.index >= 0 {
		u.tracked[f.index].Store(nil)
	}
	switch o {
	case good:
		if at.Sub(f.started) <= f.slowAfter {
			u.fast.Add(1)
			return
		}
		u.countOnce(f, countedSlow)
	case bad:
		u.countOnce(f, countedFailed)
	case noEvidence:
		// Cancelled by the caller or because a hedge was faster, shed, or past its
		// deadline. If it was already slow it counts as slow, or hedges would hide an
		// upstream that never answers.
		if at.Sub(f.started) > f.slowAfter {
			u.countOnce(f, countedSlow)
		}
	}
}

// CountSlow counts the requests in flight that are already slow or stalled, so that an
// upstream that never answers is detected before the requests time out.
func (u *Upstream) CountSlow(at time.Time) {
	for i := range u.tracked {
		f := u.tracked[i].Load()
		if f == nil {
			continue
		}
		elapsed := at.Sub(f.started)
		if elapsed > f.stallAfter {
			u.countOnce(f, countedFailed)
		} else if elapsed > f.slowAfter {
			u.countOnce(f, countedSlow)
		}
	}
}

// countOnce counts a request at most once as slow and once as failed.
func (u *Upstream) countOnce(f *inFlightRequest, as uint32) {
	for {
		before := f.counted.Load()
		if before >= as {
			return
		}
		if f.counted.CompareAndSwap(before, as) {
			break
		}
	}
	if as == countedSlow {
		u.slow.Add(1)
		return
	}
	u.failed.Add(1)
}

// Drain returns and resets the counts.
func (u *Upstream) Drain() core.Count {
	return core.Count{
		Upstream: u.name,
		Fast:     u.fast.Swap(0),
		Slow:     u.slow.Swap(0),
		Failed:   u.failed.Swap(0),
	}
}

// outcome is the evidence that a finished request gives about its upstream.
type outcome int

const (
	noEvidence outcome = iota // Cancelled, shed, past its deadline, or the caller's fault.
	good
	bad
)
