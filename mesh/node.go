package mesh

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/bodymemory"
	"eiderfold/budget"
	"eiderfold/gate"
	"eiderfold/ingress"
	"eiderfold/link"
	"eiderfold/listener"
	"eiderfold/overload"
	"eiderfold/port"
	"eiderfold/quota"
	"eiderfold/route"
	"eiderfold/settings"
)

// Node is one process of the fleet.
type Node struct {
	settings     atomic.Pointer[settings.Mesh]
	platform     port.Platform
	log          *zap.Logger
	metrics      *Metrics
	self         link.Member
	upstream     gate.Upstream // As the gate uses it: changed settings need a restart.
	process      uint64        // Identifies this process; differs after a restart.
	bodies       *bodymemory.Memory
	endpoints    *ingress.Endpoints
	forwarder    *ingress.Forwarder
	budget       *budget.Budget
	gate         *gate.Gate
	server       *ingress.Server
	links        *links
	config       *configuration
	directory    *directory
	evacuation   *evacuation
	limits       *limits
	quarantine   *quarantineSync
	joinDeadline time.Time     // When the node stops waiting for links to the others.
	era          atomic.Uint64 // The store's era plus one; 0 while it is unknown.
	stopping     atomic.Bool
}

// New returns a node with its parts wired together. It starts nothing.
func New(s *settings.Mesh, p port.Platform, metrics *Metrics, log *zap.Logger) *Node {
	n := &Node{
		platform:  p,
		log:       log,
		metrics:   metrics,
		self:      link.Member{Name: s.Node(), Address: s.Advertised(), DataCentre: s.DataCentre(), Service: s.Service()},
		upstream:  gate.Upstream{Address: s.Upstream(), Service: s.Service()},
		process:   rand.Uint64(),
		bodies:    bodymemory.New(s.BodyMemory()),
		endpoints: ingress.NewEndpoints(s.DataCentre(), s.FloorShare()),
	}
	ratio, slack := s.Retries()
	n.budget = budget.New(ratio, slack, time.Now())
	n.budget.AwaitGates()
	n.settings.Store(s)
	n.endpoints.SetSwitches(s.Switches())
	n.endpoints.SetRegions(s.Regions())
	n.limits = newLimits(n, s.AccountLimits())
	n.quarantine = newQuarantineSync(n)
	n.forwarder = ingress.NewForwarder(s.Service(), n.endpoints, p.Dialect, log, metrics,
		ingress.WithParents(func(attempt string) (overload.Parent, bool) { return n.gate.Parent(attempt) }),
		ingress.WithNested(func(parent, service string) func(int) { return n.gate.Nested(parent, service) }),
		ingress.WithSaturation(func() bool { return n.gate.Saturated() }),
		ingress.WithLimits(n.limits),
		ingress.WithQuarantine(n.quarantine.tracker),
		ingress.WithFailures(func(f overload.Failure) { n.gate.RecordFailure(f) }))
	n.server = ingress.NewServer(n.forwarder.Serve, n.callerLimits,
		ingress.WithHeaderCheck(n.forwarder.RefuseByHeader),
		ingress.WithBodyMemory(n.bodies, func() { metrics.Count("body_without_room") }),
		ingress.WithUnanswered(func(c ingress.ConnectionState) { n.logUnanswered("connection ended without an answer", c) }))
	n.directory = newDirectory(n)
	n.config = newConfiguration(n)
	n.evacuation = newEvacuation(n)
	n.links = newLinks(n)
	n.limits.homes = quota.NewHomes(fleetView{n.links})
	n.gate = gate.New(n.upstream, p.Dialect, log,
		gate.WithBudget(n.budget),
		gate.WithSwitches(s.Switches()),
		gate.WithQuarantine(n.quarantine.tracker),
		gate.WithRecords(n.directory),
		gate.WithBodyMemory(n.bodies),
		gate.WithCounters(metrics),
		gate.WithAnnounce(n.links.announce),
		gate.WithHealthPath(n.healthPath),
		gate.WithNestedWait(func(service string) (time.Duration, bool) { return n.endpoints.ShortestWait(service, time.Now()) }))
	n.links.addLocal()
	return n
}

// Reload applies new settings as far as a running node can: bounds change at once, names
// and addresses need a restart.
func (n *Node) Reload(s *settings.Mesh) {
	old := n.settings.Swap(s)
	n.budget.SetBounds(s.Retries())
	n.endpoints.SetFloorShare(s.FloorShare())
	n.limits.setBounds(s.AccountLimits())
	restartNeeded := s.Node() != old.Node() || s.Callers() != old.Callers() || s.Links() != old.Links() || s.Upstream() != old.Upstream() ||
		s.Service() != old.Service() || s.Store() != old.Store() || s.DataCentre() != old.DataCentre() ||
		s.Advertised() != old.Advertised() || s.Reports() != old.Reports() || s.Ready() != old.Ready() || s.Metrics() != old.Metrics() ||
		s.Switches().String() != old.Switches().String()
	n.log.Info("reload", zap.Bool("restart_needed", restartNeeded))
}

// callerLimits returns the limits on the size and time of callers' requests that are in force.
// The ingress server calls it for each request, so that a new configuration takes effect
// without a restart, and uses its default in place of a limit of 0.
func (n *Node) callerLimits() route.Limits {
	if t := n.forwarder.Table(); t != nil {
		return t.Limits()
	}
	return route.Limits{}
}

// healthPath returns the path at which the local upstream answers health checks, "" if
// unknown.
func (n *Node) healthPath() string {
	if t := n.forwarder.Table(); t != nil {
		s, _ := t.Service(n.self.Service)
		return s.HealthPath
	}
	return ""
}

// ready reports whether the node serves callers.
func (n *Node) ready() bool {
	return n.forwarder.Table() != nil && !n.stopping.Load()
}

// Run serves until ctx ends, then stops the node and returns.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Info("start", zap.String("node", n.self.Name), zap.String("service", n.self.Service), zap.Uint64("process", n.process),
		zap.Stringer("off", n.settings.Load().Switches()))
	running, cancel := context.WithCancel(context.Background()) // Outlives ctx: it ends once the node has stopped.
	defer cancel()
	n.joinDeadline = time.Now().Add(joinTimeout)
	var background sync.WaitGroup
	for _, f := range []func(context.Context){n.gate.Run, n.config.run, n.directory.run, n.links.run, n.limits.run, n.quarantine.run, n.summarize} {
		background.Go(func() { f(running) })
	}
	n.serve(listeners)
	<-ctx.Done()
	n.stop(listeners)
	cancel()
	background.Wait()
	n.links.close()
	n.log.Info("stopped", zap.String("node", n.self.Name), zap.Any("counts", json.RawMessage(n.metrics.Counts())))
	return nil
}

// serve starts serving on every listener.
func (n *Node) serve(l *listeners) {
	go n.links.accept(l.links)
	go n.server.Serve(l.callers)
	l.servers = []auxiliaryServer{serveHTTP(l.reports, http.HandlerFunc(n.serveReport)), serveHTTP(l.ready, http.HandlerFunc(n.serveReady))}
	if l.metrics != nil {
		l.servers = append(l.servers, serveHTTP(l.metrics, n.observability()))
	}
}

// listeners are the listening sockets of a node.
type listeners struct {
	callers, links, reports, ready, metrics net.Listener
	servers                                 []auxiliaryServer // On the last three, once they serve.
}

// listen opens the sockets. After an error the process exits, which closes those already
// open.
func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	s := n.settings.Load()
	for _, e := range []struct {
		to      *net.Listener
		address string
	}{{&l.callers, s.Callers()}, {&l.links, s.Links()}, {&l.reports, s.Reports()}, {&l.ready, s.Ready()}, {&l.metrics, s.Metrics()}} {
		if e.address == "" {
			continue
		}
		opened, err := listener.Listen("tcp4", e.address, n.logClosing)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		*e.to = opened
	}
	return l, nil
}
