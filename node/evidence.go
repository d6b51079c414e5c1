package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
)

const (
	tickPeriod     = 50 * time.Millisecond
	detectorPeriod = 250 * time.Millisecond
	// pauseThreshold is the gap between ticks from which on the process counts as
	// paused; another node may have become the coordinator meanwhile.
	pauseThreshold = core.Lease / 2
)

// runTicks periodically drains evidence, advances the state machines and updates
// the balancers.
func (g *Group) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	lastAdvance := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		g.mu.Lock()
		if gap := now.Sub(g.lastTick); !g.lastTick.IsZero() && gap > pauseThreshold {
			g.handlePause(gap)
		}
		g.lastTick = now
		suspicious := g.drain(now)
		if now.Sub(lastAdvance) >= detectorPeriod {
			lastAdvance = now
			g.advance(now)
		}
		g.mu.Unlock()
		if suspicious {
			g.requestHeartbeat()
		}
	}
}

// requestHeartbeat triggers a heartbeat before the next one is due.
func (g *Group) requestHeartbeat() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// drain collects the counts of the request path. It reports whether they justify
// an early heartbeat: an upstream failed or was slow, and local weights suspect it.
// A slow answer alone does not: one in twenty is slow by definition, and a
// heartbeat for each would dominate the traffic between nodes.
func (g *Group) drain(now time.Time) bool {
	suspicious := false
	for name, s := range g.services {
		var counts []core.Count
		for _, m := range s.upstreams {
			m.upstream.CountSlow(now)
			if m.upstream.Leaving() {
				g.reportLeaving(m.upstream.Name() + "/" + m.generation)
			}
			c := m.upstream.Drain()
			if c.Fast+c.Slow+c.Failed > 0 {
				counts = append(counts, c)
			}
		}
		s.local.Update(core.Tick{At: now})
		if len(counts) == 0 {
			continue
		}
		own := core.Evidence{At: now, Reporter: g.node.identity.Node, LocalUpstream: g.node.settings.LocalUpstream(), Counts: counts}
		s.local.Update(own)
		for _, c := range counts {
			suspicious = suspicious || c.Failed+c.Slow > 0 && s.local.Unreliable(c.Upstream)
		}
		if g.leading() {
			g.execute(name, s, s.detector.Update(own))
			g.updateBalancer(name, s)
			continue
		}
		for _, c := range counts {
			p := s.pending[c.Upstream]
			s.pending[c.Upstream] = core.Count{Upstream: c.Upstream, Fast: p.Fast + c.Fast, Slow: p.Slow + c.Slow, Failed: p.Failed + c.Failed}
		}
		g.updateBalancer(name, s)
	}
	return suspicious
}

// reportLeaving records an upstream that announced that it is leaving, which the
// platform's list may show much later. The coordinator updates the roster; another
// node reports the upstream with its next heartbeat.
func (g *Group) reportLeaving(nameAndGeneration string) {
	if g.leaving[nameAndGeneration] {
		return
	}
	if g.leading() {
		g.markLeaving(nameAndGeneration)
		return
	}
	g.leaving[nameAndGeneration] = true
	g.requestHeartbeat()
}

// advance passes the current time to the state machines.
func (g *Group) advance(now time.Time) {
	g.operations.Update(core.Tick{At: now})
	g.claims.Update(core.Tick{At: now})
	if g.leading() {
		g.advanceLeader(now)
		for name, s := range g.services {
			g.execute(name, s, s.detector.Update(core.Tick{At: now}))
		}
	}
	for name, s := range g.services {
		g.updateBalancer(name, s) // The lease and the local weights change with time.
	}
}

// execute runs the commands that a service's outlier detector returned. It updates the
// balancer if a decision changed: each LogDecision comes with a Publish. A single command
// is the Publish of a tick, after which advance updates all balancers.
func (g *Group) execute(name string, s *service, commands []core.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case core.LogDecision:
			g.logDecision(name, c)
		case core.Publish:
			g.publish(name, c.Set)
		}
	}
	if len(commands) > 1 {
		g.updateBalancer(name, s)
	}
}

func (g *Group) logDecision(service string, d core.LogDecision) {
	g.node.decisions.Add(d.Phase.String(), 1)
	g.log.Info("upstream "+d.Phase.String(),
		zap.String("service", service),
		zap.String("upstream", d.Upstream),
		zap.String("reason", d.Reason),
		zap.Float64("score", d.Score),
		zap.Float64("limit", d.Limit),
		zap.Any("reports", d.Reports),
	)
}
