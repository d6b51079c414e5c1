package quota

import (
	"maps"
	"time"
)

const (
	// probeInterval is how long the result of a probe through other nodes is used.
	probeInterval = 2 * time.Second
	// pingInterval is the interval between pings to a suspected node. While a reachable node is
	// considered gone, both its tokens and those of its acting home are granted.
	pingInterval = 200 * time.Millisecond
	// claimValidity is how long a claim shows that its sender is reachable: links are
	// re-established within a second.
	claimValidity = 1 * time.Second
	// maxSuccessors bounds how many successors receive the claim of an account's home. With a
	// third of the fleet unreachable, the first four are all unreachable once in 81 cases.
	maxSuccessors = 4
	// replyValidity is how long a ping reply shows that a node is reachable: as long as links
	// may be idle between two claims.
	replyValidity = claimInterval + claimIntervalUncertain
	// replyTimeout is how long a reply to a ping may take: many round trips.
	replyTimeout = 100 * time.Millisecond
	// isolatedRetry is the pause before the next probe when no node answered the last one.
	isolatedRetry = 250 * time.Millisecond
)

// Fleet provides Homes with the state of the other nodes, which are named by their addresses.
type Fleet interface {
	// Self returns this node's address.
	Self() string
	// Changed returns a number that changes whenever the known or linked nodes change.
	Changed() uint64
	// First returns the node that ranks first for an account, apart from the excluded ones.
	// Nodes that know the same fleet get the same result.
	First(account string, excluded map[string]bool) string
	// Complete reports whether the known nodes are those of the whole fleet. A node that has just started may know none
	// but itself.
	Complete() bool
	// Known reports whether a node is still part of the known fleet.
	Known(node string) bool
	// Linked reports whether there is a link to a node, and when it last answered a ping.
	Linked(node string) (bool, time.Time)
	// Dial starts to establish a link to a node, and reports whether no attempt was under way.
	Dial(node string) bool
	// Ping sends a ping to a node.
	Ping(node string)
	// Probe asks other nodes whether they reach a node. Their answers arrive by Homes.Reached;
	// Homes.ProbeEnded is called when their time is up.
	Probe(node string)
}

// Location is the home of an account and the way to reach it.
type Location struct {
	Home    string // "" if this node is cut off from all others.
	Via     string // Node to send to: the home itself, or one that reaches it.
	Pending bool   // It is not yet determined how the home is reached.
	Acting  bool   // The home acts in place of one that is gone.
}

// suspect is the state of a node that did not answer, or to which there is no link.
type suspect struct {
	since        time.Time
	probeAt      time.Time // Time of the next probe through other nodes.
	pingedAt     time.Time // Time of the last ping.
	via          string    // Node that reaches it; "" if there is none.
	gone         bool      // None of the nodes that answered the probe reaches it.
	isolated     bool      // No node answered the probe: this node itself may be cut off.
	probing      bool
	answers      int       // Number of nodes that have answered the probe.
	claimedUntil time.Time // Until then, its last claim shows that it is reachable.
}

// Homes finds the home of each account: the node that ranks first for it, on which all nodes
// agree that know the same fleet. When a node goes, only its accounts move. A home that does
// not answer is probed through other nodes, as in SWIM: an account whose home is behind a
// network cut keeps it, and the home is reached through another node. With two homes an
// account would have twice its limit, so only a home that no node reaches is considered gone.
type Homes struct {
	fleet          Fleet
	changed        uint64              // Value of Fleet.Changed for which locations is valid.
	locations      map[string]Location // Cache of search results by account.
	suspects       map[string]*suspect
	successorPings map[string]time.Time // Time of the last ping that Successors sent to a node.
}

// NewHomes returns a Homes for the nodes of a fleet.
func NewHomes(f Fleet) *Homes {
	return &Homes{fleet: f, locations: map[string]Location{}, suspects: map[string]*suspect{}, successorPings: map[string]time.Time{}}
}

// Of returns the home of an account and the way to reach it.
func (h *Homes) Of(account string, now time.Time) Location {
	for node, s := range h.suspects {
		h.review(node, s, now)
	}
	if changed := h.fleet.Changed(); changed != h.changed {
		h.changed = changed
		clear(h.locations)
		maps.DeleteFunc(h.successorPings, func(node string, _ time.Time) bool { return !h.fleet.Known(node) })
	}
	p, ok := h.locations[account]
	if ok {
		return p
	}
	p = h.search(account, now)
	if !p.Pending {
		h.locations[account] = p
	}
	return p
}

// search returns the first node in an account's ranking that is not considered gone.
func (h *Homes) search(account string, now time.Time) Location {
	gone := map[string]bool{}
	for {
		node := h.fleet.First(account, gone)
		s := h.suspects[node]
		linked, _ := h.fleet.Linked(node)
		switch {
		case node == h.fleet.Self() && !h.fleet.Complete():
			return Location{Pending: true} // The others may have a home for it.
		case node == h.fleet.Self() || linked && s == nil:
			return Location{Home: node, Via: node, Acting: len(gone) > 0}
		case h.fleet.Dial(node):
			return Location{Home: node, Pending: true}
		case s == nil:
			h.Suspect(node, now)
			return Location{Home: node, Pending: true}
		case s.via != "":
			return Location{Home: node, Via: s.via}
		case s.isolated:
			return Location{}
		case !s.gone || now.Before(s.claimedUntil):
			return Location{Home: node, Pending: true}
		}
		gone[node] = true
	}
}

// Unanswered records that the home of p did not answer.
func (h *Homes) Unanswered(p Location, now time.Time) {
	if s := h.suspects[p.Home]; s != nil && s.via == p.Via {
		s.via = ""
	}
	h.Suspect(p.Home, now)
}

// Suspect records that a node does not answer, and probes it through other nodes.
func (h *Homes) Suspect(node string, now time.Time) {
	if node == "" || node == h.fleet.Self() {
		return
	}
	s := h.suspects[node]
	if s == nil {
		s = &suspect{since: now}
		h.suspects[node] = s
	}
	h.probe(node, s, now)
}

// review ends the suspicion of a node that has answered since, or is no longer known;
// otherwise it pings the node and repeats the probe when they are due.
func (h *Homes) review(node string, s *suspect, now time.Time) {
	if h.answered(node, s) || !h.fleet.Known(node) {
		h.ClearSuspicion(node)
		return
	}
	if !now.Before(s.pingedAt.Add(pingInterval)) {
		s.pingedAt = now
		h.fleet.Ping(node)
	}
	if now.Before(s.probeAt) {
		return
	}
	h.probe(node, s, now)
}

// answered reports whether a node has answered a ping since it is suspected.
func (h *Homes) answered(node string, s *suspect) bool {
	linked, at := h.fleet.Linked(node)
	return linked && at.After(s.since)
}

// ClearSuspicion ends the suspicion of a node: there is a new link to it.
func (h *Homes) ClearSuspicion(node string) {
	if h.suspects[node] != nil {
		delete(h.suspects, node)
		clear(h.locations)
	}
}

// probe asks other nodes whether they reach a node. The previous result stays valid until
// they have had time to answer.
func (h *Homes) probe(node string, s *suspect, now time.Time) {
	if s.probing {
		return
	}
	s.probing = true
	s.probeAt = now.Add(probeInterval)
	s.answers = 0
	s.pingedAt = now
	h.fleet.Ping(node)
	h.fleet.Probe(node)
	clear(h.locations)
}

// HandoverVia returns the way to the home of an account for which this node acts as home. ok is
// false while the home is not determined or is this node, so that nothing is handed over.
func (h *Homes) HandoverVia(account string, now time.Time) (way string, ok bool) {
	p := h.Of(account, now)
	ok = !p.Pending && p.Home != "" && p.Home != h.fleet.Self()
	return p.Via, ok
}

// Claimed records a claim by the home of accounts for which this node may act as home. If the
// claimant is suspected, this node does not act in its place for claimValidity, even without a
// link to it yet. Otherwise the claim has no effect: this node acts in place of suspected nodes
// only, and a suspicion that begins later does not take the claim into account.
func (h *Homes) Claimed(node string, now time.Time) {
	if s := h.suspects[node]; s != nil {
		s.claimedUntil = now.Add(claimValidity)
		clear(h.locations)
	}
}

// Successors returns the nodes that may act as an account's home in place of this one, by
// rank, and pings them: up to the first that is reachable according to its replies, and
// maxSuccessors at most. If only the first successor were sent the claim and it is
// unreachable, the node ranked after it would not learn that the account has a home: six of
// 100,000 schedules of the model exceeded a limit for that reason.
func (h *Homes) Successors(account string, now time.Time) []string {
	var out []string
	excluded := map[string]bool{h.fleet.Self(): true}
	for len(out) < maxSuccessors {
		node := h.fleet.First(account, excluded)
		if excluded[node] {
			break // There is no other.
		}
		excluded[node] = true
		out = append(out, node)
		if h.replies(node, now) {
			break
		}
	}
	return out
}

// replies reports whether a node is reachable according to its last ping reply. It sends
// another ping unless a reply is pending, as when many accounts share a successor.
func (h *Homes) replies(node string, now time.Time) bool {
	linked, repliedAt := h.fleet.Linked(node)
	pingedAt := h.successorPings[node]
	awaiting := repliedAt.Before(pingedAt)
	if awaiting && now.Before(pingedAt.Add(replyTimeout)) {
		return linked && now.Before(repliedAt.Add(replyValidity))
	}
	h.successorPings[node] = now
	h.fleet.Ping(node)
	return linked && !awaiting && now.Before(repliedAt.Add(replyValidity))
}

// Reached handles the answer of the node via to a probe of node.
func (h *Homes) Reached(node, via string, reached bool) {
	s := h.suspects[node]
	if s == nil {
		return
	}
	s.answers++
	if reached {
		s.via = via
		s.gone, s.isolated = false, false
		clear(h.locations)
	}
}

// ProbeEnded considers a node gone if at least one node answered the probe and none reaches
// it. If no node answered, this node itself may be cut off: by acting as home it would give
// the account a second one.
func (h *Homes) ProbeEnded(node string, now time.Time) {
	s := h.suspects[node]
	if s == nil {
		return
	}
	s.probing = false
	if h.answered(node, s) {
		h.ClearSuspicion(node) // Its reply arrived late.
		return
	}
	s.isolated = s.via == "" && s.answers == 0
	s.gone = s.via == "" && !s.isolated
	if s.isolated {
		s.probeAt = now.Add(isolatedRetry)
	}
	clear(h.locations)
}
