package gate

import "slices"

// pastKept is how many earlier incarnations are remembered, so that a late
// report of one does not bring it back.
const pastKept = 64

// retire forgets the incarnation, because another one holds its address.
func (a *Admission) retire() {
	if a.upstream == "" {
		return
	}
	a.past = remember(a.past, a.upstream)
	a.upstream = ""
	a.health = health{switches: a.switches, usual: a.usual, silence: silence{kinds: a.kinds}}
}

// remember adds a name, in place of the oldest one if there are too many.
func remember(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	if len(list) >= pastKept {
		list = list[1:]
	}
	return append(list, name)
}

// reported takes the upstream's word. An incarnation that is new is confirmed
// before it gets work: an earlier process may have acknowledged that it leaves.
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
