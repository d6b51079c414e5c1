package quota

import (
	"container/heap"
	"fmt"
	"strconv"
	"time"
)

// tally counts requests, and the refused ones among them.
type tally struct{ asked, refused int }

func (t *tally) add(o tally) {
	t.asked += o.asked
	t.refused += o.refused
}

func (t *tally) share() float64 { return float64(t.refused) / float64(max(t.asked, 1)) }

// modelNode is the process of one node.
type modelNode struct {
	*model
	id          int
	life        int
	alive       bool
	isolated    bool // All its links are cut.
	metNewcomer bool // It has a record of the newcomer.
	home        *Home
	limiter     *Limiter
	homes       *Homes
	number      uint64
	waiting     map[uint64]*modelRequest
	flushed     bool
	changed     uint64
	down        map[int]bool          // Nodes to which the link is down.
	repliedAt   map[int]time.Duration // When each node last answered a ping.
}

// modelRequest is a request that waits for a decision.
type modelRequest struct {
	arrivedAt time.Duration
	location  Location
	hops      int
	decide    func(granted, unknown bool, after time.Duration)
}

func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, event{at: m.now + d, order: m.order, do: do})
}

func (m *model) time() time.Time { return scriptStart.Add(m.now) }

func address(id int) string { return fmt.Sprintf("n%02d", id) }

func idOf(address string) int {
	id, err := strconv.Atoi(address[1:])
	if err != nil {
		return -1
	}
	return id
}

// Self implements Fleet.
func (n *modelNode) Self() string { return address(n.id) }

// Changed implements Fleet.
func (n *modelNode) Changed() uint64 { return n.changed }

// First implements Fleet: nodes rank in the order of model.ranks.
func (n *modelNode) First(_ string, excluded map[string]bool) string {
	for _, id := range n.ranks {
		if n.isKnown(id) && !excluded[address(id)] {
			return address(id)
		}
	}
	return n.Self()
}

// isKnown reports whether the node has a record of another one: all know the initial nodes.
func (n *modelNode) isKnown(id int) bool { return id != n.newcomer || id == n.id || n.metNewcomer }

// Complete implements Fleet.
func (n *modelNode) Complete() bool { return true }

// Known implements Fleet.
func (n *modelNode) Known(string) bool { return true }

// Linked implements Fleet.
func (n *modelNode) Linked(node string) (bool, time.Time) {
	id := idOf(node)
	return !n.down[id], scriptStart.Add(n.repliedAt[id])
}

// Dial implements Fleet: all nodes are linked to all others anyway.
func (n *modelNode) Dial(string) bool { return false }

// Ping implements Fleet.
func (n *modelNode) Ping(node string) { n.ping(idOf(node), func() {}) }

// Probe implements Fleet.
func (n *modelNode) Probe(node string) {
	life := n.life
	n.after(modelProbeTime, func() {
		if n.life == life {
			n.homes.ProbeEnded(node, n.time())
		}
	})
	to := idOf(node)
	asked := 0
	for _, through := range n.randomNodes(len(n.nodes)) {
		if through == to || through == n.id || n.down[through] || asked == 5 {
			continue
		}
		asked++
		n.send(through, func(z *modelNode) { z.probeFor(n, to) })
	}
}

// ping sends a ping to a node and calls answered on its reply.
func (n *modelNode) ping(to int, answered func()) {
	n.send(to, func(target *modelNode) {
		target.send(n.id, func(n *modelNode) {
			n.repliedAt[to] = n.now
			answered()
		})
	})
}

// probeFor pings a node on behalf of another one.
func (n *modelNode) probeFor(asker *modelNode, to int) {
	reached := false
	n.ping(to, func() { reached = n.fault != faultNoProbe })
	n.after(modelPingTimeout, func() {
		n.send(asker.id, func(asker *modelNode) { asker.homes.Reached(address(to), n.Self(), reached) })
	})
}

// countReached periodically estimates which fraction of the fleet is reached.
func (n *modelNode) countReached(life int) {
	if n.life != life {
		return
	}
	n.after(modelCountInterval, func() { n.countReached(life) })
	n.resign()
	if n.home.Idle() {
		return
	}
	count := modelCountSample
	if n.home.Low(n.time()) {
		count = len(n.nodes)
	}
	asked, replied := 1, 1
	for _, to := range n.randomNodes(len(n.nodes)) {
		if to == n.id || asked > count {
			continue
		}
		asked++
		n.ping(to, func() { replied++ })
	}
	n.after(modelCountTime, func() {
		if n.life == life && n.fault != faultFullRate {
			n.home.SetShare(float64(replied) / float64(asked))
		}
	})
}

// resign hands over to homes that have returned.
func (n *modelNode) resign() {
	for _, account := range n.home.ActingFor() {
		if way, ok := n.homes.HandoverVia(account, n.time()); ok {
			n.do(n.home.Update(HomeReturned{At: n.time(), Account: account, To: way}))
		}
	}
}

// send delivers a message, unless the link is cut or a process has ended. A link that
// carries nothing in one direction is dropped after modelDeadLinkTime.
func (n *modelNode) send(to int, do func(*modelNode)) {
	target := n.nodes[to]
	if n.down[to] || !target.alive {
		n.dropLink(to)
		return
	}
	life := target.life
	delay := time.Duration(1+n.random.IntN(4)) * time.Millisecond
	if n.random.IntN(40) == 0 {
		delay += time.Duration(n.random.IntN(60)) * time.Millisecond
	}
	if n.cut[[2]int{n.id, to}] {
		own := n.life
		n.after(modelDeadLinkTime, func() {
			if n.life == own && n.cut[[2]int{n.id, to}] {
				n.dropLink(to)
			}
		})
		return
	}
	n.after(delay, func() {
		if target.alive && target.life == life && !n.cut[[2]int{n.id, to}] {
			do(target)
		}
	})
}

// dropLink drops the link to a node; it is redialed until that is possible again.
func (n *modelNode) dropLink(to int) {
	if n.down[to] {
		return
	}
	n.down[to] = true
	n.change()
	n.do(n.limiter.Update(HomeLost{At: n.time(), Home: address(to)}))
	n.redial(to, n.life)
}

func (n *modelNode) redial(to, life int) {
	n.after(100*time.Millisecond, func() {
		if n.life != life {
			return
		}
		if n.nodes[to].alive && !n.cut[[2]int{n.id, to}] && !n.cut[[2]int{to, n.id}] {
			delete(n.down, to)
			n.change()
			n.homes.ClearSuspicion(address(to))
			return
		}
		n.redial(to, life)
	})
}

// start starts a new process.
func (n *modelNode) start() {
	n.life++
	n.alive = true
	n.home = NewHome(n.bounds)
	if n.now > 0 {
		n.home.MarkUncertain(n.time()) // The initial fleet counts as unchanged for long.
	}
	n.limiter = NewLimiter(n.bounds, n.random.Float64)
	n.limiter.SetNodes(len(n.nodes))
	n.homes = NewHomes(n)
	n.waiting = map[uint64]*modelRequest{}
	n.flushed = false
	n.metNewcomer = n.metNewcomer || n.newcomer >= 0 && n.newcomer != n.id && n.nodes[n.newcomer].alive // It reads the list of nodes on start.
	n.down = map[int]bool{}
	n.repliedAt = map[int]time.Duration{}
	n.countReached(n.life)
}

// change records that another node joined or left.
func (n *modelNode) change() {
	n.changed++
	n.home.MarkUncertain(n.time())
}
