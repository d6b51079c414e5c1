package mesh

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
)

// rewriteWindow is how long operators have to write again what a restored store has lost.
const rewriteWindow = 2 * time.Second

// operatorState is the operators' settings other than the configuration, as of a store
// revision.
type operatorState struct {
	at        port.StoreRevision
	evacuated []string // Data centres, sorted by apply.
}

// evacuation tracks which data centres are evacuated: their gates close, and no other node
// selects them. Nodes that watch the store send the state to the others, which pass it on;
// the state of the latest store revision wins.
type evacuation struct {
	node     *Node
	mu       sync.Mutex                    // Held by writers, also while a change takes effect.
	latest   atomic.Pointer[operatorState] // Read without mu, as mu is held while links are written to.
	retained []string                      // Evacuated before the store was restored, which may have lost that.
}

func newEvacuation(n *Node) *evacuation {
	e := &evacuation{node: n}
	e.latest.Store(&operatorState{})
	return e
}

// current returns the latest known state.
func (e *evacuation) current() operatorState { return *e.latest.Load() }

// apply puts a newer state in force, and sends it on if it differs.
func (e *evacuation) apply(s operatorState) {
	slices.Sort(s.evacuated)
	s.evacuated = slices.Compact(s.evacuated)
	if e.replace(s) {
		e.broadcast()
	}
}

// replace puts a newer state in force, and reports whether it differs from the previous
// one.
func (e *evacuation) replace(s operatorState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.current()
	if !before.at.Before(s.at) {
		return false
	}
	restored := before.at.Revision > 0 && before.at.Era < s.at.Era
	if restored {
		e.retained = e.inForce()
		time.AfterFunc(rewriteWindow, e.dropRetained)
	}
	e.latest.Store(&s)
	if !restored && slices.Equal(before.evacuated, s.evacuated) {
		return false
	}
	e.enforce()
	return true
}

// dropRetained drops what was retained from before the store was restored: by now operators
// have either written it again or no longer want it.
func (e *evacuation) dropRetained() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retained = nil
	e.enforce()
}

// inForce returns the data centres that count as evacuated. The lock must be held.
func (e *evacuation) inForce() []string {
	all := slices.Concat(e.current().evacuated, e.retained)
	slices.Sort(all)
	return slices.Compact(all)
}

// enforce updates the gate and the endpoint selection. The lock must be held, so that the
// last update is the current one.
func (e *evacuation) enforce() {
	now, at := e.inForce(), e.current().at
	own := slices.Contains(now, e.node.self.DataCentre)
	e.node.log.Info("evacuated data centres", zap.Strings("evacuated", now), zap.Bool("own", own),
		zap.Uint64("era", at.Era), zap.Uint64("revision", at.Revision))
	e.node.endpoints.SetEvacuated(now)
	e.node.gate.Evacuate(own)
}

// list returns the data centres that count as evacuated.
func (e *evacuation) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce()
}

// message returns the state to send to peers; nil while none is known.
func (e *evacuation) message() *link.OperatorState {
	s := e.current()
	if s.at.Revision == 0 {
		return nil
	}
	return &link.OperatorState{Era: s.at.Era, Revision: s.at.Revision, Evacuated: s.evacuated}
}

// receive applies a peer's state; m may be nil.
func (e *evacuation) receive(m *link.OperatorState) {
	if m != nil {
		e.node.noteEra(max(m.Era, e.current().at.Era))
		e.apply(operatorState{at: port.StoreRevision{Era: m.Era, Revision: m.Revision}, evacuated: slices.Clone(m.Evacuated)})
	}
}

// broadcast sends the state to all linked nodes.
func (e *evacuation) broadcast() {
	m := e.message()
	for _, to := range e.node.links.allLinks() {
		to.Send(&link.Frame{Operator: m})
	}
}
