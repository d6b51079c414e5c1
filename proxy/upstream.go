package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"eiderfold/core"
)

const (
	connectTimeout = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	flightSlots    = 256 // Requests in flight that are watched for being late; more are not lost, only unwatched.
	maxHeaderBytes = 64 << 10
)

// Upstream is one upstream as this node sees it. The request path touches only
// its atomics, so requests to different upstreams share nothing.
type Upstream struct {
	name     string
	service  string
	address  string
	inFlight atomic.Int32
	others   atomic.Int32 // What the other nodes had in flight when last heard.
	fast     atomic.Uint32
	slow     atomic.Uint32
	failed   atomic.Uint32
	sheds    atomic.Int64 // Unix nanoseconds until which it asked to be left alone.
	refusing atomic.Bool  // It said itself that it is leaving.
	next     atomic.Uint32
	flights  [flightSlots]atomic.Pointer[flight]
	shared   *http.Transport // Retryable work: connections are kept.
	single   *http.Transport // At-most-once work: a connection each.
}

// flight is a request on its way to an upstream.
type flight struct {
	started time.Time
	usual   time.Duration // Past this the answer is slow.
	stalled time.Duration // Past this it counts as failed.
	counted atomic.Uint32 // What it has been counted as already.
	slot    int32         // Where it is watched, -1 for nowhere.
}

// What a flight has been counted as.
const (
	notCounted uint32 = iota
	countedSlow
	countedFailed
)

// NewUpstream returns an upstream at an IP:port. Connections to it come from the
// IP number of local, which is nil for whatever the system takes.
func NewUpstream(service, name, address string, connections int, local net.IP) *Upstream {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if local != nil && !local.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return &Upstream{
		name:    name,
		service: service,
		address: address,
		shared:  transport(dialer, connections, false),
		single:  transport(dialer, connections, true),
	}
}

// transport gives each kind of work half of this node's connections. A kept
// connection may be closed by the upstream just as a request goes out on it, and
// then nobody knows whether the request ran; so at-most-once work never uses one.
func transport(dialer *net.Dialer, connections int, single bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &connectError{err}
			}
			return connection, nil
		},
		MaxConnsPerHost:        max(connections/2, 1),
		MaxIdleConnsPerHost:    max(connections/2, 1),
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      single,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// connectError says that no connection came about, so nothing was sent.
type connectError struct{ error }

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.error }

// Name returns the upstream's name in the instance list.
func (u *Upstream) Name() string { return u.name }

// Service returns the name of the service it belongs to.
func (u *Upstream) Service() string { return u.service }

// Address returns the IP:port.
func (u *Upstream) Address() string { return u.address }

// InFlight returns how many requests of this node it works on.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Refusing reports whether it said itself that it is leaving.
func (u *Upstream) Refusing() bool { return u.refusing.Load() }

// Close gives its idle connections back.
func (u *Upstream) Close() {
	u.shared.CloseIdleConnections()
	u.single.CloseIdleConnections()
}

// SetOthers tells what all nodes together had in flight.
func (u *Upstream) SetOthers(total int) {
	u.others.Store(int32(max(total-u.InFlight(), 0)))
}

// take counts a request in if a slot is free.
func (u *Upstream) take(slots int) bool {
	// At least one slot stays for this node, or a stale report of the others'
	// load could keep it from ever asking.
	room := max(int32(slots)-u.others.Load(), 1)
	for {
		n := u.inFlight.Load()
		if n >= room {
			return false
		}
		if u.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (u *Upstream) release() { u.inFlight.Add(-1) }

// depart starts watching a request.
func (u *Upstream) depart(at time.Time, usual, stalled time.Duration) *flight {
	f := &flight{started: at, usual: usual, stalled: stalled, slot: -1}
	first := u.next.Add(1)
	for i := range uint32(flightSlots) {
		slot := (first + i) % flightSlots
		if u.flights[slot].CompareAndSwap(nil, f) {
			f.slot = int32(slot)
			break
		}
	}
	return f
}

// land counts how a request ended and stops watching it.
func (u *Upstream) land(f *flight, o outcome, at time.Time) {
	if f.slot >= 0 {
		u.flights[f.slot].Store(nil)
	}
	switch o {
	case good:
		if at.Sub(f.started) <= f.usual {
			u.fast.Add(1)
			return
		}
		u.count(f, countedSlow)
	case bad:
		u.count(f, countedFailed)
	case noEvidence:
		// Called off, by the caller or as a hedge was faster. Being late already
		// counts all the same, or hedges would hide a black hole.
		if at.Sub(f.started) > f.usual {
			u.count(f, countedSlow)
		}
	}
}

// Watch counts requests that are late, without waiting for them to end: a black
// hole must not be judged by its time-out.
func (u *Upstream) Watch(at time.Time) {
	for i := range u.flights {
		f := u.flights[i].Load()
		if f == nil {
			continue
		}
		late := at.Sub(f.started)
		if late > f.stalled {
			u.count(f, countedFailed)
		} else if late > f.usual {
			u.count(f, countedSlow)
		}
	}
}

// count counts a flight once as slow and once as failed at most.
func (u *Upstream) count(f *flight, as uint32) {
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

// Drain returns what was counted since the last Drain.
func (u *Upstream) Drain() core.Count {
	return core.Count{
		Upstream: u.name,
		Fast:     u.fast.Swap(0),
		Slow:     u.slow.Swap(0),
		Failed:   u.failed.Swap(0),
	}
}

// outcome is what a request's end says of its upstream.
type outcome int

const (
	noEvidence outcome = iota // The caller's doing, or a shed.
	good
	bad
)
