package core

import "time"

// PublishedStates holds the ejection states of all services that a coordinator published.
type PublishedStates struct {
	Epoch    uint64                     `cbor:"1,keyasint"`
	Sequence uint64                     `cbor:"2,keyasint"`
	Sets     map[string][]EjectionState `cbor:"3,keyasint,omitempty"` // By service.
}

// View holds the coordinator's decisions that a node has received, under a lease.
// When the lease expires, the node must treat no upstream as ejected: the
// coordinator may by then have ejected another one, as far as the floor allows.
type View struct {
	published PublishedStates
	deadline  time.Time
}

// Receive accepts a set and reports whether it is new. The lease starts when the node
// sent its request, not when the reply arrived, so that a late reply cannot extend
// it. A zero asked means that the set was pushed; it does not renew the lease.
func (v *View) Receive(s PublishedStates, asked time.Time) bool {
	if s.Epoch < v.published.Epoch {
		return false
	}
	sameEpoch := s.Epoch == v.published.Epoch
	if sameEpoch && s.Sequence < v.published.Sequence {
		return false
	}
	if !sameEpoch && asked.IsZero() {
		return false // The first set of a new epoch must come with a lease.
	}
	isNew := !sameEpoch || s.Sequence > v.published.Sequence
	v.published = s
	if !asked.IsZero() && (!sameEpoch || asked.Add(Lease).After(v.deadline)) {
		v.deadline = asked.Add(Lease)
	}
	return isNew
}

// Promise makes the view reject all earlier epochs and drop their set. It returns
// false if the view already has a later epoch.
func (v *View) Promise(epoch uint64) bool {
	if epoch < v.published.Epoch {
		return false
	}
	if epoch > v.published.Epoch {
		v.published = PublishedStates{Epoch: epoch}
		v.deadline = time.Time{}
	}
	return true
}

// Epoch returns the latest epoch received or promised.
func (v *View) Epoch() uint64 { return v.published.Epoch }

// Sequence returns the latest sequence number received in that epoch.
func (v *View) Sequence() uint64 { return v.published.Sequence }

// Deadline returns the end of the lease, until which Set may be acted on.
func (v *View) Deadline() time.Time { return v.deadline }

// Set returns the ejection states of a service even if the lease has expired. The
// request path compares Deadline with its own clock at every use.
func (v *View) Set(service string) []EjectionState { return v.published.Sets[service] }
