package core

import (
	"fmt"
	"time"
)

// takeOver makes a node coordinator, as a compare-and-swap in the store does. The
// previous one is not notified.
func (m *model) takeOver(at int, planned bool) {
	if m.assigned == at && m.nodes[at].leading {
		return
	}
	m.note("node %d takes over, planned %v", at, planned)
	before := m.assigned
	m.epoch++
	m.assigned = at
	n := m.nodes[at]
	n.leading, n.coordinator, n.epoch = true, at, m.epoch
	n.operations.Update(Promise{Epoch: m.epoch})
	var from []string
	for i := range m.nodes {
		if i != at && i != before {
			from = append(from, fmt.Sprint(i))
		}
	}
	if before != at {
		from = append(from, fmt.Sprint(before)) // The platform still lists it.
	}
	if m.fault == noWaiting {
		from = nil
	}
	own := n.operations.Held(m.holder(at, 0))
	if len(own) > 0 && m.fault != noSecondCopy {
		// What this node holds would now be on one node only.
		from = append(from, "second copy")
	}
	lost := time.Time{}
	if n.crashed || m.unplanned {
		lost = m.now.Add(modelWindow)
	}
	// The store records that a change of coordinator was unplanned.
	m.unplanned = m.unplanned || !planned
	n.claims.Update(TakeOver{At: m.now, Epoch: m.epoch, From: from, LostUntil: lost})
	n.claims.Update(Collected{At: m.now, Node: fmt.Sprint(at), Held: own})
	m.replicate(at, own)
	for other := range m.nodes {
		if other != at {
			m.collect(at, other, before)
		}
	}
}

// replicate copies what a new coordinator holds to another node.
func (m *model) replicate(at int, own []Held) {
	epoch, run := m.epoch, m.nodes[at].incarnation
	for other := range m.nodes {
		if other == at {
			continue
		}
		m.send("replicate", func() {
			o := m.nodes[other]
			if epoch < o.operations.Promised() {
				return
			}
			o.operations.Update(Promise{Epoch: epoch})
			for _, h := range own {
				o.operations.Update(Witness{At: m.now, Held: h})
			}
			m.send("replicated", func() {
				n := m.nodes[at]
				if n.leading && n.claims.epoch == epoch && n.incarnation == run {
					n.claims.Update(Collected{At: m.now, Node: "second copy"})
				}
			})
		})
	}
}

// collect requests a node's promise and what it holds.
func (m *model) collect(at, other, before int) {
	epoch, run, takeOverStep := m.epoch, m.nodes[at].incarnation, m.steps
	previous := m.nodes[before].incarnation
	m.send("collect", func() {
		o := m.nodes[other]
		if epoch < o.operations.Promised() {
			return
		}
		if m.fault != noPromise {
			o.operations.Update(Promise{Epoch: epoch})
		}
		if epoch > o.epoch {
			o.coordinator, o.epoch = at, epoch
		}
		held, lost, complete := o.operations.Held(m.holder(other, 0)), time.Time{}, false
		// Include grants from an earlier term as coordinator: the next coordinator may
		// have crashed before it collected them.
		held = append(held, o.claims.Held()...)
		if o.leading && o.claims.epoch < epoch {
			complete = other == before && o.incarnation == previous && o.claims.epoch == epoch-1 && o.claims.Complete(m.now)
			o.leading = false
			o.claims.Update(StopDeciding{})
		}
		if o.crashed || o.startStep >= takeOverStep {
			lost = m.now.Add(modelWindow)
		}
		adopted, by := o.operations.Adopted(), m.holder(other, 0)
		m.send("collected", func() {
			n := m.nodes[at]
			if n.leading && n.claims.epoch == epoch && n.incarnation == run {
				for _, from := range adopted {
					n.claims.Update(Moved{From: from, To: by})
				}
				n.claims.Update(Collected{At: m.now, Node: fmt.Sprint(other), Held: held, LostUntil: lost, Complete: complete})
			}
		})
	})
}

// crash restarts a node without its state. The coordinator notifies the other nodes of
// the crash, so that they report it if another follows within the window; the model
// does that at once.
func (m *model) crash(at int) {
	m.note("node %d crashes", at)
	was := m.nodes[at]
	m.nodes[at] = &modelNode{
		incarnation: was.incarnation + 1,
		operations:  NewOperationTable(modelWindow, 1<<20),
		claims:      NewClaimTable(modelWindow),
		startStep:   m.steps,
		coordinator: m.assigned,
		epoch:       m.epoch,
	}
	if at == m.assigned {
		// The second copies cover a crash of the coordinator. The next change of
		// coordinator records it in the store.
		return
	}
	for i, n := range m.nodes {
		if i != at {
			n.crashed = true
		}
	}
}

// stop restarts a node as planned: it hands its operations to a node that is not the
// coordinator, and notifies the coordinator. A coordinator must hand over first and is
// not stopped here.
func (m *model) stop(at int) {
	if m.assigned == at || m.nodes[at].leading || !m.nodes[m.assigned].leading {
		return
	}
	m.note("node %d stops", at)
	successor := modelNodes - at - m.assigned
	if m.fault == handToCoordinator {
		successor = m.assigned
	}
	was, next, leader := m.nodes[at], m.nodes[successor], m.nodes[m.assigned]
	from, to := m.holder(at, 0), m.holder(successor, 0)
	entries := was.operations.Entries(from)
	next.operations.Update(Adopt{At: m.now, Entries: entries})
	others := append(was.operations.Witnessed(), was.claims.Held()...)
	for _, h := range others {
		next.operations.Update(Witness{At: m.now, Held: h})
	}
	// The coordinator may have collected from the successor already, but not from this
	// node.
	leader.claims.Update(Collected{At: m.now, Held: append(Holdings(entries), others...)})
	leader.claims.Update(Moved{From: from, To: to})
	m.nodes[at] = &modelNode{
		incarnation: was.incarnation + 1,
		operations:  NewOperationTable(modelWindow, 1<<20),
		claims:      NewClaimTable(modelWindow),
		startStep:   -1, // A planned stop loses nothing.
		crashed:     was.crashed,
		coordinator: m.assigned,
		epoch:       m.epoch,
	}
}
