package gate

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/port"
)

// confirmInterval is the pause between two checks whether an upstream is leaving.
const confirmInterval = 250 * time.Millisecond

// Records holds which incarnations are leaving. It outlives this process.
type Records interface {
	// Leaving reports whether an incarnation was recorded as leaving.
	Leaving(ctx context.Context, upstream port.Incarnation) (bool, error)
	// RecordLeaving records an incarnation as leaving, retrying until it succeeds, the incarnation
	// is no longer the current one, or ctx ends.
	RecordLeaving(ctx context.Context, upstream port.Incarnation)
}

// confirm finds out whether an incarnation is leaving: from the records or, while those cannot
// be read, from the upstream's health check. It retries until it succeeds.
func (g *Gate) confirm(upstream port.Incarnation) {
	for {
		leaving, source, err := g.checkLeaving(upstream)
		if err == nil {
			g.log.Info("upstream confirmed", zap.Stringer("upstream", upstream), zap.Bool("leaving", leaving), zap.String("source", source))
			g.count("upstream_confirmed_by_" + strings.ReplaceAll(source, " ", "_"))
			g.update(Confirmed{At: time.Now(), Upstream: upstream, Leaving: leaving})
			return
		}
		g.log.Info("upstream not confirmed", zap.Stringer("upstream", upstream), zap.Error(err))
		select {
		case <-g.done:
			return
		case <-time.After(g.confirmPause()):
		}
	}
}

// confirmPause returns the pause before the next check. Health checks count as requests: an
// upstream that names a limit gets no more of them than that allows.
func (g *Gate) confirmPause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(confirmInterval, g.admission.named.interval())
}

// recordLeaving records that an incarnation leaves, until the gate ends.
func (g *Gate) recordLeaving(upstream port.Incarnation) {
	if g.records == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-g.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	g.records.RecordLeaving(ctx, upstream)
}

// checkLeaving checks once and returns the source of the result.
func (g *Gate) checkLeaving(upstream port.Incarnation) (leaving bool, source string, err error) {
	if g.records == nil {
		return false, "no records", nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	leaving, err = g.records.Leaving(ctx, upstream)
	if err == nil {
		return leaving, "records", nil
	}
	path := g.path()
	if path == "" {
		return false, "", err
	}
	check, stop := context.WithTimeout(context.Background(), connectTimeout)
	defer stop()
	answer, checkErr := g.client.checkHealth(check, path)
	if checkErr != nil {
		return false, "", checkErr
	}
	same := answer.upstream == upstream.ID
	if same {
		g.update(answer.said.message(upstream))
	}
	if !answer.healthy && !answer.said.Leaving {
		return false, "", errors.New("health check: not healthy")
	}
	return !same || answer.said.Leaving, "health check", nil // Another incarnation may have its address.
}
