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

// Sources of a confirmation.
const (
	sourceNoRecords   = "no records"
	sourceRecords     = "records"
	sourceHealthCheck = "health check"
)

// confirm finds out whether an incarnation is leaving: from the records or, while those cannot
// be read, from the upstream's health check. It retries until it succeeds. A health check does not show
// what an earlier process has acknowledged, so the records are read as soon as they can be.
func (g *Gate) confirm(upstream port.Incarnation) {
	for {
		leaving, source, err := g.checkLeaving(upstream)
		if err == nil {
			g.confirmed(upstream, leaving, source)
			if source == sourceHealthCheck && !leaving {
				g.confirmByRecords(upstream)
			}
			return
		}
		g.log.Info("upstream not confirmed", zap.Stringer("upstream", upstream), zap.Error(err))
		if !g.pause(g.confirmPause()) {
			return
		}
	}
}

// confirmByRecords waits until the records can be read and confirms an incarnation by them, unless
// another one is current by then.
func (g *Gate) confirmByRecords(upstream port.Incarnation) {
	for g.pause(confirmInterval) && g.Upstream() == upstream {
		leaving, err := g.readRecords(upstream)
		if err == nil {
			g.confirmed(upstream, leaving, sourceRecords)
			return
		}
	}
}

// confirmed applies and logs the result of a confirmation.
func (g *Gate) confirmed(upstream port.Incarnation, leaving bool, source string) {
	g.log.Info("upstream confirmed", zap.Stringer("upstream", upstream), zap.Bool("leaving", leaving), zap.String("source", source))
	g.count("upstream_confirmed_by_" + strings.ReplaceAll(source, " ", "_"))
	g.update(Confirmed{At: time.Now(), Upstream: upstream, Leaving: leaving})
}

// pause waits for d and returns false if the gate ends before.
func (g *Gate) pause(d time.Duration) bool {
	select {
	case <-g.done:
		return false
	case <-time.After(d):
		return true
	}
}

// readRecords reports whether an incarnation is recorded as leaving.
func (g *Gate) readRecords(upstream port.Incarnation) (leaving bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	return g.records.Leaving(ctx, upstream)
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
		return false, sourceNoRecords, nil
	}
	leaving, err = g.readRecords(upstream)
	if err == nil {
		return leaving, sourceRecords, nil
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
	} else {
		g.update(Held{At: time.Now(), Holder: answer.upstream})
	}
	if !answer.healthy && !answer.said.Leaving {
		return false, "", errors.New("health check: not healthy")
	}
	return !same || answer.said.Leaving, sourceHealthCheck, nil // Another incarnation may have its address.
}
