package mesh

import (
	"context"
	"time"

	"eiderfold/link"
	"eiderfold/quota"
)

// maxHops is how many nodes may forward a request. One is needed where a link is cut; the
// bound stops two nodes that each consider the other closer to a home from forwarding for
// ever.
const maxHops = 2

// linkAdded records the link of a node that dialed, to answer it.
func (l *limits) linkAdded(address string, in *link.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbound[address] = in
	l.dialers[in] = address
}

// linkRemoved drops the link of a node that dialed.
func (l *limits) linkRemoved(in *link.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address := l.dialers[in]; l.inbound[address] == in {
		delete(l.inbound, address)
	}
	delete(l.dialers, in)
}

// homeLost notifies the limiter that the link to a dialed node is lost.
func (l *limits) homeLost(address string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.execute(l.limiter.Update(quota.HomeLost{At: now, Home: address}), now)
}

// homeLinked notes a new link to a node.
func (l *limits) homeLinked(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.homes.ClearSuspicion(address)
}

// sendHomeNotices notifies the nodes that may have acted as home in this node's place that this
// node is the account's home. A node without a link is dialed, and learns of this node from
// its hello.
func (l *limits) sendHomeNotices(account string, now time.Time) {
	for _, successor := range l.homes.Successors(account, now) {
		if to := l.node.links.linkTo(successor); to != nil {
			to.Send(&link.Frame{HomeNotice: &link.HomeNotice{Record: l.node.links.self()}})
			continue
		}
		fleetView{l.node.links}.Dial(successor)
	}
}

// handleHomeNotice processes another node's claim that it is the home of an account.
func (l *limits) handleHomeNotice(m *link.HomeNotice) {
	l.node.links.learn(m.Record)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.homes.Claimed(m.Record.Address, time.Now())
}

// handleReply processes a home's answer to a request.
func (l *limits) handleReply(m *link.LimitReply) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyAnswer(m, now)
}

// handleRequest answers another node's request. If this node is not the account's home but
// reaches the home, which the asking node does not, it forwards the request there:
// otherwise the account would have two homes, and twice its limit.
func (l *limits) handleRequest(from *link.Link, m *link.LimitRequest) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteFleetChanges(now)
	limit, ok := l.limit(m.Account)
	location := l.homes.Of(m.Account, now)
	if !ok || location.Home != l.node.self.Address && m.Hops >= maxHops {
		from.Send(&link.Frame{LimitReply: &link.LimitReply{Number: m.Number, Unknown: true}})
		return
	}
	if location.Home != l.node.self.Address {
		l.charge([]link.LimitReport{{Account: m.Account, Count: m.Spent}})
		go l.relay(from, m)
		return
	}
	l.execute(l.home.Update(quota.TokenRequested{At: now, From: l.dialers[from], Number: m.Number, Account: m.Account, Limit: limit, Spent: m.Spent, Acting: location.Acting}), now)
}

// relay asks an account's home on behalf of another node.
func (l *limits) relay(from *link.Link, m *link.LimitRequest) {
	t := l.node.forwarder.Table()
	account, ok := t.Account(m.Account)
	if !ok {
		return // Dropped by a newer configuration; the asking node times out.
	}
	l.node.metrics.Count("limit_relayed")
	a := l.take(context.Background(), account, m.Hops+1)
	from.Send(&link.Frame{LimitReply: &link.LimitReply{Number: m.Number, Granted: a.Granted, Unknown: a.Unconfirmed, RetryAfter: a.After}})
}

// handleReports applies other nodes' reports of tokens that were spent without their home or
// are returned.
func (l *limits) handleReports(list []link.LimitReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charge(list)
}

// charge charges spent tokens, or credits returned ones, whose count is negative. The lock
// must be held. For an account whose home is another node, the limiter adds them to this
// node's own and reports them to that home.
func (l *limits) charge(list []link.LimitReport) {
	now := time.Now()
	for _, r := range list {
		limit, ok := l.limit(r.Account)
		if !ok || r.Count == 0 {
			continue
		}
		if location := l.homes.Of(r.Account, now); location.Home == l.node.self.Address {
			l.execute(l.home.Update(quota.Reported{At: now, Account: r.Account, Limit: limit, Count: r.Count, Acting: location.Acting}), now)
			continue
		}
		l.execute(l.limiter.Update(quota.Misdirected{At: now, Account: r.Account, Limit: limit, Count: r.Count}), now)
	}
}
