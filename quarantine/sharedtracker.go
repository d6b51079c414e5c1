package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Book is a Tracker shared by the parts of a node. Held never takes a lock, and computes no
// fingerprint while no request has been quarantined; Answered takes no lock and computes no
// fingerprint while there are no records. Its methods are safe for concurrent use.
type Book struct {
	do          func([]Command) // Executes commands; must not call the Book.
	mu          sync.Mutex
	tracker     *Tracker
	quarantined atomic.Pointer[map[Print]time.Time] // nil while no request has been quarantined.
	count       atomic.Int32                        // Number of records.
}

// NewBook returns a Book without records. It passes commands to do in their order.
func NewBook(do func([]Command)) *Book {
	return &Book{do: do, tracker: NewTracker()}
}

// Held returns how much longer a request is quarantined, 0 if it is not.
func (b *Book) Held(at time.Time, fingerprint func() Print) time.Duration {
	quarantined := b.quarantined.Load()
	if quarantined == nil {
		return 0
	}
	return max((*quarantined)[fingerprint()].Sub(at), 0)
}

// Ended records that an upstream crashed while running an attempt, and returns the
// request's record.
func (b *Book) Ended(at time.Time, p Print, upstream string, began time.Time) Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Crashed{At: at, Print: p, Upstream: upstream, Began: began})
	if e := b.tracker.entries[p]; e != nil {
		return e.export(at)
	}
	return Record{Print: p}
}

// Ends returns the incarnations that are known to have crashed while running a request.
func (b *Book) Ends(p Print) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.tracker.entries[p]; e != nil {
		return slices.Clone(e.Ended)
	}
	return nil
}

// Answered records that a request got a good answer.
func (b *Book) Answered(at time.Time, fingerprint func() Print) {
	if b.count.Load() == 0 {
		return
	}
	p := fingerprint()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Answered{At: at, Print: p})
}

// Heard merges records of other nodes or the store.
func (b *Book) Heard(at time.Time, records ...Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Received{At: at, Records: records})
}

// Lift ends the quarantine of a request on behalf of an operator.
func (b *Book) Lift(at time.Time, p Print) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Lifted{At: at, Print: p})
}

// Tick ends quarantines and removes records whose time has passed.
func (b *Book) Tick(at time.Time) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Ticked{At: at})
}

// Grave returns the records to send to a node on connecting to it for the first time.
func (b *Book) Grave(at time.Time) []Record {
	if b.count.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker.Significant(at)
}

// update passes a message to the tracker and publishes the quarantined requests. The caller
// holds mu.
func (b *Book) update(m Message) {
	commands := b.tracker.Update(m)
	b.count.Store(int32(len(b.tracker.entries)))
	if len(commands) == 0 {
		return
	}
	b.publish()
	b.do(commands)
}

// publish makes the quarantined requests available to Held.
func (b *Book) publish() {
	quarantined := b.tracker.quarantined()
	if len(quarantined) == 0 {
		b.quarantined.Store(nil)
		return
	}
	b.quarantined.Store(&quarantined)
}
