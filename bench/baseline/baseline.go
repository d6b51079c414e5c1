// Package baseline holds the policies that eiderfold is measured against: what
// widespread proxies do, on the same path of a request.
//
// # Usage
//
//	n, err := node.New(settings, material, node.WithLocal(baseline.Consecutive))
//
// Each node decides for itself from what it sees itself.
package baseline

import (
	"math"
	"time"

	"eiderfold/core"
	"eiderfold/node"
)

// The widespread defaults.
const (
	sweep            = 10 * time.Second
	baseEjection     = 30 * time.Second
	consecutiveLimit = 5
	deviations       = 1.9
	// The usual 100 requests and 5 hosts would keep the deviation from ever
	// counting at these sizes.
	leastRequests = 20
	leastHosts    = 3
)

// None never ejects.
func None(core.Policy) node.Local { return none{} }

type none struct{}

func (none) Update(core.Message)   {}
func (none) Weight(string) float64 { return 1 }
func (none) Suspects(string) bool  { return false }

// host is what a node keeps of an upstream.
type host struct {
	row       int
	good, bad float64
	until     time.Time
	ejections int
	out       bool
}

// ejector is what both baselines share: ejection for longer each time, ended by a
// sweep, and never more than the floor allows this one node.
type ejector struct {
	floor int
	hosts map[string]*host
	swept time.Time
}

func (e *ejector) members(m core.Members) {
	next := make(map[string]*host, len(m.Upstreams))
	for _, u := range m.Upstreams {
		next[u] = e.hosts[u]
		if next[u] == nil {
			next[u] = &host{}
		}
	}
	e.hosts = next
}

func (e *ejector) eject(h *host, at time.Time) {
	out := 0
	for _, o := range e.hosts {
		if o.out {
			out++
		}
	}
	if h.out || out >= len(e.hosts)-e.floor {
		return
	}
	h.out = true
	h.ejections++
	h.until = at.Add(time.Duration(h.ejections) * baseEjection)
	h.row = 0
}

// due reports whether a sweep is due, and readmits whose time is over.
func (e *ejector) due(at time.Time) bool {
	if e.swept.IsZero() {
		e.swept = at
	}
	if at.Sub(e.swept) < sweep {
		return false
	}
	e.swept = at
	for _, h := range e.hosts {
		if h.out && at.After(h.until) {
			h.out = false
		}
	}
	return true
}

// Weight implements node.Local.
func (e *ejector) Weight(upstream string) float64 {
	if h := e.hosts[upstream]; h != nil && h.out {
		return 0
	}
	return 1
}

// Suspects implements node.Local.
func (e *ejector) Suspects(string) bool { return false }

// Consecutive ejects after five failures in a row.
func Consecutive(p core.Policy) node.Local { return &consecutive{ejector{floor: p.Floor}} }

type consecutive struct{ ejector }

// Update implements node.Local.
func (c *consecutive) Update(m core.Message) {
	switch m := m.(type) {
	case core.Members:
		c.members(m)
	case core.Tick:
		c.due(m.At)
	case core.Evidence:
		for _, n := range m.Counts {
			h := c.hosts[n.Upstream]
			if h == nil {
				continue
			}
			if n.Fast+n.Slow > 0 {
				h.row = 0
			}
			if h.row += int(n.Failed); h.row >= consecutiveLimit {
				c.eject(h, m.At)
			}
		}
	}
}

// Deviation ejects, every ten seconds, whose success rate is 1.9 standard
// deviations under the mean.
func Deviation(p core.Policy) node.Local { return &deviation{ejector{floor: p.Floor}} }

type deviation struct{ ejector }

// Update implements node.Local.
func (d *deviation) Update(m core.Message) {
	switch m := m.(type) {
	case core.Members:
		d.members(m)
	case core.Evidence:
		for _, n := range m.Counts {
			if h := d.hosts[n.Upstream]; h != nil {
				h.good += float64(n.Fast + n.Slow)
				h.bad += float64(n.Failed)
			}
		}
	case core.Tick:
		if d.due(m.At) {
			d.judge(m.At)
		}
	}
}

func (d *deviation) judge(at time.Time) {
	var rates []float64
	for _, h := range d.hosts {
		if !h.out && h.good+h.bad >= leastRequests {
			rates = append(rates, h.good/(h.good+h.bad))
		}
	}
	mean, sigma := spread(rates)
	for _, h := range d.hosts {
		enough := len(rates) >= leastHosts && h.good+h.bad >= leastRequests
		if !h.out && enough && h.good/(h.good+h.bad) < mean-deviations*sigma {
			d.eject(h, at)
		}
		h.good, h.bad = 0, 0
	}
}

func spread(rates []float64) (mean, sigma float64) {
	for _, r := range rates {
		mean += r / float64(len(rates))
	}
	for _, r := range rates {
		sigma += (r - mean) * (r - mean) / float64(len(rates))
	}
	return mean, math.Sqrt(sigma)
}
