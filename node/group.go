package node

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eiderfold/config"
	"eiderfold/core"
	"eiderfold/peer"
	"eiderfold/proxy"
)

// Group is this node's state of the group of one template.
type Group struct {
	node      *Node
	template  string
	log       *zap.Logger
	balancers atomic.Pointer[map[string]*proxy.Service]
	synced    atomic.Bool // The store or a coordinator has answered since the start.
	complete  atomic.Bool // The whole configuration has been received since the start.

	mu             sync.Mutex // Guards the fields of this block; never held during a network call.
	services       map[string]*service
	view           core.View
	window         time.Duration // How long an operation key is kept.
	claims         *core.ClaimTable
	operations     *core.OperationTable
	finished       map[core.Key]chan struct{} // Closed when an operation of this node ends.
	roster         peer.Roster
	leader         peer.Leader
	previousLeader string    // The coordinator before the current one.
	uncertainUntil time.Time // Until when a key may have a grant that only two lost coordinators knew.
	lastContact    time.Time // With the coordinator; also reset to delay a campaign.
	lead           *leadership
	lastTerm       pastTerm
	collectEpoch   uint64                       // Epoch of the last Collect request that this node promised.
	loads          map[string]map[string]uint32 // In-flight requests by node and upstream; only on the coordinator.
	lastCrash      time.Time                    // When a node was last lost without a planned stop.
	leaving        map[string]bool              // Upstreams that announced that they are leaving, by name and generation.
	lastTick       time.Time
	sendSequences  bool

	urgent chan struct{} // Triggers an early heartbeat.
}

// service is the group's state of one service.
type service struct {
	balancer  *proxy.Service
	upstreams map[string]*member // By name.
	detector  *core.OutlierDetector
	local     Local
	pending   map[string]core.Count // Evidence not yet sent.
	suspects  atomic.Pointer[map[string]bool]
}

// member is an upstream of a service and the generation it was created for.
type member struct {
	upstream   *proxy.Upstream
	generation string
}

const (
	operationMargin = time.Minute // Holders keep operations longer than the coordinator does.
	maxAnswerBytes  = 8 << 20     // Limit for all recorded answers together.
)

func newGroup(n *Node, template string) *Group {
	g := &Group{
		node:        n,
		template:    template,
		log:         n.log.With(zap.String("template", template)),
		services:    map[string]*service{},
		finished:    map[core.Key]chan struct{}{},
		loads:       map[string]map[string]uint32{},
		leaving:     map[string]bool{},
		urgent:      make(chan struct{}, 1),
		lastContact: time.Now(),
		window:      defaultRepeatWindow,
	}
	g.claims = core.NewClaimTable(g.window)
	g.operations = core.NewOperationTable(g.window+operationMargin, maxAnswerBytes)
	g.balancers.Store(&map[string]*proxy.Service{})
	return g
}

const defaultRepeatWindow = 15 * time.Minute

// setWindow sets the window to the longest repeat window of the services.
func (g *Group) setWindow(services []*config.Service) {
	g.window = 0
	for _, s := range services {
		g.window = max(g.window, s.RepeatWindow())
	}
	g.claims.SetWindow(g.window)
	g.operations.SetWindow(g.window + operationMargin)
}

// Service returns the balancer of a service, or nil if it is not set up.
func (g *Group) Service(name string) *proxy.Service { return (*g.balancers.Load())[name] }

// configure applies the template in force to the services.
func (g *Group) configure() {
	t := g.node.holder.Snapshot().Template(g.template)
	if t == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setWindow(t.Services())
	next := make(map[string]*proxy.Service, len(t.Services()))
	for _, policy := range t.Services() {
		s := g.services[policy.Name()]
		if s == nil {
			s = g.newService(policy)
			g.services[policy.Name()] = s
			g.syncUpstreams(policy.Name(), s)
		}
		s.balancer.SetPolicy(policy)
		s.detector.SetPolicy(detectorPolicy(policy))
		next[policy.Name()] = s.balancer
	}
	for name, s := range g.services {
		if next[name] == nil {
			s.close()
			delete(g.services, name)
		}
	}
	g.balancers.Store(&next)
}

func (g *Group) newService(policy *config.Service) *service {
	var local Local = core.NewLocalWeights()
	if g.node.newLocal != nil {
		local = g.node.newLocal(detectorPolicy(policy))
	}
	return &service{
		balancer:  proxy.NewService(policy),
		upstreams: map[string]*member{},
		detector:  core.NewOutlierDetector(detectorPolicy(policy)),
		local:     local,
		pending:   map[string]core.Count{},
	}
}

// detectorPolicy returns the settings of a service's outlier detector.
func detectorPolicy(policy *config.Service) core.Policy {
	return core.Policy{Floor: policy.Floor(), Sensitivity: policy.Sensitivity(), OnlyAtMostOnce: policy.OnlyAtMostOnce()}
}

func (s *service) close() {
	for _, m := range s.upstreams {
		m.upstream.Close()
	}
}

// setRoster adopts r if it is newer than the current roster, and reports whether
// it was.
func (g *Group) setRoster(r *peer.Roster) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Epoch < g.roster.Epoch || r.Epoch == g.roster.Epoch && r.Version <= g.roster.Version {
		return false
	}
	g.roster = *r
	for name, s := range g.services {
		g.syncUpstreams(name, s)
	}
	return true
}

// syncUpstreams updates a service's upstreams to match the roster. Leaving upstreams
// get no new requests; their in-flight requests continue.
func (g *Group) syncUpstreams(name string, s *service) {
	policy := s.balancer.Policy()
	before := s.upstreams
	s.upstreams = map[string]*member{}
	var live []string
	for _, u := range g.roster.Upstreams[name] {
		if u.Leaving || g.leaving[u.Name+"/"+u.Generation] {
			continue
		}
		m := before[u.Name]
		if m == nil || m.upstream.Address() != u.Address || m.generation != u.Generation {
			m = &member{upstream: proxy.NewUpstream(name, u.Name, u.Address, g.connections(policy), g.node.sourceIP()), generation: u.Generation}
		}
		s.upstreams[u.Name] = m
		live = append(live, u.Name)
	}
	for name, m := range before {
		if s.upstreams[name] != m {
			m.upstream.Close()
		}
	}
	slices.Sort(live)
	now := time.Now()
	s.local.Update(core.Members{At: now, Upstreams: live})
	g.execute(name, s, s.detector.Update(core.Members{At: now, Upstreams: live}))
	g.updateBalancer(name, s)
}

// connections returns this node's share of the connections that an upstream
// sustains.
func (g *Group) connections(policy *config.Service) int {
	nodes := max(len(g.roster.Nodes), 1)
	return max(policy.Connections()/nodes, 2)
}

// updateBalancer applies the decisions in force and the local weights to a
// service's balancer.
func (g *Group) updateBalancer(name string, s *service) {
	states := map[string]core.EjectionState{}
	for _, state := range g.view.Set(name) {
		states[state.Upstream] = state
	}
	shares := make([]proxy.Share, 0, len(s.upstreams))
	suspects := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		m := s.upstreams[name]
		ownWeight := s.local.Weight(name)
		share := proxy.Share{Upstream: m.upstream, Weight: ownWeight, LocalWeight: ownWeight}
		if state, ok := states[name]; ok {
			share.Phase = state.Phase
			share.Weight = ownWeight * state.Weight
			if state.Phase == core.Ramp {
				share.LocalWeight = share.Weight
			}
		}
		if s.local.Unreliable(name) || share.Phase == core.Out || share.Phase == core.Trial {
			suspects[name] = true
		}
		shares = append(shares, share)
	}
	s.suspects.Store(&suspects)
	s.balancer.Rotate(shares, g.view.Deadline())
}

// suspected reports whether an upstream's response times must be left out of the
// latency statistics.
func (g *Group) suspected(service, upstream string) bool {
	g.mu.Lock()
	s := g.services[service]
	g.mu.Unlock()
	if s == nil {
		return false
	}
	suspects := s.suspects.Load()
	return suspects != nil && (*suspects)[upstream]
}

// rank returns a node's position in the order in which the nodes of the group
// campaign. The order differs by template, so that no node coordinates all groups.
func (g *Group) rank(node string) int {
	mine := hash(g.template, node)
	rank := 0
	for _, m := range g.roster.Nodes {
		if m.Leaving || m.Node == node {
			continue
		}
		if other := hash(g.template, m.Node); other < mine || other == mine && strings.Compare(m.Node, node) < 0 {
			rank++
		}
	}
	return rank
}

// addressOf returns a node's address in the roster, or "" if it is not listed.
func (g *Group) addressOf(node string) string {
	for _, m := range g.roster.Nodes {
		if m.Node == node {
			return m.Address
		}
	}
	return ""
}

// leaderAddress returns the coordinator's address in the roster or, if it is not
// listed there yet, the address in the assignment. Call it with mu held.
func (g *Group) leaderAddress() string {
	if address := g.addressOf(g.leader.Node); address != "" {
		return address
	}
	return g.leader.Address
}

// others returns the other nodes of the group in random order.
func (g *Group) others() []peer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []peer.Member
	for _, m := range g.roster.Nodes {
		if m.Node != g.node.identity.Node {
			found = append(found, m)
		}
	}
	rand.Shuffle(len(found), func(i, k int) { found[i], found[k] = found[k], found[i] })
	return found
}

// leading reports whether this node is the coordinator. Call it with mu held.
func (g *Group) leading() bool { return g.lead != nil }
