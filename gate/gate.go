package gate

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
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
	announce  func(link.Status)
	path      func() string // The upstream's health path, "" if unknown.
	mu        sync.Mutex
	admission *Admission
	calls     map[link.Key]*call
	ended     map[link.Key]ended
	done      chan struct{}
}

// Option changes a gate when it is made.
type Option func(*Gate)

// WithRecords tells the gate where earlier processes recorded what leaves.
func WithRecords(r Records) Option { return func(g *Gate) { g.records = r } }

// WithCounters tells the gate who counts.
func WithCounters(c Counters) Option { return func(g *Gate) { g.counters = c } }

// WithAnnounce is called with every new status, outside of any lock.
func WithAnnounce(f func(link.Status)) Option { return func(g *Gate) { g.announce = f } }

// WithHealthPath tells where the upstream answers health checks.
func WithHealthPath(f func() string) Option { return func(g *Gate) { g.path = f } }

// New returns a gate that is closed until its upstream reports.
func New(u Upstream, dialect port.Dialect, log *zap.Logger, options ...Option) *Gate {
	g := &Gate{
		log:       log,
		announce:  func(link.Status) {},
		path:      func() string { return "" },
		admission: NewAdmission(u.Service),
		calls:     map[link.Key]*call{},
		ended:     map[link.Key]ended{},
		done:      make(chan struct{}),
	}
	for _, o := range options {
		o(g)
	}
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

// Busy returns how many offers are in hand.
func (g *Gate) Busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

// Report takes an upstream's word about itself.
func (g *Gate) Report(r port.Report) { g.update(Reported{At: time.Now(), Report: r}) }

// Stop closes the gate for new work; what runs goes on.
func (g *Gate) Stop() { g.update(Stopping{At: time.Now()}) }

// Handle takes a message of an ingress.
func (g *Gate) Handle(from Sink, f *link.Frame) {
	now := time.Now()
	switch {
	case f.Offer != nil:
		g.offer(now, from, f.Offer)
	case f.Commit != nil:
		g.commit(now, from, f.Commit)
	case f.Withdraw != nil:
		g.withdraw(now, f.Withdraw.Key)
	case f.Ask != nil:
		g.ask(from, f.Ask.Key)
	}
}

// offer takes an offer in hand and lets the admission decide.
func (g *Gate) offer(now time.Time, from Sink, o *link.Offer) {
	g.mu.Lock()
	if g.calls[o.Key] != nil {
		g.mu.Unlock()
		return // A repeated message; the first one stands.
	}
	c := &call{offer: o, sink: from, deadline: now.Add(o.Left), repeat: o.Repeat}
	g.calls[o.Key] = c
	g.mu.Unlock()
	g.update(Offered{
		At:        now,
		Key:       o.Key,
		Service:   o.Service,
		Upstream:  o.Upstream,
		Deadline:  c.deadline,
		Aim:       aim(now, c.deadline, o.Aim),
		Priority:  o.Priority,
		Retryable: o.Retryable,
		Force:     o.Force,
		Ready:     o.Content != nil,
	})
}

// aim returns when an answer loses most of its worth; without a word about it, at
// the deadline.
func aim(now, deadline time.Time, left time.Duration) time.Time {
	if left == 0 || now.Add(left).After(deadline) {
		return deadline
	}
	return now.Add(left)
}

// commit gives a granted offer its content and its go-ahead.
func (g *Gate) commit(now time.Time, from Sink, m *link.Commit) {
	g.mu.Lock()
	c := g.calls[m.Key]
	if c != nil {
		c.offer.Content = m.Content
		c.deadline = now.Add(m.Left)
		c.repeat = m.Repeat
	}
	g.mu.Unlock()
	if c == nil {
		from.Send(&link.Frame{Refused: &link.Refused{Key: m.Key, Reason: link.ReasonNeverSeen}})
		return
	}
	g.update(Committed{At: now, Key: m.Key})
}

// withdraw forgets an offer that does not run; what runs is kept until it ends.
func (g *Gate) withdraw(now time.Time, k link.Key) {
	g.update(Withdrawn{At: now, Key: k})
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.calls[k]; c != nil && c.cancel == nil {
		delete(g.calls, k)
	}
}

// ask tells what became of a committed offer whose link broke.
func (g *Gate) ask(from Sink, k link.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.calls[k]; c != nil && c.cancel != nil {
		c.sink = from
		from.Send(&link.Frame{Granted: &link.Granted{Key: k, Started: true}})
		return
	}
	if e, ok := g.ended[k]; ok {
		from.Send(e.frame)
		return
	}
	delete(g.calls, k) // Should it be granted still, its commit will find nothing.
	from.Send(&link.Frame{Refused: &link.Refused{Key: k, Reason: link.ReasonNeverSeen}})
}

// Lost withdraws what came over a link that broke. Work that may run only once
// goes on and can be asked for.
func (g *Gate) Lost(from Sink) {
	g.mu.Lock()
	var keys []link.Key
	for k, c := range g.calls {
		if c.sink == from {
			keys = append(keys, k)
		}
	}
	g.mu.Unlock()
	for _, k := range keys {
		g.withdraw(time.Now(), k)
	}
}

// update moves the admission on and carries its commands out.
func (g *Gate) update(m Message) {
	g.mu.Lock()
	var announced *link.Status
	for _, c := range g.admission.Update(m) {
		if _, ok := c.(Announce); ok {
			s := g.admission.Status()
			announced = &s
			continue
		}
		g.execute(c)
	}
	g.mu.Unlock()
	if announced != nil {
		g.log.Info("gate mode", zap.Stringer("mode", announced.Mode), zap.String("upstream", announced.Upstream),
			zap.Float64("suspicion", announced.Suspect), zap.Duration("usual", announced.Usual), zap.String("cause", cause(m)))
		g.announce(*announced)
	}
}

// cause names the message that changed the mode, for the log.
func cause(m Message) string {
	switch m := m.(type) {
	case Ended:
		return "attempt " + m.Outcome.String()
	case Reported:
		if m.Report.Leaving {
			return "upstream leaves"
		}
		return "upstream reported"
	case Confirmed:
		return "confirmed"
	case Stopping:
		return "node stops"
	default:
		return "time passed"
	}
}

// execute carries out one command with the lock held.
func (g *Gate) execute(c Command) {
	switch c := c.(type) {
	case Grant:
		g.answer(c.Key, &link.Frame{Granted: &link.Granted{Key: c.Key}})
	case Queue:
		g.answer(c.Key, &link.Frame{Queued: &link.Queued{Key: c.Key}})
	case Refuse:
		g.count("gate_refused_" + c.Reason.String())
		g.answer(c.Key, &link.Frame{Refused: &link.Refused{Key: c.Key, Reason: c.Reason, After: c.After}})
		delete(g.calls, c.Key)
	case Start:
		g.start(c.Key)
	case Abort:
		if call := g.calls[c.Key]; call != nil && call.cancel != nil {
			call.cancel()
		}
	case Confirm:
		go g.confirm(c.Upstream)
	}
}

// answer sends a message about an offer, with the lock held.
func (g *Gate) answer(k link.Key, f *link.Frame) {
	if c := g.calls[k]; c != nil {
		c.sink.Send(f)
	}
}

// expire forgets ended answers and idle connections past their time.
func (g *Gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, e := range g.ended {
		if now.After(e.expires) {
			delete(g.ended, k)
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
