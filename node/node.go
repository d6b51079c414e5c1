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
	"eiderfold/peer"
	"eiderfold/port"
	"eiderfold/proxy"
	"eiderfold/result"
	"eiderfold/settings"
)

// Node is one process of the fleet.
type Node struct {
	settings *settings.Settings
	identity peer.Identity
	log      *zap.Logger
	store    port.Store
	list     port.InstanceList
	holder   *config.Holder
	peers    *peer.Transport
	handler  *proxy.Handler
	groups   map[string]*Group // Fixed at the start.
	callers  *http.Server
	admin    *http.Server
	born     time.Time
	life     context.Context // Ends when the node has stopped.
	end      context.CancelFunc
	stopping atomic.Bool
	open     atomic.Int64 // Callers' connections.
	working  atomic.Int64 // Callers' requests.
	listener net.Listener // For callers.
	running  sync.WaitGroup
	local    func(core.Policy) Local // Nil for the product's own decisions.

	decisions  *expvar.Map
	heartbeats *expvar.Map
	platform   *expvar.Map
}

// Option changes a Node at its making.
type Option func(*Node)

// WithStore sets the platform's store.
func WithStore(s port.Store) Option { return func(n *Node) { n.store = s } }

// WithList sets the platform's instance list.
func WithList(l port.InstanceList) Option { return func(n *Node) { n.list = l } }

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(n *Node) { n.log = l } }

// Local is how a node weighs upstreams by what it sees itself.
type Local interface {
	// Update takes Members, Evidence of this node, and Tick.
	Update(m core.Message)
	// Weight returns the factor for an upstream's share, 0 to send it nothing.
	Weight(upstream string) float64
	// Suspects reports whether answer times of an upstream must not be learnt from.
	Suspects(upstream string) bool
}

// WithLocal replaces the avoider, and with it all ejection that is agreed on. It
// serves to measure other policies on the same path of a request.
func WithLocal(local func(core.Policy) Local) Option { return func(n *Node) { n.local = local } }

// WithIncarnation sets the process's incarnation, which must be greater than that
// of every earlier process under the same name.
func WithIncarnation(i uint64) Option { return func(n *Node) { n.identity.Incarnation = i } }

// New opens the node's ports and prepares it. It serves from Run on.
func New(s *settings.Settings, material *keys.Material, options ...Option) (*Node, error) {
	n := &Node{
		settings:   s,
		identity:   peer.Identity{Node: s.Node(), Incarnation: uint64(time.Now().UnixNano())},
		log:        zap.NewNop(),
		born:       time.Now(),
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
	n.life, n.end = context.WithCancel(context.Background())
	for _, t := range s.Templates() {
		n.groups[t] = newGroup(n, t)
	}
	var err error
	if n.peers, err = peer.Listen(s.Peers(), material, n.answer); err != nil {
		return nil, err
	}
	any, keyed := s.Body()
	n.handler = proxy.NewHandler(n.holder, n, n,
		proxy.WithNode(s.Node()),
		proxy.WithLimits(proxy.Limits{Body: any, KeyedBody: keyed}),
		proxy.WithSuspects(n.suspected),
	)
	return n, nil
}

// Holder returns the configuration in force, for the admin API.
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

// Complete implements proxy.Directory.
func (n *Node) Complete() bool {
	for _, g := range n.groups {
		if !g.complete.Load() {
			return false
		}
	}
	return true
}

// Begin implements proxy.Operations.
func (n *Node) Begin(ctx context.Context, template string, key core.Key, body uint64, born time.Time) (proxy.Operation, *core.Recorded, *result.Error) {
	return n.groups[template].Begin(ctx, key, body, born)
}

func (n *Node) suspected(u *proxy.Upstream) bool {
	for _, g := range n.groups {
		if s := g.Service(u.Service()); s != nil {
			return g.suspected(u.Service(), u.Name())
		}
	}
	return false
}

// source returns the IP number this node's connections come from.
func (n *Node) source() net.IP {
	where, err := netip.ParseAddrPort(n.settings.Peers())
	if err != nil {
		return nil
	}
	return where.Addr().AsSlice()
}

// call sends a request as this node.
func (n *Node) call(ctx context.Context, address string, r *peer.Request) (*peer.Reply, error) {
	r.From = n.identity
	r.From.Stopping = n.stopping.Load()
	return n.peers.Call(ctx, address, r)
}

func (n *Node) asLeader(epoch uint64) peer.Leader {
	return peer.Leader{Node: n.identity.Node, Incarnation: n.identity.Incarnation, Address: n.peers.Address(), Epoch: epoch}
}

// listed reports whether the platform lists this node for a template. One that is
// not listed might be unknown to others, and must not coordinate them.
func (n *Node) listed(template string) bool {
	g := n.groups[template]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addressOf(n.identity.Node) != ""
}

// sequences returns the sequences in force of one template.
func (n *Node) sequences(template string) map[string]uint64 {
	all := n.holder.Now().Sequences()
	if len(n.groups) == 1 {
		return all
	}
	own := maps.Clone(all)
	maps.DeleteFunc(own, func(key string, _ uint64) bool { return !strings.HasPrefix(key, prefixOf(template)) })
	return own
}

func prefixOf(template string) string { return config.TemplatePrefix(template) }

// apply puts a shard in force if it is newer, and reports whether it was.
func (n *Node) apply(key string, value []byte) bool {
	place, err := config.ParseKey(key)
	if err != nil || n.groups[place.Template] == nil {
		return false
	}
	news, err := n.holder.Apply(key, value)
	if err != nil {
		n.log.Error("configuration refused; what was in force stays", zap.String("shard", key), zap.Error(err))
		return false
	}
	if !news {
		return false
	}
	n.log.Info("configuration in force", zap.String("shard", key), zap.Uint64("sequence", n.holder.Now().Sequences()[key]))
	if place.Itself {
		n.groups[place.Template].configure()
	}
	return true
}

// Applied takes a shard that this node published itself, and tells the group.
func (n *Node) Applied(key string, value []byte) {
	if !n.apply(key, value) {
		return
	}
	place, err := config.ParseKey(key)
	if err != nil {
		return
	}
	g := n.groups[place.Template]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spread(&peer.Push{Shards: map[string][]byte{key: value}})
}

// Run serves until ctx ends, and then stops without cutting a request. admin
// serves operators.
func (n *Node) Run(ctx context.Context, admin http.Handler, tls *keys.Material) error {
	callers, err := n.listen(n.settings.Callers(), tls)
	if err != nil {
		return err
	}
	n.listener = callers
	operators, err := n.listen(n.settings.Admin(), tls)
	if err != nil {
		return err
	}
	n.callers = n.server(n.limited(n.handler))
	n.callers.ConnState = n.countConnections
	n.admin = n.server(admin)
	for _, g := range n.groups {
		n.start(g)
	}
	failed := make(chan error, 2)
	go func() { failed <- n.callers.Serve(callers) }()
	go func() { failed <- n.admin.Serve(operators) }()
	n.log.Info("serving",
		zap.String("callers", callers.Addr().String()),
		zap.String("admin", operators.Addr().String()),
		zap.String("peers", n.peers.Address()))
	select {
	case err := <-failed:
		n.end()
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return n.stop()
}

func (n *Node) start(g *Group) {
	for _, loop := range []func(context.Context){g.runTicks, g.runHeartbeats, g.runElections, g.runStoreWatch, g.runNodeWatch, g.runUpstreamWatch} {
		n.running.Go(func() { loop(n.life) })
	}
}

// listen opens a TCP port with the settings' bound on connections.
func (n *Node) listen(address string, material *keys.Material) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// Over the limit callers are told so; this is for when they do not listen.
	l = netutil.LimitListener(l, 2*n.settings.Connections())
	if material == nil {
		return l, nil
	}
	return tlsListener(l, material), nil
}

// limited refuses requests of connections over the settings' limit.
func (n *Node) limited(next http.Handler) http.Handler {
	limit := int64(n.settings.Connections())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.open.Load() > limit {
			w.Header().Set("Connection", "close")
			result.Write(w, result.New(result.TooManyConnections, "the node holds too many connections").WithRetryAfter(time.Second))
			return
		}
		n.working.Add(1)
		defer n.working.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (n *Node) countConnections(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.open.Add(-1)
	}
}

func (n *Node) server(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.settings.SlowCaller(),
		IdleTimeout:       idleCaller,
		MaxHeaderBytes:    n.settings.Header(),
		Protocols:         protocols,
		ErrorLog:          zap.NewStdLog(n.log.Named("http")),
	}
}

const idleCaller = 2 * time.Minute
