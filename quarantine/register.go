package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// recordsKept bounds the records of a node, some 150 bytes each. Where there are more, those
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
	own     bool // An end was seen here.
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
		return r.expire(m.At)
	default:
		return nil
	}
}

// ended adds an upstream to those that ended under a request.
func (r *Register) ended(m Ended) []Command {
	e := r.entries[m.Print]
	if e == nil {
		e = r.add(Record{Print: m.Print}, m.At)
	}
	known := len(e.Ended) > 0 && !e.heard.After(m.Began)
	before := e.Record
	if len(e.Ended) == 0 {
		e.heard = m.At
	}
	more, news := before.merged(Record{Ended: []string{m.Upstream}, Repeated: known, Cleared: e.Cleared})
	e.Record, e.own, e.expires = more, true, m.At.Add(recordTime)
	if !news {
		return nil
	}
	return append([]Command{Tell{Record: e.told(m.At)}}, e.changed(m.At, before, causeNode)...)
}

// clear takes back what was held against a request.
func (r *Register) clear(at time.Time, p Print, cause string) []Command {
	e := r.entries[p]
	if e == nil || len(e.Ended) == 0 {
		return nil
	}
	before := e.Record
	if !before.grave() {
		delete(r.entries, p) // Others have heard of one end only, which holds nothing.
		return nil
	}
	e.Record = Record{Print: p, Cleared: before.Cleared + 1}
	out := []Command{Tell{Record: e.told(at)}}
	if before.Held() {
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
	e.Left = 0 // Only expires counts here.
	var out []Command
	if more.grave() {
		out = append(out, Pass{Record: e.told(at)})
	}
	return append(out, e.changed(at, before, causeNode)...)
}

// changed tells whether a change of the record holds or releases the request.
func (e *entry) changed(at time.Time, before Record, cause string) []Command {
	switch {
	case e.Held() && !before.Held():
		return []Command{Hold{Record: e.told(at), Own: e.own}}
	case !e.Held() && before.Held():
		return []Command{Release{Print: e.Print, Cause: cause}}
	default:
		return nil
	}
}

// told is the entry's record as others are told it.
func (e *entry) told(at time.Time) Record {
	out := e.Record
	out.Left = e.expires.Sub(at)
	return out
}

// expire forgets what is past its time.
func (r *Register) expire(at time.Time) []Command {
	var out []Command
	for p, e := range r.entries {
		if at.Before(e.expires) {
			continue
		}
		delete(r.entries, p)
		if e.Held() {
			out = append(out, Release{Print: p, Own: e.own, Cause: causeTime})
		}
	}
	return out
}

// add makes an entry, in place of the least one if there are too many.
func (r *Register) add(record Record, at time.Time) *entry {
	if len(r.entries) >= recordsKept {
		delete(r.entries, r.least())
	}
	e := &entry{Record: record, heard: at, expires: at.Add(recordTime)}
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

// held returns until when each request is held.
func (r *Register) held() map[Print]time.Time {
	out := map[Print]time.Time{}
	for p, e := range r.entries {
		if e.Held() {
			out[p] = e.expires
		}
	}
	return out
}
