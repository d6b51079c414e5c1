// Package clocktest makes times for tests of what happens when somebody sets the clock.
//
// A time of this machine holds the wall clock, which may be set, and the monotonic clock, which may not.
// Tests that simulate time need both to see whether code goes by the right one.
//
// # Usage
//
//	begin := clocktest.At(time.Unix(1000, 0), 0)
//	later := begin.Add(time.Second)                   // Moves both clocks.
//	set := clocktest.SetWall(later, 11*time.Second)   // Moves the wall clock.
//	set.Sub(begin)                                    // Is still a second.
package clocktest

import (
	"time"
	"unsafe"
)

const (
	// hasMonotonic is the bit of the first word of a time with a monotonic clock.
	hasMonotonic = 1 << 63
	// secondsShift is the position of the seconds in that word; the nanoseconds are below it.
	secondsShift = 30
	// wallEpoch is the Unix time, in seconds, from which such a time counts: the year 1885.
	wallEpoch = -2682288000
)

// layout is that of time.Time, by the documentation in its source.
type layout struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

// At returns a time with the given readings of the wall clock and of the monotonic clock.
func At(wall time.Time, monotonic time.Duration) time.Time {
	var t time.Time
	l := (*layout)(unsafe.Pointer(&t))
	l.wall = hasMonotonic | uint64(wall.Unix()-wallEpoch)<<secondsShift | uint64(wall.Nanosecond())
	l.ext = int64(monotonic)
	return t
}

// SetWall returns a time of the same moment on a machine whose wall clock was set forward, or back.
func SetWall(t time.Time, by time.Duration) time.Time {
	wall := t.Round(0).Add(by) // Without the monotonic clock.
	return At(wall, time.Duration((*layout)(unsafe.Pointer(&t)).ext))
}
