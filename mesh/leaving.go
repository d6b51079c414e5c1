package mesh

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
)

const (
	// maxUpstreamName keeps a key within the store's bound of 200 bytes.
	maxUpstreamName = 150
	// recordRetry is the pause between tries to record a leaving upstream, whose
	// report waits for it.
	recordRetry = 150 * time.Millisecond
)

// Leaving tells whether an incarnation was recorded as leaving. Only earlier processes of
// this node can have done so, and this one itself, so the first reading of the directory
// tells all that the store knows.
func (d *directory) Leaving(ctx context.Context, upstream string) (bool, error) {
	for !d.wasRead.Load() {
		if d.lost.Load() {
			return false, errNotRead
		}
		select {
		case <-ctx.Done():
			return false, errNotRead
		case <-time.After(readPoll):
		}
	}
	return d.hasLeft(upstream), nil
}

// hasLeft tells whether an incarnation is known to be recorded as leaving.
func (d *directory) hasLeft(upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.left[keyPart(upstream)]
}

// noteLeft takes note that an incarnation is recorded as leaving.
func (d *directory) noteLeft(part string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left[part] = true
}

// noteRead takes note of the incarnations whose records were read. One that was there at
// the last reading already, and is not beside this node now, has ended long ago: its record
// is removed.
func (d *directory) noteRead(ctx context.Context, left []string) {
	current := keyPart(d.node.gate.Status().Upstream)
	old := d.seenLeft
	d.seenLeft = left
	for _, part := range left {
		d.noteLeft(part)
		if part == current || !slices.Contains(old, part) {
			continue
		}
		if err := d.node.platform.Store.Remove(ctx, d.leavingPrefix()+part); err != nil {
			d.node.log.Info("record of an upstream that left not removed", zap.String("upstream", part), zap.Error(err))
		}
	}
}

// recordLeaving writes that an incarnation leaves, trying until ctx ends.
func (d *directory) recordLeaving(ctx context.Context, upstream string) error {
	if d.hasLeft(upstream) {
		return nil
	}
	for {
		err := d.node.platform.Store.Put(ctx, d.leavingKey(upstream), []byte(d.node.self.Name))
		if err == nil {
			d.noteLeft(keyPart(upstream))
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(recordRetry):
		}
	}
}

// leavingPrefix is where the store keeps which upstreams of this instance leave.
func (d *directory) leavingPrefix() string {
	return recordsPrefix + "leaving/" + d.node.self.Address + "/"
}

// leavingKey is where an incarnation is recorded.
func (d *directory) leavingKey(upstream string) string { return d.leavingPrefix() + keyPart(upstream) }

// keyPart is an incarnation's name as part of a key.
func keyPart(upstream string) string {
	if len(upstream) > maxUpstreamName {
		upstream = upstream[:maxUpstreamName]
	}
	return strings.ReplaceAll(upstream, "/", "_")
}
