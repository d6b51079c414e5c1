package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eiderfold/link"
)

const (
	// ranges is the number of ranges into which nodes are divided by a hash of their addresses.
	// Two nodes that differ in one record exchange the records of one range.
	ranges = 64
	// minComparePause is the pause after the first comparison with another node; it doubles up
	// to maxComparePause. A node that starts has one page of records of the fleet, and each
	// comparison brings most of the missing ones.
	minComparePause = 250 * time.Millisecond
	maxComparePause = 32 * time.Second
	// farEvery makes one in so many comparisons go to a node of another data centre, where
	// traffic is expensive; the others spread the records within the data centre first.
	farEvery = 4
)

// compareSchedule schedules the comparisons with other nodes.
type compareSchedule struct {
	next  time.Time
	pause time.Duration
	count int
}

// due reports whether a comparison is due, and schedules the next one.
func (e *compareSchedule) due(at time.Time) bool {
	if at.Before(e.next) {
		return false
	}
	e.pause = min(max(minComparePause, 2*e.pause), maxComparePause)
	e.next = at.Add(e.pause)
	e.count++
	return true
}

// retry makes a comparison due again that was not made. The pauses are those of a node that has just started:
// without links, this node may have missed what changed.
func (e *compareSchedule) retry() {
	e.next = time.Time{}
	e.pause = 0
}

// far reports whether the comparison that is due is with a node of another data centre.
func (e *compareSchedule) far() bool { return e.count%farEvery == 0 }

// rangeOf returns the range to which an address belongs.
func rangeOf(address string) int { return int(xxhash.Sum64String(address) % ranges) }

// sumOf returns what a record adds to the sum of its range. A node that is gone adds nothing,
// as nodes remove its record at different times.
func sumOf(r link.Record) uint64 {
	if r.Gone {
		return 0
	}
	return xxhash.Sum64String(r.Address+" "+r.Name) ^ r.Version*goldenRatio
}

// goldenRatio spreads versions, which differ in few bits, over all bits of a sum.
const goldenRatio = 0x9E3779B97F4A7C15

// compared returns the records that the other node may lack, and this node's sums unless m is
// an answer to them.
func (v *View) compared(m Compared) []Command {
	var differ [ranges]bool
	same := len(m.Sums) == ranges
	for i := range min(ranges, len(m.Sums)) {
		differ[i] = m.Sums[i] != v.sums[i]
		same = same && !differ[i]
	}
	// An answer follows the records that it is about.
	v.informed = v.informed || same || m.Answer && len(m.Sums) == ranges
	if same || len(m.Sums) != ranges {
		return nil
	}
	out := []Command{Reply{Records: v.recordsIn(differ)}}
	if !m.Answer {
		out = append(out, Answer{Sums: slices.Clone(v.sums[:])})
	}
	return out
}

// recordsIn returns the records of some ranges, this node's own included.
func (v *View) recordsIn(parts [ranges]bool) []link.Record {
	var out []link.Record
	if parts[rangeOf(v.self.Address)] {
		out = append(out, v.self)
	}
	for address, e := range v.entries {
		if parts[rangeOf(address)] {
			out = append(out, e.Record)
		}
	}
	return out
}
