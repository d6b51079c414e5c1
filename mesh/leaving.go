package mesh

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eiderfold/port"
)

const (
	// leavingPrefix is where the store keeps which incarnations leave.
	leavingPrefix = "eiderfold/leaving/"
	// maxUpstreamName keeps a key within the store's bound of 200 bytes.
	maxUpstreamName = 150
	// recordRetry is the pause between tries to record a leaving upstream, whose
	// report waits for it.
	recordRetry = 150 * time.Millisecond
)

// Leaving tells whether an incarnation was recorded as leaving.
func (d *directory) Leaving(ctx context.Context, upstream string) (bool, error) {
	_, _, err := d.node.platform.Store.Get(ctx, leavingKey(upstream))
	if errors.Is(err, port.ErrMissing) {
		return false, nil
	}
	return err == nil, err
}

// recordLeaving writes that an incarnation leaves, trying until ctx ends. The
// record has no lease: it must outlast this process, whatever becomes of leases.
func (d *directory) recordLeaving(ctx context.Context, upstream string) error {
	d.mu.Lock()
	known := d.left[upstream]
	d.mu.Unlock()
	if known {
		return nil
	}
	for {
		err := d.node.platform.Store.Put(ctx, leavingKey(upstream), []byte(d.node.self.Name), 0)
		if err == nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.left[upstream] = true
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(recordRetry):
		}
	}
}

// leavingKey is where an incarnation is recorded.
func leavingKey(upstream string) string {
	if len(upstream) > maxUpstreamName {
		upstream = upstream[:maxUpstreamName]
	}
	return leavingPrefix + strings.ReplaceAll(upstream, "/", "_")
}
