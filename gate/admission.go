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

// grantTime is how long a granted slot waits for its commit: far over a round trip,
// and short against the work it keeps out.
const grantTime = 400 * time.Millisecond

// phase is how far an offer has come.
type phase uint8

const (
	queued phase = iota
	granted
	running
)

// entry is an offer that the gate has in hand.
type entry struct {
	Offered
	phase    phase
	place    overload.Place // In the queue.
	until    time.Time      // When a grant lapses, or the wait in the queue ends.
	admitted time.Time      // When it was given its slot.
	started  time.Time
	upstream port.Incarnation // That runs it.
	sample   *sample          // What it says of the upstream, once it runs.
	taken    time.Time        // When the budget counted it as a repeat.
	hung     bool             // Counted as a failed try already.
	warned   bool             // Told to be silent already.
}

// Admission decides what the upstream is given. It is not safe for concurrent use.
type Admission struct {
	health
	budget   *budget.Budget
	service  string
	upstream port.Incarnation // That is believed to be there, if any is.
	slots    int
	sequence uint64
	mode     link.Mode // As last announced.
	// unconfirmed is set until it is known that the incarnation was not
	// acknowledged as leaving by an earlier process.
	unconfirmed bool
	stopping    bool
	evacuated   bool // The data centre is to get no new work.
	cold        cold
	left        []port.Incarnation // That leave or have left.
	past        []port.Incarnation // That were replaced.
	entries     map[link.Key]*entry
	queue       []*entry
}

// NewAdmission returns the admission to an upstream of which nothing is known.
func NewAdmission(service string, b *budget.Budget) *Admission {
	return &Admission{service: service, budget: b, entries: map[link.Key]*entry{}}
}

// SetSwitches says which mechanisms are on, before the first message.
func (a *Admission) SetSwitches(s switches.Set) { a.switches = s }

// Update takes a message and returns what is to be done.
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
	case Evacuated:
		a.evacuate(m)
	case Bounded:
		a.cold.setBound(m.Cold)
	case Stopping:
		a.stopping = true
	case Ticked:
		out = a.ticked(m.At)
	}
	return append(out, a.settle(m.at())...)
}

// Mode returns how the gate takes work now.
func (a *Admission) Mode() link.Mode {
	switch {
	case a.upstream.ID == "" || a.unconfirmed || a.stopping || a.evacuated || slices.Contains(a.left, a.upstream):
		return link.ModeClosed
	case a.trial:
		return link.ModeTrial
	default:
		return link.ModeOpen
	}
}

// Status returns what other nodes are told.
func (a *Admission) Status() link.Status {
	return link.Status{Mode: a.Mode(), Upstream: a.upstream.ID, Slots: a.slots, Usual: a.usual, Suspect: a.suspicion}
}

// offered grants a slot, queues the offer, or refuses it when the queue would make
// its answer come too late to be worth much.
func (a *Admission) offered(m Offered) []Command {
	if reason := a.objection(m); reason != link.ReasonNone {
		return a.refuse(m, reason)
	}
	e := &entry{Offered: m, place: overload.NewPlace(m.At, m.Priority, m.Aim, m.Deadline)}
	likely := a.likely(m.Kind, m.Aim.Sub(m.At))
	if a.switches.On(switches.LateLast) {
		e.place.Note(m.At, likely)
	}
	// What waits in the queue while a slot is free is an order in doubt; it holds
	// nobody up.
	if a.free(m.At, e) {
		a.entries[m.Key] = e
		return a.admit(m.At, e)
	}
	if a.Mode() == link.ModeTrial {
		return a.refuse(m, link.ReasonTrial)
	}
	i, _ := slices.BinarySearchFunc(a.queue, e, order)
	wait := a.wait(m.At, i)
	if i >= queuePerSlot*a.slots || m.At.Add(wait+likely).After(e.place.Limit()) || !a.roomFor(e, wait) {
		return []Command{Refuse{Key: m.Key, Reason: link.ReasonBusy, After: wait}}
	}
	e.Ready = false // Another gate may be given it meanwhile; a commit decides.
	a.entries[m.Key] = e
	e.until = m.At.Add(time.Duration(queueShare * float64(m.Deadline.Sub(m.At))))
	a.queue = slices.Insert(a.queue, i, e)
	return []Command{Queue{Key: m.Key}}
}

// refuse refuses an offer for a reason other than its wait in the queue.
func (a *Admission) refuse(m Offered, reason link.Reason) []Command {
	return []Command{Refuse{Key: m.Key, Reason: reason, After: a.after(m.At, reason)}}
}

// after is when an offer that was refused for a reason may be made again.
func (a *Admission) after(at time.Time, reason link.Reason) time.Duration {
	if reason != link.ReasonTrial {
		return 0
	}
	return a.nextTrial(at, a.trying() >= a.tries())
}

// objection returns why an offer is not taken at all, whatever is free.
func (a *Admission) objection(m Offered) link.Reason {
	switch mode := a.Mode(); {
	case m.Service != a.service || (m.Upstream != "" && a.upstream.ID != "" && m.Upstream != a.upstream.ID):
		return link.ReasonMisdirected
	case mode == link.ModeClosed:
		return link.ReasonClosed
	case a.entries[m.Key] != nil:
		return link.ReasonMisdirected // The same offer twice; the first one stands.
	case mode == link.ModeTrial && !m.Retryable && !m.Force:
		return link.ReasonTrial
	case !m.Deadline.After(m.At):
		return link.ReasonExpired
	case m.Claim.Repeats() && !a.budget.Has(m.At, m.Claim):
		return link.ReasonBudget
	default:
		return link.ReasonNone
	}
}

// busy returns how many slots are granted or in use.
func (a *Admission) busy() int { return len(a.entries) - len(a.queue) }

// granted returns how many have a slot that wait for their commits.
func (a *Admission) granted() int {
	n := 0
	for _, e := range a.entries {
		if e.phase == granted {
			n++
		}
	}
	return n
}

// evacuate closes the gate, or opens it again. The upstream was idle meanwhile, and may
// have turned cold.
func (a *Admission) evacuate(m Evacuated) {
	if a.evacuated && !m.On {
		a.cold.suppose(m.At)
	}
	a.evacuated = m.On
}

// Crowded tells whether no slot is free: who has one keeps others out.
func (a *Admission) Crowded() bool { return a.busy() >= a.slots }

// free tells whether a slot is there for the entry. While it is doubtful whether the
// upstream answers, orders wait for an answer to somebody else, or go elsewhere.
func (a *Admission) free(at time.Time, e *entry) bool {
	busy := a.busy()
	switch {
	case !a.cold.room(at, a.granted()):
		return false
	case a.Mode() != link.ModeTrial:
		return busy < a.slots && !a.holds(at, e)
	case e.Force:
		return busy < a.forced(a.slots)
	default:
		return busy < a.slots && a.trying() < a.tries() && !e.At.Before(a.trialFrom)
	}
}

// holds tells whether an order has to wait because the upstream may not answer it.
// While nothing runs one order goes ahead: a service may have no other requests, and
// its doubts would never end.
func (a *Admission) holds(at time.Time, e *entry) bool {
	if e.Retryable || e.Force || a.busy() == 0 || !a.switches.On(switches.Hold) {
		return false
	}
	return a.evidence(at) >= silenceAtHold
}

// trying returns how many tries are in hand: attempts of this trial that may still
// succeed. What hung before it began holds a slot, and keeps no try out.
func (a *Admission) trying() int {
	n := 0
	for _, e := range a.entries {
		if e.phase != queued && !e.hung && !e.admitted.Before(a.trialBegan) {
			n++
		}
	}
	return n
}

// admit gives the entry a slot, to start at once or to wait for its commit.
func (a *Admission) admit(at time.Time, e *entry) []Command {
	if !a.pay(at, e) {
		delete(a.entries, e.Key)
		return []Command{Refuse{Key: e.Key, Reason: link.ReasonBudget}}
	}
	e.admitted = at
	if e.Ready {
		return a.start(at, e)
	}
	e.phase = granted
	e.until = at.Add(grantTime)
	return []Command{Grant{Key: e.Key}}
}

// pay takes a repeat from the budget, which may not have it.
func (a *Admission) pay(at time.Time, e *entry) bool {
	if !e.Claim.Repeats() {
		return true
	}
	if !a.budget.Take(at, e.Claim) {
		return false
	}
	e.taken = at
	return true
}

// start marks the entry as running, from when on it may have run.
func (a *Admission) start(at time.Time, e *entry) []Command {
	e.phase = running
	e.started = at
	e.upstream = a.upstream
	e.sample = a.begin(at, e.Kind, e.Aim)
	a.cold.began(at)
	a.earn(at, e.Claim)
	return []Command{Start{Key: e.Key}}
}

// earn tells the budget of an attempt that starts and was not taken from it.
func (a *Admission) earn(at time.Time, c budget.Claim) {
	if c.Repeats() {
		return
	}
	a.budget.Earn(at)
	if c == budget.Charged {
		a.budget.Charge(at)
	}
}

// committed starts a granted offer. Without its grant, which may have lapsed, it
// has not run, and the ingress is told so.
func (a *Admission) committed(m Committed) []Command {
	e := a.entries[m.Key]
	if e == nil || e.phase != granted {
		return []Command{Refuse{Key: m.Key, Reason: link.ReasonNeverSeen}}
	}
	return a.start(m.At, e)
}

// withdrawn frees what the offer holds.
func (a *Admission) withdrawn(m Withdrawn) []Command {
	e := a.entries[m.Key]
	if e == nil {
		return nil
	}
	if e.phase == running {
		if e.Retryable {
			return []Command{Abort{Key: m.Key}}
		}
		return nil // It has begun and may not be repeated: let it finish.
	}
	a.drop(e)
	return nil
}

// ended frees the slot and learns from the outcome, unless it is that of an earlier
// incarnation: its word, even that another one holds the address, is old.
func (a *Admission) ended(m Ended) []Command {
	e := a.entries[m.Key]
	if e == nil {
		return nil
	}
	a.drop(e)
	if e.upstream != a.upstream {
		return nil
	}
	if m.Outcome == Replaced {
		a.retire()
		return nil
	}
	a.conclude(m, e)
	a.observe(m.At, m.Outcome, m.Took)
	return nil
}
