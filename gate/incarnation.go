package gate

import (
	"slices"

	"eiderfold/port"
)

// maxIncarnations bounds each list of earlier incarnations. They are kept so that a delayed
// report of one does not make it current again.
const maxIncarnations = 64

// retire removes the current incarnation because another one has taken its address.
func (a *Admission) retire() {
	if a.upstream.ID == "" {
		return
	}
	a.replaced = addIncarnation(a.replaced, a.upstream)
	a.upstream = port.Incarnation{}
	a.named = namedLimiter{}
	a.foreign = foreignLoad{}
	a.health = health{switches: a.switches, meanResponseTime: a.meanResponseTime, hangDetector: hangDetector{kinds: a.kinds}}
}

// reinstate lets an incarnation that was replaced become current again with its next report, as it has shown that it
// holds the address: what replaced it was a delayed report, or one of another writer.
func (a *Admission) reinstate(holder string) {
	a.replaced = slices.DeleteFunc(a.replaced, func(i port.Incarnation) bool { return i.ID == holder })
}

// addIncarnation adds an incarnation and evicts the oldest one when the list is full.
func addIncarnation(list []port.Incarnation, i port.Incarnation) []port.Incarnation {
	if slices.Contains(list, i) {
		return list
	}
	if len(list) >= maxIncarnations {
		list = list[1:]
	}
	return append(list, i)
}

// normalize fills in a missing start time: a report without one is attributed to the current
// incarnation if the id matches.
func (a *Admission) normalize(r port.Report) port.Report {
	if r.StartedAt == 0 && r.ID == a.upstream.ID {
		r.StartedAt = a.upstream.StartedAt
	}
	return r
}

// reported processes a report of an upstream. A new incarnation gets work only after it is
// confirmed: an earlier process of the node may have acknowledged that it is leaving.
func (a *Admission) reported(m Reported) []Command {
	r := a.normalize(m.Report)
	if r.Leaving {
		a.leaving.add(m.At, r.Incarnation)
		if a.upstream.ID == "" || r.ID == a.upstream.ID && a.upstream.Before(r.Incarnation) {
			// The previous incarnation is gone, or known only to the previous process. Make the
			// leaving one current: work for the previous one would reach it under the same id,
			// and the status names it to other nodes.
			a.retire()
			a.upstream = r.Incarnation
		}
		return nil
	}
	if slices.Contains(a.replaced, r.Incarnation) || a.leaving.contains(r.Incarnation) || r.Service != a.service {
		return nil
	}
	if r.Incarnation == a.upstream {
		if r.Sequence > a.sequence {
			a.sequence = r.Sequence
			a.slots = r.Slots
			a.cold.setRemaining(m.At, r.ColdLeft)
		}
		return nil
	}
	if r.Before(a.upstream) {
		return nil // A delayed report of an incarnation that was replaced.
	}
	a.retire()
	a.upstream = r.Incarnation
	a.sequence = r.Sequence
	a.slots = r.Slots
	a.cold.setRemaining(m.At, r.ColdLeft)
	a.unconfirmed = true
	return []Command{Confirm{Upstream: r.Incarnation}}
}

// stated processes what an incarnation says of itself in an answer. One that leaves says so until
// it ends, so a later answer without that was only delayed.
func (a *Admission) stated(m Stated) []Command {
	if m.Upstream == a.upstream {
		a.named.hear(m.At, m.HeardAt, m.Limit)
		a.foreign.note(m.At, m.Load, a.running())
		if m.ColdLeft > 0 {
			a.cold.setRemaining(m.HeardAt, m.ColdLeft)
		}
	}
	if !m.Leaving || m.Upstream.ID == "" || a.leaving.contains(m.Upstream) {
		return nil
	}
	a.leaving.add(m.At, m.Upstream)
	return []Command{RecordLeaving{Upstream: m.Upstream}}
}

func (a *Admission) confirmed(m Confirmed) {
	if m.Leaving {
		a.leaving.add(m.At, m.Upstream)
	}
	if m.Upstream == a.upstream {
		a.unconfirmed = false
	}
}
