package ingress

import (
	"time"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/route"
)

// share is the client account that a request counts towards at the gates, and its weight.
type share struct {
	account string
	weight  float64 // 0 for 1.
}

// shareOf returns the share that a request counts towards: for a nested request, that of its
// parent, if it has one.
func shareOf(a *route.Account, parent overload.Parent) share {
	switch {
	case parent.Account != "":
		return share{account: parent.Account, weight: parent.Weight}
	case a != nil:
		return share{account: a.Name, weight: a.Weight}
	default:
		return share{}
	}
}

// addTo adds the share to an offer, without what the receiver assumes.
func (s share) addTo(o *link.Offer) {
	if s.account != o.Account {
		o.ParentAccount = s.account
	}
	if s.weight != 1 {
		o.Weight = s.weight
	}
}

// shareRefusal is the latest refusal of a gate for the share of an account. It concerns no other
// account.
type shareRefusal struct {
	account string
	until   time.Time
}

// noteShareRefusal records that the gate refused an offer for the share of its account.
func (e *Endpoint) noteShareRefusal(m *link.Refused, account string, now time.Time) {
	if m.Reason == link.ReasonShare {
		e.shareRefusal.Store(&shareRefusal{account: account, until: now.Add(min(m.RetryAfter, maxRefusalTime))})
	}
}

// overShare reports whether an offer of an account would be refused for its share.
func (e *Endpoint) overShare(account string, now time.Time) bool {
	r := e.shareRefusal.Load()
	return r != nil && r.account == account && now.Before(r.until)
}
