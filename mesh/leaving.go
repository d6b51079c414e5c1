package mesh

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"eiderfold/port"
)

const (
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
func (d *directory) isLeaving(upstream port.Incarnation) bool { return len(d.recordsOf(upstream)) > 0 }

// markLeaving notes that an incarnation is recorded as leaving.
func (d *directory) markLeaving(r leavingRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leaving[r.segment].own {
		d.leaving[r.segment] = r
	}
}

// noteLeavingRecords notes the incarnations whose records were read. An incarnation other
// than the current one whose record was first read leavingRetention ago has terminated, and
// its record is removed. The age is needed because reads may follow one another at once
// while calls to the store fail.
func (d *directory) noteLeavingRecords(ctx context.Context, records []leavingRecord, now time.Time) {
	current := d.node.gate.Upstream()
	for _, r := range records {
		d.markLeaving(r)
		first, ok := d.firstRead[r.segment]
		if !ok {
			d.firstRead[r.segment] = now
			continue
		}
		if r.covers(current) || now.Sub(first) < leavingRetention {
			continue
		}
		if err := d.node.platform.Store.Remove(ctx, d.leavingKey(r.segment)); err != nil {
			d.node.log.Info("record of leaving upstream not removed", zap.String("upstream", r.segment), zap.Error(err))
		}
	}
}

// putLeaving records once that an incarnation leaves.
func (d *directory) putLeaving(ctx context.Context, upstream port.Incarnation) error {
	if d.isRecorded(upstream) {
		return nil
	}
	r := leavingRecord{segment: keySegment(upstream), at: time.Now(), own: true}
	err := d.putRecord(ctx, r)
	if err == nil {
		d.markLeaving(r)
	}
	return err
}

// putRecord writes the record of a leaving upstream.
func (d *directory) putRecord(ctx context.Context, r leavingRecord) error {
	return d.node.platform.Store.Put(ctx, d.leavingKey(r.segment), encodeLeaving(r.at))
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
	for _, r := range d.recordsOf(d.node.gate.Upstream()) { // Earlier incarnations have terminated.
		if present[r.segment] {
			continue
		}
		if err := d.putRecord(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// isRecorded reports whether an incarnation needs no further record. Without a start time it may be a later
// start than the one that an earlier process has recorded.
func (d *directory) isRecorded(upstream port.Incarnation) bool {
	return slices.ContainsFunc(d.recordsOf(upstream), func(r leavingRecord) bool { return r.own || upstream.StartedAt != 0 })
}

// recordsOf returns the records that concern an incarnation.
func (d *directory) recordsOf(upstream port.Incarnation) []leavingRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []leavingRecord
	for _, r := range d.leaving {
		if r.covers(upstream) {
			out = append(out, r)
		}
	}
	return out
}
