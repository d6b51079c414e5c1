package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eiderfold/link"
)

// goneKept is how long it is remembered that a node is gone: by then all have heard so,
// and nobody brings its record back.
const goneKept = 10 * time.Minute

// entry is a node as it is known.
type entry struct {
	link.Record
	rank       uint64    // Its place in an order that all nodes agree on.
	preference uint64    // Its place in this node's own order.
	sum        uint64    // What it adds to the sum of its range.
	goneSince  time.Time // When it was learned that it is gone.
}

// View is what this node knows. It is not safe for concurrent use.
type View struct {
	self     link.Record
	rank     uint64
	entries  map[string]*entry // By address; those that are gone among them.
	services map[string]int    // Nodes of each service that are not gone, this one among them.
	before   int               // Nodes that come before this one in the order of all.
	alive    int               // Other nodes that are not gone.
	sums     [ranges]uint64
	exchange exchange
	choice
}

// New returns the view of a node that knows nobody else.
func New(self link.Record, c Choice) *View {
	v := &View{self: self, rank: Rank(self.Name), entries: map[string]*entry{}, services: map[string]int{self.Service: 1}}
	v.choice = newChoice(c, self.DataCentre)
	v.sums[rangeOf(self.Address)] = sumOf(self)
	return v
}

// Rank orders nodes by chance, but everywhere alike.
func Rank(name string) uint64 { return xxhash.Sum64String(name) }

// Update takes a message and returns what is to be done.
func (v *View) Update(m Message) []Command {
	switch m := m.(type) {
	case Heard:
		return v.heard(m)
	case Compared:
		return v.compared(m)
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

// Fleet returns how many nodes there are, this one among them.
func (v *View) Fleet() int { return v.alive + 1 }

// Gates returns how many nodes a service has.
func (v *View) Gates(service string) int { return v.services[service] }

// Before returns how many nodes come before this one in the order of all.
func (v *View) Before() int { return v.before }

// Place returns this node's place in the order of all, in [0, 1).
func (v *View) Place() float64 { return (float64(v.before) + 0.5) / float64(v.Fleet()) }

// Precedes tells whether a node comes before this one in the order of all.
func (v *View) Precedes(address string) bool {
	e := v.entries[address]
	return e != nil && !e.Gone && e.rank < v.rank
}

// Member returns a node by its address; false if it is not known or gone.
func (v *View) Member(address string) (link.Member, bool) {
	e := v.entries[address]
	if e == nil || e.Gone {
		return link.Member{}, false
	}
	return e.Member, true
}

// Each calls f for every other node that is not gone.
func (v *View) Each(f func(m link.Member)) {
	for _, e := range v.entries {
		if !e.Gone {
			f(e.Member)
		}
	}
}

// heard takes what somebody says, and returns what of it is news.
func (v *View) heard(m Heard) []Command {
	var out []Command
	var news []link.Record
	for _, r := range m.Records {
		switch {
		case r.Address == v.self.Address:
			if v.refutes(r) {
				news = append(news, v.self)
				out = append(out, Refute{})
			}
		case v.take(m.At, r):
			news = append(news, r)
		}
	}
	if len(news) > 0 {
		out = append(out, News{Records: news})
	}
	return out
}

// refutes takes a higher version if others take this node for gone, or for what was at its
// address before.
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

// take takes another node's record, and reports whether it is news: not that a node is gone
// which nobody has told of, nor that one was restarted.
func (v *View) take(at time.Time, r link.Record) bool {
	old := v.entries[r.Address]
	if old == nil && r.Gone || old != nil && !r.Supersedes(old.Record) {
		return false
	}
	if old != nil && !old.Gone && !r.Gone && old.Member == r.Member {
		v.renew(old, r)
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

// renew takes note of a node's next start.
func (v *View) renew(e *entry, r link.Record) {
	at := rangeOf(e.Address)
	v.sums[at] -= e.sum
	e.Record, e.sum = r, sumOf(r)
	v.sums[at] += e.sum
}

// join counts a node that is there.
func (v *View) join(e *entry) {
	v.alive++
	v.services[e.Service]++
	v.sums[rangeOf(e.Address)] += e.sum
	if e.rank < v.rank {
		v.before++
	}
	v.insert(e)
}

// leave takes a node out of all counts.
func (v *View) leave(e *entry) {
	v.alive--
	v.services[e.Service]--
	v.sums[rangeOf(e.Address)] -= e.sum
	if e.rank < v.rank {
		v.before--
	}
	v.remove(e)
}

// unreachable takes a node that was dialed in vain for gone.
func (v *View) unreachable(m Unreachable) []Command {
	e := v.entries[m.Address]
	if e == nil || e.Gone {
		return nil
	}
	gone := e.Record
	gone.Gone = true
	v.take(m.At, gone)
	return []Command{News{Records: []link.Record{gone}}}
}

// ticked brings the links up to date with the choice, and compares what is known with
// another node when it is time to.
func (v *View) ticked(at time.Time) []Command {
	out := v.settle()
	if v.exchange.due(at) {
		v.forgetGone(at)
		out = append(out, Compare{Sums: slices.Clone(v.sums[:]), Far: v.exchange.far()})
	}
	return out
}

// forgetGone drops what is known of nodes that have been gone for long.
func (v *View) forgetGone(at time.Time) {
	for address, e := range v.entries {
		if e.Gone && at.Sub(e.goneSince) > goneKept {
			delete(v.entries, address)
		}
	}
}

func (v *View) preferenceOf(m link.Member) uint64 {
	return xxhash.Sum64String(v.self.Name + " " + m.Name + " " + m.Address)
}
