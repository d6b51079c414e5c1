package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eiderfold/bench/standin"
	"eiderfold/node"
	"eiderfold/port"
)

// Eiderctl runs eiderctl against a node.
func (f *Fleet) Eiderctl(node int, arguments ...string) (string, error) {
	c := exec.Command(f.binaries.Eiderctl, arguments...)
	c.Env = append(os.Environ(), "EIDERCTL_ADDRESS=http://"+f.Nodes[node].AdminAddress(), "EIDERCTL_TOKEN="+f.token)
	output, err := c.CombinedOutput()
	return string(output), err
}

// WaitReady waits until every running node has the configuration, a lease and all
// upstreams, and exactly one node, the coordinator, makes decisions. With a baseline policy
// no node does, and it does not wait for that.
func (f *Fleet) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if f.ready() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("the fleet is not ready; see %s", f.options.Dir)
}

// ready reports whether the condition of WaitReady holds.
func (f *Fleet) ready() bool {
	decidingNodes := 0
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		d, err := f.Dump(n)
		if err != nil || d.Accounts < len(f.Deployment.Accounts) {
			return false
		}
		g := d.Groups[f.Deployment.Name]
		if g.Coordinator.Epoch == 0 || g.LeaseLeft == "0s" || len(g.Services) != len(f.Deployment.Services) {
			return false
		}
		for _, s := range f.Deployment.Services {
			if len(g.Services[s.Name].Upstreams) != s.Upstreams {
				return false
			}
		}
		if g.Deciding {
			decidingNodes++
		}
	}
	return decidingNodes == 1 || f.options.Policy != ""
}

// Dump returns a node's state from its admin API.
func (f *Fleet) Dump(n *Node) (node.Dump, error) {
	var d node.Dump
	r, err := http.NewRequest(http.MethodGet, "http://"+n.AdminAddress()+"/v1/dump", nil)
	if err != nil {
		return d, err
	}
	r.Header.Set("Authorization", "Bearer "+f.token)
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(r)
	if err != nil {
		return d, err
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	return d, json.NewDecoder(resp.Body).Decode(&d)
}

// Coordinator returns the first running node that reports that it leads, that is that it is
// the coordinator, nil if there is none. It may not make decisions yet.
func (f *Fleet) Coordinator() *Node {
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		if d, err := f.Dump(n); err == nil && d.Groups[f.Deployment.Name].Leading {
			return n
		}
	}
	return nil
}

// SetMode replaces the mode of an upstream.
func (f *Fleet) SetMode(name string, m standin.Mode) error {
	return control(f.Upstream(name).Address, m)
}

// SetPlatformFaults replaces the faults of the platform.
func (f *Fleet) SetPlatformFaults(faults standin.PlatformFaults) error {
	return control(f.PlatformAddress, faults)
}

// SetRules replaces the rules of the links. The delays between data centres apply
// where none of them matches.
func (f *Fleet) SetRules(rules []standin.Rule) error {
	return send(http.MethodPut, "http://"+f.FaultProxyAddress+"/rules", append(slices.Clone(rules), f.delays...), nil)
}

// Counts returns an upstream's request counts.
func (f *Fleet) Counts(name string) (standin.UpstreamCounts, error) {
	var c standin.UpstreamCounts
	err := fetch("http://"+f.Upstream(name).Address+"/control", &c)
	return c, err
}

// PlatformCounts returns the platform's request counts.
func (f *Fleet) PlatformCounts() (standin.PlatformCounts, error) {
	var c standin.PlatformCounts
	err := fetch("http://"+f.PlatformAddress+"/control", &c)
	return c, err
}

// Register adds an instance to the platform's list or changes its state.
func (f *Fleet) Register(service, name, address, dataCentre string, state port.State) error {
	text := standin.Registration(service, name, address, dataCentre, strconv.Itoa(f.generation), state)
	return send(http.MethodPut, "http://"+f.PlatformAddress+"/v1/agent/service/register", json.RawMessage(text), nil)
}

// Deregister removes an instance from the platform's list.
func (f *Fleet) Deregister(name string) error {
	return send(http.MethodPut, "http://"+f.PlatformAddress+"/v1/agent/service/deregister/"+name, struct{}{}, nil)
}

// link opens a link through the fault proxy and returns the address it listens on.
func (f *Fleet) link(l standin.Link) (string, error) {
	var addr bytes.Buffer
	err := send(http.MethodPost, "http://"+f.FaultProxyAddress+"/link", l, &addr)
	return addr.String(), err
}

func control(address string, value any) error {
	return send(http.MethodPut, "http://"+address+"/control", value, nil)
}

func send(method, url string, value any, into io.Writer) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("%s: %s", url, strings.TrimSpace(string(text)))
	}
	if into != nil {
		_, err = io.Copy(into, resp.Body)
	}
	return err
}

func fetch(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	return json.NewDecoder(resp.Body).Decode(into)
}
