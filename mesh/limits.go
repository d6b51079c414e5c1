package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/ingress"
	"eiderfold/link"
	"eiderfold/quota"
	"eiderfold/route"
)

const (
	// limitFlush is how long tokens that come back wait for others to be reported with: an
	// account that is refused for want of slots has many.
	limitFlush = 40 * time.Millisecond
	// limitLook is the pace at which the fleet is counted, and limitSign is how long a
	// node may take to give a sign of life: as long as a lost packet's second sending.
	// Together they are how long what a home gives may overlap with what others admit that
	// it has just lost.
	limitLook = 350 * time.Millisecond
	limitSign = 220 * time.Millisecond
	// mostUses bounds the accounts in a dump.
	mostUses = 20
	// limitSample is how many nodes are asked while no account runs low.
	limitSample = 4
)

// limits keeps client accounts within their limits: it drives the machines of package
// quota with what callers and other nodes say.
type limits struct {
	node    *Node
	mu      sync.Mutex
	homes   *quota.Homes
	home    *quota.Home
	spender *quota.Spender
	number  uint64
	waiting map[uint64]waiting
	inbound map[string]*link.Link // Of nodes that dialed, by address,
	dialers map[*link.Link]string // and their addresses.
	flushed bool                  // A flush is due.
	fleet   uint64                // Of links.reached, when the home was last unsettled.
}

// waiting is a request that waits for a home's word.
type waiting struct {
	answer chan ingress.Admission
	place  quota.Place
	hops   int // How many nodes have passed the question on.
}

func newLimits(n *Node, b quota.Bounds) *limits {
	home := quota.NewHome(b)
	home.Unsettle(time.Now())
	return &limits{node: n, home: home, spender: quota.NewSpender(b, rand.Float64),
		waiting: map[uint64]waiting{}, inbound: map[string]*link.Link{}, dialers: map[*link.Link]string{}}
}

// setBounds changes what is granted above limits.
func (l *limits) setBounds(b quota.Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.SetBounds(b)
	l.spender.SetBounds(b)
}

// run keeps count of the fleet until ctx ends.
func (l *limits) run(ctx context.Context) {
	t := time.NewTicker(limitLook)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.look(now)
		}
	}
}

// look finds out which part of the fleet is reached. What is not may admit its own part of
// every limit, and a home must not give that away as well. A few nodes are asked for a
// sign of life, which shows whether this node is cut off; all of them while an account
// runs low on tokens whose home this node is.
func (l *limits) look(now time.Time) {
	nodes := l.node.links.fleetSize()
	count := limitSample
	l.mu.Lock()
	l.spender.SetNodes(nodes)
	l.notice(now)
	l.resign(now)
	if l.home.Short(now) {
		count = nodes
	}
	idle := l.home.Idle()
	l.mu.Unlock()
	if idle {
		return
	}
	share := l.node.links.answering(count, limitSign)
	l.mu.Lock()
	l.home.SetShare(share)
	l.mu.Unlock()
}

// resign hands over to homes that are back, with the lock held.
func (l *limits) resign(now time.Time) {
	for _, account := range l.home.StoodIn() {
		if way, ok := l.homes.Back(account, now); ok {
			l.do(l.home.Update(quota.Resigned{At: now, Account: account, To: way}), now)
		}
	}
}

// notice tells the home of nodes that came or went, with the lock held.
func (l *limits) notice(now time.Time) {
	if at := l.node.links.reached.Load(); at != l.fleet {
		l.fleet = at
		l.home.Unsettle(now)
	}
}

// do carries commands out, with the lock held.
func (l *limits) do(commands []quota.Command, now time.Time) {
	reports := map[string][]link.LimitReport{}
	for _, c := range commands {
		switch c := c.(type) {
		case quota.Admit:
			l.decide(c.Number, ingress.Admission{Granted: true})
		case quota.Refuse:
			l.decide(c.Number, ingress.Admission{After: c.After, Unconfirmed: c.Unconfirmed})
		case quota.Ask:
			l.ask(c, now)
		case quota.Report:
			reports[c.To] = append(reports[c.To], link.LimitReport{Account: c.Account, Count: c.Count})
		case quota.Over:
			l.node.log.Info("account over its limit", zap.String("account", c.Account), zap.Float64("rate", c.Limit.Rate), zap.Float64("burst", c.Limit.Burst),
				zap.Float64("left", c.Left), zap.Float64("holds", c.Depth), zap.Int("refused", c.Refused))
		case quota.Claim:
			l.claim(c.Account, now)
		case quota.Answer:
			l.tell(c.To, &link.LimitAnswer{Number: c.Number, Granted: c.Granted, After: c.After}, now)
		}
	}
	for to, list := range reports {
		l.report(to, list)
	}
	if l.spender.Dirty() && !l.flushed {
		l.flushed = true
		time.AfterFunc(limitFlush, l.flush)
	}
}

// decide ends the wait of a request.
func (l *limits) decide(number uint64, a ingress.Admission) {
	if w, ok := l.waiting[number]; ok {
		delete(l.waiting, number)
		w.answer <- a
	}
}

// ask asks a home, which may be this node's own. One to which there is no way does not answer.
func (l *limits) ask(c quota.Ask, now time.Time) {
	if limit, ok := l.limit(c.Account); ok && c.To == l.node.self.Address {
		l.notice(now)
		acting := l.waiting[c.Number].place.Acting
		l.do(l.home.Update(quota.Asked{At: now, From: c.To, Number: c.Number, Account: c.Account, Limit: limit, Spent: c.Spent, Acting: acting}), now)
		return
	}
	if to := l.node.links.wayTo(c.To); to != nil {
		hops := l.waiting[c.Number].hops
		to.Send(&link.Frame{LimitAsk: &link.LimitAsk{Number: c.Number, Account: c.Account, Spent: c.Spent, Hops: hops}})
	}
}

// report tells a home of what was spent, which may be this node's own.
func (l *limits) report(to string, list []link.LimitReport) {
	if to == l.node.self.Address {
		l.charge(list)
		return
	}
	if way := l.node.links.wayTo(to); way != nil {
		way.Send(&link.Frame{LimitReports: list})
	}
}

// tell sends a home's word to the node that it is meant for.
func (l *limits) tell(to string, m *link.LimitAnswer, now time.Time) {
	if to == l.node.self.Address {
		l.hear(m, now)
		return
	}
	if in := l.inbound[to]; in != nil {
		in.Send(&link.Frame{LimitAnswer: m})
	}
}

// hear takes a home's word on a request.
func (l *limits) hear(m *link.LimitAnswer, now time.Time) {
	l.do(l.spender.Update(quota.Answered{At: now, Number: m.Number, Granted: m.Granted, Unknown: m.Unknown, After: m.After}), now)
}

// flush reports tokens that come back.
func (l *limits) flush() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flushed = false
	l.do(l.spender.Update(quota.Flushed{At: now}), now)
}

// uses returns the accounts whose home this node is and that use most of their limits.
func (l *limits) uses() []quota.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Uses(time.Now(), mostUses)
}

// limit returns an account's limit by the configuration in force here.
func (l *limits) limit(account string) (quota.Limit, bool) {
	t := l.node.forwarder.Table()
	if t == nil {
		return quota.Limit{}, false
	}
	a, ok := t.Account(account)
	if !ok || !a.Limited() {
		return quota.Limit{}, false
	}
	return limitOf(a), true
}

func limitOf(a *route.Account) quota.Limit { return quota.Limit{Rate: a.Rate, Burst: a.Burst} }
