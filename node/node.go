package node

import (
	"context"
	"expvar"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"eiderfold/config"
	"eiderfold/core"
	"eiderfold/keys"
	"eiderfold/listener"
	"eiderfold/peer"
	"eiderfold/port"
	"eiderfold/proxy"
	"eiderfold/result"
	"eiderfold/settings"
)

// Node is one proxy process of the fleet.
type Node struct {
	settings        *settings.Settings
	identity        peer.Identity
	log             *zap.Logger
	store           port.Store
	list            port.InstanceList
	holder          *config.Holder
	peers           *peer.Transport
	handler         *proxy.Handler
	groups          map[string]*Group // Fixed at the start.
	callers         *http.Server
	admin           *http.Server
	startedAt       time.Time
	lifetime        context.Context // Ends when the node has stopped.
	cancel          context.CancelFunc
	stopping        atomic.Bool
	openConnections atomic.Int64 // Open connections from callers.
	activeRequests  atomic.Int64 // Requests of callers being served.
	callersListener net.Listener
	adminListener   net.Listener
	loops           sync.WaitGroup
	newLocal        func(core.Policy) Local // Nil for the weights of package core, with ejection.

	decisions  *expvar.Map
	heartbeats *expvar.Map
	platform   *expvar.Map
}

// Option configures a Node in New.
type Option func(*Node)

// WithStore sets the platform's store.
func WithStore(s port.Store) Option { return func(n *Node) { n.store = s } }

// WithList sets the platform's instance list.
func WithList(l port.InstanceList) Option { return func(n *Node) { n.list = l } }

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(n *Node) { n.log = l } }

// Local computes a node's local weights of a service's upstreams from the node's
// own evidence.
type Local interface {
	// Update handles Members, Evidence of this node, and Tick.
	Update(m core.Message)
	// Weight returns the factor for an upstream's share, 0 to send it nothing.
	Weight(upstream string) float64
	// Unreliable reports whether the response times of an upstream must be left out of
	// the latency statistics.
	Unreliable(upstream string) bool
}

// WithLocal replaces the local weights of package core and turns off ejection by the
// coordinator. It allows benchmarks of other policies on the same request path.
func WithLocal(local func(core.Policy) Local) Option { return func(n *Node) { n.newLocal = local } }

// WithIncarnation sets the process's incarnation, which must be greater than that
// of every earlier process under the same name.
func WithIncarnation(i uint64) Option { return func(n *Node) { n.identity.Incarnation = i } }

// New creates a node and starts to serve its peers. Run serves callers and operators.
func New(s *settings.Settings, material *keys.Material, options ...Option) (*Node, error) {
	n := &Node{
		settings:   s,
		identity:   peer.Identity{Node: s.Node(), Incarnation: uint64(time.Now().UnixNano())},
		log:        zap.NewNop(),
		startedAt:  time.Now(),
		holder:     config.NewHolder(),
		groups:     map[string]*Group{},
		decisions:  new(expvar.Map).Init(),
		heartbeats: new(expvar.Map).Init(),
		platform:   new(expvar.Map).Init(),
	}
	for _, o := range options {
		o(n)
	}
	n.log = n.log.With(zap.String("node", s.Node()))
	n.lifetime, n.cancel = context.WithCancel(context.Background())
	for _, t := range s.Templates() {
		n.groups[t] = newGroup(n, t)
	}
	var err error
	if n.peers, err = peer.Listen(s.Peers(), material, n.answer); err != nil {
		return nil, err
	}
	body, keyedBody := s.Body()
	n.handler = proxy.NewHandler(n.holder, n, n,
		proxy.WithNode(s.Node()),
		proxy.WithLimits(proxy.Limits{Body: body, KeyedBody: keyedBody}),
		proxy.WithSuspects(n.suspected),
	)
	return n, nil
}

// Holder returns the holder of the configuration in force, for the admin API.
func (n *Node) Holder() *config.Holder { return n.holder }

// PeerAddress returns the IP:port where other nodes reach this one.
func (n *Node) PeerAddress() string { return n.peers.Address() }

// Service implements proxy.Directory.
func (n *Node) Service(template, service string) *proxy.Service {
	if g := n.groups[template]; g != nil {
		return g.Service(service)
	}
	return nil
}

// Loaded implements proxy.Directory.
func (n *Node) Loaded() bool {
	for _, g := range n.groups {
		if !g.complete.Load() {
			return false
		}
	}
	return true
}

// Begin implements proxy.Operations.
func (n *Node) Begin(ctx context.Context, template string, key core.Key, body uint64, keyCreated time.Time) (proxy.Operation, *core.Recorded, *result.Error) {
	return n.groups[template].Begin(ctx, key, body, keyCreated)
}

// suspected implements the function for proxy.WithSuspects.
func (n *Node) suspected(u *proxy.Upstream) bool {
	for _, g := range n.groups {
		if s := g.Service(u.Service()); s != nil {
			return g.suspected(u.Service(), u.Name())
		}
	}
	return false
}

// sourceIP returns the IP address from which this node connects to upstreams: that of its
// address for peers, so that nodes on one machine can be told apart by it. It is nil if that
// address does not parse, and then the system chooses.
func (n *Node) sourceIP() net.IP {
	addrPort, err := netip.ParseAddrPort(n.settings.Peers())
	if err != nil {
		return nil
	}
	return addrPort.Addr().AsSlice()
}

// call sends a request to a peer with this node's identity.
func (n *Node) call(ctx context.Context, address string, r *peer.Request) (*peer.Reply, error) {
	r.From = n.identity
	r.From.Stopping = n.stopping.Load()
	return n.peers.Call(ctx, address, r)
}

func (n *Node) asLeader(epoch uint64) peer.Leader {
	return peer.Leader{Node: n.identity.Node, Incarnation: n.identity.Incarnation, Address: n.peers.Address(), Epoch: epoch}
}

// listed reports whether the platform lists this node for a template. A node that
// is not listed may be unknown to others and must not become the coordinator.
func (n *Node) listed(template string) bool {
	g := n.groups[template]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addressOf(n.identity.Node) != ""
}

// sequences returns the sequences in force of one template, by shard.
func (n *Node) sequences(template string) map[string]uint64 {
	all := n.holder.Snapshot().Sequences()
	if len(n.groups) == 1 {
		return all
	}
	own := maps.Clone(all)
	maps.DeleteFunc(own, func(key string, _ uint64) bool { return !strings.HasPrefix(key, prefixOf(template)) })
	return own
}

func prefixOf(template string) string { return config.TemplatePrefix(template) }

// apply puts a shard in force if it is newer, and reports whether it did.
func (n *Node) apply(key string, value []byte) bool {
	parsed, err := config.ParseKey(key)
	if err != nil || n.groups[parsed.Template] == nil {
		return false
	}
	changed, err := n.holder.Apply(key, value)
	if err != nil {
		n.log.Error("configuration refused; keeping the version in force", zap.String("shard", key), zap.Error(err))
		return false
	}
	if !changed {
		return false
	}
	n.log.Info("configuration in force", zap.String("shard", key), zap.Uint64("sequence", n.holder.Snapshot().Sequences()[key]))
	if parsed.IsTemplate {
		n.groups[parsed.Template].configure()
	}
	return true
}

// ApplyPublished puts in force a shard that this node has published to the store, and
// pushes it to the group.
func (n *Node) ApplyPublished(key string, value []byte) {
	if !n.apply(key, value) {
		return
	}
	parsed, err := config.ParseKey(key)
	if err != nil {
		return
	}
	g := n.groups[parsed.Template]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broadcast(&peer.Push{Shards: map[string][]byte{key: value}})
}

// Run serves until ctx ends and then performs a planned stop, which lets in-flight
// requests finish within the stop deadline of the settings. admin handles the
// requests of operators. A nil tls means plain HTTP.
func (n *Node) Run(ctx context.Context, admin http.Handler, tls *keys.Material) error {
	var err error
	n.callersListener, err = n.listen(n.settings.Callers(), tls)
	if err != nil {
		return err
	}
	n.adminListener, err = n.listen(n.settings.Admin(), tls)
	if err != nil {
		return err
	}
	n.callers = n.server(n.limitConnections(n.handler))
	n.callers.ConnState = n.countConnections
	n.admin = n.server(admin)
	for _, g := range n.groups {
		n.start(g)
	}
	failed := make(chan error, 2)
	go func() { failed <- n.callers.Serve(n.callersListener) }()
	go func() { failed <- n.admin.Serve(n.adminListener) }()
	n.log.Info("serving",
		zap.String("callers", n.callersListener.Addr().String()),
		zap.String("admin", n.adminListener.Addr().String()),
		zap.String("peers", n.peers.Address()))
	select {
	case err := <-failed:
		n.cancel()
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return n.stop()
}

func (n *Node) start(g *Group) {
	for _, loop := range []func(context.Context){g.runTicks, g.runHeartbeats, g.runElections, g.runStoreWatch, g.runNodeWatch, g.runUpstreamWatch} {
		n.loops.Go(func() { loop(n.lifetime) })
	}
}

// listen opens a TCP port with a limit on connections, with TLS unless material is
// nil.
func (n *Node) listen(address string, material *keys.Material) (net.Listener, error) {
	opened, err := listener.Listen("tcp", address, func(c listener.Closing) { n.log.Info("listener closed", zap.Inline(c)) })
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// limitConnections refuses requests above the limit; twice the limit is the hard
	// bound for callers that keep their connections nevertheless.
	l := netutil.LimitListener(opened, 2*n.settings.Connections())
	if material == nil {
		return l, nil
	}
	return tlsListener(l, material), nil
}

// limitConnections refuses all requests while more connections than the settings
// allow are open.
func (n *Node) limitConnections(next http.Handler) http.Handler {
	limit := int64(n.settings.Connections())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.openConnections.Load() > limit {
			w.Header().Set("Connection", "close")
			result.Write(w, result.New(result.TooManyConnections, "the node holds too many connections").WithRetryAfter(time.Second))
			return
		}
		n.activeRequests.Add(1)
		defer n.activeRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (n *Node) countConnections(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.openConnections.Add(-1)
	}
}

func (n *Node) server(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.settings.HeaderReadTimeout(),
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    n.settings.Header(),
		Protocols:         protocols,
		ErrorLog:          zap.NewStdLog(n.log.Named("http")),
	}
}

const callerIdleTimeout = 2 * time.Minute
