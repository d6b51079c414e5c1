package membership

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/link"
)

const (
	modelTick       = 250 * time.Millisecond
	modelNewsMargin = 4 // Updates go to ln(n) nodes and this many more.
)

// modelNode is one node of the fleet.
type modelNode struct {
	*linkRecorder
	record link.Record
	up     bool
	calls  int // Calls to the store since the last start.
	bytes  int // Records sent to other data centres.
}

// model is a fleet and the pages of its store. It performs starts, comparisons and the
// passing on of news like package mesh, in steps of modelTick.
type model struct {
	random *rand.Rand
	now    time.Time
	page   int
	nodes  map[string]*modelNode
	order  []string               // Addresses in the store's order.
	stored map[string]link.Record // Contents of the store.
}

func newModel(size, page int) *model {
	m := &model{random: rand.New(rand.NewPCG(1, 2)), now: startTime, page: page, nodes: map[string]*modelNode{}, stored: map[string]link.Record{}}
	for _, r := range fleetOf(size) {
		m.nodes[r.Address] = &modelNode{record: r}
		m.order = append(m.order, r.Address)
	}
	slices.SortFunc(m.order, func(a, b string) int { return cmp.Compare(positionOf(a), positionOf(b)) })
	return m
}

// positionOf returns the position of an address in the store's order of records.
func positionOf(address string) string { return fmt.Sprintf("%016x", Rank("place "+address)) }

// read returns the page of records from a position on, and whether there are more.
func (m *model) read(after string) (page []link.Record, more bool) {
	for _, address := range m.order {
		r, there := m.stored[address]
		if !there || positionOf(address) < after {
			continue
		}
		if len(page) == m.page {
			return page, true
		}
		page = append(page, r)
	}
	return page, false
}

// start starts a node: it reads a page from its own position on, writes its record if that is
// missing, and reads another page if it has found too few other nodes.
func (m *model) start(address string) {
	n := m.nodes[address]
	n.record.Version = uint64(m.now.UnixMilli())
	n.linkRecorder, n.up, n.calls = newLinkRecorder(n.record), true, 1
	page, more := m.read(positionOf(address))
	n.update(Received{At: m.now, Records: page})
	if _, there := m.stored[address]; !there {
		m.stored[address] = n.record
		n.calls++
	}
	if n.view.Fleet() <= 8 && !more {
		page, _ = m.read("")
		n.update(Received{At: m.now, Records: page})
		n.calls++
	}
	n.update(Ticked{At: m.now})
}

// linked returns the running nodes to which a node has a link.
func (m *model) linked(n *modelNode, near bool) []*modelNode {
	var out []*modelNode
	for _, address := range slices.Sorted(func(yield func(string) bool) {
		for a := range n.open {
			if !yield(a) {
				return
			}
		}
	}) {
		o := m.nodes[address]
		if o.up && (o.record.DataCentre == n.record.DataCentre) == near {
			out = append(out, o)
		}
	}
	return out
}

// step lets every node do what is due.
func (m *model) step() {
	m.now = m.now.Add(modelTick)
	for _, address := range m.order {
		n := m.nodes[address]
		if !n.up {
			continue
		}
		for _, near := range []bool{true, false} {
			for _, o := range m.linked(n, near) { // Both ends of a link exchange their records; known ones change nothing.
				o.update(Received{At: m.now, Records: []link.Record{n.record}})
				n.update(Received{At: m.now, Records: []link.Record{o.record}})
			}
		}
		n.update(Ticked{At: m.now})
		commands := n.others
		n.others = nil
		for _, c := range commands {
			m.execute(n, c)
		}
	}
}

func (m *model) execute(n *modelNode, c Command) {
	switch c := c.(type) {
	case Updates:
		some := m.linked(n, true)
		m.random.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
		recipients := int(math.Ceil(math.Log(float64(n.view.Fleet()+1)))) + modelNewsMargin
		for _, o := range some[:min(len(some), recipients)] {
			m.send(n, o, c.Records)
		}
	case Compare:
		some := m.linked(n, !c.Far)
		if len(some) == 0 {
			some = m.linked(n, c.Far)
		}
		if len(some) > 0 {
			m.compare(n, some[m.random.IntN(len(some))], c.Sums)
		}
	case Refute:
		n.record = n.view.Self()
	}
}

// compare performs a comparison and the replies that follow from it.
func (m *model) compare(n, o *modelNode, sums []uint64) {
	for _, c := range o.view.Update(Compared{At: m.now, Sums: sums}) {
		switch c := c.(type) {
		case Reply:
			m.send(o, n, c.Records)
		case Answer:
			for _, back := range n.view.Update(Compared{At: m.now, Sums: c.Sums, Answer: true}) {
				m.send(n, o, back.(Reply).Records)
			}
		}
	}
}

func (m *model) send(from, to *modelNode, records []link.Record) {
	if from.record.DataCentre != to.record.DataCentre {
		from.bytes += len(records)
	}
	to.update(Received{At: m.now, Records: slices.Clone(records)})
}

// missing returns how many records of other running nodes are missing at running nodes, in
// total, and how many running nodes are dialed by fewer than 12 nodes.
func (m *model) missing() (unknown, underlinked int) {
	up := 0
	dialed := map[string]int{}
	for _, n := range m.nodes {
		if n.up {
			up++
			for a := range n.open {
				dialed[a]++
			}
		}
	}
	for _, n := range m.nodes {
		if !n.up {
			continue
		}
		for a, o := range m.nodes {
			if o.up && o != n {
				if _, ok := n.view.Member(a); !ok {
					unknown++
				}
			}
		}
		if dialed[n.record.Address] < 12 {
			underlinked++
		}
	}
	return unknown, underlinked
}

// advance runs the model for some time.
func (m *model) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// All nodes of a fleet start at once, and one page of the store holds all, half or an eighth of
// them. Within seconds every node must know every other one, with at most three calls to the
// store per node; likewise after half of the nodes restart and after a data centre was away.
func TestModelConverges(t *testing.T) {
	for _, size := range []struct{ nodes, page int }{{20, 500}, {120, 60}, {400, 50}} {
		m := newModel(size.nodes, size.page)
		most, sum := 0, 0
		for _, address := range m.shuffled() {
			m.start(address)
			most = max(most, m.nodes[address].calls)
			sum += m.nodes[address].calls
		}
		assert.LessOrEqual(t, most, 3)
		m.advance(8 * time.Second)
		unknown, underlinked := m.missing()
		assert.Zero(t, unknown, "%d nodes", size.nodes)
		assert.Zero(t, underlinked, "%d nodes: dialed by fewer than a dozen", size.nodes)
		t.Logf("%d nodes, %d a page: %.2f calls a node, most %d", size.nodes, size.page, float64(sum)/float64(size.nodes), most)

		for i, address := range m.order {
			if i%2 == 0 {
				m.start(address)
				assert.LessOrEqual(t, m.nodes[address].calls, 2)
			}
		}
		m.advance(8 * time.Second)
		unknown, _ = m.missing()
		assert.Zero(t, unknown, "%d nodes, half restarted", size.nodes)

		for _, n := range m.nodes {
			n.up = n.record.DataCentre != "d1"
		}
		m.advance(2 * time.Second)
		for _, n := range m.nodes {
			n.up = true
		}
		m.advance(2 * time.Second)
		unknown, _ = m.missing()
		assert.Zero(t, unknown, "%d nodes, a data centre was away", size.nodes)
	}
}

func (m *model) shuffled() []string {
	out := slices.Clone(m.order)
	m.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// The store is restored from a copy that lacks the latest starts. Nodes that start afterwards
// must find the other nodes through the ones that they connect to, and be found.
func TestModelRestoredStore(t *testing.T) {
	m := newModel(100, 500)
	addresses := m.shuffled()
	for _, address := range addresses[:80] {
		m.start(address)
	}
	m.advance(4 * time.Second)
	copied := map[string]link.Record{}
	for a, r := range m.stored {
		copied[a] = r
	}
	for _, address := range addresses[80:90] {
		m.start(address)
	}
	m.stored = copied
	for _, address := range addresses[90:] {
		m.start(address)
	}
	m.advance(8 * time.Second)
	unknown, underlinked := m.missing()
	assert.Zero(t, unknown)
	assert.Zero(t, underlinked)
}

// After an address is reused, some nodes receive the late record of its previous node, as from
// a restored store: all nodes must keep the newer one.
func TestModelAddressReuse(t *testing.T) {
	m := newModel(60, 500)
	for _, address := range m.order {
		m.start(address)
	}
	m.advance(4 * time.Second)
	n := m.nodes[m.order[7]]
	old := n.record
	n.record.Name, n.record.Service = "other", "s1"
	m.now = m.now.Add(time.Second)
	m.start(m.order[7])
	for _, address := range m.order[:5] {
		m.nodes[address].update(Received{At: m.now, Records: []link.Record{old}})
	}
	m.advance(8 * time.Second)
	for _, o := range m.nodes {
		if o != n {
			known, ok := o.view.Member(n.record.Address)
			assert.True(t, ok)
			assert.Equal(t, "other", known.Name)
		}
	}
}
