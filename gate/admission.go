package gate

import (
	"slices"
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/port"
	"eiderfold/switches"
)

// Admission decides which offers the upstream runs, and when. It is not safe for concurrent
// use.
type Admission struct {
	health
	budget   *budget.Budget
	service  string
	upstream port.Incarnation // The current incarnation; its ID is "" if there is none.
	slots    int
	sequence uint64
	mode     link.Mode // As last announced.
	departed bool      // The upstream leaves, as last announced.
	// unconfirmed is set until a lookup has shown whether an earlier process acknowledged the
	// incarnation as leaving.
	unconfirmed bool
	stopping    bool
	evacuated   bool // The data centre gets no new work.
	cold        coldLimiter
	named       namedLimiter
	namedNotice namedLimitNotice
	leaving     departures
	replaced    []port.Incarnation // Incarnations that were replaced.
	entries     map[link.Key]*entry
	queue       []*entry
	startLog    startLog
	nested      overload.NestedDemand
	nestedWait  overload.NestedWait // nil if it is not known for any service.
	shares      *overload.Shares    // Charged for all entries.
	lastRoom    *link.Room          // As last returned by Room.
	foreign     foreignLoad
}

// NewAdmission returns an admission that stays closed until its upstream has reported.
func NewAdmission(service string, b *budget.Budget) *Admission {
	return &Admission{service: service, budget: b, entries: map[link.Key]*entry{}, shares: overload.NewShares()}
}

// SetSwitches sets which mechanisms are on. Call it before the first message.
func (a *Admission) SetSwitches(s switches.Set) { a.switches = s }

// Update processes a message and returns the commands that follow from it.
func (a *Admission) Update(m Message) []Command {
	var out []Command
	switch m := m.(type) {
	case Offered:
		out = a.offered(m)
	case Committed:
		out = a.committed(m)
	case Withdrawn:
		out = a.withdrawn(m)
	case Ended:
		out = a.ended(m)
	case Reported:
		out = a.reported(m)
	case Confirmed:
		a.confirmed(m)
	case Held:
		a.reinstate(m.Holder)
	case Stated:
		out = a.stated(m)
	case Evacuated:
		a.evacuate(m)
	case ColdBoundChanged:
		a.cold.setBound(m.Cold)
	case Stopping:
		a.stopping = true
	case Ticked:
		out = a.ticked(m.At)
	}
	return append(out, a.reconcile(m.at())...)
}

// Mode returns how the gate takes work now.
func (a *Admission) Mode() link.Mode {
	switch {
	case a.upstream.ID == "" || a.unconfirmed || a.stopping || a.evacuated || a.leaving.contains(a.upstream):
		return link.ModeClosed
	case a.trial:
		return link.ModeTrial
	default:
		return link.ModeOpen
	}
}

// Status returns the status that is sent to other nodes.
func (a *Admission) Status() link.Status {
	return link.Status{Mode: a.Mode(), Upstream: a.upstream.ID, StartedAt: a.upstream.StartedAt, Slots: a.slots, MeanResponseTime: a.meanResponseTime,
		Suspicion: a.suspicion, Leaving: a.leaving.contains(a.upstream), Heard: !a.named.heardAt.IsZero(), Limited: a.named.limited, Limit: a.named.rate}
}

// offered grants a slot, queues the offer, or refuses it.
func (a *Admission) offered(m Offered) []Command {
	if refused := a.refuseOffer(m); refused != nil {
		return refused
	}
	e := &entry{Offered: m, queueKey: a.newQueueKey(m)}
	expected := a.expectedTime(m.Kind, m.TargetDeadline.Sub(m.At))
	a.delayByShare(e, expected)
	if a.switches.On(switches.LateLast) {
		e.queueKey.Update(m.At, expected)
	}
	// An entry that is queued while a slot is free is a non-retryable request that has to wait
	// (mustWait). It does not block others.
	if a.canAdmit(m.At, e) {
		a.add(e, expected)
		return a.admit(m.At, e)
	}
	if a.Mode() == link.ModeTrial {
		return a.refuse(m, link.ReasonTrial)
	}
	e.expires = m.At.Add(time.Duration(maxWaitShare * float64(m.Deadline.Sub(m.At))))
	i, _ := slices.BinarySearchFunc(a.queue, e, compareQueued)
	if refused := a.refuseToQueue(e, expected, i); refused != nil {
		return refused
	}
	return a.enqueue(e, expected, i)
}

// refuseOffer refuses an offer that is not taken even if a slot is free; otherwise, it returns nil.
func (a *Admission) refuseOffer(m Offered) []Command {
	switch reason := a.refusalReason(m); reason {
	case link.ReasonNone:
		return a.refuseNested(m)
	case link.ReasonBudget:
		return a.refuseBudget(m.At, m, 0)
	default:
		return a.refuse(m, reason)
	}
}

// add adds an entry, which needs a slot for the expected time, and charges its account.
func (a *Admission) add(e *entry, expected time.Duration) {
	a.entries[e.Key] = e
	a.charge(e, expected)
}

// refuse refuses an offer for any reason other than its wait in the queue.
func (a *Admission) refuse(m Offered, reason link.Reason) []Command {
	return []Command{Refuse{Key: m.Key, Reason: reason, RetryAfter: a.retryAfter(m.At, reason)}}
}

// retryAfter returns how soon an offer that was refused for a reason may be made again; 0 for
// no advice.
func (a *Admission) retryAfter(at time.Time, reason link.Reason) time.Duration {
	if reason != link.ReasonTrial {
		return 0
	}
	return max(a.trialRetryAfter(at, a.trialAttempts() >= a.maxTrialAttempts()), a.named.wait(at, len(a.queue)))
}

// refusalReason returns why an offer cannot be taken even if a slot is free.
func (a *Admission) refusalReason(m Offered) link.Reason {
	switch mode := a.Mode(); {
	case m.Service != a.service || (m.Upstream != "" && a.upstream.ID != "" && m.Upstream != a.upstream.ID):
		return link.ReasonMisdirected
	case mode == link.ModeClosed:
		return link.ReasonClosed
	case a.entries[m.Key] != nil:
		return link.ReasonMisdirected // A duplicate; the first offer stays valid.
	case mode == link.ModeTrial && !m.Retryable && !m.Force:
		return link.ReasonTrial
	case !m.Deadline.After(m.At):
		return link.ReasonExpired
	case !a.hasBudget(m.At, m, 0):
		return link.ReasonBudget
	default:
		return link.ReasonNone
	}
}

// evacuate closes the gate, or opens it again. An upstream that was idle during an evacuation
// may have become cold.
func (a *Admission) evacuate(m Evacuated) {
	if a.evacuated && !m.On {
		a.cold.assumeCold(m.At)
	}
	a.evacuated = m.On
}

// mayWrite reports whether a started request may still be written to an incarnation. A node that stops
// lets it: it waits for requests that have started.
func (a *Admission) mayWrite(upstream port.Incarnation) bool {
	return !a.evacuated && !a.leaving.contains(upstream)
}
