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

const (
	// assumedPatience is how long a request is held when neither caller nor route say.
	assumedPatience = 30 * time.Second
	// eventsKept is how many messages of gates may wait for one request; each of
	// its few offers brings at most three.
	eventsKept = 64
)

// Counters is told what happens, for metrics. It is what this package needs of
// them; that package gate needs the same is chance.
type Counters interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Forwarder sees requests to their answers.
type Forwarder struct {
	service  string // Beside which this node stands.
	targets  *Targets
	dialect  port.Dialect
	log      *zap.Logger
	counters Counters
	crowded  func() bool                                  // No slot is free on the upstream beside this node.
	parents  func(attempt string) (overload.Parent, bool) // The attempts that run on the upstream beside this node.
	failed   func(arrived time.Time)                      // Is told of requests that failed.
	limits   Limits
	book     *quarantine.Book // Of requests that end upstreams.
	table    atomic.Pointer[route.Table]
	origin   uint64 // Of this process's offers; differs after a restart.
	number   atomic.Uint64
	usual    sync.Map // *core.Usual by the route's name.
	mu       sync.Mutex
	flights  map[uint64]*flight
}

// Option changes a forwarder when it is made.
type Option func(*Forwarder)

// WithParents tells how to find the request for which the upstream beside this node
// makes a call, by the name that the call gives of it.
func WithParents(f func(attempt string) (overload.Parent, bool)) Option {
	return func(to *Forwarder) { to.parents = f }
}

// WithCrowd tells how to find out whether the upstream beside this node has no free slot.
func WithCrowd(f func() bool) Option {
	return func(to *Forwarder) { to.crowded = f }
}

// WithFailures tells who wants to know of requests that failed, by when they arrived.
func WithFailures(f func(arrived time.Time)) Option {
	return func(to *Forwarder) { to.failed = f }
}

// NewForwarder returns a forwarder without a configuration.
func NewForwarder(service string, targets *Targets, dialect port.Dialect, log *zap.Logger, counters Counters, options ...Option) *Forwarder {
	f := &Forwarder{
		service:  service,
		targets:  targets,
		dialect:  dialect,
		log:      log,
		counters: counters,
		crowded:  func() bool { return true },
		parents:  func(string) (overload.Parent, bool) { return overload.Parent{}, false },
		failed:   func(time.Time) {},
		limits:   noLimits{},
		book:     quarantine.NewBook(func([]quarantine.Command) {}),
		origin:   rand.Uint64(),
		flights:  map[uint64]*flight{},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// SetTable puts a configuration in force.
func (f *Forwarder) SetTable(t *route.Table) { f.table.Store(t) }

// Table returns the configuration in force, nil if there is none.
func (f *Forwarder) Table() *route.Table { return f.table.Load() }

// Serve answers a request; nil if the caller has left.
func (f *Forwarder) Serve(ctx context.Context, r *Request) *Response {
	fl, refused := f.prepare(r)
	if refused != nil {
		f.explain(r, nil, refused)
		return refused
	}
	if refused := f.holdBack(fl); refused != nil {
		f.explain(r, fl, refused)
		return refused
	}
	if refused := f.admit(ctx, fl); refused != nil {
		f.explain(r, fl, refused)
		return refused
	}
	if fl.ofRepeat {
		f.count("call_of_repeat")
	}
	response := fl.run(ctx)
	f.giveBack(fl)
	f.explain(r, fl, response)
	if response == nil {
		return nil
	}
	if response.Status >= http.StatusInternalServerError {
		f.failed(r.Arrived)
	}
	return f.outgoing(response)
}

// prepare finds the route and its terms, or says why there is none.
func (f *Forwarder) prepare(r *Request) (*flight, *Response) {
	table := f.table.Load()
	if table == nil {
		return nil, refusal(result.New(result.NoConfiguration, "").WithRetryAfter(backLater))
	}
	terms := f.dialect.Request(r.Header)
	if terms.Malformed || terms.Attempt == "" {
		return nil, refusal(result.New(result.BadRequest, "the attempt's id or deadline cannot be read"))
	}
	path := r.URL.EscapedPath()
	matched, ok := table.Match(r.Host, path)
	if !ok {
		return nil, refusal(result.New(result.NoRoute, path))
	}
	parent, isCall := f.parents(terms.Parent)
	account, refused := identify(table, matched, terms.Key, isCall)
	if refused != nil {
		return nil, refused
	}
	header := r.Header.Clone()
	strip(header)
	header.Del("Content-Length")
	if table.HasAccounts() {
		f.dialect.Conceal(header)
	}
	deadline := r.Arrived.Add(patience(terms.Patience, matched.Timeout))
	own := overload.NewTerms(matched.Priority, r.Arrived, matched.Target, deadline).ForAccount(table.Priority(matched, account))
	if isCall && f.targets.switches.On(switches.CallTerms) {
		own = own.ForAccount(table.CallPriority(matched, parent.Priority)).ForCall(parent)
	}
	return &flight{
		forwarder: f,
		route:     matched,
		service:   matched.Pick(),
		account:   account,
		regions:   route.RegionsOf(matched, account),
		attempt:   terms.Attempt,
		usual:     f.usualOf(matched),
		content:   &link.Content{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: r.Body},
		began:     r.Arrived,
		deadline:  own.Deadline(),
		terms:     own,
		crowded:   f.crowded,
		ofRepeat:  parent.Repeat,
		events:    make(chan event, eventsKept),
	}, nil
}

// usualOf returns a route's answer times; they outlive its configuration.
func (f *Forwarder) usualOf(r *route.Route) *core.Usual {
	if u, ok := f.usual.Load(r.Name); ok {
		return u.(*core.Usual)
	}
	u, _ := f.usual.LoadOrStore(r.Name, &core.Usual{})
	return u.(*core.Usual)
}

// patience is the shorter of what the caller waits and what the operator allows.
func patience(caller, operator time.Duration) time.Duration {
	switch {
	case caller > 0 && operator > 0:
		return min(caller, operator)
	case caller > 0:
		return caller
	case operator > 0:
		return operator
	default:
		return assumedPatience
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

func (f *Forwarder) key() link.Key {
	return link.Key{Origin: f.origin, Number: f.number.Add(1)}
}

func (f *Forwarder) count(name string) { f.counters.Count(name) }
