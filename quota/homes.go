package quota

import (
	"maps"
	"time"
)

const (
	// probeAgain is how long the word of others on whether they reach a node counts.
	probeAgain = 2 * time.Second
	// pingAgain is the pace at which a node in doubt is asked for a sign of life: while it
	// is believed to be gone and is not, its tokens and those of who stands in for it are
	// both given.
	pingAgain = 200 * time.Millisecond
	// claimTime is how long a node's own word counts that it is there: links are made again
	// within a second.
	claimTime = 1 * time.Second
	// mostSuccessors bounds how many nodes are told that another one is an account's home. With a
	// third of the fleet away the first four are away together once in 81 times.
	mostSuccessors = 4
	// lifeTime is how long a reply shows that a node is there: as long as links are idle
	// between two claims.
	lifeTime = claimEvery + claimUnsettled
	// replyTime is how long a reply to a ping may take: many round trips.
	replyTime = 100 * time.Millisecond
	// aloneAgain is the pause before a node asks again that nobody has answered.
	aloneAgain = 250 * time.Millisecond
)

// Fleet is what Homes needs of the other nodes. Nodes are named by their addresses.
type Fleet interface {
	// Self returns this node.
	Self() string
	// Changed returns a number that changes with the nodes that are known or linked.
	Changed() uint64
	// First returns the node that ranks first for an account, leaving some out. It is the
	// same wherever the same nodes are known.
	First(account string, without map[string]bool) string
	// Known tells whether a node is still known.
	Known(node string) bool
	// Linked tells whether there is a link to a node, and when it last answered a ping.
	Linked(node string) (bool, time.Time)
	// Dial begins to make a link to a node, and reports whether none was being made.
	Dial(node string) bool
	// Ping asks a node for a sign of life.
	Ping(node string)
	// Probe asks others whether they reach a node.
	// They answer by Homes.Reached; once they had time to, Homes.ProbeEnded is called.
	Probe(node string)
}

// Place is where an account's tokens are, and how they are reached.
type Place struct {
	Home    string // "" if this node is cut off from all others.
	Way     string // The node to ask: the home itself, or one that reaches it.
	Pending bool   // It is not known yet how the home is reached.
	Acting  bool   // The home stands in for one that is gone.
}

// doubt is a node that did not answer, or to which there is no link.
type doubt struct {
	since   time.Time
	until   time.Time // When others are asked again.
	pinged  time.Time // When it was last asked for a sign of life.
	via     string    // A node that reaches it.
	gone    bool      // Nobody that was asked reaches it.
	alone   bool      // Nobody that was asked answered.
	probing bool
	heard   int       // How many of those that were asked have answered.
	claimed time.Time // Until when its own word counts that it is there.
}

// Homes finds the home of each account: the node that ranks first for it, on which all
// agree that know the same nodes; when one goes only its accounts move. A home that does
// not answer is probed for through others, as SWIM does: an account whose home is behind
// a cut keeps it, reached through somebody else. With two homes it would have twice its
// limit, so only a home that nobody reaches is taken for gone.
type Homes struct {
	fleet  Fleet
	at     uint64           // Of the fleet's changes, when found was begun.
	found  map[string]Place // By account.
	doubts map[string]*doubt
	asked  map[string]time.Time // When Successors last asked a node for a sign of life.
}

// NewHomes returns homes among the nodes of a fleet.
func NewHomes(f Fleet) *Homes {
	return &Homes{fleet: f, found: map[string]Place{}, doubts: map[string]*doubt{}, asked: map[string]time.Time{}}
}

// Of returns where an account's tokens are.
func (h *Homes) Of(account string, now time.Time) Place {
	for node, d := range h.doubts {
		h.review(node, d, now)
	}
	if at := h.fleet.Changed(); at != h.at {
		h.at = at
		clear(h.found)
		maps.DeleteFunc(h.asked, func(node string, _ time.Time) bool { return !h.fleet.Known(node) })
	}
	p, ok := h.found[account]
	if ok {
		return p
	}
	p = h.search(account, now)
	if !p.Pending {
		h.found[account] = p
	}
	return p
}

// search ranks the nodes for an account, leaving out those that are gone.
func (h *Homes) search(account string, now time.Time) Place {
	gone := map[string]bool{}
	for {
		node := h.fleet.First(account, gone)
		d := h.doubts[node]
		linked, _ := h.fleet.Linked(node)
		switch {
		case node == h.fleet.Self() || linked && d == nil:
			return Place{Home: node, Way: node, Acting: len(gone) > 0}
		case h.fleet.Dial(node):
			return Place{Home: node, Pending: true}
		case d == nil:
			h.Doubt(node, now)
			return Place{Home: node, Pending: true}
		case d.via != "":
			return Place{Home: node, Way: d.via}
		case d.alone:
			return Place{}
		case !d.gone || now.Before(d.claimed):
			return Place{Home: node, Pending: true}
		}
		gone[node] = true
	}
}

// Unanswered takes note that a home was asked in vain.
func (h *Homes) Unanswered(p Place, now time.Time) {
	if d := h.doubts[p.Home]; d != nil && d.via == p.Way {
		d.via = ""
	}
	h.Doubt(p.Home, now)
}

// Doubt takes note that a node does not answer, and has others asked for it.
func (h *Homes) Doubt(node string, now time.Time) {
	if node == "" || node == h.fleet.Self() {
		return
	}
	d := h.doubts[node]
	if d == nil {
		d = &doubt{since: now}
		h.doubts[node] = d
	}
	h.probe(node, d, now)
}

// review ends a doubt about a node that has been heard since, or is no longer known, and
// has others asked again about the rest from time to time.
func (h *Homes) review(node string, d *doubt, now time.Time) {
	if h.answered(node, d) || !h.fleet.Known(node) {
		h.Trust(node)
		return
	}
	if !now.Before(d.pinged.Add(pingAgain)) {
		d.pinged = now
		h.fleet.Ping(node)
	}
	if now.Before(d.until) {
		return
	}
	h.probe(node, d, now)
}

// answered tells whether a node has answered a ping since it is in doubt.
func (h *Homes) answered(node string, d *doubt) bool {
	linked, at := h.fleet.Linked(node)
	return linked && at.After(d.since)
}

// Trust ends the doubt about a node: there is a new link to it.
func (h *Homes) Trust(node string) {
	if h.doubts[node] != nil {
		delete(h.doubts, node)
		clear(h.found)
	}
}

// probe has others asked about a node. What was known until now holds until they had time
// to answer.
func (h *Homes) probe(node string, d *doubt, now time.Time) {
	if d.probing {
		return
	}
	d.probing = true
	d.until = now.Add(probeAgain)
	d.heard = 0
	d.pinged = now
	h.fleet.Ping(node)
	h.fleet.Probe(node)
	clear(h.found)
}

// Back returns the way to the home of an account for which this node has stood in, and
// whether there is one: while it is not known who the home is, nothing is handed over.
func (h *Homes) Back(account string, now time.Time) (way string, ok bool) {
	p := h.Of(account, now)
	ok = !p.Pending && p.Home != "" && p.Home != h.fleet.Self()
	return p.Way, ok
}

// Claimed takes a node's own word that it is the home of accounts for which this one may
// have stood in. Without a link to it yet, nothing is given in its place for a while.
func (h *Homes) Claimed(node string, now time.Time) {
	if d := h.doubts[node]; d != nil {
		d.claimed = now.Add(claimTime)
		clear(h.found)
	}
}

// Successors returns the nodes that may stand in for this one as an account's home, as they
// rank, and asks them for a sign of life: up to the first that is there by its replies, and
// mostSuccessors at the most. Those before it may be away, and the node behind them would not
// hear that its place is taken: six of 100,000 schedules of the model went over a limit so.
func (h *Homes) Successors(account string, now time.Time) []string {
	var out []string
	without := map[string]bool{h.fleet.Self(): true}
	for len(out) < mostSuccessors {
		node := h.fleet.First(account, without)
		if without[node] {
			break // There is no other.
		}
		without[node] = true
		out = append(out, node)
		if h.replies(node, now) {
			break
		}
	}
	return out
}

// replies tells whether a node is there by its latest reply to a ping, and pings it again
// unless a reply is still on its way, as when many accounts have the same successor.
func (h *Homes) replies(node string, now time.Time) bool {
	linked, ponged := h.fleet.Linked(node)
	asked := h.asked[node]
	owes := ponged.Before(asked)
	if owes && now.Before(asked.Add(replyTime)) {
		return linked && now.Before(ponged.Add(lifeTime))
	}
	h.asked[node] = now
	h.fleet.Ping(node)
	return linked && !owes && now.Before(ponged.Add(lifeTime))
}

// Reached takes another node's word on whether it reaches one that was probed for.
func (h *Homes) Reached(node, via string, reached bool) {
	d := h.doubts[node]
	if d == nil {
		return
	}
	d.heard++
	if reached {
		d.via = via
		d.gone, d.alone = false, false
		clear(h.found)
	}
}

// ProbeEnded takes a node for gone that nobody said to reach. Where nobody answered it is
// this node that is cut off: were it to take the home's place, the account would have two.
func (h *Homes) ProbeEnded(node string, now time.Time) {
	d := h.doubts[node]
	if d == nil {
		return
	}
	d.probing = false
	if h.answered(node, d) {
		h.Trust(node) // It was only late.
		return
	}
	d.alone = d.via == "" && d.heard == 0
	d.gone = d.via == "" && !d.alone
	if d.alone {
		d.until = now.Add(aloneAgain)
	}
	clear(h.found)
}
