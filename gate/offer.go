package gate

import (
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/switches"
)

// Handle processes a frame from an ingress.
func (g *Gate) Handle(from Sink, f *link.Frame) {
	now := time.Now()
	switch {
	case f.Offer != nil:
		g.offer(now, from, f.Offer)
	case f.Commit != nil:
		g.commit(now, from, f.Commit)
	case f.Withdraw != nil:
		g.withdraw(now, f.Withdraw.Key)
	case f.OutcomeQuery != nil:
		g.answerQuery(from, f.OutcomeQuery.Key)
	}
}

// offer registers an offer and passes it to the admission.
func (g *Gate) offer(now time.Time, from Sink, o *link.Offer) {
	g.noteNamedLimit(now, o)
	g.mu.Lock()
	if g.active[o.Key] != nil {
		g.mu.Unlock()
		return // A duplicate; the first offer stays valid.
	}
	if o.Record != nil {
		g.tracker.Merge(now, *o.Record)
	}
	ao := &activeOffer{offer: o, sink: from, deadline: now.Add(o.TimeLeft), repeat: o.AttemptKind != budget.First}
	ao.target = g.admission.TargetDeadline(now, ao.deadline, o.Target)
	g.active[o.Key] = ao
	g.mu.Unlock()
	if o.Content != nil && g.refuseQuarantined(now, ao) {
		return
	}
	g.update(Offered{
		At:             now,
		Key:            o.Key,
		Service:        o.Service,
		Upstream:       o.Upstream,
		Deadline:       ao.deadline,
		TargetDeadline: ao.target,
		Priority:       g.effectivePriority(o.Priority),
		Retryable:      o.Retryable,
		Force:          o.Force,
		Ready:          o.Content != nil,
		Kind:           o.Kind,
		AttemptKind:    o.AttemptKind,
		Account:        shareAccount(o),
		Weight:         g.weightOf(now, o),
		Nested:         o.Nested,
	})
}

// TargetDeadline returns the target deadline of an offer by the time left until it, which is
// negative if it has passed and 0 if there is none. Without one, it returns the deadline.
func (a *Admission) TargetDeadline(now, deadline time.Time, left time.Duration) time.Time {
	ignored := left < 0 && !a.switches.On(switches.LateLast)
	if left == 0 || ignored || now.Add(left).After(deadline) {
		return deadline
	}
	return now.Add(left)
}

// effectivePriority returns the priority of an offer, or 0 for all if priorities are switched
// off.
func (g *Gate) effectivePriority(p int) int {
	if g.switches.On(switches.Priority) {
		return p
	}
	return 0
}

// commit adds the content to a granted offer and starts it.
func (g *Gate) commit(now time.Time, from Sink, m *link.Commit) {
	g.mu.Lock()
	ao := g.active[m.Key]
	if ao != nil {
		ao.offer.Content = m.Content
		ao.deadline = now.Add(m.TimeLeft)
		ao.repeat = m.Repeat
	}
	g.mu.Unlock()
	if ao == nil {
		from.Send(&link.Frame{Refused: &link.Refused{Key: m.Key, Reason: link.ReasonNeverSeen}})
		return
	}
	if !g.refuseQuarantined(now, ao) {
		g.update(Committed{At: now, Key: m.Key})
	}
}

// refuseQuarantined refuses a quarantined request and reports whether it did. The gate checks
// just before the start, as the ingress may not have the record yet.
func (g *Gate) refuseQuarantined(now time.Time, ao *activeOffer) bool {
	left := g.tracker.Remaining(now, ao.fingerprint)
	if left == 0 {
		return false
	}
	g.count("gate_refused_" + link.ReasonQuarantined.String())
	ao.sink.Send(&link.Frame{Refused: &link.Refused{Key: ao.offer.Key, Reason: link.ReasonQuarantined, RetryAfter: left}})
	g.withdraw(now, ao.offer.Key)
	return true
}

// withdraw drops an offer that does not run. A running one is kept until it ends.
func (g *Gate) withdraw(now time.Time, k link.Key) {
	g.update(Withdrawn{At: now, Key: k})
	g.mu.Lock()
	defer g.mu.Unlock()
	if ao := g.active[k]; ao != nil && ao.cancel == nil {
		delete(g.active, k)
	}
}

// answerQuery answers the ingress about a committed offer whose link broke.
func (g *Gate) answerQuery(from Sink, k link.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ao := g.active[k]; ao != nil && ao.cancel != nil {
		ao.sink = from
		from.Send(&link.Frame{Granted: &link.Granted{Key: k, Started: true}})
		return
	}
	if e, ok := g.ended[k]; ok {
		from.Send(stripRoom(e.frame))
		return
	}
	if g.active[k] == nil && k.Number <= g.expiredUpTo[k.Origin] {
		// It may have run and its result may have expired: the asking node may have been
		// suspended, and its clock with it, so its OutcomeQuery can come at any later time.
		from.Send(&link.Frame{Failed: &link.Failed{Key: k, Detail: "its end is no longer kept"}})
		return
	}
	delete(g.active, k) // If it is granted after all, its commit is refused.
	from.Send(&link.Frame{Refused: &link.Refused{Key: k, Reason: link.ReasonNeverSeen}})
}

// LinkLost withdraws the offers that came over a broken link. Running non-retryable requests
// go on, and the ingress can ask for their results.
func (g *Gate) LinkLost(from Sink) {
	g.mu.Lock()
	var keys []link.Key
	for k, ao := range g.active {
		if ao.sink == from {
			keys = append(keys, k)
		}
	}
	g.mu.Unlock()
	for _, k := range keys {
		g.withdraw(time.Now(), k)
	}
}
