package gate

import (
	"slices"

	"eiderfold/port"
)

// pastKept is how many earlier incarnations are remembered, so that a late
// report of one does not bring it back.
const pastKept = 64

// retire forgets the incarnation, because another one holds its address.
func (a *Admission) retire() {
	if a.upstream.ID == "" {
		return
	}
	a.past = remember(a.past, a.upstream)
	a.upstream = port.Incarnation{}
	a.health = health{switches: a.switches, usual: a.usual, silence: silence{kinds: a.kinds}}
}

// remember adds an incarnation, in place of the oldest one if there are too many.
func remember(list []port.Incarnation, i port.Incarnation) []port.Incarnation {
	if slices.Contains(list, i) {
		return list
	}
	if len(list) >= pastKept {
		list = list[1:]
	}
	return append(list, i)
}

// understood returns a report as it is meant: one that does not say when its sender
// started speaks of the incarnation of that id which is there.
func (a *Admission) understood(r port.Report) port.Report {
	if r.Born == 0 && r.ID == a.upstream.ID {
		r.Born = a.upstream.Born
	}
	return r
}

// reported takes the upstream's word. An incarnation that is new is confirmed
// before it gets work: an earlier process may have acknowledged that it leaves.
func (a *Admission) reported(m Reported) []Command {
	r := a.understood(m.Report)
	if r.Leaving {
		a.left = remember(a.left, r.Incarnation)
		if r.ID == a.upstream.ID && a.upstream.Before(r.Incarnation) {
			// The one that was there is gone, and what was meant for it would reach this
			// one, which leaves, under the same id.
			a.retire()
			a.upstream = r.Incarnation
		}
		return nil
	}
	if slices.Contains(a.past, r.Incarnation) || slices.Contains(a.left, r.Incarnation) || r.Service != a.service {
		return nil
	}
	if r.Incarnation == a.upstream {
		if r.Sequence > a.sequence {
			a.sequence = r.Sequence
			a.slots = r.Slots
			a.cold.reported(m.At, r.ColdLeft)
		}
		return nil
	}
	if r.Before(a.upstream) {
		return nil // It was held up, and its sender has been replaced.
	}
	a.retire()
	a.upstream = r.Incarnation
	a.sequence = r.Sequence
	a.slots = r.Slots
	a.cold.reported(m.At, r.ColdLeft)
	a.unconfirmed = true
	return []Command{Confirm{Upstream: r.Incarnation}}
}

func (a *Admission) confirmed(m Confirmed) {
	if m.Leaving {
		a.left = remember(a.left, m.Upstream)
	}
	if m.Upstream == a.upstream {
		a.unconfirmed = false
	}
}
