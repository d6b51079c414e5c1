package gate

import (
	"slices"
	"time"

	"eiderfold/link"
)

const (
	// grantTime is how long a granted slot waits for its commit: far over a round
	// trip, and short against the work it keeps out.
	grantTime = 400 * time.Millisecond
	// queuePerSlot bounds the queue; what is behind it would wait many times the
	// usual answer time.
	queuePerSlot = 16
	// likelyFactor times the mean is what four answers in five take, with the spread
	// that is usual for short requests.
	likelyFactor = 1.0
	// priorityStep is how much later an offer could have come that goes first for
	// being one step more urgent: about one answer's time.
	priorityStep = 200 * time.Millisecond
	// queueShare of its time is how long an offer may wait. After that the caller
	// has more of a chance elsewhere, told so in time.
	queueShare = 0.4
	// assumedTime stands in for the mean answer time before there is one.
	assumedTime = 100 * time.Millisecond
	// pastKept is how many earlier incarnations are remembered, so that a late
	// report of one does not bring it back.
	pastKept = 64
)

type phase uint8

const (
	queued phase = iota
	granted
	running
)

// entry is an offer that the gate has in hand.
type entry struct {
	Offered
	phase   phase
	until   time.Time // When a grant lapses, or the wait in the queue ends.
	started time.Time
	hung    bool // Counted as hanging already.
}

// Admission decides what the upstream is given. It is not safe for concurrent use.
type Admission struct {
	health
	service  string
	upstream string // The incarnation that is believed to be there; "" for none.
	slots    int
	sequence uint64
	mode     link.Mode // As last announced.
	// unconfirmed is set until it is known that the incarnation was not
	// acknowledged as leaving by an earlier process.
	unconfirmed bool
	stopping    bool
	left        []string // Incarnations that leave or have left.
	past        []string // Incarnations that were replaced.
	entries     map[link.Key]*entry
	queue       []*entry
}

// NewAdmission returns the admission to an upstream of which nothing is known.
func NewAdmission(service string) *Admission {
	return &Admission{service: service, entries: map[link.Key]*entry{}}
}

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
	case a.upstream == "" || a.unconfirmed || a.stopping || slices.Contains(a.left, a.upstream):
		return link.ModeClosed
	case a.trial:
		return link.ModeTrial
	default:
		return link.ModeOpen
	}
}

// Status returns what other nodes are told.
func (a *Admission) Status() link.Status {
	return link.Status{Mode: a.Mode(), Upstream: a.upstream, Slots: a.slots, Usual: a.usual, Suspect: a.suspicion}
}

func (a *Admission) offered(m Offered) []Command {
	if reason := a.objection(m); reason != link.ReasonNone {
		return []Command{Refuse{Key: m.Key, Reason: reason, After: a.after(m.At, reason)}}
	}
	e := &entry{Offered: m}
	if len(a.queue) == 0 && a.free(e) {
		a.entries[m.Key] = e
		return a.admit(m.At, e)
	}
	if a.Mode() == link.ModeTrial {
		return []Command{Refuse{Key: m.Key, Reason: link.ReasonTrial, After: a.after(m.At, link.ReasonTrial)}}
	}
	i, _ := slices.BinarySearchFunc(a.queue, e, order)
	wait := a.wait(i)
	if len(a.queue) >= queuePerSlot*a.slots || m.At.Add(wait+a.likely()).After(m.Aim) {
		return []Command{Refuse{Key: m.Key, Reason: link.ReasonBusy, After: wait}}
	}
	e.Ready = false // Another gate may be given it meanwhile; a commit decides.
	a.entries[m.Key] = e
	e.until = m.At.Add(time.Duration(queueShare * float64(m.Deadline.Sub(m.At))))
	a.queue = slices.Insert(a.queue, i, e)
	return []Command{Queue{Key: m.Key}}
}

// after is when an offer that was refused for a reason may be made again.
func (a *Admission) after(at time.Time, reason link.Reason) time.Duration {
	if reason != link.ReasonTrial {
		return 0
	}
	return a.nextTrial(at, len(a.entries) > len(a.queue))
}

// likely is the time that most answers take.
func (a *Admission) likely() time.Duration { return time.Duration(likelyFactor * float64(a.usual)) }

// order puts urgent offers first, and lets those that waited catch up: each step
// of priority is worth priorityStep of waiting, so that none starves.
// Among equals the one with the least time goes first.
func order(a, b *entry) int {
	if c := a.rank().Compare(b.rank()); c != 0 {
		return c
	}
	return a.Deadline.Compare(b.Deadline)
}

func (e *entry) rank() time.Time { return e.At.Add(time.Duration(e.Priority) * priorityStep) }

func (a *Admission) objection(m Offered) link.Reason {
	switch mode := a.Mode(); {
	case m.Service != a.service || (m.Upstream != "" && a.upstream != "" && m.Upstream != a.upstream):
		return link.ReasonMisdirected
	case mode == link.ModeClosed:
		return link.ReasonClosed
	case a.entries[m.Key] != nil:
		return link.ReasonMisdirected // The same offer twice; the first one stands.
	case mode == link.ModeTrial && !m.Retryable && !m.Force:
		return link.ReasonTrial
	case !m.Deadline.After(m.At):
		return link.ReasonExpired
	default:
		return link.ReasonNone
	}
}

// free tells whether a slot is there for the entry.
func (a *Admission) free(e *entry) bool {
	busy := len(a.entries) - len(a.queue)
	switch {
	case a.Mode() != link.ModeTrial:
		return busy < a.slots
	case e.Force:
		return busy < a.forced(a.slots)
	default:
		return busy == 0 && !e.At.Before(a.trialFrom)
	}
}

// admit gives the entry a slot, to start at once or to wait for its commit.
func (a *Admission) admit(at time.Time, e *entry) []Command {
	if e.Ready {
		return a.start(at, e)
	}
	e.phase = granted
	e.until = at.Add(grantTime)
	return []Command{Grant{Key: e.Key}}
}

func (a *Admission) start(at time.Time, e *entry) []Command {
	e.phase = running
	e.started = at
	return []Command{Start{Key: e.Key}}
}

// wait estimates how long an offer takes with so many before it in the queue.
func (a *Admission) wait(before int) time.Duration {
	usual := a.usual
	if usual == 0 {
		usual = assumedTime
	}
	return usual * time.Duration(before+1) / time.Duration(max(a.slots, 1))
}

func (a *Admission) committed(m Committed) []Command {
	e := a.entries[m.Key]
	if e == nil || e.phase != granted {
		return []Command{Refuse{Key: m.Key, Reason: link.ReasonNeverSeen}}
	}
	return a.start(m.At, e)
}

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

func (a *Admission) drop(e *entry) {
	delete(a.entries, e.Key)
	if e.phase == queued {
		a.queue = slices.DeleteFunc(a.queue, func(o *entry) bool { return o == e })
	}
}

func (a *Admission) ended(m Ended) []Command {
	e := a.entries[m.Key]
	if e == nil {
		return nil
	}
	a.drop(e)
	if m.Outcome == Replaced {
		a.retire()
		return nil
	}
	a.observe(m.At, m.Outcome, m.Took)
	return nil
}

// retire forgets the incarnation, because another one holds its address.
func (a *Admission) retire() {
	if a.upstream == "" {
		return
	}
	a.past = remember(a.past, a.upstream)
	a.upstream = ""
	a.health = health{usual: a.usual}
}

func remember(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	if len(list) >= pastKept {
		list = list[1:]
	}
	return append(list, name)
}

func (a *Admission) reported(m Reported) []Command {
	r := m.Report
	if r.Leaving {
		a.left = remember(a.left, r.Upstream)
		return nil
	}
	if slices.Contains(a.past, r.Upstream) || slices.Contains(a.left, r.Upstream) || r.Service != a.service {
		return nil
	}
	if r.Upstream == a.upstream {
		if r.Sequence > a.sequence {
			a.sequence = r.Sequence
			a.slots = r.Slots
		}
		return nil
	}
	a.retire()
	a.upstream = r.Upstream
	a.sequence = r.Sequence
	a.slots = r.Slots
	a.unconfirmed = true
	return []Command{Confirm{Upstream: r.Upstream}}
}

func (a *Admission) confirmed(m Confirmed) {
	if m.Leaving {
		a.left = remember(a.left, m.Upstream)
	}
	if m.Upstream == a.upstream {
		a.unconfirmed = false
	}
}

func (a *Admission) ticked(at time.Time) []Command {
	a.tick(at)
	var out []Command
	for _, e := range a.entries {
		switch {
		case e.phase == granted && at.After(e.until):
			a.drop(e)
			out = append(out, Refuse{Key: e.Key, Reason: link.ReasonExpired})
		case e.phase == queued && at.After(e.until):
			a.drop(e)
			out = append(out, Refuse{Key: e.Key, Reason: link.ReasonBusy, After: a.wait(len(a.queue))})
		case e.phase == running && !e.hung && at.Sub(e.started) > a.hangs():
			e.hung = true
			a.bad(at, suspicionHang)
		}
	}
	return out
}

// settle refuses what the mode no longer takes, starts what has a slot, and
// announces a new mode.
func (a *Admission) settle(at time.Time) []Command {
	var out []Command
	mode := a.Mode()
	if mode != link.ModeOpen {
		out = a.clear(mode)
	}
	for len(a.queue) > 0 {
		e := a.queue[0]
		if !a.free(e) {
			break
		}
		a.queue = a.queue[1:]
		out = append(out, a.admit(at, e)...)
	}
	if mode != a.mode {
		a.mode = mode
		out = append(out, Announce{Why: mode.String()})
	}
	return out
}

// clear refuses what waits when the gate is closed or goes on trial. Offers that
// hold a slot keep it on trial, as they may be committed already.
func (a *Admission) clear(mode link.Mode) []Command {
	var out []Command
	for _, e := range a.entries {
		closed := mode == link.ModeClosed && e.phase != running
		tried := mode == link.ModeTrial && e.phase == queued && !e.Force
		if !closed && !tried {
			continue
		}
		a.drop(e)
		reason := link.ReasonClosed
		if tried {
			reason = link.ReasonTrial
		}
		out = append(out, Refuse{Key: e.Key, Reason: reason})
	}
	return out
}
