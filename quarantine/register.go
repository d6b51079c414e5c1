package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// recordsKept bounds the records of a node, some 170 bytes each. Where there are more, those
// with the fewest ends go first, and of these the oldest.
const recordsKept = 4096

// Causes of a release.
const (
	causeAnswered = "answered"
	causeTime     = "time passed"
	causeNode     = "another node's word"
	causeOperator = "operator"
)

// entry is a record with what only this node knows of it.
type entry struct {
	Record
	heard   time.Time // When this node first knew of an end.
	expires time.Time
	until   time.Time // When its hold ends; zero if it was never held.
	held    bool      // As the last command said.
	own     bool      // An end was seen here.
}

// Register is what a node knows of requests under which upstreams ended. It is not safe
// for concurrent use.
type Register struct {
	entries map[Print]*entry
}

// NewRegister returns a register that knows of nothing.
func NewRegister() *Register { return &Register{entries: map[Print]*entry{}} }

// Update takes a message and returns what is to be done.
func (r *Register) Update(m Message) []Command {
	switch m := m.(type) {
	case Ended:
		return r.ended(m)
	case Answered:
		return r.clear(m.At, m.Print, causeAnswered)
	case Lifted:
		return r.clear(m.At, m.Print, causeOperator)
	case Heard:
		return r.heard(m)
	case Ticked:
		return r.tick(m.At)
	default:
		return nil
	}
}

// ended adds an upstream to those that ended under a request. Under one whose hold was over
// when the attempt began, it is held again.
func (r *Register) ended(m Ended) []Command {
	e := r.entries[m.Print]
	if e == nil {
		e = r.add(Record{Print: m.Print}, m.At)
	}
	before := e.Record
	known := len(before.Ended) > 0 && !e.heard.After(m.Began)
	if len(before.Ended) == 0 {
		e.heard = m.At
	}
	more, news := before.merged(Record{Ended: []string{m.Upstream}, Repeated: known, Cleared: e.Cleared})
	e.Record, e.own, e.expires = more, true, m.At.Add(recordTime)
	if e.guilty() && (e.Holds == 0 || m.Began.After(e.until)) {
		e.Holds++
		e.until = m.At.Add(holdTime(e.Holds))
		e.held = false // It is told of each hold.
		news = true
	}
	if !news {
		return nil
	}
	return append([]Command{Tell{Record: e.told(m.At)}}, e.changed(m.At, causeNode)...)
}

// clear takes back what was held against a request.
func (r *Register) clear(at time.Time, p Print, cause string) []Command {
	e := r.entries[p]
	if e == nil || len(e.Ended) == 0 {
		return nil
	}
	if !e.grave() {
		delete(r.entries, p) // Others have heard of one end only, which holds nothing.
		return nil
	}
	stored := e.Holds > 0
	e.Record = Record{Print: p, Cleared: e.Cleared + 1}
	e.until, e.held = time.Time{}, false
	out := []Command{Tell{Record: e.told(at)}}
	if stored {
		out = append(out, Release{Print: p, Own: true, Cause: cause})
	}
	return out
}

// heard merges what others know.
func (r *Register) heard(m Heard) []Command {
	var out []Command
	for _, record := range m.Records {
		out = append(out, r.take(m.At, record)...)
	}
	return out
}

// take merges one record, and passes it on if it was news and is grave.
func (r *Register) take(at time.Time, record Record) []Command {
	left := min(record.Left, recordTime)
	if left <= 0 {
		return nil
	}
	e := r.entries[record.Print]
	if e == nil {
		e = r.add(Record{Print: record.Print}, at)
	}
	before := e.Record
	more, news := before.merged(record)
	if until := at.Add(left); until.After(e.expires) {
		e.expires = until
	}
	if !news {
		return nil
	}
	if len(before.Ended) == 0 {
		e.heard = at
	}
	e.Record = more
	e.takeHold(at, before, record)
	var out []Command
	if more.grave() {
		out = append(out, Pass{Record: e.told(at)})
	}
	return append(out, e.changed(at, causeNode)...)
}

// takeHold follows a hold that another node knows of, or begins one that follows from both
// records.
func (e *entry) takeHold(at time.Time, before, heard Record) {
	switch {
	case e.Cleared > before.Cleared && e.Holds == 0:
		e.until = time.Time{}
	case heard.Holds > before.Holds || e.Cleared > before.Cleared:
		e.until = at.Add(min(heard.Hold, holdTime(e.Holds)))
		e.held = false
	case e.guilty() && e.Holds == 0:
		e.Holds = 1
		e.until = at.Add(holdTime(1))
	}
}

// changed tells whether the request is held since, or no longer.
func (e *entry) changed(at time.Time, cause string) []Command {
	held := at.Before(e.until)
	if held == e.held {
		return nil
	}
	e.held = held
	if held {
		return []Command{Hold{Record: e.told(at), Own: e.own}}
	}
	return []Command{Release{Print: e.Print, Cause: cause}}
}

// told is the entry's record as others are told it.
func (e *entry) told(at time.Time) Record {
	out := e.Record
	out.Left = e.expires.Sub(at)
	out.Hold = max(e.until.Sub(at), 0)
	return out
}

// tick ends holds and forgets records that are past their time.
func (r *Register) tick(at time.Time) []Command {
	var out []Command
	for p, e := range r.entries {
		out = append(out, e.changed(at, causeTime)...)
		if !at.Before(e.expires) {
			delete(r.entries, p)
			out = append(out, e.forgotten()...)
		}
	}
	return out
}

// forgotten has the record of one that was held removed from the store.
func (e *entry) forgotten() []Command {
	if e.Holds == 0 || !e.own {
		return nil
	}
	return []Command{Release{Print: e.Print, Own: true, Cause: causeTime}}
}

// add makes an entry that the caller gives its time, in place of the least one if there
// are too many.
func (r *Register) add(record Record, at time.Time) *entry {
	if len(r.entries) >= recordsKept {
		delete(r.entries, r.least())
	}
	e := &entry{Record: record, heard: at}
	r.entries[record.Print] = e
	return e
}

// least returns the record that is missed least.
func (r *Register) least() Print {
	return slices.MinFunc(slices.Collect(maps.Values(r.entries)), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.Ended), len(b.Ended)), a.expires.Compare(b.expires))
	}).Print
}

// Grave returns what a node is told that is met: records of more than one end, and of
// requests that were cleared.
func (r *Register) Grave(at time.Time) []Record {
	var out []Record
	for _, e := range r.entries {
		if e.grave() && at.Before(e.expires) {
			out = append(out, e.told(at))
		}
	}
	return out
}

// held returns until when each request is held that was ever held.
func (r *Register) held() map[Print]time.Time {
	out := map[Print]time.Time{}
	for p, e := range r.entries {
		if e.Holds > 0 {
			out[p] = e.until
		}
	}
	return out
}
