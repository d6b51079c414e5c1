package gate

import (
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/switches"
)

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
	if o.Record != nil {
		g.book.Heard(now, *o.Record)
	}
	c := &call{offer: o, sink: from, deadline: now.Add(o.Left), repeat: o.Claim != budget.First}
	c.aim = g.admission.AimOf(now, c.deadline, o.Aim)
	g.calls[o.Key] = c
	g.mu.Unlock()
	if o.Content != nil && g.holdBack(now, c) {
		return
	}
	g.update(Offered{
		At:        now,
		Key:       o.Key,
		Service:   o.Service,
		Upstream:  o.Upstream,
		Deadline:  c.deadline,
		Aim:       c.aim,
		Priority:  g.priority(o.Priority),
		Retryable: o.Retryable,
		Force:     o.Force,
		Ready:     o.Content != nil,
		Kind:      o.Kind,
		Claim:     o.Claim,
	})
}

// AimOf returns when an answer loses most of its worth, or lost it; without a word about
// it, at the deadline.
func (a *Admission) AimOf(now, deadline time.Time, left time.Duration) time.Time {
	forgotten := left < 0 && !a.switches.On(switches.LateLast)
	if left == 0 || forgotten || now.Add(left).After(deadline) {
		return deadline
	}
	return now.Add(left)
}

// priority is that of an offer, or the same for all where priorities are off.
func (g *Gate) priority(p int) int {
	if g.switches.On(switches.Priority) {
		return p
	}
	return 0
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
	if !g.holdBack(now, c) {
		g.update(Committed{At: now, Key: m.Key})
	}
}

// holdBack refuses a request under which upstreams end, and tells whether it did. Here it
// is looked up last before it starts, as its ingress may not know of it yet.
func (g *Gate) holdBack(now time.Time, c *call) bool {
	left := g.book.Held(now, c.print)
	if left == 0 {
		return false
	}
	g.count("gate_refused_" + link.ReasonQuarantined.String())
	c.sink.Send(&link.Frame{Refused: &link.Refused{Key: c.offer.Key, Reason: link.ReasonQuarantined, After: left}})
	g.withdraw(now, c.offer.Key)
	return true
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
	if g.calls[k] == nil && k.Number <= g.forgotten[k.Origin] {
		// It may be one of those that ended long ago: the one that asks may have been
		// suspended, and its clock with it, so that no bound on its question helps.
		from.Send(&link.Frame{Failed: &link.Failed{Key: k, Detail: "its end is no longer kept"}})
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
