package mesh

import (
	"time"

	"eiderfold/bodymemory"
	"eiderfold/budget"
	"eiderfold/link"
)

// Dump is a node's state in human-readable form.
type Dump struct {
	Node          link.Member `json:"node"`
	Configuration uint64      `json:"configuration"`
	Ready         bool        `json:"ready"`
	// Evacuated are the data centres whose upstreams receive no requests.
	Evacuated []string `json:"evacuated,omitempty"`
	Gate      gateDump `json:"gate"`
	// Bodies is the memory that the bodies of requests and answers take.
	Bodies bodymemory.State `json:"bodies"`
	Peers  []peerDump       `json:"peers"`
	// Accounts are the accounts whose home this node is, the most used first.
	Accounts []accountDump `json:"accounts,omitempty"`
}

type accountDump struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Left     float64 `json:"left"`  // Tokens left, in requests.
	Capacity float64 `json:"holds"` // Capacity of the bucket: the value of left when the account is idle.
}

type gateDump struct {
	Mode      string  `json:"mode"`
	Upstream  string  `json:"upstream"`
	Slots     int     `json:"slots"`
	InFlight  int     `json:"in_hand"` // Offers that have not ended.
	Suspicion float64 `json:"suspicion"`
	// Limit is the limit that the upstream names, in requests per second; nil for none.
	Limit *float64 `json:"limit,omitempty"`
	// Budget is the gate's part of the fleet's limit on repeats.
	Budget budget.State `json:"budget"`
}

type peerDump struct {
	link.Member
	Reachable bool   `json:"reachable"`
	Mode      string `json:"mode"`
	Upstream  string `json:"upstream"`
}

// Dump returns the node's state.
func (n *Node) Dump() Dump {
	s := n.gate.Status()
	version, _ := n.config.current()
	d := Dump{
		Node:          n.self,
		Configuration: version,
		Ready:         n.ready(),
		Bodies:        n.bodies.State(),
		Evacuated:     n.evacuation.list(),
		Gate: gateDump{Mode: s.Mode.String(), Upstream: s.Upstream, Slots: s.Slots, InFlight: n.gate.ActiveOffers(), Suspicion: s.Suspicion,
			Budget: n.budget.State(time.Now())},
	}
	if s.Limited {
		d.Gate.Limit = &s.Limit
	}
	for _, p := range n.links.all() {
		e := p.currentEndpoint()
		s := e.Status()
		d.Peers = append(d.Peers, peerDump{Member: e.Member(), Reachable: e.Reachable(), Mode: s.Mode.String(), Upstream: s.Upstream})
	}
	for _, u := range n.limits.uses() {
		d.Accounts = append(d.Accounts, accountDump{Name: u.Account, Rate: u.Limit.Rate, Burst: u.Limit.Burst, Left: u.Left, Capacity: u.Depth})
	}
	return d
}
