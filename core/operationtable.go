package core

import (
	"slices"
	"time"
)

// Entry is one operation of an operation table, for the handover to another node.
type Entry struct {
	Key    Key       `cbor:"1,keyasint"`
	Body   uint64    `cbor:"2,keyasint"`
	Holder Holder    `cbor:"3,keyasint"`
	Stage  Stage     `cbor:"4,keyasint"`
	Answer *Recorded `cbor:"5,keyasint,omitempty"`
}

// Report is the operation table's reply to a message: the state of the operation.
type Report struct {
	Stage    Stage
	Attempt  uint64
	Body     uint64
	Answer   *Recorded
	Previous uint64 // After an accepted Begin: this node's last attempt, which never started; 0 if none.
	Accepted bool   // Whether the message took effect.
}

// OperationTable holds the operations that a node claimed, adopted or
// witnessed. It is not safe for concurrent use.
type OperationTable struct {
	window    time.Duration
	maxBytes  int    // Limit of recorded answers, in bytes.
	usedBytes int    // Size of recorded answers, in bytes.
	promised  uint64 // Earliest epoch whose grants are accepted.
	attempts  uint64 // Number of the last attempt.
	entries   map[Key]*attempt
	witnessed map[Key][]Held // All of a key: an older grant that arrives late must not replace a newer one.
	expiries  expiryQueue
	answers   []Key // Keys in the order in which answers were recorded, for eviction. Keys whose answer is removed otherwise stay.
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

// NewOperationTable returns an operation table that removes an operation one window after it
// began and records at most maxBytes bytes of answers.
func NewOperationTable(window time.Duration, maxBytes int) *OperationTable {
	return &OperationTable{window: window, maxBytes: maxBytes, entries: map[Key]*attempt{}, witnessed: map[Key][]Held{}}
}

// SetWindow changes how long operations begun from now on are kept.
func (t *OperationTable) SetWindow(window time.Duration) { t.window = window }

// Len returns the number of claimed and adopted operations.
func (t *OperationTable) Len() int { return len(t.entries) }

// Promised returns the earliest epoch whose grants are accepted.
func (t *OperationTable) Promised() uint64 { return t.promised }

// Update handles a message and reports on its operation.
func (t *OperationTable) Update(m Message) Report {
	switch m := m.(type) {
	case Begin:
		return t.begin(m)
	case Permit:
		return t.permit(m)
	case Abandon:
		return t.abandon(m.Key, m.Attempt)
	case Finish:
		return t.finish(m)
	case Query:
		return t.query(m)
	case Peek:
		if e := t.entries[m.Key]; e != nil {
			return e.report(true)
		}
	case Promise:
		return t.promise(m)
	case Witness:
		t.witness(m)
	case Adopt:
		t.adopt(m)
	case Tick:
		t.expire(m.At)
	}
	return Report{}
}

// Entries returns every operation that started here or was adopted, for the node that
// adopts them from a stopping one. It must not be called while operations can still
// end: those that run are returned as Uncertain.
func (t *OperationTable) Entries(self Holder) []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for k, e := range t.entries {
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
func (t *OperationTable) Witnessed() []Held {
	var held []Held
	for _, h := range t.witnessed {
		held = append(held, h...)
	}
	return held
}

// Holdings returns the entries' holders: what a stopping node reports to the coordinator when
// it hands the entries over.
func Holdings(entries []Entry) []Held {
	held := make([]Held, 0, len(entries))
	for _, e := range entries {
		held = append(held, Held{Key: e.Key, Body: e.Body, Holder: e.Holder})
	}
	return held
}

// Adopted returns the processes whose operations this one adopted, without attempts.
func (t *OperationTable) Adopted() []Holder {
	seen := map[Holder]bool{}
	var from []Holder
	for _, e := range t.entries {
		h := Holder{Node: e.adoptedFrom.Node, Incarnation: e.adoptedFrom.Incarnation}
		if h != (Holder{}) && !seen[h] {
			seen[h] = true
			from = append(from, h)
		}
	}
	return from
}

func (t *OperationTable) adopt(m Adopt) {
	for _, n := range m.Entries {
		if e := t.entries[n.Key]; e != nil && e.stage != NotStarted && e.stage != Claiming {
			continue // This node has started it. Attempts that have not are replaced.
		}
		e := &attempt{body: n.Body, adoptedFrom: n.Holder, stage: n.Stage, expires: m.At.Add(t.window)}
		t.entries[n.Key] = e
		t.expiries.add(n.Key, e.expires)
		if n.Answer != nil {
			t.recordAnswer(n.Key, e, n.Answer)
		}
	}
}

func (t *OperationTable) witness(m Witness) {
	k := m.Held.Key
	if slices.Contains(t.witnessed[k], m.Held) {
		return
	}
	t.witnessed[k] = append(t.witnessed[k], m.Held)
	t.expiries.add(k, m.At.Add(t.window))
}

func (t *OperationTable) begin(m Begin) Report {
	e := t.entries[m.Key]
	if e != nil && e.stage != NotStarted {
		return e.report(false)
	}
	previous := uint64(0)
	if e != nil {
		previous = e.number
	}
	t.attempts++
	e = &attempt{body: m.Body, number: t.attempts, stage: Claiming, expires: m.At.Add(t.window)}
	t.entries[m.Key] = e
	t.expiries.add(m.Key, e.expires)
	r := e.report(true)
	r.Previous = previous
	return r
}

func (t *OperationTable) permit(m Permit) Report {
	e := t.entries[m.Key]
	if e == nil || e.number != m.Attempt || e.stage != Claiming {
		return Report{}
	}
	if m.Epoch < t.promised {
		e.stage = NotStarted
		return e.report(false)
	}
	t.promised = m.Epoch
	e.stage = Running
	return e.report(true)
}

func (t *OperationTable) abandon(k Key, number uint64) Report {
	e := t.entries[k]
	if e == nil || e.number != number || e.stage != Claiming {
		return Report{}
	}
	e.stage = NotStarted
	return e.report(true)
}

func (t *OperationTable) finish(m Finish) Report {
	e := t.entries[m.Key]
	if e == nil || e.number != m.Attempt || e.stage != Running {
		return Report{}
	}
	e.stage = m.Stage
	if m.Stage == Done {
		t.recordAnswer(m.Key, e, m.Answer)
	}
	r := e.report(true)
	t.forget(m.Key, m.At)
	return r
}

// recordAnswer records an answer, and drops the oldest ones while they exceed maxBytes.
// An answer that exceeds maxBytes by itself is not recorded.
func (t *OperationTable) recordAnswer(k Key, e *attempt, answer *Recorded) {
	if answer.size() > t.maxBytes {
		e.stage = DoneNoBody
		return
	}
	e.answer = answer
	t.usedBytes += answer.size()
	t.answers = append(t.answers, k)
	for t.usedBytes > t.maxBytes {
		t.dropAnswer(t.answers[0])
		t.answers = t.answers[1:]
	}
}

// dropAnswer removes a recorded answer; its operation stays as DoneNoBody.
func (t *OperationTable) dropAnswer(k Key) {
	e := t.entries[k]
	if e == nil || e.answer == nil {
		return
	}
	t.usedBytes -= e.answer.size()
	e.answer = nil
	e.stage = DoneNoBody
}

func (t *OperationTable) query(m Query) Report {
	e := t.entries[m.Key]
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

func (t *OperationTable) promise(m Promise) Report {
	if m.Epoch < t.promised {
		return Report{}
	}
	t.promised = m.Epoch
	return Report{Accepted: true}
}

// Held returns what a new coordinator needs: every operation that started here or was
// adopted, and every grant that this node witnessed.
func (t *OperationTable) Held(self Holder) []Held {
	held := make([]Held, 0, len(t.entries)+len(t.witnessed))
	for k, e := range t.entries {
		if e.stage == Claiming || e.stage == NotStarted {
			continue
		}
		held = append(held, Held{Key: k, Body: e.body, Holder: e.holder(self)})
	}
	return append(held, t.Witnessed()...)
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

func (t *OperationTable) expire(at time.Time) {
	for _, x := range t.expiries.due(at) {
		t.forget(x.key, at)
	}
}

// forget removes the witnessed grants of a key, and its entry if that has expired and
// does not run.
func (t *OperationTable) forget(k Key, at time.Time) {
	delete(t.witnessed, k)
	e := t.entries[k]
	if e == nil || at.Before(e.expires) || e.stage == Running {
		return
	}
	t.dropAnswer(k)
	delete(t.entries, k)
}
