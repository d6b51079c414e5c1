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

// Control runs eiderctl against a node.
func (f *Fleet) Control(node int, arguments ...string) (string, error) {
	c := exec.Command(f.binaries.Control, arguments...)
	c.Env = append(os.Environ(), "EIDERCTL_ADDRESS=http://"+f.Nodes[node].Admin(), "EIDERCTL_TOKEN="+f.token)
	output, err := c.CombinedOutput()
	return string(output), err
}

// WaitReady waits until every node has the configuration and a coordinator that
// decides.
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

func (f *Fleet) ready() bool {
	deciding := 0
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
			deciding++
		}
	}
	return deciding == 1 || f.options.Policy != ""
}

// Dump asks a node for its state.
func (f *Fleet) Dump(n *Node) (node.Dump, error) {
	var d node.Dump
	r, err := http.NewRequest(http.MethodGet, "http://"+n.Admin()+"/v1/dump", nil)
	if err != nil {
		return d, err
	}
	r.Header.Set("Authorization", "Bearer "+f.token)
	answer, err := (&http.Client{Timeout: 2 * time.Second}).Do(r)
	if err != nil {
		return d, err
	}
	defer answer.Body.Close() //nolint:errcheck // Only read from.
	return d, json.NewDecoder(answer.Body).Decode(&d)
}

// Coordinator returns the node that coordinates, nil if there is none.
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

// SetMode changes how an upstream behaves.
func (f *Fleet) SetMode(name string, m standin.Mode) error {
	return control(f.Upstream(name).Address, m)
}

// SetPlatform changes what is wrong with the platform.
func (f *Fleet) SetPlatform(faults standin.PlatformFaults) error {
	return control(f.Platform, faults)
}

// SetRules bends links, besides the delays between data centres.
func (f *Fleet) SetRules(rules []standin.Rule) error {
	return send(http.MethodPut, "http://"+f.Cutter+"/rules", append(slices.Clone(rules), f.base...), nil)
}

// Counts returns what an upstream did.
func (f *Fleet) Counts(name string) (standin.UpstreamCounts, error) {
	var c standin.UpstreamCounts
	err := fetch("http://"+f.Upstream(name).Address+"/control", &c)
	return c, err
}

// PlatformCounts returns what was asked of the platform.
func (f *Fleet) PlatformCounts() (standin.PlatformCounts, error) {
	var c standin.PlatformCounts
	err := fetch("http://"+f.Platform+"/control", &c)
	return c, err
}

// Register puts an instance on the platform's list, or changes its state.
func (f *Fleet) Register(service, name, address, centre string, state port.State) error {
	text := standin.Registration(service, name, address, centre, strconv.Itoa(f.generation), state)
	return send(http.MethodPut, "http://"+f.Platform+"/v1/agent/service/register", json.RawMessage(text), nil)
}

// Deregister takes an instance off the platform's list.
func (f *Fleet) Deregister(name string) error {
	return send(http.MethodPut, "http://"+f.Platform+"/v1/agent/service/deregister/"+name, struct{}{}, nil)
}

func (f *Fleet) link(l standin.Link) (string, error) {
	var where bytes.Buffer
	err := send(http.MethodPost, "http://"+f.Cutter+"/link", l, &where)
	return where.String(), err
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
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // Only read from.
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		return errors.Errorf("%s: %s", url, strings.TrimSpace(string(text)))
	}
	if into != nil {
		_, err = io.Copy(into, answer.Body)
	}
	return err
}

func fetch(url string, into any) error {
	answer, err := http.Get(url)
	if err != nil {
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // Only read from.
	return json.NewDecoder(answer.Body).Decode(into)
}
