package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eiderfold/ingress"
	"eiderfold/link"
	"eiderfold/quota"
	"eiderfold/route"
)

const (
	// limitFlush is how long spent and returned tokens are collected before they are
	// reported: an account whose requests are refused for lack of slots returns many.
	limitFlush = 40 * time.Millisecond
	// limitCheckEvery is the interval at which the reachable share of the fleet is
	// determined, and limitPingTimeout is how long a node may take to answer a ping, enough
	// for one retransmission. A home that pings all nodes reduces its rate at most
	// this interval plus this timeout after it has lost some; until then, it grants tokens
	// that the lost nodes admit as well.
	limitCheckEvery  = 350 * time.Millisecond
	limitPingTimeout = 220 * time.Millisecond
	// fleetToldTime is how long after the first configuration other nodes may take to tell of the fleet.
	fleetToldTime = 3 * time.Second
	// maxUses bounds the number of accounts in a dump.
	maxUses = 20
	// limitSample is how many nodes are pinged while no account runs low.
	limitSample = 4
)

// limits enforces the limits of client accounts: it feeds callers' requests and other
// nodes' messages to the state machines of package quota.
type limits struct {
	node           *Node
	mu             sync.Mutex
	homes          *quota.Homes
	home           *quota.Home
	limiter        *quota.Limiter
	number         uint64
	pending        map[uint64]pendingRequest
	inbound        map[string]*link.Link // Links of nodes that dialed, by address.
	dialers        map[*link.Link]string // Addresses of these nodes.
	flushScheduled bool                  // A flush is scheduled.
	seenChanges    uint64                // Value of links.changes when the home was last notified.
	// toldBy is when other nodes have told this one of the fleet, if the directory can't be read; nil without a configuration.
	toldBy atomic.Pointer[time.Time]
}

// pendingRequest is a request that waits for a home's answer.
type pendingRequest struct {
	answer   chan ingress.Admission
	location quota.Location
	hops     int // How many nodes have forwarded the request.
}

func newLimits(n *Node, b quota.Bounds) *limits {
	home := quota.NewHome(b)
	home.MarkUncertain(time.Now())
	return &limits{node: n, home: home, limiter: quota.NewLimiter(b, rand.Float64),
		pending: map[uint64]pendingRequest{}, inbound: map[string]*link.Link{}, dialers: map[*link.Link]string{}}
}

// configured records that there is a configuration: limits hold from now on.
func (l *limits) configured(now time.Time) {
	toldBy := now.Add(fleetToldTime)
	l.toldBy.CompareAndSwap(nil, &toldBy)
}

// setBounds changes how much is granted above limits.
func (l *limits) setBounds(b quota.Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.SetBounds(b)
	l.limiter.SetBounds(b)
}

// run determines the reachable share of the fleet periodically until ctx ends.
func (l *limits) run(ctx context.Context) {
	t := time.NewTicker(limitCheckEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.measureReach(now)
		}
	}
}

// measureReach determines the reachable share of the fleet. Unreachable nodes may admit
// their own part of every limit, and a home must not grant that part as well. A few random
// nodes are pinged, which shows whether this node is cut off; all are pinged while an
// account whose home this node is runs low on tokens.
func (l *limits) measureReach(now time.Time) {
	nodes := l.node.links.fleetSize()
	count := limitSample
	l.mu.Lock()
	l.setNodes(nodes)
	l.noteFleetChanges(now)
	l.handBack(now)
	if l.home.Low(now) {
		count = nodes
	}
	idle := l.home.Idle()
	l.mu.Unlock()
	if idle {
		return
	}
	share := l.node.links.reachableShare(count, limitPingTimeout)
	l.mu.Lock()
	l.home.SetShare(share)
	l.mu.Unlock()
}

// setNodes sets the number of nodes, or that it is not known. The lock must be held.
func (l *limits) setNodes(nodes int) {
	view := fleetView{l.node.links}
	if !view.Complete() {
		nodes = 0
	}
	l.limiter.SetNodes(nodes)
}

// handBack returns accounts to their homes when these are reachable again. The lock must be
// held.
func (l *limits) handBack(now time.Time) {
	for _, account := range l.home.ActingFor() {
		if via, ok := l.homes.HandoverVia(account, now); ok {
			l.execute(l.home.Update(quota.HomeReturned{At: now, Account: account, To: via}), now)
		}
	}
}

// noteFleetChanges marks the home's accounts uncertain after nodes joined or left. The lock
// must be held.
func (l *limits) noteFleetChanges(now time.Time) {
	if at := l.node.links.changes.Load(); at != l.seenChanges {
		l.seenChanges = at
		l.home.MarkUncertain(now)
	}
}

// execute carries out commands. The lock must be held.
func (l *limits) execute(commands []quota.Command, now time.Time) {
	reports := map[string][]link.LimitReport{}
	for _, c := range commands {
		switch c := c.(type) {
		case quota.Admit:
			l.resolve(c.Number, ingress.Admission{Granted: true})
		case quota.Refuse:
			l.resolve(c.Number, ingress.Admission{After: c.RetryAfter, Unconfirmed: c.Unconfirmed})
		case quota.RequestToken:
			l.ask(c, now)
		case quota.Report:
			reports[c.To] = append(reports[c.To], link.LimitReport{Account: c.Account, Count: c.Count})
		case quota.OverLimit:
			// In the log, "holds" is the capacity of the account's bucket.
			l.node.log.Info("account over its limit", zap.String("account", c.Account), zap.Float64("rate", c.Limit.Rate), zap.Float64("burst", c.Limit.Burst),
				zap.Float64("left", c.Left), zap.Float64("holds", c.Depth), zap.Int("refused", c.Refused))
		case quota.Claim:
			l.sendHomeNotices(c.Account, now)
		case quota.Answer:
			l.sendAnswer(c.To, &link.LimitReply{Number: c.Number, Granted: c.Granted, RetryAfter: c.RetryAfter}, now)
		}
	}
	for to, list := range reports {
		l.report(to, list)
	}
	if l.limiter.Dirty() && !l.flushScheduled {
		l.flushScheduled = true
		time.AfterFunc(limitFlush, l.flush)
	}
}

// resolve delivers the decision on a request.
func (l *limits) resolve(number uint64, a ingress.Admission) {
	if w, ok := l.pending[number]; ok {
		delete(l.pending, number)
		w.answer <- a
	}
}

// ask sends a request to a home, which may be this node. A home without a link does not
// answer.
func (l *limits) ask(c quota.RequestToken, now time.Time) {
	if limit, ok := l.limit(c.Account); ok && c.To == l.node.self.Address {
		l.noteFleetChanges(now)
		acting := l.pending[c.Number].location.Acting
		l.execute(l.home.Update(quota.TokenRequested{At: now, From: c.To, Number: c.Number, Account: c.Account, Limit: limit, Spent: c.Spent, Acting: acting}), now)
		return
	}
	if to := l.node.links.linkTo(c.To); to != nil {
		hops := l.pending[c.Number].hops
		to.Send(&link.Frame{LimitRequest: &link.LimitRequest{Number: c.Number, Account: c.Account, Spent: c.Spent, Hops: hops}})
	}
}

// report sends the counts of spent tokens, negative for returned ones, to their home, which
// may be this node.
func (l *limits) report(home string, list []link.LimitReport) {
	if home == l.node.self.Address {
		l.charge(list)
		return
	}
	if to := l.node.links.linkTo(home); to != nil {
		to.Send(&link.Frame{LimitReports: list})
	}
}

// sendAnswer sends a home's answer to the node that asked.
func (l *limits) sendAnswer(to string, m *link.LimitReply, now time.Time) {
	if to == l.node.self.Address {
		l.applyAnswer(m, now)
		return
	}
	if in := l.inbound[to]; in != nil {
		in.Send(&link.Frame{LimitReply: m})
	}
}

// applyAnswer applies a home's answer to a request.
func (l *limits) applyAnswer(m *link.LimitReply, now time.Time) {
	l.execute(l.limiter.Update(quota.Answered{At: now, Number: m.Number, Granted: m.Granted, Unknown: m.Unknown, RetryAfter: m.RetryAfter}), now)
}

// flush reports the tokens that were spent without a home or are returned.
func (l *limits) flush() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flushScheduled = false
	l.execute(l.limiter.Update(quota.FlushDue{At: now}), now)
}

// uses returns the accounts whose home this node is, those that use most of their limits
// first.
func (l *limits) uses() []quota.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Uses(time.Now(), maxUses)
}

// limit returns an account's limit according to the configuration in force.
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
