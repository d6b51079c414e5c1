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

// grantTimeout is how long a granted slot waits for its commit: far longer than a round trip,
// and short enough not to waste the slot.
const grantTimeout = 400 * time.Millisecond

// phase is the stage that an admitted offer has reached.
type phase uint8

const (
	queued phase = iota
	granted
	running
)

// entry is an offer that is queued, granted or running.
type entry struct {
	Offered
	shareUse
	phase       phase
	queueKey    overload.QueueKey // Its order in the queue.
	expires     time.Time         // When a grant lapses, or the wait in the queue ends.
	admitted    time.Time         // When it got its slot.
	started     time.Time
	upstream    port.Incarnation // The incarnation that runs it.
	sample      *sample          // Evidence for the hang detector, once it runs.
	budgetTaken time.Time        // When it was taken from the budget as a repeat.
	tokenTaken  bool             // It has a token of the limit that the upstream names.
	hung        bool             // Already counted as a bad outcome.
	warned      bool             // A Warn command was returned for it.
	nested      overload.NestedRun
}

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

// busy returns how many slots are granted or in use.
func (a *Admission) busy() int { return len(a.entries) - len(a.queue) }

// awaitingCommit returns how many slots are granted and wait for their commits.
func (a *Admission) awaitingCommit() int { return a.inPhase(granted) }

// running returns how many attempts run.
func (a *Admission) running() int { return a.inPhase(running) }

// inPhase returns how many entries are in a phase.
func (a *Admission) inPhase(p phase) int {
	n := 0
	for _, e := range a.entries {
		if e.phase == p {
			n++
		}
	}
	return n
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

// Saturated reports whether all slots are taken.
func (a *Admission) Saturated() bool { return a.busy() >= a.slots }

// canAdmit reports whether the entry may get a slot now. While the upstream may be unresponsive or
// fail, non-retryable requests stay in the queue until another attempt is answered, or go to another
// gate.
func (a *Admission) canAdmit(at time.Time, e *entry) bool {
	busy := a.busy()
	switch {
	case a.cold.limited(at) && !a.cold.allows(at, a.awaitingCommit()), !a.named.allows(at):
		return false
	case a.Mode() != link.ModeTrial:
		return busy < a.slots && !a.mustWait(at, e)
	case e.Force:
		return busy < a.maxForced(a.slots)
	default:
		return busy < a.slots && a.trialAttempts() < a.maxTrialAttempts() && !e.At.Before(a.nextTrialAt)
	}
}

// mustWait reports whether a non-retryable request has to wait because the upstream may not
// answer it, or may answer with an error. While nothing else runs, one goes ahead: a service may have no other
// requests, and without any attempt the evidence would never change.
func (a *Admission) mustWait(at time.Time, e *entry) bool {
	if !e.mayBeHeld() {
		return false
	}
	idle := a.busy() == 0
	if a.switches.On(switches.Doubt) && a.doubt.holds(at, idle) {
		return true
	}
	return !idle && a.switches.On(switches.HoldUnresponsive) && a.evidence(at) >= holdEvidence
}

// mayBeHeld reports whether the entry waits while the upstream may not answer it well.
func (e *entry) mayBeHeld() bool { return !e.Retryable && !e.Force }

// trialAttempts returns how many attempts of this trial may still succeed. Attempts that hang,
// or started before the trial, occupy slots but do not count.
func (a *Admission) trialAttempts() int {
	n := 0
	for _, e := range a.entries {
		if e.phase != queued && !e.hung && !e.admitted.Before(a.trialStarted) {
			n++
		}
	}
	return n
}

// admit gives the entry a slot. It starts at once, or waits for its commit.
func (a *Admission) admit(at time.Time, e *entry) []Command {
	if !a.takeBudget(at, e) {
		delete(a.entries, e.Key)
		a.shares.Refund(&e.charge)
		return a.refuseBudget(at, e.Offered, 0)
	}
	e.admitted = at
	a.startLog.add(e)
	a.shares.Start(&e.charge)
	e.tokenTaken = a.named.take(at)
	if e.Ready {
		return a.start(at, e)
	}
	e.phase = granted
	e.expires = at.Add(grantTimeout)
	return []Command{Grant{Key: e.Key}}
}

// start marks the entry as running. From now on the request may have run.
func (a *Admission) start(at time.Time, e *entry) []Command {
	e.phase = running
	e.started = at
	e.upstream = a.upstream
	e.sample = a.addSample(at, e.Kind, e.TargetDeadline)
	a.cold.noteStart(at)
	if !e.tokenTaken {
		a.named.take(at) // The upstream has named the limit since the slot was granted.
	}
	a.countStart(at, e.AttemptKind)
	return []Command{Start{Key: e.Key}}
}

// countStart counts the start of a request's first attempt.
func (a *Admission) countStart(at time.Time, k budget.AttemptKind) {
	if k == budget.First || k == budget.Charged {
		a.budget.CountFirst(at)
	}
}

// committed starts a granted offer. Any other commit is refused as never seen: one whose grant has
// lapsed, so that the request has not run, and also one for an entry that is queued or running.
func (a *Admission) committed(m Committed) []Command {
	e := a.entries[m.Key]
	if e == nil || e.phase != granted {
		return []Command{Refuse{Key: m.Key, Reason: link.ReasonNeverSeen}}
	}
	return a.start(m.At, e)
}

// withdrawn frees the offer's slot or its place in the queue.
func (a *Admission) withdrawn(m Withdrawn) []Command {
	e := a.entries[m.Key]
	if e == nil {
		return nil
	}
	if e.phase == running {
		if e.Retryable {
			return []Command{Abort{Key: m.Key}}
		}
		return nil // It has started and may not be repeated: let it finish.
	}
	a.drop(e)
	return nil
}

// ended frees the slot and learns from the outcome. Outcomes of an earlier incarnation are
// ignored, also Replaced: they are out of date.
func (a *Admission) ended(m Ended) []Command {
	e := a.entries[m.Key]
	if e == nil {
		return nil
	}
	a.settleShare(m.At, e, m.Outcome)
	a.drop(e)
	if e.upstream != a.upstream {
		return nil
	}
	if m.Outcome == Replaced {
		a.retire()
		return nil
	}
	a.closeSample(m, e)
	a.noteNested(m, e)
	a.recordOutcome(m.At, e.started, m.Outcome, m.Took)
	return nil
}
