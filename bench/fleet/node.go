package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"eiderfold/bench/standin"
	"eiderfold/node"
	"eiderfold/port"
)

// Node is a node of the fleet. A restart replaces its process and addresses while a
// load generator may read them.
type Node struct {
	Name         string
	IP           string
	dataCentre   string
	settingsPath string
	current      atomic.Pointer[nodeProcess]
}

// nodeProcess holds a node's process and its addresses.
type nodeProcess struct {
	process               *Process
	callers, admin, peers string
}

// CallerAddress returns the IP:port for callers.
func (n *Node) CallerAddress() string { return n.current.Load().callers }

// AdminAddress returns the IP:port of the admin API.
func (n *Node) AdminAddress() string { return n.current.Load().admin }

// PeerAddress returns the IP:port for other nodes, as the platform lists it.
func (n *Node) PeerAddress() string { return n.current.Load().peers }

// PID returns the process id.
func (n *Node) PID() int { return n.current.Load().process.PID() }

// Running reports whether the node's process has not exited.
func (n *Node) Running() bool { return n.current.Load().process.Running() }

// Signal sends the node's process a signal.
func (n *Node) Signal(s os.Signal) error { return n.current.Load().process.Signal(s) }

// Kill kills the node's process.
func (n *Node) Kill() { n.current.Load().process.Kill() }

// Stop terminates the node's process gracefully.
func (n *Node) Stop() { n.current.Load().process.Stop() }

func (f *Fleet) startNode(ctx context.Context, i int) error {
	n := &Node{Name: "node-" + strconv.Itoa(i+1), IP: fmt.Sprintf("127.0.%d.%d", f.options.Subnet+1, i+1), dataCentre: f.dataCentre(i)}
	localUpstream := ""
	if i < len(f.Upstreams) && f.Deployment.Nodes == 0 {
		localUpstream = f.Upstreams[i].Name
	}
	text, err := f.settings(n, localUpstream)
	if err != nil {
		return err
	}
	n.settingsPath = filepath.Join(f.options.Dir, n.Name+".yaml")
	if err := os.WriteFile(n.settingsPath, text, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := f.run(ctx, n); err != nil {
		return err
	}
	f.Nodes = append(f.Nodes, n)
	return nil
}

// run starts a node's process and registers the node with the platform.
func (f *Fleet) run(ctx context.Context, n *Node) error {
	program, arguments := f.binaries.Node, []string{"run", "--settings", n.settingsPath}
	if f.options.Policy != "" {
		program, arguments = f.binaries.Baseline, append([]string{f.options.Policy}, arguments...)
	}
	p, err := start(n.Name, filepath.Join(f.options.Dir, n.Name+".log"), program, arguments, parseServing)
	if err != nil {
		return err
	}
	addresses, err := p.wait(ctx)
	if err != nil {
		p.Kill()
		return err
	}
	peers := addresses["peers"]
	if f.options.ViaFaultProxy {
		if peers, err = f.link(standin.Link{Name: n.Name, Network: "udp", Listen: "127.0.0.1:0", Target: peers}); err != nil {
			p.Kill()
			return err
		}
	}
	n.current.Store(&nodeProcess{p, addresses["callers"], addresses["admin"], peers})
	return f.Register(node.ListName(f.Deployment.Name), n.Name, peers, n.dataCentre, port.Live)
}

// Restart starts a node whose process has exited.
func (f *Fleet) Restart(ctx context.Context, n *Node) error { return f.run(ctx, n) }

func (f *Fleet) settings(n *Node, localUpstream string) ([]byte, error) {
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
		"data_centre": n.dataCentre,
		"beside":      localUpstream,
		"templates":   []string{f.Deployment.Name},
		"seeds":       f.seeds(),
		"listen":      map[string]string{"callers": n.IP + ":0", "admin": n.IP + ":0", "peers": n.IP + ":0"},
		"platform":    map[string]string{"address": "http://" + f.PlatformAddress},
		"keys":        map[string]string{"certificate": string(pair.Certificate), "key": string(pair.Key), "authority": string(f.authority.Certificate())},
		"teams":       []map[string]any{{"name": "operators", "token": f.token, "templates": []string{"*"}}},
		"stop":        map[string]string{"grace": "500ms"},
		"log":         map[string]string{"level": level},
	})
}

// seeds returns the peer addresses of the nodes that were started so far. The next node
// contacts them if the platform is unavailable at its start.
func (f *Fleet) seeds() []string {
	seeds := []string{}
	for _, n := range f.Nodes {
		seeds = append(seeds, n.PeerAddress())
	}
	return seeds
}
