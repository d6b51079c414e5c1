package gate

import (
	"time"

	"eiderfold/bodymemory"
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
		g.answerQuery(now, from, f.OutcomeQuery.Key)
	}
}

// offer registers an offer and passes it to the admission.
func (g *Gate) offer(now time.Time, from Sink, o *link.Offer) {
	g.noteNamedLimit(now, o)
	if !g.bodies.Fits(bodymemory.ForwardedRequest, o.BodyBytes) {
		g.count("gate_refused_" + link.ReasonMemory.String())
		from.Send(&link.Frame{Refused: &link.Refused{Key: o.Key, Reason: link.ReasonMemory}})
		return
	}
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
	g.updateOffer(ao, Offered{
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
		from.Send(neverSeen(m.Key))
		return
	}
	if !g.refuseQuarantined(now, ao) && !g.updateOffer(ao, Committed{At: now, Key: m.Key}) {
		from.Send(neverSeen(m.Key))
	}
}

// neverSeen returns the refusal of an offer that did not start and never will.
func neverSeen(k link.Key) *link.Frame {
	return &link.Frame{Refused: &link.Refused{Key: k, Reason: link.ReasonNeverSeen}}
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
	m := Withdrawn{At: now, Key: k}
	g.mu.Lock()
	announced := g.drop(m)
	g.mu.Unlock()
	g.announceMode(m, announced)
}

// drop drops an offer that does not run, and returns the status to announce, nil for none. The caller holds the lock,
// without which the admission could start the offer in between.
func (g *Gate) drop(m Withdrawn) (announced *link.Status) {
	announced = g.apply(m)
	if ao := g.active[m.Key]; ao != nil && ao.cancel == nil {
		delete(g.active, m.Key)
	}
	return announced
}

// answerQuery answers the ingress about a committed offer whose link broke.
func (g *Gate) answerQuery(now time.Time, from Sink, k link.Key) {
	m := Withdrawn{At: now, Key: k}
	g.mu.Lock()
	frame := g.outcome(from, k)
	var announced *link.Status
	if frame == nil {
		announced = g.drop(m) // Its commit, if it comes after all, is refused.
		frame = neverSeen(k)
	}
	from.Send(frame)
	g.mu.Unlock()
	g.announceMode(m, announced)
}

// outcome returns what is known of an offer that has started, and nil if it has not. From now on its messages go to the
// ingress that asks. The caller holds the lock.
func (g *Gate) outcome(from Sink, k link.Key) *link.Frame {
	if ao := g.active[k]; ao != nil && ao.cancel != nil {
		ao.sink = from
		return &link.Frame{Granted: &link.Granted{Key: k, Started: true}}
	}
	if frame, ok := g.ended.get(k); ok {
		return stripRoom(frame)
	}
	if g.active[k] == nil && k.Number <= g.expiredUpTo[k.Origin] {
		// It may have run and its result may have expired: the asking node may have been
		// suspended, and its clock with it, so its OutcomeQuery can come at any later time.
		return noLongerKept(k)
	}
	return nil
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
