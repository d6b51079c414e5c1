package mesh

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"eiderfold/port"
)

const (
	// maxUpstreamName keeps a key within the store's limit of 200 bytes.
	maxUpstreamName = 150
	// recordRetry is the first pause between attempts to record a leaving upstream.
	recordRetry = 150 * time.Millisecond
	// recordRetryMax is the longest pause between attempts to record an upstream that says in its
	// answers that it leaves.
	recordRetryMax = 5 * time.Second
	// leavingRetention is how long the record of a leaving upstream is kept after it was
	// first read: far longer than an upstream lives after it reported that it leaves, and
	// less than two checks of the own records are apart.
	leavingRetention = 3 * time.Minute
)

// Leaving reports whether an incarnation was recorded as leaving. Only this process and
// earlier ones of this node can have recorded it, so the first read of the directory is
// complete.
func (d *directory) Leaving(ctx context.Context, upstream port.Incarnation) (bool, error) {
	for !d.loaded.Load() {
		if d.storeLost.Load() {
			return false, errNotLoaded
		}
		select {
		case <-ctx.Done():
			return false, errNotLoaded
		case <-time.After(loadPoll):
		}
	}
	return d.isLeaving(upstream), nil
}

// isLeaving reports whether an incarnation is known to be recorded as leaving.
func (d *directory) isLeaving(upstream port.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving[keySegment(upstream)]
}

// markLeaving notes that an incarnation is recorded as leaving.
func (d *directory) markLeaving(segment string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[segment] = true
}

// noteLeavingRecords notes the incarnations whose records were read. An incarnation other
// than the current one whose record was first read leavingRetention ago has terminated, and
// its record is removed. The age is needed because reads may follow one another at once
// while calls to the store fail.
func (d *directory) noteLeavingRecords(ctx context.Context, segments []string, now time.Time) {
	current := keySegment(d.node.gate.Upstream())
	for _, segment := range segments {
		d.markLeaving(segment)
		first, ok := d.firstRead[segment]
		if !ok {
			d.firstRead[segment] = now
			continue
		}
		if segment == current || now.Sub(first) < leavingRetention {
			continue
		}
		if err := d.node.platform.Store.Remove(ctx, d.leavingPrefix()+segment); err != nil {
			d.node.log.Info("record of leaving upstream not removed", zap.String("upstream", segment), zap.Error(err))
		}
	}
}

// putLeaving records once that an incarnation leaves.
func (d *directory) putLeaving(ctx context.Context, upstream port.Incarnation) error {
	if d.isLeaving(upstream) {
		return nil
	}
	err := d.node.platform.Store.Put(ctx, d.leavingKey(upstream), []byte(d.node.self.Name))
	if err == nil {
		d.markLeaving(keySegment(upstream))
	}
	return err
}

// recordLeavingReport records an incarnation that leaves by its report. It tries once more after a
// failed call, unless the previous report failed too: the store charges for refused calls, and an
// upstream repeats its report.
func (d *directory) recordLeavingReport(ctx context.Context, upstream port.Incarnation) error {
	err := d.putLeaving(ctx, upstream)
	if err != nil && !d.reportFailed.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(recordRetry):
			err = d.putLeaving(ctx, upstream)
		}
	}
	d.reportFailed.Store(err != nil)
	return err
}

// RecordLeaving records an incarnation that leaves by its answers. Unlike a report, an answer is
// passed on without waiting for the record.
func (d *directory) RecordLeaving(ctx context.Context, upstream port.Incarnation) {
	pause := backoff{min: recordRetry, max: recordRetryMax}
	for !d.isLeaving(upstream) && d.node.gate.Upstream() == upstream {
		err := d.putLeaving(ctx, upstream)
		d.node.log.Info("upstream leaves", zap.Stringer("upstream", upstream), zap.Bool("recorded", err == nil), zap.NamedError("cause", err))
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.next()):
		}
	}
}

// restoreLeaving rewrites the record of the current incarnation if it is leaving and the
// store has lost it.
func (d *directory) restoreLeaving(ctx context.Context, entries []port.Entry) error {
	present := map[string]bool{}
	for _, e := range entries {
		present[strings.TrimPrefix(e.Key, d.leavingPrefix())] = true
	}
	current := keySegment(d.node.gate.Upstream())
	d.mu.Lock()
	missing := d.leaving[current] && !present[current] // Earlier ones have terminated.
	d.mu.Unlock()
	if !missing {
		return nil
	}
	return d.node.platform.Store.Put(ctx, d.leavingPrefix()+current, []byte(d.node.self.Name))
}

// leavingSegment separates a node's key from the names of its leaving upstreams, so that
// one range read returns both.
const leavingSegment = "/leaving/"

// leavingPrefix returns the store prefix of this instance's leaving upstreams.
func (d *directory) leavingPrefix() string { return nodeKey(d.node.self.Address) + leavingSegment }

// leavingKey returns the store key of an incarnation's record.
func (d *directory) leavingKey(upstream port.Incarnation) string {
	return d.leavingPrefix() + keySegment(upstream)
}

// keySegment returns an incarnation's name as part of a key. A long name loses its
// beginning, as its end distinguishes the incarnations of one id.
func keySegment(upstream port.Incarnation) string {
	name := upstream.String()
	if len(name) > maxUpstreamName {
		name = name[len(name)-maxUpstreamName:]
	}
	return strings.ReplaceAll(name, "/", "_")
}
