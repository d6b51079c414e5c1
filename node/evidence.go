package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/core"
)

const (
	tickPeriod  = 50 * time.Millisecond
	judgePeriod = 250 * time.Millisecond
	// pauseGap is a time between ticks that says this process stood still, and
	// that what it believed of its leadership may be over.
	pauseGap = core.Lease / 2
)

// runTicks drains evidence, lets the machines see time pass, and rotates.
func (g *Group) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	judged := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		g.mu.Lock()
		if gap := now.Sub(g.ticked); !g.ticked.IsZero() && gap > pauseGap {
			g.paused(gap)
		}
		g.ticked = now
		suspicious := g.drain(now)
		if now.Sub(judged) >= judgePeriod {
			judged = now
			g.pass(now)
		}
		g.mu.Unlock()
		if suspicious {
			g.hurry()
		}
	}
}

// hurry asks for a heartbeat before the next one is due.
func (g *Group) hurry() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// drain takes what the request path counted. It reports whether some of it makes
// this node suspect an upstream. One slow answer does not: one in twenty is slow
// by definition, and a heartbeat for each would be most of the traffic.
func (g *Group) drain(now time.Time) bool {
	suspicious := false
	for name, s := range g.services {
		var counts []core.Count
		for _, m := range s.upstreams {
			m.upstream.Watch(now)
			if m.upstream.Refusing() {
				g.noticeRefusal(m.upstream.Name() + "/" + m.generation)
			}
			c := m.upstream.Drain()
			if c.Fast+c.Slow+c.Failed > 0 {
				counts = append(counts, c)
			}
		}
		s.avoider.Update(core.Tick{At: now})
		if len(counts) == 0 {
			continue
		}
		own := core.Evidence{At: now, Reporter: g.node.identity.Node, Beside: g.node.settings.Beside(), Counts: counts}
		s.avoider.Update(own)
		for _, c := range counts {
			suspicious = suspicious || c.Failed+c.Slow > 0 && s.avoider.Suspects(c.Upstream)
		}
		if g.leading() {
			g.carryOut(name, s, s.judge.Update(own))
			g.rotate(name, s)
			continue
		}
		for _, c := range counts {
			p := s.pending[c.Upstream]
			s.pending[c.Upstream] = core.Count{Upstream: c.Upstream, Fast: p.Fast + c.Fast, Slow: p.Slow + c.Slow, Failed: p.Failed + c.Failed}
		}
		g.rotate(name, s)
	}
	return suspicious
}

// noticeRefusal remembers an upstream that said itself that it is leaving, which
// the platform's list may say much later. The coordinator tells everybody.
func (g *Group) noticeRefusal(nameAndGeneration string) {
	if g.refused[nameAndGeneration] {
		return
	}
	if g.leading() {
		g.refuse(nameAndGeneration)
		return
	}
	g.refused[nameAndGeneration] = true
	g.hurry()
}

// pass lets the machines see time pass.
func (g *Group) pass(now time.Time) {
	g.ledger.Update(core.Tick{At: now})
	g.claims.Update(core.Tick{At: now})
	if g.leading() {
		g.oversee(now)
		for name, s := range g.services {
			g.carryOut(name, s, s.judge.Update(core.Tick{At: now}))
		}
	}
	for name, s := range g.services {
		g.rotate(name, s) // The lease has moved, and the avoider forgets with time.
	}
}

// carryOut does what a judge wants done.
func (g *Group) carryOut(name string, s *service, commands []core.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case core.Decided:
			g.logDecision(name, c)
		case core.Publish:
			g.publish(name, c.Set)
		}
	}
	if len(commands) > 1 {
		g.rotate(name, s)
	}
}

func (g *Group) logDecision(service string, d core.Decided) {
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
