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
	// limitAskTime is how long a home may take to answer: far over a round trip between
	// data centres, 3 ms, and a node's turns at a slow processor.
	limitAskTime = 50 * time.Millisecond
	// limitTime is how long a request waits for the word of a home in all: once for one
	// that does not answer, for probes, and for the home that is found then.
	limitTime = 180 * time.Millisecond
	// limitFlush is how long tokens that come back wait for others to be reported with: an
	// account that is refused for want of slots has many.
	limitFlush = 40 * time.Millisecond
	// limitLook is the pace at which the fleet is counted, and limitSign is how long a
	// node may take to give a sign of life: as long as a lost packet's second sending.
	// Together they are how long what a home gives may overlap with what others admit that
	// it has just lost.
	limitLook = 350 * time.Millisecond
	limitSign = 220 * time.Millisecond
	// mostUses bounds the accounts in a dump and in the metrics.
	mostUses = 20
	// limitSample is how many nodes are asked while no account runs low.
	limitSample = 4
	// limitPoll is the pace at which a home is looked for that is being dialed or probed for.
	limitPoll = 2 * time.Millisecond
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
	inbound map[string]*link.Link // Of nodes that dialed, by address.
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
		waiting: map[uint64]waiting{}, inbound: map[string]*link.Link{}}
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

// notice tells the home of nodes that came or went, with the lock held.
func (l *limits) notice(now time.Time) {
	if at := l.node.links.reached.Load(); at != l.fleet {
		l.fleet = at
		l.home.Unsettle(now)
	}
}

// Take implements ingress.Limits.
func (l *limits) Take(ctx context.Context, a *route.Account) ingress.Admission {
	return l.take(ctx, a, 0)
}

// take is Take for a request that so many nodes have passed on.
func (l *limits) take(ctx context.Context, a *route.Account, hops int) ingress.Admission {
	until := time.Now().Add(limitTime)
	number, answer := l.begin(ctx, a, hops, until)
	for {
		select {
		case decided := <-answer:
			return decided
		default:
		}
		timer := time.NewTimer(limitAskTime)
		select {
		case decided := <-answer:
			timer.Stop()
			return decided
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			until = time.Now()
		}
		number = l.again(ctx, number, a, until)
	}
}

// begin has a request decided, once it is known how its account's home is reached.
func (l *limits) begin(ctx context.Context, a *route.Account, hops int, until time.Time) (uint64, chan ingress.Admission) {
	at := l.awaitHome(ctx, a.Name, until)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	answer := make(chan ingress.Admission, 1)
	l.waiting[l.number] = waiting{answer: answer, place: at, hops: hops}
	l.do(l.spender.Update(quota.Wanted{At: now, Number: l.number, Account: a.Name, Limit: limitOf(a), Home: at.Way}), now)
	return l.number, answer
}

// again asks another node after a home was asked in vain, or has the request decided
// without its home once there is no time left. It returns the request's new number.
func (l *limits) again(ctx context.Context, number uint64, a *route.Account, until time.Time) uint64 {
	l.mu.Lock()
	w, ok := l.waiting[number]
	if ok {
		l.node.metrics.Count("limit_unanswered")
		l.homes.Unanswered(w.place, time.Now())
	}
	l.mu.Unlock()
	if !ok {
		return number
	}
	var at quota.Place
	if time.Now().Before(until) {
		at = l.awaitHome(ctx, a.Name, until)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.waiting[number]; !ok {
		return number
	}
	delete(l.waiting, number)
	l.number++
	l.waiting[l.number] = waiting{answer: w.answer, place: at, hops: w.hops}
	l.do(l.spender.Update(quota.Unanswered{At: now, Number: number, Next: l.number, Home: at.Way}), now)
	return l.number
}

// awaitHome waits until it is known how an account's home is reached.
func (l *limits) awaitHome(ctx context.Context, account string, until time.Time) quota.Place {
	for {
		now := time.Now()
		l.mu.Lock()
		at := l.homes.Of(account, now)
		l.mu.Unlock()
		if !at.Pending {
			return at
		}
		if !now.Before(until) || ctx.Err() != nil {
			return quota.Place{}
		}
		time.Sleep(limitPoll)
	}
}

// Return implements ingress.Limits.
func (l *limits) Return(a *route.Account) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.do(l.spender.Update(quota.Returned{At: now, Account: a.Name}), now)
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
