package mesh

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/port"
	"eiderfold/quarantine"
)

// quarantinePrefix is the store prefix of quarantined requests, keyed by fingerprint.
const quarantinePrefix = recordsPrefix + "quarantine/"

// write performs the queued writes to the store until ctx ends.
func (q *quarantineSync) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.writeDue:
			q.flush(ctx)
		}
	}
}

// flush performs the queued writes in order, retrying each until it succeeds. While the
// store is down, only the nodes hold the records.
func (q *quarantineSync) flush(ctx context.Context) {
	pause := backoff{min: storeRetry, max: storeRetryMax}
	for next := q.nextWrite(); next != nil && ctx.Err() == nil; next = q.nextWrite() {
		if err := next(ctx); err != nil {
			q.node.log.Info("quarantine record not written", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(pause.next()):
			}
			continue
		}
		pause.reset()
		q.mu.Lock()
		q.writes = q.writes[1:]
		q.mu.Unlock()
	}
}

// nextWrite returns the next queued write, nil if there is none.
func (q *quarantineSync) nextWrite() func(context.Context) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.writes) == 0 {
		return nil
	}
	return q.writes[0]
}

// storedRecord is a quarantined request as stored. Its names are those of the stored format.
type storedRecord struct {
	Ended     []string  `json:"ended"` // Incarnations that crashed while running it.
	Cleared   uint32    `json:"cleared,omitempty"`
	Holds     uint32    `json:"holds"`      // How often it has been quarantined.
	HeldUntil time.Time `json:"held_until"` // End of its quarantine.
	Expires   time.Time `json:"expires"`
}

func newStoredRecord(r quarantine.Record, now time.Time) storedRecord {
	return storedRecord{Ended: r.Crashed, Cleared: r.Cleared, Holds: r.Quarantines, HeldUntil: now.Add(r.Remaining).UTC(), Expires: now.Add(r.TTL).UTC()}
}

// put writes a quarantined request to the store.
func (q *quarantineSync) put(ctx context.Context, f quarantine.Fingerprint, r storedRecord) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "quarantine record")
	}
	return q.node.platform.Store.Put(ctx, quarantinePrefix+f.String(), value)
}

// remove removes a request that is no longer quarantined from the store.
func (q *quarantineSync) remove(ctx context.Context, f quarantine.Fingerprint) error {
	return q.node.platform.Store.Remove(ctx, quarantinePrefix+f.String())
}

// poll reads the store periodically until ctx ends, if this node is one of the watchers,
// which pass the records on to the others. It matters when all processes of a fleet are
// killed at once.
func (q *quarantineSync) poll(ctx context.Context) {
	q.node.awaitJoin(ctx)
	for ctx.Err() == nil {
		pause := jitter(checkRecordEvery)
		if q.node.links.amongFirst(q.node.config.watchers) && q.readStore(ctx) != nil {
			pause = jitter(storeRetryMax)
		}
		select {
		case <-ctx.Done():
		case <-q.restored:
		case <-time.After(pause):
		}
	}
}

// readStore reads the stored records once.
func (q *quarantineSync) readStore(ctx context.Context) error {
	entries, at, err := q.node.platform.Store.Range(ctx, quarantinePrefix)
	if err != nil {
		return err
	}
	q.applyEntries(entries, at.Era, time.Now())
	return nil
}

// applyEntries applies the stored records. A record that was present at an earlier read and
// is now missing was removed by an operator, who wants the request served again; but if the
// store was restored from a copy meanwhile, the record is written again.
func (q *quarantineSync) applyEntries(entries []port.Entry, era uint64, now time.Time) {
	present := map[quarantine.Fingerprint]bool{}
	for _, entry := range entries {
		r, err := parseStored(entry, now)
		if err != nil {
			q.node.log.Warn("cannot decode quarantine record", zap.String("key", entry.Key), zap.Error(err))
			continue
		}
		present[r.Fingerprint] = true
		q.tracker.Merge(now, r)
		if r.TTL <= 0 && q.node.links.position().before < removers {
			q.enqueueRemoval(r.Fingerprint)
		}
	}
	missing, restored := q.updateStored(present, era)
	for _, f := range missing {
		if restored {
			q.restore(f)
			continue
		}
		q.tracker.Lift(now, f)
	}
}

// restore writes a quarantined request again that the store has lost.
func (q *quarantineSync) restore(f quarantine.Fingerprint) {
	now := time.Now()
	for _, r := range q.tracker.Significant(now) {
		if r.Fingerprint != f || r.Remaining <= 0 {
			continue
		}
		record := newStoredRecord(r, now)
		q.mu.Lock()
		q.stored[f] = true
		q.enqueue(func(ctx context.Context) error { return q.put(ctx, f, record) })
		q.mu.Unlock()
	}
}

// enqueueRemoval queues the removal of an expired record.
func (q *quarantineSync) enqueueRemoval(f quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enqueue(func(ctx context.Context) error { return q.remove(ctx, f) })
}

// updateStored replaces the set of stored fingerprints. It returns those that are no longer
// stored, and whether the store was restored since the last read.
func (q *quarantineSync) updateStored(present map[quarantine.Fingerprint]bool, era uint64) (missing []quarantine.Fingerprint, restored bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	restored = era != q.era
	q.era = era
	for f := range q.stored {
		if !present[f] {
			missing = append(missing, f)
		}
	}
	q.stored = present
	return missing, restored
}

// parseStored parses a stored record.
func parseStored(entry port.Entry, now time.Time) (quarantine.Record, error) {
	f, ok := quarantine.ParseFingerprint(strings.TrimPrefix(entry.Key, quarantinePrefix))
	if !ok {
		return quarantine.Record{}, errors.New("the key holds no fingerprint")
	}
	var h storedRecord
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return quarantine.Record{}, errors.Wrap(err, "quarantine record")
	}
	return quarantine.Record{Fingerprint: f, Crashed: h.Ended, Repeated: true, Cleared: h.Cleared, TTL: h.Expires.Sub(now),
		Quarantines: h.Holds, Remaining: h.HeldUntil.Sub(now)}, nil
}
