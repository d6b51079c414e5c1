package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"eiderfold/bench/standin"
	"eiderfold/keys"
	"eiderfold/port"
)

// Options change how a deployment is run.
type Options struct {
	Dir  string // Directory of logs and settings.
	Seed uint64
	// Subnet numbers the /24 network of the nodes' IP addresses, 127.0.(Subnet+1).0, so
	// that several fleets can run at once.
	Subnet byte
	// ViaFaultProxy puts the fault proxy between nodes, and between nodes and upstreams.
	ViaFaultProxy bool
	// Policy names a baseline policy to run instead of the product's; empty for the
	// product's.
	Policy string
	// Log is the nodes' log level; info by default.
	Log string
}

// Upstream is a running simulated upstream.
type Upstream struct {
	*Process
	Name          string
	Service       string
	Address       string // Address that the process listens on.
	ListedAddress string // Address in the platform's list; a link's if Options.ViaFaultProxy.
	StartLog      string // File that logs the start of each request's work.
	dataCentre    string
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment        *Deployment
	Nodes             []*Node
	Upstreams         []*Upstream
	binaries          Binaries
	options           Options
	platform          *Process
	PlatformAddress   string
	faultProxy        *Process
	FaultProxyAddress string         // Of its control API.
	delays            []standin.Rule // Between data centres.
	authority         *keys.Authority
	token             string
	generation        int
}

// Start runs a deployment, publishes its template and accounts, and waits until it is
// ready.
func Start(ctx context.Context, b Binaries, d *Deployment, o Options) (*Fleet, error) {
	f := &Fleet{Deployment: d, binaries: b, options: o, token: "operators-token-0001"}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.authority, err = keys.NewAuthority(f.Deployment.Name); err != nil {
		return err
	}
	if f.platform, f.PlatformAddress, err = f.startStandin(ctx, "platform"); err != nil {
		return err
	}
	if f.faultProxy, f.FaultProxyAddress, err = f.startStandin(ctx, "cutter"); err != nil { // The kind of the fault proxy.
		return err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return err
	}
	count := f.Deployment.Nodes
	if count == 0 {
		count = len(f.Upstreams)
	}
	for i := range count {
		if err := f.startNode(ctx, i); err != nil {
			return err
		}
	}
	f.delays = f.delayRules()
	if err := f.SetRules(nil); err != nil {
		return err
	}
	if err := f.publish(); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

// startStandin runs a simulated server of the given kind and returns its address. Its log is
// named after the kind or, with arguments, after the second one, the value of --name.
func (f *Fleet) startStandin(ctx context.Context, kind string, arguments ...string) (*Process, string, error) {
	name := kind
	if len(arguments) > 1 {
		name = arguments[1]
	}
	return StartStandin(ctx, name, f.options.Dir, f.binaries.Standin, append([]string{kind}, arguments...)...)
}

func (f *Fleet) startUpstreams(ctx context.Context) error {
	for _, s := range f.Deployment.Services {
		for i := 1; i <= s.Upstreams; i++ {
			u := &Upstream{Name: s.Name + "-" + strconv.Itoa(i), Service: s.Name, dataCentre: f.dataCentre(len(f.Upstreams))}
			if err := f.startUpstream(ctx, u); err != nil {
				return err
			}
			f.Upstreams = append(f.Upstreams, u)
		}
	}
	return nil
}

func (f *Fleet) startUpstream(ctx context.Context, u *Upstream) error {
	d := f.Deployment
	f.generation++
	u.StartLog = filepath.Join(f.options.Dir, u.Name+".starts")
	var err error
	u.Process, u.Address, err = f.startStandin(ctx, "upstream", "--name", u.Name,
		"--slots", strconv.Itoa(d.Slots), "--work", d.Work.String(), "--sigma", fmt.Sprint(d.Sigma),
		"--log", u.StartLog, "--seed", strconv.FormatUint(f.options.Seed+uint64(f.generation), 10))
	if err != nil {
		return err
	}
	u.ListedAddress = u.Address
	if f.options.ViaFaultProxy {
		if u.ListedAddress, err = f.link(standin.Link{Name: u.Name, Network: "tcp", Listen: "127.0.0.1:0", Target: u.Address}); err != nil {
			return err
		}
	}
	return f.Register(u.Service, u.Name, u.ListedAddress, u.dataCentre, port.Live)
}

// ReplaceUpstream kills an upstream and starts another one with the same name.
func (f *Fleet) ReplaceUpstream(ctx context.Context, name string) error {
	u := f.Upstream(name)
	u.Kill()
	return f.startUpstream(ctx, u)
}

func (f *Fleet) dataCentre(i int) string {
	return f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)]
}

// delayRules returns the rules that delay the links between data centres.
func (f *Fleet) delayRules() []standin.Rule {
	var rules []standin.Rule
	for _, n := range f.Nodes {
		for _, u := range f.Upstreams {
			if u.dataCentre != n.dataCentre {
				rules = append(rules, standin.Rule{From: n.IP, To: u.Name, Delay: f.Deployment.OneWayDelay})
			}
		}
		for _, m := range f.Nodes {
			if m.dataCentre != n.dataCentre {
				rules = append(rules, standin.Rule{From: n.IP, To: m.Name, Delay: f.Deployment.OneWayDelay})
			}
		}
	}
	return rules
}

// PartitionRules returns the rules that cut a data centre off from all others in both
// directions; none for an empty name.
func (f *Fleet) PartitionRules(dataCentre string) []standin.Rule {
	var rules []standin.Rule
	cut := func(n *Node, to, toDataCentre string) {
		if dataCentre != "" && (n.dataCentre == dataCentre) != (toDataCentre == dataCentre) {
			rules = append(rules, standin.Rule{From: n.IP, To: to, DropOutbound: true, DropInbound: true})
		}
	}
	for _, n := range f.Nodes {
		for _, u := range f.Upstreams {
			cut(n, u.Name, u.dataCentre)
		}
		for _, m := range f.Nodes {
			cut(n, m.Name, m.dataCentre)
		}
	}
	return rules
}

// publish sends the template and its accounts to the first node with eiderctl.
func (f *Fleet) publish() error {
	if output, err := f.Eiderctl(0, "template", "publish", f.Deployment.templatePath); err != nil {
		return errors.Wrap(err, output)
	}
	names := make([]string, 0, len(f.Deployment.Accounts))
	for name := range f.Deployment.Accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		arguments := []string{"account", "set", f.Deployment.Name, name}
		for parameter, value := range f.Deployment.Accounts[name] {
			arguments = append(arguments, parameter+"="+value)
		}
		if output, err := f.Eiderctl(0, arguments...); err != nil {
			return errors.Wrap(err, output)
		}
	}
	return nil
}

// Upstream returns an upstream by name.
func (f *Fleet) Upstream(name string) *Upstream {
	for _, u := range f.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// Close kills every process.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, u := range f.Upstreams {
		if u.Process != nil {
			u.Kill()
		}
	}
	for _, p := range []*Process{f.faultProxy, f.platform} {
		if p != nil {
			p.Kill()
		}
	}
}
