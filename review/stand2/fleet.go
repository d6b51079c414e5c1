package stand2

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// FleetOptions are the settings of a fleet.
type FleetOptions struct {
	Root     string // The project's root.
	Nodes    int
	Slots    int
	MemoryMB int
	Work     func(path string) time.Duration
	// Intake is how many of the nodes, the first ones, have a backend of the service for uploads; with 0, all backends
	// take them.
	Intake int
	// Tenants is the list of tenants of the configuration, as JSON; "" for none.
	Tenants string
}

// Fleet is a small deployment: a store, and nodes with a backend beside each.
type Fleet struct {
	Store    *Store
	Nodes    []*Node
	Backends []*Backend
	dir      string
	block    *Block
}

// The services, and the host of all routes.
const (
	deskService   = "desk"
	intakeService = "intake"
	Host          = "desk.example"
)

// configurationText is the operator's configuration: an idempotent route /look/, a non-idempotent one /order/, and one for
// uploads. It has the version, the tenants and the service for uploads as gaps.
const configurationText = `{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":%s,
"listeners":[{"authority":"desk.example","rules":[
{"name":"look","routeKind":"idempotent","priority":1,"targetLatencyMs":1500,"match":{"pathPrefix":"/look/"},"action":{"service":"desk","timeoutMs":8000,"maxAttempts":2}},
{"name":"order","routeKind":"non_idempotent","priority":1,"targetLatencyMs":1500,"match":{"pathPrefix":"/order/"},"action":{"service":"desk","timeoutMs":8000,"maxAttempts":2}},
{"name":"upload","routeKind":"upload","priority":1,"targetLatencyMs":6000,"match":{"pathPrefix":"/upload/"},"action":{"service":%q,"timeoutMs":20000,"maxAttempts":1}}]}],
"clusters":[{"name":"desk","healthPath":"/health","maxConnections":390},{"name":"intake","healthPath":"/health","maxConnections":390}]}`

// StartFleet starts everything and waits until all nodes are ready.
func StartFleet(record *Record, o FleetOptions) (*Fleet, error) {
	block, err := NewBlock()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: NewStore(), dir: dir, block: block}
	closeAtSignal(f)
	store := block.Host(100) + ":8200"
	if err := f.Store.Serve(store); err != nil {
		return f, err
	}
	uploads := deskService
	if o.Intake > 0 {
		uploads = intakeService
	}
	f.Store.Put("op/config", fmt.Appendf(nil, configurationText, 1, cmp.Or(o.Tenants, "[]"), uploads))
	for i := range o.Nodes {
		service := deskService
		if i < o.Intake {
			service = intakeService
		}
		n := &Node{Name: fmt.Sprintf("n%d", i), IP: block.Host(i), Zone: "zone", Service: service, Store: store, MemoryMB: o.MemoryMB, Root: o.Root, Dir: dir}
		b := &Backend{Service: service, Address: n.App(), Control: n.Control(), Zone: n.Zone, Slots: o.Slots, Work: o.Work}
		f.Nodes, f.Backends = append(f.Nodes, n), append(f.Backends, b)
		if err := b.Start(record, fmt.Sprintf("i-%d-1", i)); err != nil {
			return f, err
		}
		if err := n.Start(record, true); err != nil {
			return f, err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, n := range f.Nodes {
		if !n.AwaitReady(until) {
			return f, errors.New(n.Name + " is not ready")
		}
	}
	time.Sleep(4 * time.Second) // All links are up, and all backends have sent heartbeats.
	return f, nil
}

// closeAtSignal ends all processes when the script is told to end.
func closeAtSignal(f *Fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Close()
		os.Exit(cannotRun)
	}()
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	if f == nil {
		return
	}
	for _, n := range f.Nodes {
		n.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
