package node

import (
	"context"
	"slices"
	"strings"
	"sync"

	"eiderfold/peer"
)

// NodeState holds the configuration sequences in force on one node, by shard.
// Sequences is nil if the node is not reachable.
type NodeState struct {
	Node      string
	Reachable bool
	Sequences map[string]uint64
}

// Fleet returns the state of every node of this node's groups, sorted by name.
func (n *Node) Fleet(ctx context.Context) []NodeState {
	addresses := map[string]string{}
	for _, g := range n.groups {
		for _, m := range g.others() {
			addresses[m.Node] = m.Address
		}
	}
	states := []NodeState{{Node: n.identity.Node, Reachable: true, Sequences: n.holder.Snapshot().Sequences()}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, address := range addresses {
		wg.Go(func() {
			s := n.stateOf(ctx, name, address)
			mu.Lock()
			states = append(states, s)
			mu.Unlock()
		})
	}
	wg.Wait()
	slices.SortFunc(states, func(a, b NodeState) int { return strings.Compare(a.Node, b.Node) })
	return states
}

func (n *Node) stateOf(ctx context.Context, name, address string) NodeState {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := n.call(ctx, address, &peer.Request{Status: &peer.Status{}})
	if err != nil || reply.Status == nil {
		return NodeState{Node: name}
	}
	return NodeState{Node: name, Reachable: true, Sequences: reply.Status.Sequences}
}
