package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/port"
)

// confirmInterval is the pause between two checks whether an upstream is leaving.
const confirmInterval = 250 * time.Millisecond

// Records holds which incarnations are leaving. It outlives this process.
type Records interface {
	// Leaving reports whether an incarnation was recorded as leaving.
	Leaving(ctx context.Context, upstream port.Incarnation) (bool, error)
}

// confirm finds out whether an incarnation is leaving: from the records or, while those cannot
// be read, from the upstream's health check. It retries until it succeeds.
func (g *Gate) confirm(upstream port.Incarnation) {
	for {
		leaving, source, err := g.checkLeaving(upstream)
		if err == nil {
			g.log.Info("upstream confirmed", zap.Stringer("upstream", upstream), zap.Bool("leaving", leaving), zap.String("source", source))
			g.update(Confirmed{At: time.Now(), Upstream: upstream, Leaving: leaving})
			return
		}
		g.log.Info("upstream not confirmed", zap.Stringer("upstream", upstream), zap.Error(err))
		select {
		case <-g.done:
			return
		case <-time.After(confirmInterval):
		}
	}
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
	reported, checkErr := g.client.checkHealth(check, path)
	if checkErr != nil {
		return false, "", checkErr
	}
	return reported != upstream.ID, "health check", nil
}
