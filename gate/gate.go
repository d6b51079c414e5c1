package gate

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/bodymemory"
	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/port"
	"eiderfold/quarantine"
	"eiderfold/switches"
)

const (
	// tickInterval is the resolution of all timeouts that depend on time alone.
	tickInterval = 50 * time.Millisecond
)

// Sink receives the frames that answer an offer: a link or the local ingress. Package ingress
// has an interface of the same shape for the other direction; each package declares its own, so
// that neither depends on the other.
type Sink interface {
	// Send queues a frame. It returns false if the frame cannot arrive.
	Send(f *link.Frame) bool
}

// Counters records metrics.
type Counters interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// upstreamClient sends requests to the upstream.
type upstreamClient interface {
	// do sends a request once, if the guard still allows it, and returns the complete answer.
	do(ctx context.Context, r *link.Content, m port.OutgoingMetadata, once bool, guard sendGuard) (*answer, *failure)
	// processEnded reports whether the upstream's process is gone.
	processEnded(ctx context.Context) bool
	// checkHealth requests the upstream's health path.
	checkHealth(ctx context.Context, path string) (*healthAnswer, error)
	// closeIdle closes all idle connections, or only the expired ones.
	closeIdle(all bool)
}

// Gate runs the upstream's work. Its methods are safe for concurrent use.
type Gate struct {
	client       upstreamClient
	bodies       *bodymemory.Memory
	log          *zap.Logger
	records      Records
	counters     Counters
	announce     func()
	path         func() string // The upstream's health path, "" if unknown.
	mu           sync.Mutex
	budget       *budget.Budget
	admission    *Admission
	active       map[link.Key]*activeOffer
	ended        *keptResults
	writes       map[string]*pendingWrites // First writes in progress, by id of the upstream.
	expiredUpTo  map[uint64]uint64         // By origin, the highest number of a non-retryable request whose result is no longer kept.
	failures     []localFailure
	tracker      *quarantine.SharedTracker
	abandoned    abandonedList
	lastActivity time.Time // When the upstream last answered or reported.
	switches     switches.Set
	nestedWait   overload.NestedWait
	done         chan struct{}
	// nextWeightLog is when an offer with an invalid weight may be logged again.
	nextWeightLog time.Time
	// nextLoadLog is when a malformed load of the upstream may be logged again.
	nextLoadLog time.Time
}

// Option configures a gate in New.
type Option func(*Gate)

// WithRecords sets where leaving incarnations are recorded across restarts of the node.
func WithRecords(r Records) Option { return func(g *Gate) { g.records = r } }

// WithBudget sets the gate's part of the fleet's repeat budget; without it, the gate starts no
// repeats.
func WithBudget(b *budget.Budget) Option { return func(g *Gate) { g.budget = b } }

// WithQuarantine sets the shared tracker of requests that crash upstreams; without it, the gate
// tracks only crashes of its own upstream.
func WithQuarantine(t *quarantine.SharedTracker) Option { return func(g *Gate) { g.tracker = t } }

// WithSwitches sets which mechanisms are on; without it, all are.
func WithSwitches(s switches.Set) Option { return func(g *Gate) { g.switches = s } }

// WithCounters sets where metrics are recorded.
func WithCounters(c Counters) Option { return func(g *Gate) { g.counters = c } }

// WithAnnounce sets a function that is called after every change of mode, without any lock
// held. It gets no status, which could be out of date; it can call Status for the current one.
func WithAnnounce(f func()) Option { return func(g *Gate) { g.announce = f } }

// WithBodyMemory sets the memory for the bodies of answers, which the gate may share with others.
func WithBodyMemory(m *bodymemory.Memory) Option { return func(g *Gate) { g.bodies = m } }

// WithHealthPath sets a function that returns the path of the upstream's health check.
func WithHealthPath(f func() string) Option { return func(g *Gate) { g.path = f } }

// New returns a gate that is closed until its upstream reports.
func New(u Upstream, dialect port.Dialect, log *zap.Logger, options ...Option) *Gate {
	g := &Gate{
		log:         log,
		announce:    func() {},
		path:        func() string { return "" },
		active:      map[link.Key]*activeOffer{},
		writes:      map[string]*pendingWrites{},
		expiredUpTo: map[uint64]uint64{},
		done:        make(chan struct{}),
	}
	for _, o := range options {
		o(g)
	}
	if g.budget == nil {
		g.budget = budget.New(0, 0, time.Now())
	}
	if g.bodies == nil {
		g.bodies = bodymemory.New(maxAnswerBytes)
	}
	g.ended = newKeptResults(g.bodies.Limit(bodymemory.Answer) / keptPart)
	if g.tracker == nil {
		g.tracker = quarantine.NewSharedTracker(func([]quarantine.Command) {})
	}
	g.admission = NewAdmission(u.Service, g.budget)
	g.admission.SetSwitches(g.switches)
	g.admission.SetNestedWait(g.nestedWait)
	g.client = &client{address: u.Address, dialect: dialect, memory: g.bodies, dialed: func() { g.count("upstream_connections") }}
	return g
}

// Run handles timeouts until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer close(g.done)
	for {
		select {
		case <-ctx.Done():
			g.client.closeIdle(true)
			return
		case now := <-t.C:
			g.update(Ticked{At: now})
			g.expire(now)
		}
	}
}

// Status returns the gate's current status.
func (g *Gate) Status() link.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.admission.Status()
	s.Room = g.admission.Room(time.Now())
	return s
}

// Saturated reports whether all slots are taken.
func (g *Gate) Saturated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Saturated()
}

// ActiveOffers returns how many offers are queued, granted or running. A stopping node waits until
// there are none.
func (g *Gate) ActiveOffers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// Report processes a report of an upstream and returns the incarnation that sent it.
func (g *Gate) Report(r port.Report) port.Incarnation {
	g.mu.Lock()
	r = g.admission.normalize(r)
	before := g.admission.upstream
	planned := g.admission.leaving.contains(before)
	late := !r.Leaving && g.admission.leaving.contains(r.Incarnation)
	g.mu.Unlock()
	if late {
		g.count("report_ready_after_leaving")
	}
	g.update(Reported{At: time.Now(), Report: r})
	if now := g.Upstream(); before.ID != "" && now != before && !planned {
		g.attributeCrash(before)
	}
	if r.Incarnation == g.Upstream() {
		g.markActive()
	}
	return r.Incarnation
}

// NoteLeaving records that an incarnation is leaving or has left, which an earlier process of this node
// has acknowledged, or an answer has said.
func (g *Gate) NoteLeaving(upstream port.Incarnation) {
	g.update(Confirmed{At: time.Now(), Upstream: upstream, Leaving: true})
}

// Upstream returns the current incarnation.
func (g *Gate) Upstream() port.Incarnation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.upstream
}

// Stop closes the gate for new work. Running attempts go on.
func (g *Gate) Stop() { g.update(Stopping{At: time.Now()}) }

// Evacuate sets whether the upstream's data centre gets no new work.
func (g *Gate) Evacuate(on bool) { g.update(Evacuated{At: time.Now(), On: on}) }

// SetCold sets the load limit of a cold upstream.
func (g *Gate) SetCold(b ColdBound) { g.update(ColdBoundChanged{At: time.Now(), Cold: b}) }

// expire drops results that are past their retention and closes expired idle connections.
func (g *Gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended.expire(now, func(k link.Key) { g.expiredUpTo[k.Origin] = max(g.expiredUpTo[k.Origin], k.Number) })
	g.client.closeIdle(false)
}

func (g *Gate) count(name string) {
	if g.counters != nil {
		g.counters.Count(name)
	}
}

func (g *Gate) observe(name string, d time.Duration) {
	if g.counters != nil {
		g.counters.Observe(name, d)
	}
}
