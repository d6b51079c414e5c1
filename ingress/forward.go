package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/port"
	"eiderfold/quarantine"
	"eiderfold/result"
	"eiderfold/route"
	"eiderfold/switches"
)

// defaultCallerTimeout applies if neither the caller nor the route sets a timeout.
const defaultCallerTimeout = 30 * time.Second

// Counters records metrics. It lists what this package needs, independently of the same
// interface in package gate.
type Counters interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Forwarder forwards callers' requests to gates and returns the answers.
type Forwarder struct {
	service    string // Service of the upstream beside this node.
	endpoints  *Endpoints
	dialect    port.Dialect
	log        *zap.Logger
	counters   Counters
	saturated  func() bool                                   // Reports whether the upstream beside this node has no free slot.
	parents    func(attempt string) (overload.Parent, bool)  // Finds an attempt that runs on the upstream beside this node.
	failed     func(overload.Failure)                        // Called for each failed request.
	nested     func(parent, service string) func(status int) // Called when a nested request is sent to a service.
	limits     Limits
	tracker    *quarantine.SharedTracker // Tracks requests that crash upstreams.
	table      atomic.Pointer[route.Table]
	configured chan struct{} // Closed once there is a configuration.
	configure  sync.Once
	finishAt   atomic.Pointer[time.Time] // When Finish ends what is in flight; nil while the node is not stopping.
	origin     uint64                    // Identifies this process's offers; differs after a restart.
	number     atomic.Uint64
	// nextRoomLog is the UnixNano from which an invalid room may be logged again.
	nextRoomLog atomic.Int64
	latencies   sync.Map // *core.LatencyPercentile by route name.
	mu          sync.Mutex
	requests    map[uint64]*inFlightRequest // By number of their offers.
	finish      sync.Once
	finished    chan struct{} // Closed by Finish.
}

// Option configures a Forwarder in NewForwarder.
type Option func(*Forwarder)

// WithParents sets the lookup of a nested request's parent, which runs on the upstream
// beside this node, by the parent's attempt id.
func WithParents(f func(attempt string) (overload.Parent, bool)) Option {
	return func(to *Forwarder) { to.parents = f }
}

// WithSaturation sets the function that reports whether the upstream beside this node has no
// free slot.
func WithSaturation(f func() bool) Option {
	return func(to *Forwarder) { to.saturated = f }
}

// WithFailures sets the function that is called for each failed request.
func WithFailures(f func(overload.Failure)) Option {
	return func(to *Forwarder) { to.failed = f }
}

// WithNested sets the function that is called when a nested request is sent to a service, with the
// attempt that makes it. The function that it returns is called when the nested request has ended,
// with the status of its answer or 0 if its caller has left.
func WithNested(f func(parent, service string) (ended func(status int))) Option {
	return func(to *Forwarder) { to.nested = f }
}

// NewForwarder returns a forwarder without a configuration.
func NewForwarder(service string, endpoints *Endpoints, dialect port.Dialect, log *zap.Logger, counters Counters, options ...Option) *Forwarder {
	f := &Forwarder{
		service:    service,
		endpoints:  endpoints,
		dialect:    dialect,
		log:        log,
		counters:   counters,
		saturated:  func() bool { return true },
		parents:    func(string) (overload.Parent, bool) { return overload.Parent{}, false },
		failed:     func(overload.Failure) {},
		nested:     func(string, string) func(int) { return func(int) {} },
		limits:     noLimits{},
		tracker:    quarantine.NewSharedTracker(func([]quarantine.Command) {}),
		configured: make(chan struct{}),
		origin:     rand.Uint64(),
		requests:   map[uint64]*inFlightRequest{},
		finished:   make(chan struct{}),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// SetTable replaces the configuration.
func (f *Forwarder) SetTable(t *route.Table) {
	f.table.Store(t)
	f.configure.Do(func() { close(f.configured) })
}

// Table returns the current configuration, nil if there is none.
func (f *Forwarder) Table() *route.Table { return f.table.Load() }

// Serve answers a request. It returns nil if the caller has left.
func (f *Forwarder) Serve(ctx context.Context, r *Request) *Response {
	if !f.awaitTable(ctx, r.Arrived) && ctx.Err() != nil {
		return nil
	}
	req, refused := f.prepare(r)
	if refused != nil {
		f.explain(r, nil, refused)
		return refused
	}
	if refused := f.boundByStop(req); refused != nil {
		f.explain(r, req, refused)
		return refused
	}
	if refused := f.checkQuarantine(req); refused != nil {
		f.explain(r, req, refused)
		return refused
	}
	if refused := f.admit(ctx, req); refused != nil {
		f.explain(r, req, refused)
		return refused
	}
	if req.inRepeat {
		f.count("call_of_repeat")
	}
	response := f.runNested(ctx, req)
	f.returnUnused(req)
	f.explain(r, req, response)
	if response == nil {
		return nil
	}
	if response.Status >= http.StatusInternalServerError {
		f.failed(overload.Failure{Arrived: r.Arrived, Parent: req.parent, BudgetSpent: req.lacksBudget()})
	}
	return f.outgoing(response)
}

// acceptedHeader is what the header of a request that can be forwarded says.
type acceptedHeader struct {
	table    *route.Table
	metadata port.RequestMetadata
	route    *route.Route
	account  *route.Account // nil without one.
	parent   overload.Parent
	isNested bool
}

// deadline returns the deadline by the request's arrival that the caller or the operator has set.
func (a *acceptedHeader) deadline(arrived time.Time) time.Time {
	return arrived.Add(callerTimeout(a.metadata.Timeout, a.route.Timeout))
}

// checkHeader matches the route and the account of a request, or returns the refusal of one that cannot be forwarded.
func (f *Forwarder) checkHeader(r *Request) (*acceptedHeader, *Response) {
	a := &acceptedHeader{table: f.table.Load()}
	if a.table == nil {
		return nil, refusal(result.New(result.NoConfiguration, "").WithRetryAfter(shortRetryAfter))
	}
	a.metadata = f.dialect.Request(r.Header)
	if a.metadata.Malformed || a.metadata.Attempt == "" {
		return nil, refusal(result.New(result.BadRequest, "the attempt's id or deadline cannot be read"))
	}
	path := r.URL.EscapedPath()
	matched, ok := a.table.Match(r.Host, path)
	if !ok {
		return nil, refusal(result.New(result.NoRoute, path))
	}
	a.route = matched
	a.parent, a.isNested = f.parents(a.metadata.Parent)
	if !a.isNested {
		a.metadata.Parent = ""
	}
	account, refused := identify(a.table, matched, a.metadata.AccountKey, a.isNested)
	if refused != nil {
		return nil, refused
	}
	a.account = account
	return a, nil
}

// prepare returns the in-flight request, or the refusal of a request that cannot be forwarded.
func (f *Forwarder) prepare(r *Request) (*inFlightRequest, *Response) {
	a, refused := f.checkHeader(r)
	if refused != nil {
		return nil, refused
	}
	table, matched, account, parent, metadata := a.table, a.route, a.account, a.parent, a.metadata
	header := r.Header.Clone()
	strip(header)
	header.Del("Content-Length")
	if table.HasAccounts() {
		f.dialect.StripPrivate(header)
	}
	deadline := a.deadline(r.Arrived)
	requirements := overload.NewRequirements(matched.Priority, r.Arrived, matched.Target, deadline).ForAccount(table.Priority(matched, account))
	if a.isNested && f.endpoints.switches.On(switches.NestedRequirements) {
		requirements = requirements.ForAccount(table.NestedPriority(matched, parent.Priority)).ForNested(parent)
	}
	return &inFlightRequest{
		forwarder:    f,
		route:        matched,
		service:      matched.Pick(),
		account:      account,
		regions:      route.RegionsOf(matched, account),
		share:        shareOf(account, parent),
		attempt:      metadata.Attempt,
		latency:      f.latencyOf(matched),
		content:      &link.Content{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: r.Body},
		arrived:      r.Arrived,
		deadline:     requirements.Deadline(),
		requirements: requirements,
		saturated:    f.saturated,
		repeatState:  repeatState{inRepeat: parent.Repeat},
		parent:       metadata.Parent,
		events:       newEventQueue(),
	}, nil
}

// latencyOf returns a route's latency percentile, which is kept when the configuration
// changes.
func (f *Forwarder) latencyOf(r *route.Route) *core.LatencyPercentile {
	if u, ok := f.latencies.Load(r.Name); ok {
		return u.(*core.LatencyPercentile)
	}
	u, _ := f.latencies.LoadOrStore(r.Name, &core.LatencyPercentile{})
	return u.(*core.LatencyPercentile)
}

// callerTimeout returns the shorter of the caller's and the operator's timeout.
func callerTimeout(caller, operator time.Duration) time.Duration {
	switch {
	case caller > 0 && operator > 0:
		return min(caller, operator)
	case caller > 0:
		return caller
	case operator > 0:
		return operator
	default:
		return defaultCallerTimeout
	}
}

// outgoing prepares an upstream's answer for the caller.
func (f *Forwarder) outgoing(r *Response) *Response {
	if r.own {
		return r
	}
	header := http.Header(r.Header)
	strip(header)
	r.Header = header
	return r
}

func (f *Forwarder) newKey() link.Key {
	return link.Key{Origin: f.origin, Number: f.number.Add(1)}
}

func (f *Forwarder) count(name string) { f.counters.Count(name) }
