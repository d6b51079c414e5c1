package mesh

import (
	"time"

	"eiderfold/ingress"
	"eiderfold/link"
)

// addLocal makes the own gate a target without a link.
func (l *links) addLocal() {
	n := l.node
	l.local = ingress.NewTarget(n.self)
	n.forwarder.Connected(l.local, localSink{n}, n.process)
	n.targets.Add(l.local)
}

// localSink hands messages to the own gate, and back.
type localSink struct{ node *Node }

// Send takes an ingress's message to the gate.
func (s localSink) Send(f *link.Frame) bool {
	s.node.gate.Handle(localReturn(s), f)
	return true
}

// Ponged returns the present: the own gate lives as long as this node.
func (localSink) Ponged() time.Time { return time.Now() }

// localReturn takes the gate's messages back to the ingress.
type localReturn struct{ node *Node }

// Send takes a gate's message to the ingress.
func (s localReturn) Send(f *link.Frame) bool {
	s.node.forwarder.Deliver(f)
	return true
}
