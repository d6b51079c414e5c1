package node

import (
	"expvar"
	"runtime/metrics"
	"time"

	"eiderfold/core"
	"eiderfold/peer"
)

// Dump is the whole decision state of a node, for operators and tests.
type Dump struct {
	Node          string               `json:"node"`
	Incarnation   uint64               `json:"incarnation"`
	Stopping      bool                 `json:"stopping"`
	Sequences     map[string]uint64    `json:"sequences"`
	Accounts      int                  `json:"accounts"`
	Groups        map[string]GroupDump `json:"groups"`
	HeapBytes     uint64               `json:"heap_bytes"`
	SentBytes     int64                `json:"sent_bytes"`
	ReceivedBytes int64                `json:"received_bytes"`
}

// GroupDump is one node's state of a group.
type GroupDump struct {
	Coordinator     peer.Leader            `json:"coordinator"`
	Leading         bool                   `json:"leading"`
	Deciding        bool                   `json:"deciding"`
	PromisedEpoch   uint64                 `json:"promised_epoch"`
	SinceContact    string                 `json:"coordinator_heard_ago"`
	LeaseLeft       string                 `json:"lease_left"`
	Nodes           []peer.Member          `json:"nodes"`
	Claims          int                    `json:"claims"`
	AwaitingPromise int                    `json:"nodes_to_promise"`
	Operations      int                    `json:"operations"`
	Services        map[string]ServiceDump `json:"services"`
}

// ServiceDump is the decision state of a service and its upstreams.
type ServiceDump struct {
	Floor     int            `json:"floor"`
	Threshold float64        `json:"threshold"`
	Upstreams []UpstreamDump `json:"upstreams"`
}

// UpstreamDump is the decision state and load of an upstream.
type UpstreamDump struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Phase     string  `json:"phase"`
	OwnWeight float64 `json:"own_weight"`
	Score     float64 `json:"score"`
	InFlight  int     `json:"in_flight"`
}

const heapMetric = "/memory/classes/heap/objects:bytes"

// Dump returns the current decision state of this node.
func (n *Node) Dump() Dump {
	heap := []metrics.Sample{{Name: heapMetric}} // Unlike ReadMemStats, this does not stop the world.
	metrics.Read(heap)
	snapshot := n.holder.Snapshot()
	d := Dump{
		Node:        n.identity.Node,
		Incarnation: n.identity.Incarnation,
		Stopping:    n.stopping.Load(),
		Sequences:   snapshot.Sequences(),
		Accounts:    snapshot.Accounts(),
		Groups:      map[string]GroupDump{},
		HeapBytes:   heap[0].Value.Uint64(),
	}
	d.SentBytes, d.ReceivedBytes = n.peers.Traffic()
	for name, g := range n.groups {
		d.Groups[name] = g.dump()
	}
	return d
}

func (g *Group) dump() GroupDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	d := GroupDump{
		Coordinator:     g.leader,
		Leading:         g.leading(),
		Deciding:        g.leading() && g.lead.deciding,
		PromisedEpoch:   max(g.view.Epoch(), g.operations.Promised()),
		SinceContact:    now.Sub(g.lastContact).Round(time.Millisecond).String(),
		LeaseLeft:       max(g.view.Deadline().Sub(now), 0).Round(time.Millisecond).String(),
		Nodes:           g.roster.Nodes,
		Claims:          g.claims.Len(),
		AwaitingPromise: g.claims.Waiting(),
		Operations:      g.operations.Len(),
		Services:        map[string]ServiceDump{},
	}
	for name, s := range g.services {
		d.Services[name] = g.dumpService(name, s, now)
	}
	return d
}

func (g *Group) dumpService(name string, s *service, now time.Time) ServiceDump {
	d := ServiceDump{Floor: s.balancer.Policy().Floor(), Threshold: s.detector.Threshold()}
	phases := map[string]core.Phase{}
	if now.Before(g.view.Deadline()) {
		for _, state := range g.view.Set(name) {
			phases[state.Upstream] = state.Phase
		}
	}
	for _, u := range s.balancer.Upstreams() {
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			Name:      u.Name(),
			Address:   u.Address(),
			Phase:     phases[u.Name()].String(),
			OwnWeight: s.local.Weight(u.Name()),
			Score:     s.detector.Score(u.Name()),
			InFlight:  u.InFlight(),
		})
	}
	return d
}

// Metrics returns the node's counters by name.
func (n *Node) Metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("results", n.handler.Results())
	m.Set("decisions", n.decisions)
	m.Set("heartbeats", n.heartbeats)
	m.Set("platform_calls", n.platform)
	return m
}
