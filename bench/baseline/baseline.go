// Package baseline implements the ejection policies that eiderfold is compared with: those
// of widespread proxies, on the same request path.
//
// # Usage
//
//	n, err := node.New(settings, material, node.WithLocal(baseline.Consecutive))
//
// Each node decides independently, from its own observations.
package baseline

import (
	"math"
	"time"

	"eiderfold/core"
	"eiderfold/node"
)

// Defaults of widespread proxies.
const (
	sweepInterval    = 10 * time.Second
	baseEjection     = 30 * time.Second
	consecutiveLimit = 5
	maxDeviations    = 1.9
	// Lower than the usual 100 requests and 5 hosts, which are never reached at the sizes
	// compared here.
	minRequests = 20
	minHosts    = 3
)

// None returns a policy that never ejects.
func None(core.Policy) node.Local { return none{} }

type none struct{}

func (none) Update(core.Message)    {}
func (none) Weight(string) float64  { return 1 }
func (none) Unreliable(string) bool { return false }

// host holds what a node has recorded about an upstream.
type host struct {
	consecutiveFailures int
	succeeded, failed   float64
	ejectedUntil        time.Time
	ejections           int
	ejected             bool
}

// ejector is the part that both baselines share. Each ejection of a host lasts longer than
// the one before and ends at a sweep. The node ejects no more hosts than the floor allows.
type ejector struct {
	floor     int
	hosts     map[string]*host
	lastSweep time.Time
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
	ejectedCount := 0
	for _, o := range e.hosts {
		if o.ejected {
			ejectedCount++
		}
	}
	if h.ejected || ejectedCount >= len(e.hosts)-e.floor {
		return
	}
	h.ejected = true
	h.ejections++
	h.ejectedUntil = at.Add(time.Duration(h.ejections) * baseEjection)
	h.consecutiveFailures = 0
}

// sweep readmits the hosts whose ejection has expired, if sweepInterval has passed, and
// reports whether it has.
func (e *ejector) sweep(at time.Time) bool {
	if e.lastSweep.IsZero() {
		e.lastSweep = at
	}
	if at.Sub(e.lastSweep) < sweepInterval {
		return false
	}
	e.lastSweep = at
	for _, h := range e.hosts {
		if h.ejected && at.After(h.ejectedUntil) {
			h.ejected = false
		}
	}
	return true
}

// Weight implements node.Local.
func (e *ejector) Weight(upstream string) float64 {
	if h := e.hosts[upstream]; h != nil && h.ejected {
		return 0
	}
	return 1
}

// Unreliable implements node.Local.
func (e *ejector) Unreliable(string) bool { return false }

// Consecutive returns a policy that ejects an upstream after five consecutive failures.
func Consecutive(p core.Policy) node.Local { return &consecutive{ejector{floor: p.Floor}} }

type consecutive struct{ ejector }

// Update implements node.Local.
func (c *consecutive) Update(m core.Message) {
	switch m := m.(type) {
	case core.Members:
		c.members(m)
	case core.Tick:
		c.sweep(m.At)
	case core.Evidence:
		for _, n := range m.Counts {
			h := c.hosts[n.Upstream]
			if h == nil {
				continue
			}
			if n.Fast+n.Slow > 0 {
				h.consecutiveFailures = 0
			}
			if h.consecutiveFailures += int(n.Failed); h.consecutiveFailures >= consecutiveLimit {
				c.eject(h, m.At)
			}
		}
	}
}

// Deviation returns a policy that ejects, every ten seconds, the upstreams whose success
// rate is more than 1.9 standard deviations below the mean.
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
				h.succeeded += float64(n.Fast + n.Slow)
				h.failed += float64(n.Failed)
			}
		}
	case core.Tick:
		if d.sweep(m.At) {
			d.ejectOutliers(m.At)
		}
	}
}

// ejectOutliers ejects the outliers among the hosts with enough requests, and resets all
// counts.
func (d *deviation) ejectOutliers(at time.Time) {
	var rates []float64
	for _, h := range d.hosts {
		if !h.ejected && h.succeeded+h.failed >= minRequests {
			rates = append(rates, h.succeeded/(h.succeeded+h.failed))
		}
	}
	mean, sigma := meanAndDeviation(rates)
	for _, h := range d.hosts {
		enough := len(rates) >= minHosts && h.succeeded+h.failed >= minRequests
		if !h.ejected && enough && h.succeeded/(h.succeeded+h.failed) < mean-maxDeviations*sigma {
			d.eject(h, at)
		}
		h.succeeded, h.failed = 0, 0
	}
}

func meanAndDeviation(rates []float64) (mean, sigma float64) {
	for _, r := range rates {
		mean += r / float64(len(rates))
	}
	for _, r := range rates {
		sigma += (r - mean) * (r - mean) / float64(len(rates))
	}
	return mean, math.Sqrt(sigma)
}
