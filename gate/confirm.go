package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"eiderfold/port"
)

// confirmPause is the pause between two tries to find out whether an upstream leaves.
const confirmPause = 250 * time.Millisecond

// Records remembers, beyond this process, which incarnations leave.
type Records interface {
	// Leaving tells whether an incarnation was recorded as leaving.
	Leaving(ctx context.Context, upstream port.Incarnation) (bool, error)
}

// confirm finds out whether an incarnation leaves: from the records, and while
// those cannot be read, from the upstream itself.
func (g *Gate) confirm(upstream port.Incarnation) {
	for {
		leaving, source, err := g.leaves(upstream)
		if err == nil {
			g.log.Info("upstream confirmed", zap.Stringer("upstream", upstream), zap.Bool("leaving", leaving), zap.String("source", source))
			g.update(Confirmed{At: time.Now(), Upstream: upstream, Leaving: leaving})
			return
		}
		g.log.Info("upstream not confirmed", zap.Stringer("upstream", upstream), zap.Error(err))
		select {
		case <-g.done:
			return
		case <-time.After(confirmPause):
		}
	}
}

// leaves asks once, and says who answered.
func (g *Gate) leaves(upstream port.Incarnation) (leaving bool, source string, err error) {
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
	who, checked := g.client.checkHealth(check, path)
	if checked != nil {
		return false, "", checked
	}
	return who != upstream.ID, "health check", nil
}
