package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// SharedTracker is a Tracker shared by the parts of a node. Remaining never takes a lock, and
// computes no fingerprint while no request has been quarantined; Answered takes no lock and
// computes no fingerprint while there are no records. Its methods are safe for concurrent use.
type SharedTracker struct {
	do          func([]Command) // Executes commands; must not call this SharedTracker.
	mu          sync.Mutex
	tracker     *Tracker
	quarantined atomic.Pointer[map[Fingerprint]time.Time] // nil while no request has been quarantined.
	count       atomic.Int32                              // Number of records.
}

// NewSharedTracker returns a tracker without records. It passes commands to do in their order.
func NewSharedTracker(do func([]Command)) *SharedTracker {
	return &SharedTracker{do: do, tracker: NewTracker()}
}

// Remaining returns how much longer a request is quarantined, 0 if it is not.
func (t *SharedTracker) Remaining(at time.Time, fingerprint func() Fingerprint) time.Duration {
	quarantined := t.quarantined.Load()
	if quarantined == nil {
		return 0
	}
	return max((*quarantined)[fingerprint()].Sub(at), 0)
}

// Crashed records that an upstream crashed while running an attempt, and returns the
// request's record.
func (t *SharedTracker) Crashed(at time.Time, f Fingerprint, upstream string, began time.Time) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(Crashed{At: at, Fingerprint: f, Upstream: upstream, Began: began})
	if e := t.tracker.entries[f]; e != nil {
		return e.export(at)
	}
	return Record{Fingerprint: f}
}

// Crashes returns the incarnations that are known to have crashed while running a request, for
// tests.
func (t *SharedTracker) Crashes(f Fingerprint) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.tracker.entries[f]; e != nil {
		return slices.Clone(e.Crashed)
	}
	return nil
}

// Answered records that a request got a good answer.
func (t *SharedTracker) Answered(at time.Time, fingerprint func() Fingerprint) {
	if t.count.Load() == 0 {
		return
	}
	f := fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(Answered{At: at, Fingerprint: f})
}

// Merge adds the records of other nodes or the store.
func (t *SharedTracker) Merge(at time.Time, records ...Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(Received{At: at, Records: records})
}

// Lift ends the quarantine of a request on behalf of an operator.
func (t *SharedTracker) Lift(at time.Time, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(Lifted{At: at, Fingerprint: f})
}

// Tick ends quarantines and removes records whose time has passed.
func (t *SharedTracker) Tick(at time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(Ticked{At: at})
}

// Significant returns the records to send to a node on connecting to it for the first time.
func (t *SharedTracker) Significant(at time.Time) []Record {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Significant(at)
}

// update passes a message to the tracker and publishes the quarantined requests. The caller
// holds mu.
func (t *SharedTracker) update(m Message) {
	commands := t.tracker.Update(m)
	t.count.Store(int32(len(t.tracker.entries)))
	if len(commands) == 0 {
		return
	}
	t.publish()
	t.do(commands)
}

// publish makes the quarantined requests available to Remaining.
func (t *SharedTracker) publish() {
	quarantined := t.tracker.quarantined()
	if len(quarantined) == 0 {
		t.quarantined.Store(nil)
		return
	}
	t.quarantined.Store(&quarantined)
}
