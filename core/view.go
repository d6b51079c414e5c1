package core

import "time"

// Stamped is a set of standings as a coordinator told it.
type Stamped struct {
	Epoch    uint64                `cbor:"1,keyasint"`
	Sequence uint64                `cbor:"2,keyasint"`
	Sets     map[string][]Standing `cbor:"3,keyasint,omitempty"` // By service.
}

// View is what a node believes of the coordinator's decisions. It ends by
// itself: a node that no longer hears the coordinator sets nothing aside, since
// the coordinator may have spent the floor's room on another upstream.
type View struct {
	stamped  Stamped
	deadline time.Time
}

// Told takes a set. The lease runs from when the node asked, not from when the
// answer came, so that a late answer cannot stretch it; asked is zero for a set
// that came unasked, which does not renew the lease. Told reports whether the
// set is news.
func (v *View) Told(s Stamped, asked time.Time) bool {
	if s.Epoch < v.stamped.Epoch {
		return false
	}
	sameEpoch := s.Epoch == v.stamped.Epoch
	if sameEpoch && s.Sequence < v.stamped.Sequence {
		return false
	}
	if !sameEpoch && asked.IsZero() {
		return false // The first word of a new epoch must carry a lease of it.
	}
	news := !sameEpoch || s.Sequence > v.stamped.Sequence
	v.stamped = s
	if !asked.IsZero() && (!sameEpoch || asked.Add(Lease).After(v.deadline)) {
		v.deadline = asked.Add(Lease)
	}
	return news
}

// Promise makes the view refuse every epoch before this one, and drop what an
// earlier one said.
func (v *View) Promise(epoch uint64) bool {
	if epoch < v.stamped.Epoch {
		return false
	}
	if epoch > v.stamped.Epoch {
		v.stamped = Stamped{Epoch: epoch}
		v.deadline = time.Time{}
	}
	return true
}

// Epoch returns the newest epoch heard or promised.
func (v *View) Epoch() uint64 { return v.stamped.Epoch }

// Sequence returns the newest sequence heard in that epoch.
func (v *View) Sequence() uint64 { return v.stamped.Sequence }

// Deadline returns until when Set may be acted on.
func (v *View) Deadline() time.Time { return v.deadline }

// Set returns the standings of a service, whether or not the lease still holds;
// the request path compares Deadline with its own clock at every use.
func (v *View) Set(service string) []Standing { return v.stamped.Sets[service] }
