package core

import (
	"fmt"
	"time"
)

// fault is a fault injected into the model, to show that the check detects it.
type fault int

const (
	noFault           fault = iota
	noPromise               // Nodes accept grants of earlier coordinators.
	noWitness               // The coordinator starts its own operations without a witness.
	noWaiting               // A new coordinator grants before all nodes have reported.
	noSecondCopy            // A new coordinator does not replicate what it holds.
	handToCoordinator       // A stopping node hands its operations to the coordinator.
	restartUncertain        // An operation table allows a new attempt at an uncertain operation.
)

const (
	modelNodes = 3
	modelKeys  = 2
	modelSteps = 60
)

// model is a group of nodes with random faults: messages are lost, duplicated,
// reordered and delayed without limit, the coordinator changes at any time without the
// previous one being notified, and nodes crash.
type model struct {
	fault     fault
	now       time.Time
	nodes     [modelNodes]*modelNode
	assigned  int // The coordinator according to the store.
	epoch     uint64
	messages  []modelMessage
	started   [modelKeys]int // Starts per key, without those that provably did not run.
	starts    int
	violation string
	steps     int
	unplanned bool         // A change of coordinator was not a planned handover.
	trace     func(string) // Logs each step, for debugging; may be nil.
}

// note logs a step.
func (m *model) note(format string, arguments ...any) {
	if m.trace != nil {
		m.trace(fmt.Sprintf(format, arguments...))
	}
}

// modelNode is one node and its view of the group.
type modelNode struct {
	incarnation uint64
	operations  *OperationTable
	claims      *ClaimTable
	coordinator int    // The node that it considers the coordinator.
	epoch       uint64 // The epoch of that coordinator.
	leading     bool
	crashed     bool // Another node has lost its state since this one started.
	startStep   int  // Step in which it started.
}

// modelMessage is a message in transit; do handles its arrival.
type modelMessage struct {
	name string
	do   func()
}

// modelWindow never ends in the model, whose time stands still.
const modelWindow = time.Hour

func newModel(p fault) *model {
	m := &model{fault: p, now: time.Unix(1_000_000, 0), epoch: 1}
	for i := range m.nodes {
		m.nodes[i] = &modelNode{incarnation: 1, operations: NewOperationTable(modelWindow, 1<<20), claims: NewClaimTable(modelWindow), epoch: 1}
	}
	m.nodes[0].leading = true
	m.nodes[0].claims.Update(TakeOver{At: m.now, Epoch: 1})
	return m
}

func modelKey(k int) Key { return Key{byte(k)} }

// step performs one random action; draw returns a random number below n.
func (m *model) step(draw func(n int) int) {
	m.steps++
	switch x := draw(30); {
	case x < 5:
		m.request(draw(modelNodes), draw(modelKeys))
	case x < 24:
		m.deliver(draw, false)
	case x < 26:
		m.deliver(draw, true)
	case x < 27:
		at := draw(modelNodes)
		if draw(2) == 0 && m.nodes[m.assigned].leading && m.assigned != at {
			m.takeOver(at, true)
			return
		}
		m.takeOver(at, false)
	case x < 28:
		if at := draw(modelNodes); draw(2) == 0 {
			m.crash(at)
		} else {
			m.stop(at)
		}
	case len(m.messages) > 0:
		m.drop(draw(len(m.messages)))
	}
}

func (m *model) drop(i int) {
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
}

// deliver delivers one pending message, and duplicates it if keep is set.
func (m *model) deliver(draw func(int) int, keep bool) {
	if len(m.messages) == 0 {
		return
	}
	i := len(m.messages) - 1 // The newest message half of the time, so that operations make progress.
	if draw(2) == 0 {
		i = draw(len(m.messages))
	}
	message := m.messages[i]
	if !keep {
		m.drop(i)
	}
	m.note("deliver %s", message.name)
	message.do()
}

func (m *model) send(name string, do func()) {
	m.messages = append(m.messages, modelMessage{name, do})
}

// request starts a caller's request with key k at a node.
func (m *model) request(at, k int) {
	m.note("request for key %d at node %d", k, at)
	n := m.nodes[at]
	r := n.operations.Update(Begin{At: m.now, Key: modelKey(k), Body: 1})
	if m.fault == restartUncertain && !r.Accepted && r.Stage == Uncertain {
		delete(n.operations.entries, modelKey(k))
		r = n.operations.Update(Begin{At: m.now, Key: modelKey(k), Body: 1})
	}
	if !r.Accepted {
		return
	}
	var replaces Holder
	if r.Previous != 0 {
		replaces = m.holder(at, r.Previous)
	}
	m.claim(at, k, r.Attempt, replaces)
}

func (m *model) holder(at int, attempt uint64) Holder {
	return Holder{Node: fmt.Sprint(at), Incarnation: m.nodes[at].incarnation, Attempt: attempt}
}

// claim claims an operation from the node that at considers the coordinator.
func (m *model) claim(at, k int, attempt uint64, replaces Holder) {
	leader := m.nodes[at].coordinator
	holder := m.holder(at, attempt)
	// The claiming node may abandon the attempt at any time.
	m.send("abandon", func() {
		m.ifRunning(holder, func(n *modelNode) { n.operations.Update(Abandon{Key: modelKey(k), Attempt: attempt}) })
	})
	m.send("claim", func() {
		l := m.nodes[leader]
		if !l.leading {
			return
		}
		answer := l.claims.Update(Claim{At: m.now, Key: modelKey(k), Body: 1, Holder: holder, Replaces: replaces})
		m.send("answer", func() { m.answered(at, leader, k, holder, answer) })
	})
}

// ifRunning calls do if the holder's process is still running.
func (m *model) ifRunning(h Holder, do func(*modelNode)) {
	for i, n := range m.nodes {
		if fmt.Sprint(i) == h.Node && n.incarnation == h.Incarnation {
			do(n)
		}
	}
}

// answered handles the coordinator's answer to a claim.
func (m *model) answered(at, leader, k int, h Holder, answer Answer) {
	m.ifRunning(h, func(n *modelNode) {
		switch answer.Verdict {
		case Granted:
			if at == leader && m.fault != noWitness {
				m.witness(at, k, h, answer.Epoch)
				return
			}
			m.permit(n, k, h, answer.Epoch)
		case HeldBy:
			n.operations.Update(Abandon{Key: modelKey(k), Attempt: h.Attempt})
			m.inquire(at, k, answer.Holder, answer.Where)
		default:
			n.operations.Update(Abandon{Key: modelKey(k), Attempt: h.Attempt})
		}
	})
}

// witness has other nodes store the coordinator's grant to itself before it starts.
func (m *model) witness(at, k int, h Holder, epoch uint64) {
	for other := range m.nodes {
		if other == at {
			continue
		}
		m.send("witness", func() {
			o := m.nodes[other]
			if epoch < o.operations.Promised() {
				return
			}
			o.operations.Update(Promise{Epoch: epoch})
			o.operations.Update(Witness{At: m.now, Held: Held{Key: modelKey(k), Body: 1, Holder: h}})
			m.send("witnessed", func() { m.ifRunning(h, func(n *modelNode) { m.permit(n, k, h, epoch) }) })
		})
	}
}

// permit starts a granted operation and checks that it starts only once.
func (m *model) permit(n *modelNode, k int, h Holder, epoch uint64) {
	r := n.operations.Update(Permit{Key: modelKey(k), Attempt: h.Attempt, Epoch: epoch})
	if !r.Accepted {
		return
	}
	m.note("node %s attempt %d starts key %d by epoch %d", h.Node, h.Attempt, k, epoch)
	m.started[k]++
	m.starts++
	if m.started[k] > 1 {
		m.violation = fmt.Sprintf("key %d started %d times", k, m.started[k])
	}
	m.send("end", func() {
		m.ifRunning(h, func(n *modelNode) {
			n.operations.Update(Finish{At: m.now, Key: modelKey(k), Attempt: h.Attempt, Stage: Uncertain})
		})
	})
	if k > 0 {
		return
	}
	m.send("refused by the upstream", func() {
		m.ifRunning(h, func(n *modelNode) {
			f := Finish{At: m.now, Key: modelKey(k), Attempt: h.Attempt, Stage: NotStarted}
			if n.operations.Update(f).Accepted {
				m.started[k]--
			}
		})
	})
}

// inquire queries the operation at its holder, and claims it if it has not started.
func (m *model) inquire(at, k int, of Holder, where string) {
	m.send("inquire", func() {
		stage := Absent
		for i, n := range m.nodes {
			if fmt.Sprint(i) == where {
				own := of.Node == where && of.Incarnation == n.incarnation
				stage = n.operations.Update(Query{Key: modelKey(k), Holder: of, Own: own}).Stage
			}
		}
		if stage != NotStarted {
			return
		}
		m.send("free", func() {
			r := m.nodes[at].operations.Update(Begin{At: m.now, Key: modelKey(k), Body: 1})
			if r.Accepted {
				m.claim(at, k, r.Attempt, of)
			}
		})
	})
}
