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

// request handles a request of the account.
func (n *modelNode) request() {
	if !n.alive {
		return
	}
	arrivedAt := n.now
	tally := &n.reachedTally
	if n.isolated {
		tally = &n.isolatedTally
	}
	tally.asked++
	n.decideRequest(0, func(granted, _ bool, _ time.Duration) {
		if granted {
			n.admitted = append(n.admitted, admission{arrivedAt: arrivedAt, admittedAt: n.now})
			return
		}
		tally.refused++
	})
}

// decideRequest obtains the decision on a request, as package mesh does.
func (n *modelNode) decideRequest(hops int, decide func(granted, unknown bool, after time.Duration)) {
	r := &modelRequest{arrivedAt: n.now, hops: hops, decide: decide}
	n.locate(r, n.life, func() {
		n.number++
		number := n.number
		n.waiting[number] = r
		n.do(n.limiter.Update(TokenWanted{At: n.time(), Number: number, Account: modelAccount, Limit: n.limit, Home: r.location.Via}))
		n.awaitAnswer(number, n.life)
	})
}

// locate waits until it is determined how the home is reached, and calls next.
func (n *modelNode) locate(r *modelRequest, life int, next func()) {
	if n.life != life || !n.alive {
		return
	}
	r.location = n.homes.Of(modelAccount, n.time())
	if !r.location.Pending {
		next()
		return
	}
	if n.now >= r.arrivedAt+modelTotalTimeout {
		r.location = Location{}
		next()
		return
	}
	n.after(modelPoll, func() { n.locate(r, life, next) })
}

// awaitAnswer asks again elsewhere if a home does not answer in time.
func (n *modelNode) awaitAnswer(number uint64, life int) {
	if n.waiting[number] == nil {
		return
	}
	n.after(modelAskTimeout, func() {
		r := n.waiting[number]
		if n.life != life || !n.alive || r == nil {
			return
		}
		n.homes.Unanswered(r.location, n.time())
		if n.now >= r.arrivedAt+modelTotalTimeout {
			r.location = Location{}
			n.askAgain(number, r, life)
			return
		}
		n.locate(r, life, func() { n.askAgain(number, r, life) })
	})
}

func (n *modelNode) askAgain(number uint64, r *modelRequest, life int) {
	if n.waiting[number] == nil {
		return
	}
	delete(n.waiting, number)
	n.number++
	next := n.number
	n.waiting[next] = r
	n.do(n.limiter.Update(Unanswered{At: n.time(), Number: number, Next: next, Home: r.location.Via}))
	n.awaitAnswer(next, life)
}

// do executes commands.
func (n *modelNode) do(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Admit:
			n.decide(c.Number, true, false, 0)
		case Refuse:
			n.decide(c.Number, c.Unconfirmed && n.fault == faultUnlimitedLocal, c.Unconfirmed, c.RetryAfter)
		case RequestToken:
			n.requestToken(c)
		case Report:
			n.report(c)
		case Claim:
			n.claim(c.Account)
		case Answer:
			n.noteGrant(c)
			n.sendAnswer(c)
		}
	}
	if n.limiter.Dirty() && !n.flushed {
		n.flushed = true
		life := n.life
		n.after(modelFlushDelay, func() {
			if n.life == life && n.alive {
				n.flushed = false
				n.do(n.limiter.Update(FlushDue{At: n.time()}))
			}
		})
	}
}

// noteGrant counts the tokens that a home grants.
func (n *modelNode) noteGrant(c Answer) {
	if !c.Granted {
		return
	}
	second := int(n.now / time.Second)
	if n.granted[second] == nil {
		n.granted[second] = map[int]int{}
	}
	n.granted[second][n.id]++
}

func (n *modelNode) decide(number uint64, granted, unknown bool, after time.Duration) {
	if r := n.waiting[number]; r != nil {
		delete(n.waiting, number)
		r.decide(granted, unknown, after)
	}
}

// sendTo is like send, but also delivers to the node itself.
func (n *modelNode) sendTo(to string, do func(*modelNode)) {
	if to == n.Self() {
		do(n)
		return
	}
	n.send(idOf(to), do)
}

func (n *modelNode) requestToken(c RequestToken) {
	hops := 0
	if r := n.waiting[c.Number]; r != nil {
		hops = r.hops
	}
	n.sendTo(c.To, func(to *modelNode) { to.tokenRequested(n.Self(), c, hops) })
}

// tokenRequested answers a RequestToken, or forwards it to the home.
func (n *modelNode) tokenRequested(from string, c RequestToken, hops int) {
	location := n.homes.Of(modelAccount, n.time())
	switch {
	case location.Home == n.Self():
		n.do(n.home.Update(TokenRequested{At: n.time(), From: from, Number: c.Number, Account: c.Account, Limit: n.limit, Spent: c.Spent, Acting: location.Acting}))
	case hops >= 2:
		n.sendTo(from, func(to *modelNode) {
			to.do(to.limiter.Update(Answered{At: to.time(), Number: c.Number, Unknown: true}))
		})
	default:
		n.do(n.limiter.Update(Misdirected{At: n.time(), Account: c.Account, Limit: n.limit, Count: c.Spent}))
		n.decideRequest(hops+1, func(granted, unknown bool, after time.Duration) {
			n.sendTo(from, func(to *modelNode) {
				to.do(to.limiter.Update(Answered{At: to.time(), Number: c.Number, Granted: granted, Unknown: unknown, RetryAfter: after}))
			})
		})
	}
}

func (n *modelNode) sendAnswer(c Answer) {
	n.sendTo(c.To, func(to *modelNode) {
		to.do(to.limiter.Update(Answered{At: to.time(), Number: c.Number, Granted: c.Granted, RetryAfter: c.RetryAfter}))
	})
}

// claim notifies the successors that this node is the home.
func (n *modelNode) claim(account string) {
	if n.fault == faultNoClaim {
		return
	}
	for _, successor := range n.homes.Successors(account, n.time()) {
		n.send(idOf(successor), n.claimed)
	}
}

// claimed delivers this node's claim to another node.
func (n *modelNode) claimed(to *modelNode) {
	if n.id == to.newcomer && !to.metNewcomer {
		to.metNewcomer = true
		to.change()
	}
	to.homes.Claimed(n.Self(), to.time())
}

func (n *modelNode) report(c Report) {
	n.sendTo(c.To, func(to *modelNode) {
		if location := to.homes.Of(modelAccount, to.time()); location.Home == to.Self() {
			to.do(to.home.Update(Reported{At: to.time(), Account: c.Account, Limit: to.limit, Count: c.Count, Acting: location.Acting}))
			return
		}
		to.do(to.limiter.Update(Misdirected{At: to.time(), Account: c.Account, Limit: to.limit, Count: c.Count}))
	})
}
