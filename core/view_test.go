package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLeaseStartsAtRequest checks that a lease starts when it was requested, so that
// late replies and pushed sets do not extend it.
func TestLeaseStartsAtRequest(t *testing.T) {
	var v View
	asked := time.Unix(1000, 0)
	set := map[string][]EjectionState{"s": {{Upstream: "a", Phase: Out}}}
	assert.True(t, v.Receive(PublishedStates{Epoch: 1, Sequence: 1, Sets: set}, asked))
	assert.Equal(t, asked.Add(Lease), v.Deadline())
	assert.True(t, v.Receive(PublishedStates{Epoch: 1, Sequence: 2, Sets: set}, time.Time{}), "a pushed set is new")
	assert.Equal(t, asked.Add(Lease), v.Deadline(), "a pushed set does not renew the lease")
	assert.False(t, v.Receive(PublishedStates{Epoch: 1, Sequence: 1}, asked.Add(time.Second)), "an older set is rejected")
	assert.Len(t, v.Set("s"), 1)
}

// TestPromiseRevokesEarlierEpochs checks that after a promise, a view drops the sets of
// earlier epochs and rejects new ones from the old coordinator.
func TestPromiseRevokesEarlierEpochs(t *testing.T) {
	var v View
	asked := time.Unix(1000, 0)
	set := map[string][]EjectionState{"s": {{Upstream: "a", Phase: Out}}}
	v.Receive(PublishedStates{Epoch: 1, Sequence: 9, Sets: set}, asked)
	assert.True(t, v.Promise(2))
	assert.Empty(t, v.Set("s"))
	assert.Zero(t, v.Deadline())
	assert.False(t, v.Receive(PublishedStates{Epoch: 1, Sequence: 10, Sets: set}, asked))
	assert.False(t, v.Receive(PublishedStates{Epoch: 3, Sequence: 1, Sets: set}, time.Time{}), "a new epoch must start with a lease")
	assert.False(t, v.Promise(1))
	assert.True(t, v.Receive(PublishedStates{Epoch: 2, Sequence: 1, Sets: set}, asked))
}

// TestFloorDuringPartition checks that a new coordinator ejects an upstream only after
// the lease of a partitioned view, which holds another one ejected, has expired.
func TestFloorDuringPartition(t *testing.T) {
	start := time.Unix(1000, 0)
	fail := func(d *OutlierDetector, u string, at time.Time) {
		for i := range 20 {
			at := at.Add(time.Duration(i) * 50 * time.Millisecond)
			counts := []Count{{Upstream: "a", Fast: 1}, {Upstream: "b", Fast: 1}, {Upstream: "c", Fast: 1}}
			for i := range counts {
				if counts[i].Upstream == u {
					counts[i].Fast, counts[i].Failed = 0, 1
				}
			}
			d.Update(Evidence{At: at, Reporter: "n", Counts: counts})
		}
	}
	newDetector := func() *OutlierDetector {
		d := NewOutlierDetector(Policy{Floor: 2, Sensitivity: 1})
		d.Update(Members{At: start, Upstreams: []string{"a", "b", "c"}})
		return d
	}
	// The first coordinator ejects a; a view that is partitioned after that keeps the
	// ejection until its lease expires. The second coordinator may eject b only after
	// every view has promised, which the partitioned view cannot do.
	first, second := newDetector(), newDetector()
	first.Update(StartDeciding{At: start})
	fail(first, "a", start)
	var partitioned, connected View
	partitioned.Receive(PublishedStates{Epoch: 1, Sequence: 1, Sets: map[string][]EjectionState{"s": first.Set()}}, start)
	connected.Receive(PublishedStates{Epoch: 1, Sequence: 1, Sets: map[string][]EjectionState{"s": first.Set()}}, start)
	assert.Len(t, first.Set(), 1)
	connected.Promise(2)
	fail(second, "b", start)
	assert.Empty(t, second.Set(), "ejected an upstream before being installed")
	// The view stays partitioned and the platform drops its node. After Settle its
	// lease has expired by its own clock, even if that is slow.
	later := start.Add(Lease + Lease/4)
	assert.True(t, later.After(partitioned.Deadline()))
	second.Update(StartDeciding{At: later})
	fail(second, "b", later)
	assert.Len(t, second.Set(), 1)
}

// TestReadmittedCountsUntilLeasesExpire checks that a readmitted upstream counts against
// the floor until all leases on its ejection have expired.
func TestReadmittedCountsUntilLeasesExpire(t *testing.T) {
	at := time.Unix(1000, 0)
	d := NewOutlierDetector(Policy{Floor: 2, Sensitivity: 1})
	d.Update(Members{At: at, Upstreams: []string{"a", "b", "c"}})
	d.Update(StartDeciding{At: at})
	fail := func(u string) {
		for range 30 {
			at = at.Add(50 * time.Millisecond)
			counts := []Count{{Upstream: "a", Fast: 1}, {Upstream: "b", Fast: 1}, {Upstream: "c", Fast: 1}}
			for i := range counts {
				if counts[i].Upstream == u {
					counts[i].Fast, counts[i].Failed = 0, 1
				}
			}
			d.Update(Evidence{At: at, Reporter: "n", Counts: counts})
		}
	}
	phase := func(u string) Phase {
		for _, s := range d.Set() {
			if s.Upstream == u {
				return s.Phase
			}
		}
		return In
	}
	fail("a")
	assert.Equal(t, Out, phase("a"))
	at = at.Add(minBackoff)
	d.Update(Tick{At: at})
	assert.Equal(t, Trial, phase("a"))
	d.Update(Evidence{At: at, Reporter: "n", Counts: []Count{{Upstream: "a", Fast: 10}}})
	assert.Equal(t, Ramp, phase("a"))
	fail("b")
	assert.Equal(t, In, phase("b"), "ejected while a node may still treat the other upstream as ejected")
	at = at.Add(Settle)
	fail("b")
	assert.Equal(t, Out, phase("b"))
}

// TestFloorOverridesEjection checks that an ejected upstream is readmitted when others
// leave and the floor needs it.
func TestFloorOverridesEjection(t *testing.T) {
	at := time.Unix(1000, 0)
	d := NewOutlierDetector(Policy{Floor: 2, Sensitivity: 1})
	d.Update(Members{At: at, Upstreams: []string{"a", "b", "c"}})
	d.Update(StartDeciding{At: at})
	for range 30 {
		at = at.Add(50 * time.Millisecond)
		d.Update(Evidence{At: at, Reporter: "n", Counts: []Count{{Upstream: "a", Failed: 1}, {Upstream: "b", Fast: 1}, {Upstream: "c", Fast: 1}}})
	}
	assert.Len(t, d.Set(), 1)
	d.Update(Members{At: at, Upstreams: []string{"a", "b"}})
	assert.Equal(t, Ramp, d.Set()[0].Phase)
}
