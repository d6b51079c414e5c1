package mesh

import (
	"eiderfold/link"
)

// Dump is a node's state for people.
type Dump struct {
	Node          link.Member `json:"node"`
	Configuration uint64      `json:"configuration"`
	Ready         bool        `json:"ready"`
	// Evacuated are the data centres whose upstreams are to get nothing.
	Evacuated []string   `json:"evacuated,omitempty"`
	Gate      gateDump   `json:"gate"`
	Peers     []peerDump `json:"peers"`
	// Accounts are those whose home this node is, by how much of their limits they use.
	Accounts []accountDump `json:"accounts,omitempty"`
}

type accountDump struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	Left  float64 `json:"left"`  // Requests that may come at once.
	Holds float64 `json:"holds"` // What left is when the account rests.
}

type gateDump struct {
	Mode     string  `json:"mode"`
	Upstream string  `json:"upstream"`
	Slots    int     `json:"slots"`
	InHand   int     `json:"in_hand"`
	Suspect  float64 `json:"suspicion"`
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
		Evacuated:     n.evacuation.list(),
		Gate:          gateDump{Mode: s.Mode.String(), Upstream: s.Upstream, Slots: s.Slots, InHand: n.gate.Busy(), Suspect: s.Suspect},
	}
	for _, p := range n.links.all() {
		t := p.current()
		s := t.Status()
		d.Peers = append(d.Peers, peerDump{Member: t.Member(), Reachable: t.Reachable(), Mode: s.Mode.String(), Upstream: s.Upstream})
	}
	for _, u := range n.limits.uses() {
		d.Accounts = append(d.Accounts, accountDump{Name: u.Account, Rate: u.Limit.Rate, Burst: u.Limit.Burst, Left: u.Left, Holds: u.Depth})
	}
	return d
}
