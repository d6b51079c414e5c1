package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxRecords bounds the records of a node, some 170 bytes each. Beyond it, the records with the
// fewest crashes are removed first, and among these the ones that expire first.
const maxRecords = 4096

// Causes of a release.
const (
	causeAnswered = "answered"
	causeExpired  = "time passed"
	causeNode     = "another node's word" // A record received from another node or the store.
	causeOperator = "operator"
)

// entry is a record and the local state that is not sent to other nodes.
type entry struct {
	Record
	firstCrash       time.Time // When this node first learned of a crash.
	expires          time.Time
	quarantinedUntil time.Time // End of its quarantine; zero if it was never quarantined.
	quarantined      bool      // According to the last command.
	own              bool      // An upstream of this node crashed.
}

// Tracker tracks the requests during which upstreams crashed. It is not safe for concurrent
// use.
type Tracker struct {
	entries map[Fingerprint]*entry
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker { return &Tracker{entries: map[Fingerprint]*entry{}} }

// Update handles a message and returns the commands that follow from it.
func (t *Tracker) Update(m Message) []Command {
	switch m := m.(type) {
	case Crashed:
		return t.crashed(m)
	case Answered:
		return t.clear(m.At, m.Fingerprint, causeAnswered)
	case Lifted:
		return t.clear(m.At, m.Fingerprint, causeOperator)
	case Received:
		return t.received(m)
	case Ticked:
		return t.tick(m.At)
	default:
		return nil
	}
}

// crashed adds an upstream to those that crashed while running a request. If the request's
// quarantine was over when the attempt began, it is quarantined again.
func (t *Tracker) crashed(m Crashed) []Command {
	e := t.entries[m.Fingerprint]
	if e == nil {
		e = t.add(Record{Fingerprint: m.Fingerprint}, m.At)
	}
	before := e.Record
	known := len(before.Crashed) > 0 && !e.firstCrash.After(m.Began)
	if len(before.Crashed) == 0 {
		e.firstCrash = m.At
	}
	after, isNew := before.merged(Record{Crashed: []string{m.Upstream}, Repeated: known, Cleared: e.Cleared})
	e.Record, e.own, e.expires = after, true, m.At.Add(recordLifetime)
	if e.responsible() && (e.Quarantines == 0 || m.Began.After(e.quarantinedUntil)) {
		e.Quarantines++
		e.quarantinedUntil = m.At.Add(quarantinePeriod(e.Quarantines))
		e.quarantined = false // Each quarantine gets its own command.
		isNew = true
	}
	if !isNew {
		return nil
	}
	// A crash ends no quarantine, so the cause matters only if a received record was quarantined
	// with fewer than minCrashes crashes and its quarantine has just run out.
	return append([]Command{Broadcast{Record: e.export(m.At)}}, e.transition(m.At, causeNode)...)
}

// clear discards the crashes recorded for a request.
func (t *Tracker) clear(at time.Time, f Fingerprint, cause string) []Command {
	e := t.entries[f]
	if e == nil || len(e.Crashed) == 0 {
		return nil
	}
	if !e.significant() {
		delete(t.entries, f) // Other nodes have a single crash at most, which quarantines nothing.
		return nil
	}
	stored := e.Quarantines > 0
	e.Record = Record{Fingerprint: f, Cleared: e.Cleared + 1}
	e.quarantinedUntil, e.quarantined = time.Time{}, false
	out := []Command{Broadcast{Record: e.export(at)}}
	if stored {
		out = append(out, Release{Fingerprint: f, Own: true, Cause: cause})
	}
	return out
}

// received merges records of other nodes or the store.
func (t *Tracker) received(m Received) []Command {
	var out []Command
	for _, record := range m.Records {
		out = append(out, t.merge(m.At, record)...)
	}
	return out
}

// merge merges one record, and passes it on if it is new and significant.
func (t *Tracker) merge(at time.Time, record Record) []Command {
	left := min(record.TTL, recordLifetime)
	if left <= 0 {
		return nil
	}
	e := t.entries[record.Fingerprint]
	if e == nil {
		e = t.add(Record{Fingerprint: record.Fingerprint}, at)
	}
	before := e.Record
	after, isNew := before.merged(record)
	if expires := at.Add(left); expires.After(e.expires) {
		e.expires = expires
	}
	if !isNew {
		return nil
	}
	if len(before.Crashed) == 0 {
		e.firstCrash = at
	}
	e.Record = after
	e.mergeQuarantine(at, before, record)
	var out []Command
	if after.significant() {
		out = append(out, Relay{Record: e.export(at)})
	}
	return append(out, e.transition(at, causeNode)...)
}

// mergeQuarantine ends the quarantine if the received record was cleared since, takes over one
// that the received record reports, or starts one that follows from both records together.
func (e *entry) mergeQuarantine(at time.Time, before, received Record) {
	switch {
	case e.Cleared > before.Cleared && e.Quarantines == 0:
		e.quarantinedUntil = time.Time{}
	case received.Quarantines > before.Quarantines || e.Cleared > before.Cleared:
		e.quarantinedUntil = at.Add(min(received.Remaining, quarantinePeriod(e.Quarantines)))
		e.quarantined = false
	case e.responsible() && e.Quarantines == 0:
		e.Quarantines = 1
		e.quarantinedUntil = at.Add(quarantinePeriod(1))
	}
}

// transition returns a command if the request's quarantine has started or ended.
func (e *entry) transition(at time.Time, cause string) []Command {
	quarantined := at.Before(e.quarantinedUntil)
	if quarantined == e.quarantined {
		return nil
	}
	e.quarantined = quarantined
	if quarantined {
		return []Command{Quarantined{Record: e.export(at), Own: e.own}}
	}
	return []Command{Release{Fingerprint: e.Fingerprint, Cause: cause}}
}

// export returns the entry's record as sent to other nodes. Its times are durations from now,
// which do not depend on the receiver's clock.
func (e *entry) export(at time.Time) Record {
	out := e.Record
	out.TTL = e.expires.Sub(at)
	out.Remaining = max(e.quarantinedUntil.Sub(at), 0)
	return out
}

// tick ends quarantines and removes records whose time has passed.
func (t *Tracker) tick(at time.Time) []Command {
	var out []Command
	for f, e := range t.entries {
		out = append(out, e.transition(at, causeExpired)...)
		if !at.Before(e.expires) {
			delete(t.entries, f)
			out = append(out, e.removal()...)
		}
	}
	return out
}

// removal returns the command that removes a record from the store, if this node stored it.
func (e *entry) removal() []Command {
	if e.Quarantines == 0 || !e.own {
		return nil
	}
	return []Command{Release{Fingerprint: e.Fingerprint, Own: true, Cause: causeExpired}}
}

// add adds an entry, in place of the least relevant one if there are too many. The caller sets
// its expiry.
func (t *Tracker) add(record Record, at time.Time) *entry {
	if len(t.entries) >= maxRecords {
		delete(t.entries, t.leastRelevant())
	}
	e := &entry{Record: record, firstCrash: at}
	t.entries[record.Fingerprint] = e
	return e
}

// leastRelevant returns the fingerprint of the record to remove first.
func (t *Tracker) leastRelevant() Fingerprint {
	return slices.MinFunc(slices.Collect(maps.Values(t.entries)), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.Crashed), len(b.Crashed)), a.expires.Compare(b.expires))
	}).Fingerprint
}

// Significant returns the records to send to a node on connecting to it for the first time:
// those with more than one crash, and those of cleared requests.
func (t *Tracker) Significant(at time.Time) []Record {
	var out []Record
	for _, e := range t.entries {
		if e.significant() && at.Before(e.expires) {
			out = append(out, e.export(at))
		}
	}
	return out
}

// quarantined returns the end of the quarantine of each request that was ever quarantined.
func (t *Tracker) quarantined() map[Fingerprint]time.Time {
	out := map[Fingerprint]time.Time{}
	for f, e := range t.entries {
		if e.Quarantines > 0 {
			out[f] = e.quarantinedUntil
		}
	}
	return out
}
