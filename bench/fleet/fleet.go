package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"eiderfold/bench/standin"
	"eiderfold/keys"
	"eiderfold/node"
	"eiderfold/port"
)

// Deployment says what runs where; it is read from a data file.
type Deployment struct {
	Name        string        `yaml:"name"`
	Template    string        `yaml:"template"` // YAML file beside the deployment's.
	DataCentres []string      `yaml:"data_centres"`
	OneWay      time.Duration `yaml:"one_way"` // Between data centres.
	Work        time.Duration `yaml:"work"`
	Sigma       float64       `yaml:"sigma"`
	Slots       int           `yaml:"slots"`
	Services    []struct {
		Name      string `yaml:"name"`
		Upstreams int    `yaml:"upstreams"`
		Floor     int    `yaml:"floor"`  // As in the template, for the checks.
		Lookup    string `yaml:"lookup"` // Path of a retryable GET.
		Order     string `yaml:"order"`  // Path of an at-most-once POST.
	} `yaml:"services"`
	Nodes    int                          `yaml:"nodes"` // 0 for one beside each upstream.
	Accounts map[string]map[string]string `yaml:"accounts"`
	source   string
}

// ReadDeployment reads a deployment's file and its template's.
func ReadDeployment(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	d := &Deployment{}
	if err := yaml.UnmarshalWithOptions(text, d, yaml.Strict()); err != nil {
		return nil, errors.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	d.source = filepath.Join(filepath.Dir(path), d.Template)
	return d, nil
}

// Options change how a deployment is run.
type Options struct {
	Dir  string // For logs and settings.
	Seed uint64
	Base byte // Third number of the nodes' IP numbers, so that two fleets can run at a time.
	// Linked puts the cutter between nodes, and between nodes and upstreams.
	Linked bool
	// Policy names a baseline to run in place of the product's decisions.
	Policy string
	// Log is the nodes' log level; info by default.
	Log string
}

// Node is a node of the fleet. Its process and addresses change when it is
// restarted, while a load reads them.
type Node struct {
	Name   string
	IP     string
	centre string
	file   string
	now    atomic.Pointer[place]
}

// place is one process of a node.
type place struct {
	process               *Process
	callers, admin, peers string
}

// Callers returns the IP:port for callers.
func (n *Node) Callers() string { return n.now.Load().callers }

// Admin returns the IP:port of the admin API.
func (n *Node) Admin() string { return n.now.Load().admin }

// Peers returns the IP:port for other nodes, as the platform lists it.
func (n *Node) Peers() string { return n.now.Load().peers }

// PID returns the process id.
func (n *Node) PID() int { return n.now.Load().process.PID() }

// Running reports whether the node's process has not ended.
func (n *Node) Running() bool { return n.now.Load().process.Running() }

// Signal sends the node's process a signal.
func (n *Node) Signal(s os.Signal) error { return n.now.Load().process.Signal(s) }

// Kill ends the node's process at once.
func (n *Node) Kill() { n.now.Load().process.Kill() }

// Stop ends the node's process by plan.
func (n *Node) Stop() { n.now.Load().process.Stop() }

// Upstream is a running stand-in.
type Upstream struct {
	*Process
	Name    string
	Service string
	Address string // Its own.
	Listed  string // As the platform lists it.
	Starts  string // Log of every start of work.
	centre  string
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment *Deployment
	Nodes      []*Node
	Upstreams  []*Upstream
	binaries   Binaries
	options    Options
	platform   *Process
	Platform   string
	cutter     *Process
	Cutter     string
	base       []standin.Rule
	authority  *keys.Authority
	token      string
	generation int
}

// Start runs a deployment and publishes its template and accounts.
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
	if f.platform, f.Platform, err = f.standin(ctx, "platform"); err != nil {
		return err
	}
	if f.cutter, f.Cutter, err = f.standin(ctx, "cutter"); err != nil {
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
	f.base = f.delays()
	if err := f.SetRules(nil); err != nil {
		return err
	}
	if err := f.publish(); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

func (f *Fleet) standin(ctx context.Context, kind string, arguments ...string) (*Process, string, error) {
	name := kind
	if len(arguments) > 1 {
		name = arguments[1]
	}
	return StartStandin(ctx, name, f.options.Dir, f.binaries.Standin, append([]string{kind}, arguments...)...)
}

func (f *Fleet) startUpstreams(ctx context.Context) error {
	for _, s := range f.Deployment.Services {
		for i := 1; i <= s.Upstreams; i++ {
			u := &Upstream{Name: s.Name + "-" + strconv.Itoa(i), Service: s.Name, centre: f.centre(len(f.Upstreams))}
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
	u.Starts = filepath.Join(f.options.Dir, u.Name+".starts")
	var err error
	u.Process, u.Address, err = f.standin(ctx, "upstream", "--name", u.Name,
		"--slots", strconv.Itoa(d.Slots), "--work", d.Work.String(), "--sigma", fmt.Sprint(d.Sigma),
		"--log", u.Starts, "--seed", strconv.FormatUint(f.options.Seed+uint64(f.generation), 10))
	if err != nil {
		return err
	}
	u.Listed = u.Address
	if f.options.Linked {
		if u.Listed, err = f.link(standin.Link{Name: u.Name, Network: "tcp", Listen: "127.0.0.1:0", Target: u.Address}); err != nil {
			return err
		}
	}
	return f.Register(u.Service, u.Name, u.Listed, u.centre, port.Live)
}

// ReplaceUpstream kills an upstream and starts another one under its name.
func (f *Fleet) ReplaceUpstream(ctx context.Context, name string) error {
	u := f.Upstream(name)
	u.Kill()
	return f.startUpstream(ctx, u)
}

func (f *Fleet) centre(i int) string {
	return f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)]
}

func (f *Fleet) startNode(ctx context.Context, i int) error {
	n := &Node{Name: "node-" + strconv.Itoa(i+1), IP: fmt.Sprintf("127.0.%d.%d", f.options.Base+1, i+1), centre: f.centre(i)}
	beside := ""
	if i < len(f.Upstreams) && f.Deployment.Nodes == 0 {
		beside = f.Upstreams[i].Name
	}
	text, err := f.settings(n, beside)
	if err != nil {
		return err
	}
	n.file = filepath.Join(f.options.Dir, n.Name+".yaml")
	if err := os.WriteFile(n.file, text, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := f.run(ctx, n); err != nil {
		return err
	}
	f.Nodes = append(f.Nodes, n)
	return nil
}

// run starts a node's process and puts it on the platform's list.
func (f *Fleet) run(ctx context.Context, n *Node) error {
	program, arguments := f.binaries.Node, []string{"run", "--settings", n.file}
	if f.options.Policy != "" {
		program, arguments = f.binaries.Baseline, append([]string{f.options.Policy}, arguments...)
	}
	p, err := start(n.Name, filepath.Join(f.options.Dir, n.Name+".log"), program, arguments, parseServing)
	if err != nil {
		return err
	}
	found, err := p.wait(ctx)
	if err != nil {
		p.Kill()
		return err
	}
	peers := found["peers"]
	if f.options.Linked {
		if peers, err = f.link(standin.Link{Name: n.Name, Network: "udp", Listen: "127.0.0.1:0", Target: peers}); err != nil {
			p.Kill()
			return err
		}
	}
	n.now.Store(&place{p, found["callers"], found["admin"], peers})
	return f.Register(node.NodeList(f.Deployment.Name), n.Name, peers, n.centre, port.Live)
}

// Restart runs a node again that has ended.
func (f *Fleet) Restart(ctx context.Context, n *Node) error { return f.run(ctx, n) }

func (f *Fleet) settings(n *Node, beside string) ([]byte, error) {
	pair, err := f.authority.Issue(n.Name, []string{n.IP})
	if err != nil {
		return nil, err
	}
	level := f.options.Log
	if level == "" {
		level = "info"
	}
	return yaml.Marshal(map[string]any{
		"node":        n.Name,
		"data_centre": n.centre,
		"beside":      beside,
		"templates":   []string{f.Deployment.Name},
		"seeds":       f.seeds(),
		"listen":      map[string]string{"callers": n.IP + ":0", "admin": n.IP + ":0", "peers": n.IP + ":0"},
		"platform":    map[string]string{"address": "http://" + f.Platform},
		"keys":        map[string]string{"certificate": string(pair.Certificate), "key": string(pair.Key), "authority": string(f.authority.Certificate())},
		"teams":       []map[string]any{{"name": "operators", "token": f.token, "templates": []string{"*"}}},
		"stop":        map[string]string{"grace": "500ms"},
		"log":         map[string]string{"level": level},
	})
}

// seeds are the nodes that run already.
func (f *Fleet) seeds() []string {
	seeds := []string{}
	for _, n := range f.Nodes {
		seeds = append(seeds, n.Peers())
	}
	return seeds
}

// delays are the rules that put the data centres apart.
func (f *Fleet) delays() []standin.Rule {
	var rules []standin.Rule
	for _, n := range f.Nodes {
		for _, u := range f.Upstreams {
			if u.centre != n.centre {
				rules = append(rules, standin.Rule{From: n.IP, To: u.Name, Delay: f.Deployment.OneWay})
			}
		}
		for _, m := range f.Nodes {
			if m.centre != n.centre {
				rules = append(rules, standin.Rule{From: n.IP, To: m.Name, Delay: f.Deployment.OneWay})
			}
		}
	}
	return rules
}

// CutOff returns rules that cut a data centre off from all others, both ways; none
// for an empty name.
func (f *Fleet) CutOff(centre string) []standin.Rule {
	var rules []standin.Rule
	cut := func(n *Node, to, toCentre string) {
		if centre != "" && (n.centre == centre) != (toCentre == centre) {
			rules = append(rules, standin.Rule{From: n.IP, To: to, CutOut: true, CutIn: true})
		}
	}
	for _, n := range f.Nodes {
		for _, u := range f.Upstreams {
			cut(n, u.Name, u.centre)
		}
		for _, m := range f.Nodes {
			cut(n, m.Name, m.centre)
		}
	}
	return rules
}

// publish puts the template and its accounts in force through a node's admin API.
func (f *Fleet) publish() error {
	if output, err := f.Control(0, "template", "publish", f.Deployment.source); err != nil {
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
		if output, err := f.Control(0, arguments...); err != nil {
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

// Close ends every process.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, u := range f.Upstreams {
		if u.Process != nil {
			u.Kill()
		}
	}
	for _, p := range []*Process{f.cutter, f.platform} {
		if p != nil {
			p.Kill()
		}
	}
}
