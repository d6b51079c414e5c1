package gate

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/switches"
)

// shareUse is how an entry uses its account's share of the slots.
type shareUse struct {
	charge  overload.Charge // What the account is charged.
	shareAt time.Time       // When the share reaches the entry.
}

// claim returns the entry's claim to a slot, which it needs for the given time.
func (a *Admission) claim(e *entry, expected time.Duration) overload.Claim {
	if expected <= 0 {
		expected = a.estimatedResponseTime()
	}
	return overload.Claim{Account: e.Account, Weight: e.Weight, Priority: e.Priority, Cost: a.gateTime(expected)}
}

// delayByShare moves an entry back in the order of the queue by what its account has taken beyond
// its share. A nested request is charged but not delayed: its parent was, and holds a slot until it
// is answered. The delay ends at the target deadline at the latest: from then on the entry goes
// before all that arrive later, however far its account is beyond its share, so that none starves.
func (a *Admission) delayByShare(e *entry, expected time.Duration) {
	e.shareAt = e.At
	if e.Nested || !a.switches.On(switches.FairShares) {
		return
	}
	delay := a.shares.Delay(e.At, a.claim(e, expected), max(e.TargetDeadline.Sub(e.At), 0))
	e.shareAt = e.At.Add(delay)
	e.queueKey.Delay(delay)
}

// charge charges the entry's account for the slot time that it is expected to need.
func (a *Admission) charge(e *entry, expected time.Duration) {
	if a.switches.On(switches.FairShares) {
		e.charge = a.shares.Charge(e.At, a.claim(e, expected), e.shareAt)
	}
}

// settleShare replaces the entry's charge by the time for which it had a slot. What has not run is
// refunded.
func (a *Admission) settleShare(at time.Time, e *entry, o Outcome) {
	switch o {
	case Shed, Unreached, Replaced:
		a.shares.Refund(&e.charge)
	default:
		a.shares.Settle(&e.charge, a.gateTime(at.Sub(e.admitted)))
	}
}

// gateTime converts time of one slot to time of the whole gate.
func (a *Admission) gateTime(d time.Duration) time.Duration {
	return d / time.Duration(max(a.slots, 1))
}

// afterShare adapts the refusal of an entry whose account's share does not reach it yet: the
// account has no room here before that, and others do.
func (e *entry) afterShare(at time.Time, r Refuse) Refuse {
	left := e.shareAt.Sub(at)
	if left <= 0 || r.Reason != link.ReasonBusy {
		return r
	}
	return Refuse{Key: r.Key, Reason: link.ReasonShare, RetryAfter: max(r.RetryAfter, left)}
}

// weightOf returns the weight of an offer, 1 if it has none or an invalid one.
func (g *Gate) weightOf(now time.Time, o *link.Offer) float64 {
	if o.Weight == 0 {
		return 1
	}
	if overload.ValidWeight(o.Weight) {
		return o.Weight
	}
	g.count("gate_weight_invalid")
	if g.logDue(&g.nextWeightLog, now) {
		g.log.Warn("weight of an offer ignored", zap.String("account", o.Account), zap.Float64("weight", o.Weight))
	}
	return 1
}

// shareAccount returns the client account that an offer counts towards.
func shareAccount(o *link.Offer) string { return cmp.Or(o.ParentAccount, o.Account) }

// countDelay counts an offer that waits longer than others because of its account's share.
func (g *Gate) countDelay(d time.Duration) {
	if d > 0 {
		g.count("gate_delayed_by_share")
		g.observe("gate_share_delay", d)
	}
}
