package core

import (
	"slices"
	"time"
)

// Stage is how far a node is with an operation it claimed.
type Stage uint8

// The stages of an operation at its holder.
const (
	Absent     Stage = iota // Never heard of.
	Claiming                // The coordinator was asked.
	NotStarted              // Given up before it started; this attempt never will.
	Running                 // Started, no answer yet.
	Done                    // Answered; the answer is kept.
	DoneNoBody              // Answered; the answer was too large to keep, or gave way to others.
	Uncertain               // Started, and how it ended is not known.
)

// String returns the stage as logs and dumps show it.
func (s Stage) String() string {
	return [...]string{"absent", "claiming", "not-started", "running", "done", "done-no-body", "uncertain"}[s]
}

// Begin asks the ledger for a new attempt.
type Begin struct {
	At   time.Time
	Key  Key
	Body uint64
}

// Permit brings the coordinator's grant to an attempt.
type Permit struct {
	Key     Key
	Attempt uint64
	Epoch   uint64
}

// GiveUp ends an attempt that has not started, for good.
type GiveUp struct {
	Key     Key
	Attempt uint64
}

// Finish ends a running attempt.
type Finish struct {
	At      time.Time
	Key     Key
	Attempt uint64
	Stage   Stage // NotStarted (refused with proof), Done, DoneNoBody or Uncertain.
	Answer  *Recorded
}

// Inquire asks on behalf of another node. It stops an attempt that has not
// started from ever starting. Own says that the holder is this process, and not
// one whose memory this one adopted.
type Inquire struct {
	Key    Key
	Holder Holder
	Own    bool
}

// Look asks how far an operation of this node is, and changes nothing.
type Look struct{ Key Key }

// Promise makes the ledger refuse grants of epochs before this one.
type Promise struct{ Epoch uint64 }

// Witness keeps a grant of the coordinator to itself, which would otherwise be
// in one memory only.
type Witness struct {
	At   time.Time
	Held Held
}

func (Begin) message()   {}
func (Permit) message()  {}
func (GiveUp) message()  {}
func (Finish) message()  {}
func (Inquire) message() {}
func (Look) message()    {}
func (Promise) message() {}
func (Witness) message() {}

// Recorded is an answer kept for repeats.
type Recorded struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
}

func (r *Recorded) size() int {
	if r == nil {
		return 0
	}
	return len(r.Body) + recordOverhead
}

const recordOverhead = 256

// Adopt gives a ledger what a stopping node held.
type Adopt struct {
	At      time.Time
	Entries []Entry
}

func (Adopt) message() {}

// Entry is one operation of a ledger on its way to another node.
type Entry struct {
	Key    Key       `cbor:"1,keyasint"`
	Body   uint64    `cbor:"2,keyasint"`
	Holder Holder    `cbor:"3,keyasint"`
	Stage  Stage     `cbor:"4,keyasint"`
	Answer *Recorded `cbor:"5,keyasint,omitempty"`
}

// Report is what the ledger says of an operation.
type Report struct {
	Stage    Stage
	Attempt  uint64
	Body     uint64
	Answer   *Recorded
	Previous uint64 // With Claiming after Begin: an attempt of this node that never started.
	Accepted bool   // Whether the message did what it asks.
}

// Ledger is a node's memory of the operations it claimed. It is not safe for
// several goroutines.
type Ledger struct {
	window    time.Duration
	room      int // Bytes of answers that may be kept.
	used      int
	promised  uint64
	attempts  uint64
	entries   map[Key]*attempt
	witnessed map[Key][]Held // All that were told: a late one must not hide a newer.
	order     forgetting
	answers   []Key // In order of keeping, for making room.
}

type attempt struct {
	body    uint64
	number  uint64
	stage   Stage
	answer  *Recorded
	foreign Holder // Who held it, if the entry was adopted; zero for this process.
	expires time.Time
}

// NewLedger returns a ledger that forgets an operation a window after it began
// and keeps at most room bytes of answers.
func NewLedger(window time.Duration, room int) *Ledger {
	return &Ledger{window: window, room: room, entries: map[Key]*attempt{}, witnessed: map[Key][]Held{}}
}

// SetWindow changes how long operations begun from now on are remembered.
func (l *Ledger) SetWindow(window time.Duration) { l.window = window }

// Len returns how many operations are remembered.
func (l *Ledger) Len() int { return len(l.entries) }

// Promised returns the epoch below which no grant is taken.
func (l *Ledger) Promised() uint64 { return l.promised }

// Update takes a message and reports on the operation it names.
func (l *Ledger) Update(m Message) Report {
	switch m := m.(type) {
	case Begin:
		return l.begin(m)
	case Permit:
		return l.permit(m)
	case GiveUp:
		return l.giveUp(m.Key, m.Attempt)
	case Finish:
		return l.finish(m)
	case Inquire:
		return l.inquire(m)
	case Look:
		if e := l.entries[m.Key]; e != nil {
			return e.report(true)
		}
	case Promise:
		return l.promise(m)
	case Witness:
		l.witness(m)
	case Adopt:
		l.adopt(m)
	case Tick:
		l.expire(m.At)
	}
	return Report{}
}

// Entries lists everything that started here or was adopted, for the node that
// takes over the memory of a stopping one. Call it when nothing runs any more.
func (l *Ledger) Entries(self Holder) []Entry {
	entries := make([]Entry, 0, len(l.entries))
	for k, e := range l.entries {
		if e.stage == Claiming || e.stage == NotStarted {
			continue
		}
		stage := e.stage
		if stage == Running {
			stage = Uncertain // The node stops without knowing.
		}
		entries = append(entries, Entry{Key: k, Body: e.body, Holder: e.holder(self), Stage: stage, Answer: e.answer})
	}
	return entries
}

// Witnessed lists what this node remembers for others.
func (l *Ledger) Witnessed() []Held {
	var held []Held
	for _, h := range l.witnessed {
		held = append(held, h...)
	}
	return held
}

// Holdings says of a ledger's entries who held them, for the coordinator.
func Holdings(entries []Entry) []Held {
	held := make([]Held, 0, len(entries))
	for _, e := range entries {
		held = append(held, Held{Key: e.Key, Body: e.Body, Holder: e.Holder})
	}
	return held
}

// Adopted lists the processes whose memory this one has.
func (l *Ledger) Adopted() []Holder {
	seen := map[Holder]bool{}
	var from []Holder
	for _, e := range l.entries {
		h := Holder{Node: e.foreign.Node, Incarnation: e.foreign.Incarnation}
		if h != (Holder{}) && !seen[h] {
			seen[h] = true
			from = append(from, h)
		}
	}
	return from
}

func (l *Ledger) adopt(m Adopt) {
	for _, n := range m.Entries {
		if e := l.entries[n.Key]; e != nil && e.stage != NotStarted && e.stage != Claiming {
			continue // This node's own run; an attempt that only claims gives way.
		}
		e := &attempt{body: n.Body, foreign: n.Holder, stage: n.Stage, expires: m.At.Add(l.window)}
		l.entries[n.Key] = e
		l.order.add(n.Key, e.expires)
		if n.Answer != nil {
			l.keep(n.Key, e, n.Answer)
		}
	}
}

func (l *Ledger) witness(m Witness) {
	k := m.Held.Key
	if slices.Contains(l.witnessed[k], m.Held) {
		return
	}
	l.witnessed[k] = append(l.witnessed[k], m.Held)
	l.order.add(k, m.At.Add(l.window))
}

func (l *Ledger) begin(m Begin) Report {
	e := l.entries[m.Key]
	if e != nil && e.stage != NotStarted {
		return e.report(false)
	}
	previous := uint64(0)
	if e != nil {
		previous = e.number
	}
	l.attempts++
	e = &attempt{body: m.Body, number: l.attempts, stage: Claiming, expires: m.At.Add(l.window)}
	l.entries[m.Key] = e
	l.order.add(m.Key, e.expires)
	r := e.report(true)
	r.Previous = previous
	return r
}

func (l *Ledger) permit(m Permit) Report {
	e := l.entries[m.Key]
	if e == nil || e.number != m.Attempt || e.stage != Claiming {
		return Report{}
	}
	if m.Epoch < l.promised {
		e.stage = NotStarted
		return e.report(false)
	}
	l.promised = m.Epoch
	e.stage = Running
	return e.report(true)
}

func (l *Ledger) giveUp(k Key, number uint64) Report {
	e := l.entries[k]
	if e == nil || e.number != number || e.stage != Claiming {
		return Report{}
	}
	e.stage = NotStarted
	return e.report(true)
}

func (l *Ledger) finish(m Finish) Report {
	e := l.entries[m.Key]
	if e == nil || e.number != m.Attempt || e.stage != Running {
		return Report{}
	}
	e.stage = m.Stage
	if m.Stage == Done {
		l.keep(m.Key, e, m.Answer)
	}
	r := e.report(true)
	l.forget(m.Key, m.At)
	return r
}

// keep stores an answer and makes room by forgetting the oldest ones. That they
// ran is remembered all the same.
func (l *Ledger) keep(k Key, e *attempt, answer *Recorded) {
	if answer.size() > l.room {
		e.stage = DoneNoBody
		return
	}
	e.answer = answer
	l.used += answer.size()
	l.answers = append(l.answers, k)
	for l.used > l.room {
		l.drop(l.answers[0])
		l.answers = l.answers[1:]
	}
}

func (l *Ledger) drop(k Key) {
	e := l.entries[k]
	if e == nil || e.answer == nil {
		return
	}
	l.used -= e.answer.size()
	e.answer = nil
	e.stage = DoneNoBody
}

func (l *Ledger) inquire(m Inquire) Report {
	e := l.entries[m.Key]
	if e == nil {
		return Report{}
	}
	if !m.Own {
		if e.foreign != m.Holder {
			return Report{}
		}
		return e.report(true)
	}
	adopted := e.foreign != (Holder{})
	if !adopted && e.number < m.Holder.Attempt {
		return Report{}
	}
	if adopted || e.number > m.Holder.Attempt {
		// An attempt only begins when all before it are known not to have started,
		// and an adopted entry only takes the place of one that has not.
		return Report{Stage: NotStarted, Attempt: m.Holder.Attempt, Body: e.body, Accepted: true}
	}
	if e.stage == Claiming {
		e.stage = NotStarted
	}
	return e.report(true)
}

func (l *Ledger) promise(m Promise) Report {
	if m.Epoch < l.promised {
		return Report{}
	}
	l.promised = m.Epoch
	return Report{Accepted: true}
}

// Held lists what a new coordinator must know: every operation that started
// here, and every one this node witnessed.
func (l *Ledger) Held(self Holder) []Held {
	held := make([]Held, 0, len(l.entries)+len(l.witnessed))
	for k, e := range l.entries {
		if e.stage == Claiming || e.stage == NotStarted {
			continue
		}
		held = append(held, Held{Key: k, Body: e.body, Holder: e.holder(self)})
	}
	return append(held, l.Witnessed()...)
}

// holder returns who held the operation, under its own name.
func (e *attempt) holder(self Holder) Holder {
	if e.foreign != (Holder{}) {
		return e.foreign
	}
	return Holder{Node: self.Node, Incarnation: self.Incarnation, Attempt: e.number}
}

func (e *attempt) report(accepted bool) Report {
	return Report{Stage: e.stage, Attempt: e.number, Body: e.body, Answer: e.answer, Accepted: accepted}
}

func (l *Ledger) expire(at time.Time) {
	for _, x := range l.order.due(at) {
		l.forget(x.key, at)
	}
}

func (l *Ledger) forget(k Key, at time.Time) {
	delete(l.witnessed, k)
	e := l.entries[k]
	if e == nil || at.Before(e.expires) || e.stage == Running {
		return
	}
	l.drop(k)
	delete(l.entries, k)
}
