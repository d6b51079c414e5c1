package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/port"
	"eiderfold/quarantine"
	"eiderfold/switches"
)

const (
	// tickEvery is the pace of what depends on time alone; a tenth of the shortest
	// time that it looks at.
	tickEvery = 50 * time.Millisecond
	// keptAnswers is how long an ended attempt is remembered for a question after
	// a broken link: longer than an ingress waits for the link (its rejoinTime).
	keptAnswers = 6 * time.Second
)

// Sink is where the answers to an offer go: a link or the local ingress. Package
// ingress has one of the same shape for the way here; each belongs to the package
// that sends, so that neither needs the other.
type Sink interface {
	// Send queues a message and returns false when it cannot arrive.
	Send(f *link.Frame) bool
}

// Counters is told what happens, for metrics. It is what this package needs of
// them; that package ingress needs the same is chance.
type Counters interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// ended is an answer that is kept for a question.
type ended struct {
	frame   *link.Frame
	expires time.Time
}

// worker is the way to the upstream.
type worker interface {
	// do sends a request once and returns the whole answer.
	do(ctx context.Context, r *link.Content, t port.OutgoingTerms, once bool) (*answer, *failure)
	// processEnded tells whether the upstream's process is gone.
	processEnded(ctx context.Context) bool
	// checkHealth returns the incarnation that says it is well.
	checkHealth(ctx context.Context, path string) (string, error)
	// drop closes idle connections, all or those past their time.
	drop(all bool)
}

// Gate runs the upstream's work. Its methods are safe for concurrent use.
type Gate struct {
	client    worker
	log       *zap.Logger
	records   Records
	counters  Counters
	announce  func()
	path      func() string // The upstream's health path, "" if unknown.
	mu        sync.Mutex
	budget    *budget.Budget
	admission *Admission
	calls     map[link.Key]*call
	ended     map[link.Key]ended
	forgotten map[uint64]uint64 // By origin, the highest number of an order whose end is no longer kept.
	failures  []callFailure
	book      *quarantine.Book
	abandoned abandonedList
	alive     time.Time // When the upstream last gave a sign of life.
	switches  switches.Set
	done      chan struct{}
}

// Option changes a gate when it is made.
type Option func(*Gate)

// WithRecords tells the gate where earlier processes recorded what leaves.
func WithRecords(r Records) Option { return func(g *Gate) { g.records = r } }

// WithBudget names the part of the fleet's repeats that the gate may start; without
// it, it starts none.
func WithBudget(b *budget.Budget) Option { return func(g *Gate) { g.budget = b } }

// WithQuarantine names where it is kept which requests end upstreams; without it, the
// gate knows of its own upstream's ends alone.
func WithQuarantine(b *quarantine.Book) Option { return func(g *Gate) { g.book = b } }

// WithSwitches says which mechanisms are on; without it, all are.
func WithSwitches(s switches.Set) Option { return func(g *Gate) { g.switches = s } }

// WithCounters tells the gate who counts.
func WithCounters(c Counters) Option { return func(g *Gate) { g.counters = c } }

// WithAnnounce names what is called after every change of mode, outside of any lock.
// It is given no status: a newer one may be in force by then, which Status returns.
func WithAnnounce(f func()) Option { return func(g *Gate) { g.announce = f } }

// WithHealthPath tells where the upstream answers health checks.
func WithHealthPath(f func() string) Option { return func(g *Gate) { g.path = f } }

// New returns a gate that is closed until its upstream reports.
func New(u Upstream, dialect port.Dialect, log *zap.Logger, options ...Option) *Gate {
	g := &Gate{
		log:       log,
		announce:  func() {},
		path:      func() string { return "" },
		calls:     map[link.Key]*call{},
		ended:     map[link.Key]ended{},
		forgotten: map[uint64]uint64{},
		done:      make(chan struct{}),
	}
	for _, o := range options {
		o(g)
	}
	if g.budget == nil {
		g.budget = budget.New(0, 0, time.Now())
	}
	if g.book == nil {
		g.book = quarantine.NewBook(func([]quarantine.Command) {})
	}
	g.admission = NewAdmission(u.Service, g.budget)
	g.admission.SetSwitches(g.switches)
	g.client = &client{address: u.Address, dialect: dialect, dialed: func() { g.count("upstream_connections") }}
	return g
}

// Run lets time pass until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	defer close(g.done)
	for {
		select {
		case <-ctx.Done():
			g.client.drop(true)
			return
		case now := <-t.C:
			g.update(Ticked{At: now})
			g.expire(now)
		}
	}
}

// Status returns the gate's state.
func (g *Gate) Status() link.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Status()
}

// Crowded tells whether no slot is free.
func (g *Gate) Crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Crowded()
}

// Busy returns how many offers are in hand.
func (g *Gate) Busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

// Report takes an upstream's word about itself, and returns which incarnation it is about.
func (g *Gate) Report(r port.Report) port.Incarnation {
	g.mu.Lock()
	r = g.admission.understood(r)
	before := g.admission.upstream
	planned := slices.Contains(g.admission.left, before)
	g.mu.Unlock()
	g.update(Reported{At: time.Now(), Report: r})
	if now := g.Upstream(); before.ID != "" && now != before && !planned {
		g.blameAbandoned(before)
	}
	if r.Incarnation == g.Upstream() {
		g.noteAlive()
	}
	return r.Incarnation
}

// Upstream returns the incarnation that is believed to be there.
func (g *Gate) Upstream() port.Incarnation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.upstream
}

// Stop closes the gate for new work; what runs goes on.
func (g *Gate) Stop() { g.update(Stopping{At: time.Now()}) }

// Evacuate says whether the upstream's data centre is to get no new work.
func (g *Gate) Evacuate(on bool) { g.update(Evacuated{At: time.Now(), On: on}) }

// SetCold says what the upstream bears while it is cold.
func (g *Gate) SetCold(b ColdBound) { g.update(Bounded{At: time.Now(), Cold: b}) }

// expire forgets ended answers and idle connections past their time.
func (g *Gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, e := range g.ended {
		if now.After(e.expires) {
			delete(g.ended, k)
			g.forgotten[k.Origin] = max(g.forgotten[k.Origin], k.Number)
		}
	}
	g.client.drop(false)
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
