package mesh

import (
	"time"

	"eiderfold/ingress"
	"eiderfold/link"
)

// addLocal adds the own gate as an endpoint without a link.
func (l *links) addLocal() {
	n := l.node
	l.localEndpoint = ingress.NewEndpoint(n.self)
	n.forwarder.Connected(l.localEndpoint, localSink{n}, n.process)
	n.endpoints.Add(l.localEndpoint)
}

// localSink passes the ingress's messages to the own gate.
type localSink struct{ node *Node }

// Send passes a message to the gate.
func (s localSink) Send(f *link.Frame) bool {
	s.node.gate.Handle(localReturn(s), f)
	return true
}

// LastPong returns the current time: the own gate lives as long as this node.
func (localSink) LastPong() time.Time { return time.Now() }

// localReturn passes the gate's messages back to the ingress.
type localReturn struct{ node *Node }

// Send passes a message to the ingress.
func (s localReturn) Send(f *link.Frame) bool {
	s.node.forwarder.Deliver(f)
	return true
}
