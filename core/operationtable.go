package core

import (
	"slices"
	"time"
)

// Stage is the progress of an operation at the node that claimed it.
type Stage uint8

// Stages of an operation at its holder.
const (
	Absent     Stage = iota // No record of the operation.
	Claiming                // Waiting for the coordinator's answer.
	NotStarted              // Abandoned before it started; this attempt never will.
	Running                 // Started, no answer yet.
	Done                    // Answered, and the answer is recorded.
	DoneNoBody              // Answered, but the answer was too large to record or has been evicted.
	Uncertain               // Started with unknown outcome.
)

// String returns the stage's name in logs and dumps.
func (s Stage) String() string {
	return [...]string{"absent", "claiming", "not-started", "running", "done", "done-no-body", "uncertain"}[s]
}

// Begin starts a new attempt.
type Begin struct {
	At   time.Time
	Key  Key
	Body uint64
}

// Permit starts an attempt by the coordinator's grant.
type Permit struct {
	Key     Key
	Attempt uint64
	Epoch   uint64
}

// GiveUp abandons an attempt that has not started.
type GiveUp struct {
	Key     Key
	Attempt uint64
}

// Finish ends a running attempt.
type Finish struct {
	At      time.Time
	Key     Key
	Attempt uint64
	Stage   Stage // NotStarted (proved not to have run), Done, DoneNoBody or Uncertain.
	Answer  *Recorded
}

// Inquire queries an operation on behalf of another node, and abandons an attempt that
// has not started. Own is set if the holder is this process, and not one whose
// operation table this one adopted.
type Inquire struct {
	Key    Key
	Holder Holder
	Own    bool
}

// Look queries an operation without changing it.
type Look struct{ Key Key }

// Promise makes the ledger reject grants of earlier epochs.
type Promise struct{ Epoch uint64 }

// Witness stores a grant for another node. A coordinator's grant to itself would
// otherwise be on one node only.
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

// Recorded is an answer recorded for retries with the same key.
type Recorded struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
}

// size returns the memory that the answer counts for, in bytes.
func (r *Recorded) size() int {
	if r == nil {
		return 0
	}
	return len(r.Body) + recordOverhead
}

// recordOverhead is the estimated size of an answer without its body, in bytes.
const recordOverhead = 256

// Adopt adds the entries of a stopping node.
type Adopt struct {
	At      time.Time
	Entries []Entry
}

func (Adopt) message() {}

// Entry is one operation of a ledger, for the handover to another node.
type Entry struct {
	Key    Key       `cbor:"1,keyasint"`
	Body   uint64    `cbor:"2,keyasint"`
	Holder Holder    `cbor:"3,keyasint"`
	Stage  Stage     `cbor:"4,keyasint"`
	Answer *Recorded `cbor:"5,keyasint,omitempty"`
}

// Report is the ledger's reply to a message: the state of the operation.
type Report struct {
	Stage    Stage
	Attempt  uint64
	Body     uint64
	Answer   *Recorded
	Previous uint64 // After an accepted Begin: this node's last attempt, which never started; 0 if none.
	Accepted bool   // Whether the message took effect.
}

// Ledger is a node's operation table: the operations that it claimed, adopted or
// witnessed. It is not safe for concurrent use.
type Ledger struct {
	window    time.Duration
	maxBytes  int    // Limit of recorded answers, in bytes.
	usedBytes int    // Size of recorded answers, in bytes.
	promised  uint64 // Earliest epoch whose grants are accepted.
	attempts  uint64 // Number of the last attempt.
	entries   map[Key]*attempt
	witnessed map[Key][]Held // All of a key: an older grant that arrives late must not replace a newer one.
	expiries  expiryQueue
	answers   []Key // Keys of recorded answers, oldest first, for eviction.
}

// attempt is this node's latest attempt at an operation, or an adopted one.
type attempt struct {
	body        uint64
	number      uint64
	stage       Stage
	answer      *Recorded
	adoptedFrom Holder // Original holder of an adopted entry; zero for this process's own.
	expires     time.Time
}

// NewLedger returns a ledger that removes an operation one window after it began and
// records at most maxBytes bytes of answers.
func NewLedger(window time.Duration, maxBytes int) *Ledger {
	return &Ledger{window: window, maxBytes: maxBytes, entries: map[Key]*attempt{}, witnessed: map[Key][]Held{}}
}

// SetWindow changes how long operations begun from now on are kept.
func (l *Ledger) SetWindow(window time.Duration) { l.window = window }

// Len returns the number of claimed and adopted operations.
func (l *Ledger) Len() int { return len(l.entries) }

// Promised returns the earliest epoch whose grants are accepted.
func (l *Ledger) Promised() uint64 { return l.promised }

// Update handles a message and reports on its operation.
func (l *Ledger) Update(m Message) Report {
	switch m := m.(type) {
	case Begin:
		return l.begin(m)
	case Permit:
		return l.permit(m)
	case GiveUp:
		return l.abandon(m.Key, m.Attempt)
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

// Entries returns every operation that started here or was adopted, for the node that
// adopts them from a stopping one. It must not be called while operations can still
// end: those that run are returned as Uncertain.
func (l *Ledger) Entries(self Holder) []Entry {
	entries := make([]Entry, 0, len(l.entries))
	for k, e := range l.entries {
		if e.stage == Claiming || e.stage == NotStarted {
			continue
		}
		stage := e.stage
		if stage == Running {
			stage = Uncertain // The node stops before it ends.
		}
		entries = append(entries, Entry{Key: k, Body: e.body, Holder: e.holder(self), Stage: stage, Answer: e.answer})
	}
	return entries
}

// Witnessed returns the grants that this node stores for others.
func (l *Ledger) Witnessed() []Held {
	var held []Held
	for _, h := range l.witnessed {
		held = append(held, h...)
	}
	return held
}

// Holdings returns the entries' holders, for the coordinator.
func Holdings(entries []Entry) []Held {
	held := make([]Held, 0, len(entries))
	for _, e := range entries {
		held = append(held, Held{Key: e.Key, Body: e.Body, Holder: e.Holder})
	}
	return held
}

// Adopted returns the processes whose operations this one adopted, without attempts.
func (l *Ledger) Adopted() []Holder {
	seen := map[Holder]bool{}
	var from []Holder
	for _, e := range l.entries {
		h := Holder{Node: e.adoptedFrom.Node, Incarnation: e.adoptedFrom.Incarnation}
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
			continue // This node has started it. Attempts that have not are replaced.
		}
		e := &attempt{body: n.Body, adoptedFrom: n.Holder, stage: n.Stage, expires: m.At.Add(l.window)}
		l.entries[n.Key] = e
		l.expiries.add(n.Key, e.expires)
		if n.Answer != nil {
			l.recordAnswer(n.Key, e, n.Answer)
		}
	}
}

func (l *Ledger) witness(m Witness) {
	k := m.Held.Key
	if slices.Contains(l.witnessed[k], m.Held) {
		return
	}
	l.witnessed[k] = append(l.witnessed[k], m.Held)
	l.expiries.add(k, m.At.Add(l.window))
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
	l.expiries.add(m.Key, e.expires)
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

func (l *Ledger) abandon(k Key, number uint64) Report {
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
		l.recordAnswer(m.Key, e, m.Answer)
	}
	r := e.report(true)
	l.forget(m.Key, m.At)
	return r
}

// recordAnswer records an answer, and drops the oldest ones while they exceed maxBytes.
// An answer that exceeds maxBytes by itself is not recorded.
func (l *Ledger) recordAnswer(k Key, e *attempt, answer *Recorded) {
	if answer.size() > l.maxBytes {
		e.stage = DoneNoBody
		return
	}
	e.answer = answer
	l.usedBytes += answer.size()
	l.answers = append(l.answers, k)
	for l.usedBytes > l.maxBytes {
		l.dropAnswer(l.answers[0])
		l.answers = l.answers[1:]
	}
}

// dropAnswer removes a recorded answer; its operation stays as DoneNoBody.
func (l *Ledger) dropAnswer(k Key) {
	e := l.entries[k]
	if e == nil || e.answer == nil {
		return
	}
	l.usedBytes -= e.answer.size()
	e.answer = nil
	e.stage = DoneNoBody
}

func (l *Ledger) inquire(m Inquire) Report {
	e := l.entries[m.Key]
	if e == nil {
		return Report{}
	}
	if !m.Own {
		if e.adoptedFrom != m.Holder {
			return Report{}
		}
		return e.report(true)
	}
	adopted := e.adoptedFrom != (Holder{})
	if !adopted && e.number < m.Holder.Attempt {
		return Report{}
	}
	if adopted || e.number > m.Holder.Attempt {
		// An attempt begins only after all earlier ones are known not to have started,
		// and an adopted entry replaces only one that has not.
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

// Held returns what a new coordinator needs: every operation that started here or was
// adopted, and every grant that this node witnessed.
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

// holder returns the holder of the operation: the original one if it was adopted.
func (e *attempt) holder(self Holder) Holder {
	if e.adoptedFrom != (Holder{}) {
		return e.adoptedFrom
	}
	return Holder{Node: self.Node, Incarnation: self.Incarnation, Attempt: e.number}
}

func (e *attempt) report(accepted bool) Report {
	return Report{Stage: e.stage, Attempt: e.number, Body: e.body, Answer: e.answer, Accepted: accepted}
}

func (l *Ledger) expire(at time.Time) {
	for _, x := range l.expiries.due(at) {
		l.forget(x.key, at)
	}
}

// forget removes the witnessed grants of a key, and its entry if that has expired and
// does not run.
func (l *Ledger) forget(k Key, at time.Time) {
	delete(l.witnessed, k)
	e := l.entries[k]
	if e == nil || at.Before(e.expires) || e.stage == Running {
		return
	}
	l.dropAnswer(k)
	delete(l.entries, k)
}
