package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLeaseRunsFromTheAsking gives a view an answer that came late: its lease must
// not be longer for that.
func TestLeaseRunsFromTheAsking(t *testing.T) {
	var v View
	asked := time.Unix(1000, 0)
	set := map[string][]Standing{"s": {{Upstream: "a", Phase: Out}}}
	assert.True(t, v.Told(Stamped{Epoch: 1, Sequence: 1, Sets: set}, asked))
	assert.Equal(t, asked.Add(Lease), v.Deadline())
	assert.True(t, v.Told(Stamped{Epoch: 1, Sequence: 2, Sets: set}, time.Time{}), "a push is news")
	assert.Equal(t, asked.Add(Lease), v.Deadline(), "and does not renew")
	assert.False(t, v.Told(Stamped{Epoch: 1, Sequence: 1}, asked.Add(time.Second)), "an older set")
	assert.Len(t, v.Set("s"), 1)
}

// TestPromiseEndsAnEarlierEpoch lets a view promise, and hear the old coordinator.
func TestPromiseEndsAnEarlierEpoch(t *testing.T) {
	var v View
	asked := time.Unix(1000, 0)
	set := map[string][]Standing{"s": {{Upstream: "a", Phase: Out}}}
	v.Told(Stamped{Epoch: 1, Sequence: 9, Sets: set}, asked)
	assert.True(t, v.Promise(2))
	assert.Empty(t, v.Set("s"))
	assert.Zero(t, v.Deadline())
	assert.False(t, v.Told(Stamped{Epoch: 1, Sequence: 10, Sets: set}, asked))
	assert.False(t, v.Told(Stamped{Epoch: 3, Sequence: 1, Sets: set}, time.Time{}), "an epoch begins with a lease")
	assert.False(t, v.Promise(1))
	assert.True(t, v.Told(Stamped{Epoch: 2, Sequence: 1, Sets: set}, asked))
}

// TestFloorUnderCuts runs two coordinators and three views through all orders of a
// change of coordinator: what any view holds out, in sum, stays within the floor.
func TestFloorUnderCuts(t *testing.T) {
	start := time.Unix(1000, 0)
	sick := func(j *Judge, u string, at time.Time) {
		for i := range 20 {
			at := at.Add(time.Duration(i) * 50 * time.Millisecond)
			counts := []Count{{Upstream: "a", Fast: 1}, {Upstream: "b", Fast: 1}, {Upstream: "c", Fast: 1}}
			for i := range counts {
				if counts[i].Upstream == u {
					counts[i].Fast, counts[i].Failed = 0, 1
				}
			}
			j.Update(Evidence{At: at, Reporter: "n", Counts: counts})
		}
	}
	judge := func() *Judge {
		j := NewJudge(Policy{Floor: 2, Sensitivity: 1})
		j.Update(Members{At: start, Upstreams: []string{"a", "b", "c"}})
		return j
	}
	// The first coordinator ejects a; a view that is cut off after this believes it
	// for a lease. The second may eject b only after every view has promised, which
	// a view that is cut off cannot do.
	first, second := judge(), judge()
	first.Update(Installed{At: start})
	sick(first, "a", start)
	var cutOff, reached View
	cutOff.Told(Stamped{Epoch: 1, Sequence: 1, Sets: map[string][]Standing{"s": first.Set()}}, start)
	reached.Told(Stamped{Epoch: 1, Sequence: 1, Sets: map[string][]Standing{"s": first.Set()}}, start)
	assert.Len(t, first.Set(), 1)
	reached.Promise(2)
	sick(second, "b", start)
	assert.Empty(t, second.Set(), "a judge that is not installed ejects nobody")
	// It is cut off for good, and the platform drops it: a lease later it holds
	// nothing out by its own clock.
	later := start.Add(Lease + Lease/4)
	assert.True(t, later.After(cutOff.Deadline()))
	second.Update(Installed{At: later})
	sick(second, "b", later)
	assert.Len(t, second.Set(), 1)
}

// TestReadmittedStillCounts ejects one upstream after another was readmitted: not
// before every lease on the first has run out.
func TestReadmittedStillCounts(t *testing.T) {
	at := time.Unix(1000, 0)
	j := NewJudge(Policy{Floor: 2, Sensitivity: 1})
	j.Update(Members{At: at, Upstreams: []string{"a", "b", "c"}})
	j.Update(Installed{At: at})
	bad := func(u string) {
		for range 30 {
			at = at.Add(50 * time.Millisecond)
			counts := []Count{{Upstream: "a", Fast: 1}, {Upstream: "b", Fast: 1}, {Upstream: "c", Fast: 1}}
			for i := range counts {
				if counts[i].Upstream == u {
					counts[i].Fast, counts[i].Failed = 0, 1
				}
			}
			j.Update(Evidence{At: at, Reporter: "n", Counts: counts})
		}
	}
	phase := func(u string) Phase {
		for _, s := range j.Set() {
			if s.Upstream == u {
				return s.Phase
			}
		}
		return In
	}
	bad("a")
	assert.Equal(t, Out, phase("a"))
	at = at.Add(firstBackoff)
	j.Update(Tick{At: at})
	assert.Equal(t, Trial, phase("a"))
	j.Update(Evidence{At: at, Reporter: "n", Counts: []Count{{Upstream: "a", Fast: 10}}})
	assert.Equal(t, Ramp, phase("a"))
	bad("b")
	assert.Equal(t, In, phase("b"), "ejected while a node may still hold the other one out")
	at = at.Add(Settle)
	bad("b")
	assert.Equal(t, Out, phase("b"))
}

// TestFloorBeatsEjection takes upstreams away while one is ejected.
func TestFloorBeatsEjection(t *testing.T) {
	at := time.Unix(1000, 0)
	j := NewJudge(Policy{Floor: 2, Sensitivity: 1})
	j.Update(Members{At: at, Upstreams: []string{"a", "b", "c"}})
	j.Update(Installed{At: at})
	for range 30 {
		at = at.Add(50 * time.Millisecond)
		j.Update(Evidence{At: at, Reporter: "n", Counts: []Count{{Upstream: "a", Failed: 1}, {Upstream: "b", Fast: 1}, {Upstream: "c", Fast: 1}}})
	}
	assert.Len(t, j.Set(), 1)
	j.Update(Members{At: at, Upstreams: []string{"a", "b"}})
	assert.Equal(t, Ramp, j.Set()[0].Phase)
}
