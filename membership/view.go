package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eiderfold/link"
)

// goneRetention is how long the record of a gone node is kept: until all nodes have received
// it, so that none sends its previous record again.
const goneRetention = 10 * time.Minute

// entry is the record of another node and the values derived from it.
type entry struct {
	link.Record
	rank       uint64    // Sort key of the ranking that is the same at all nodes: a hash.
	preference uint64    // Sort key of this node's own order of preference, lowest first: a hash.
	sum        uint64    // Its part of the sum of its range.
	goneSince  time.Time // When this node learned that it is gone.
}

// View holds this node's records of the fleet. It is not safe for concurrent use.
type View struct {
	self        link.Record
	rank        uint64
	entries     map[string]*entry // By address, including gone nodes.
	services    map[string]int    // Number of nodes by service, without gone nodes, including this one.
	preceding   int               // Number of nodes ranked before this one.
	alive       int               // Number of other nodes that are not gone.
	sums        [ranges]uint64
	comparisons compareSchedule
	informed    bool // Another node has told all that it knows.
	selection
}

// New returns a View without other nodes.
func New(self link.Record, counts LinkCounts) *View {
	v := &View{self: self, rank: Rank(self.Name), entries: map[string]*entry{}, services: map[string]int{self.Service: 1}}
	v.selection = newSelection(counts, self.DataCentre)
	v.sums[rangeOf(self.Address)] = sumOf(self)
	return v
}

// Rank returns the rank of a node: pseudo-random, but the same at all nodes.
func Rank(name string) uint64 { return xxhash.Sum64String(name) }

// Update handles a message and returns the commands that follow from it.
func (v *View) Update(m Message) []Command {
	switch m := m.(type) {
	case Received:
		return v.received(m)
	case Compared:
		return v.compared(m)
	case NotCompared:
		v.comparisons.retry()
		return nil
	case Unreachable:
		return v.unreachable(m)
	case Needed:
		return v.needed(m)
	case Ticked:
		return v.ticked(m.At)
	default:
		return nil
	}
}

// Self returns this node's own record.
func (v *View) Self() link.Record { return v.self }

// Fleet returns the number of nodes, including this one.
func (v *View) Fleet() int { return v.alive + 1 }

// Gates returns the number of gates of a service: of its nodes, each of which has one, this one
// included and gone ones left out.
func (v *View) Gates(service string) int { return v.services[service] }

// Informed reports whether this node knows all that another one knew when their records were compared. Before
// that it may know few nodes of many.
func (v *View) Informed() bool { return v.informed }

// RankedBefore returns the number of nodes that rank before this one.
func (v *View) RankedBefore() int { return v.preceding }

// Position returns the relative position of this node in the ranking, in [0, 1).
func (v *View) Position() float64 { return (float64(v.preceding) + 0.5) / float64(v.Fleet()) }

// Precedes reports whether a node ranks before this one.
func (v *View) Precedes(address string) bool {
	e := v.entries[address]
	return e != nil && !e.Gone && e.rank < v.rank
}

// Member returns the node with an address; false if it is unknown or gone.
func (v *View) Member(address string) (link.Member, bool) {
	e := v.entries[address]
	if e == nil || e.Gone {
		return link.Member{}, false
	}
	return e.Member, true
}

// Each calls f for every other node that is not gone, for example to rank them for an account.
func (v *View) Each(f func(m link.Member)) {
	for _, e := range v.entries {
		if !e.Gone {
			f(e.Member)
		}
	}
}

// received merges records, and returns Updates of those worth passing on.
func (v *View) received(m Received) []Command {
	var out []Command
	var updates []link.Record
	for _, r := range m.Records {
		switch {
		case r.Address == v.self.Address:
			if v.refutes(r) {
				updates = append(updates, v.self)
				out = append(out, Refute{})
			}
		case v.merge(m.At, r):
			updates = append(updates, r)
		}
	}
	if len(updates) > 0 {
		out = append(out, Updates{Records: updates})
	}
	return out
}

// refutes reports whether other nodes consider this node gone, or have a record of an earlier
// node at its address; it then raises the version of this node's record.
func (v *View) refutes(r link.Record) bool {
	if !r.Supersedes(v.self) {
		return false
	}
	at := rangeOf(v.self.Address)
	v.sums[at] -= sumOf(v.self)
	v.self.Version = r.Version + 1
	v.sums[at] += sumOf(v.self)
	return true
}

// merge merges another node's record and reports whether it is worth passing on. The record
// of a gone node that is unknown here is not, nor is the restart of a node.
func (v *View) merge(at time.Time, r link.Record) bool {
	old := v.entries[r.Address]
	if old == nil && r.Gone || old != nil && !r.Supersedes(old.Record) {
		return false
	}
	if old != nil && !old.Gone && !r.Gone && old.Member == r.Member {
		v.updateVersion(old, r)
		return false
	}
	if old != nil && !old.Gone {
		v.leave(old)
	}
	e := &entry{Record: r, rank: Rank(r.Name), preference: v.preferenceOf(r.Member), sum: sumOf(r), goneSince: at}
	v.entries[r.Address] = e
	if !r.Gone {
		v.join(e)
	}
	return true
}

// updateVersion replaces the record of a node that was restarted.
func (v *View) updateVersion(e *entry, r link.Record) {
	at := rangeOf(e.Address)
	v.sums[at] -= e.sum
	e.Record, e.sum = r, sumOf(r)
	v.sums[at] += e.sum
}

// join adds a node that is not gone to the counts, the sums and the selection.
func (v *View) join(e *entry) {
	v.alive++
	v.services[e.Service]++
	v.sums[rangeOf(e.Address)] += e.sum
	if e.rank < v.rank {
		v.preceding++
	}
	v.insert(e)
}

// leave removes a node from the counts, the sums and the selection.
func (v *View) leave(e *entry) {
	v.alive--
	v.services[e.Service]--
	v.sums[rangeOf(e.Address)] -= e.sum
	if e.rank < v.rank {
		v.preceding--
	}
	v.remove(e)
}

// unreachable marks a node as gone that could not be dialed.
func (v *View) unreachable(m Unreachable) []Command {
	e := v.entries[m.Address]
	if e == nil || e.Gone {
		return nil
	}
	gone := e.Record
	gone.Gone = true
	v.merge(m.At, gone)
	return []Command{Updates{Records: []link.Record{gone}}}
}

// ticked makes the links match the selection. If a comparison with another node is due, it
// also removes the records of nodes that are long gone and starts the comparison.
func (v *View) ticked(at time.Time) []Command {
	out := v.reconcile()
	if v.comparisons.due(at) {
		v.forgetGone(at)
		out = append(out, Compare{Sums: slices.Clone(v.sums[:]), Far: v.comparisons.far()})
	}
	return out
}

// forgetGone removes the records of nodes that have been gone for goneRetention.
func (v *View) forgetGone(at time.Time) {
	for address, e := range v.entries {
		if e.Gone && at.Sub(e.goneSince) > goneRetention {
			delete(v.entries, address)
		}
	}
}

func (v *View) preferenceOf(m link.Member) uint64 {
	return xxhash.Sum64String(v.self.Name + " " + m.Name + " " + m.Address)
}
