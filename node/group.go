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

// Group is this node's part in the group of one template.
type Group struct {
	node      *Node
	template  string
	log       *zap.Logger
	balancers atomic.Pointer[map[string]*proxy.Service]
	synced    atomic.Bool // The store or a coordinator has been heard since the start.
	complete  atomic.Bool // All of the configuration has come since the start.

	mu       sync.Mutex // Guards what follows; never held over a call.
	services map[string]*service
	view     core.View
	window   time.Duration // How long a key is remembered.
	claims   *core.Claims
	ledger   *core.Ledger
	ended    map[core.Key]chan struct{} // Closed when an operation of ours ends.
	roster   peer.Roster
	leader   peer.Leader
	before   string    // The coordinator before the present one.
	lost     time.Time // Until when operations that only two lost coordinators knew may be asked for.
	heard    time.Time // When the coordinator was last heard.
	lead     *leadership
	deposed  deposed
	answered uint64                       // Epoch of the last coordinator that was promised in person.
	loads    map[string]map[string]uint32 // By node and upstream; the coordinator's.
	crashed  time.Time                    // When a node was last lost unplanned.
	refused  map[string]bool              // Upstreams that said they are leaving, by name and generation.
	ticked   time.Time
	wantFull bool

	urgent chan struct{} // Asks for a heartbeat at once.
}

// service is the group's state of one service.
type service struct {
	balancer  *proxy.Service
	upstreams map[string]*member // By name.
	judge     *core.Judge
	avoider   Local
	pending   map[string]core.Count // Evidence not yet sent.
	suspects  atomic.Pointer[map[string]bool]
}

// member is an upstream with the generation it was made for.
type member struct {
	upstream   *proxy.Upstream
	generation string
}

const (
	ledgerMargin = time.Minute // A holder remembers longer than the coordinator.
	ledgerRoom   = 8 << 20     // Bytes of recorded answers.
)

func newGroup(n *Node, template string) *Group {
	g := &Group{
		node:     n,
		template: template,
		log:      n.log.With(zap.String("template", template)),
		services: map[string]*service{},
		ended:    map[core.Key]chan struct{}{},
		loads:    map[string]map[string]uint32{},
		refused:  map[string]bool{},
		urgent:   make(chan struct{}, 1),
		heard:    time.Now(),
		window:   defaultWindow,
	}
	g.claims = core.NewClaims(g.window)
	g.ledger = core.NewLedger(g.window+ledgerMargin, ledgerRoom)
	g.balancers.Store(&map[string]*proxy.Service{})
	return g
}

const defaultWindow = 15 * time.Minute

// setWindow takes the longest repeat window of the template's services.
func (g *Group) setWindow(services []*config.Service) {
	g.window = 0
	for _, s := range services {
		g.window = max(g.window, s.RepeatWindow())
	}
	g.claims.SetWindow(g.window)
	g.ledger.SetWindow(g.window + ledgerMargin)
}

// Service returns the balancer of a service, nil before it is set up.
func (g *Group) Service(name string) *proxy.Service { return (*g.balancers.Load())[name] }

// configure sets the services up as the template in force says.
func (g *Group) configure() {
	t := g.node.holder.Now().Template(g.template)
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
			g.populate(policy.Name(), s)
		}
		s.balancer.SetPolicy(policy)
		s.judge.SetPolicy(judgePolicy(policy))
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
	var local Local = core.NewAvoider()
	if g.node.local != nil {
		local = g.node.local(judgePolicy(policy))
	}
	return &service{
		balancer:  proxy.NewService(policy),
		upstreams: map[string]*member{},
		judge:     core.NewJudge(judgePolicy(policy)),
		avoider:   local,
		pending:   map[string]core.Count{},
	}
}

func judgePolicy(policy *config.Service) core.Policy {
	return core.Policy{Floor: policy.Floor(), Sensitivity: policy.Sensitivity(), OnlyAtMostOnce: policy.OnlyAtMostOnce()}
}

func (s *service) close() {
	for _, m := range s.upstreams {
		m.upstream.Close()
	}
}

// setRoster takes a newer roster and reports whether it was one.
func (g *Group) setRoster(r *peer.Roster) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Epoch < g.roster.Epoch || r.Epoch == g.roster.Epoch && r.Version <= g.roster.Version {
		return false
	}
	g.roster = *r
	for name, s := range g.services {
		g.populate(name, s)
	}
	return true
}

// populate makes a service's upstreams fit the roster. Leaving ones keep their
// requests in flight and get no new ones.
func (g *Group) populate(name string, s *service) {
	policy := s.balancer.Policy()
	before := s.upstreams
	s.upstreams = map[string]*member{}
	var live []string
	for _, u := range g.roster.Upstreams[name] {
		if u.Leaving || g.refused[u.Name+"/"+u.Generation] {
			continue
		}
		m := before[u.Name]
		if m == nil || m.upstream.Address() != u.Address || m.generation != u.Generation {
			m = &member{upstream: proxy.NewUpstream(name, u.Name, u.Address, g.connections(policy), g.node.source()), generation: u.Generation}
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
	s.avoider.Update(core.Members{At: now, Upstreams: live})
	g.carryOut(name, s, s.judge.Update(core.Members{At: now, Upstreams: live}))
	g.rotate(name, s)
}

// connections is this node's part of the connections an upstream bears.
func (g *Group) connections(policy *config.Service) int {
	nodes := max(len(g.roster.Nodes), 1)
	return max(policy.Connections()/nodes, 2)
}

// rotate gives the balancer what the decisions in force say.
func (g *Group) rotate(name string, s *service) {
	standings := map[string]core.Standing{}
	for _, standing := range g.view.Set(name) {
		standings[standing.Upstream] = standing
	}
	shares := make([]proxy.Share, 0, len(s.upstreams))
	suspects := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		m := s.upstreams[name]
		alone := s.avoider.Weight(name)
		share := proxy.Share{Upstream: m.upstream, Weight: alone, Alone: alone}
		if standing, ok := standings[name]; ok {
			share.Phase = standing.Phase
			share.Weight = alone * standing.Weight
			if standing.Phase == core.Ramp {
				share.Alone = share.Weight
			}
		}
		if s.avoider.Suspects(name) || share.Phase == core.Out || share.Phase == core.Trial {
			suspects[name] = true
		}
		shares = append(shares, share)
	}
	s.suspects.Store(&suspects)
	s.balancer.Rotate(shares, g.view.Deadline())
}

// suspected reports whether an upstream's answer times are not to be learnt from.
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

// rank orders the nodes of a group for standing in, differently for each
// template so that no node coordinates everything.
func (g *Group) rank(node string) int {
	mine := mix(g.template, node)
	rank := 0
	for _, m := range g.roster.Nodes {
		if m.Leaving || m.Node == node {
			continue
		}
		if other := mix(g.template, m.Node); other < mine || other == mine && strings.Compare(m.Node, node) < 0 {
			rank++
		}
	}
	return rank
}

// addressOf finds a node in the roster.
func (g *Group) addressOf(node string) string {
	for _, m := range g.roster.Nodes {
		if m.Node == node {
			return m.Address
		}
	}
	return ""
}

// leaderAddress is where the coordinator is reached: as the platform lists it, or
// as it said itself when it is not listed here yet. Call it with mu held.
func (g *Group) leaderAddress() string {
	if address := g.addressOf(g.leader.Node); address != "" {
		return address
	}
	return g.leader.Address
}

// others returns the group's nodes but for this one, in random order.
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
