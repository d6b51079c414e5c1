package core

import (
	"math"
	"sync/atomic"
	"time"
)

// Usual follows the answer time that all but a twentieth of a route's requests
// stay under. Every answer moves it a little up or down in proportion, so it
// needs one number, no lock, and does not care how heavy the tail is.
type Usual struct {
	bits  atomic.Uint64 // float64 of seconds; 0 before the first answer.
	count atomic.Uint32
}

const (
	// usualShare is the quantile that is followed.
	usualShare = 0.95
	// A step is firstStep of the value at first, and shrinks with the square root of
	// the answers to lastStep, so that a change of the route's work is still followed.
	firstStep    = 0.5
	lastStep     = 0.02
	usualLeast   = 2 * time.Millisecond   // Under this, scheduling noise is larger than the work.
	usualUnknown = 500 * time.Millisecond // Before the first answers.
	// warmAnswers is how many answers are needed before the value is used.
	warmAnswers = 20
	// stallFactor times the cut: with a heavy tail (a lognormal of sigma 1) some
	// 0.12% of good answers take longer, less than what is forgiven as failures.
	stallFactor = 4
	stallLeast  = 150 * time.Millisecond
)

// Add takes one answer time.
func (u *Usual) Add(d time.Duration) {
	x := d.Seconds()
	n := u.count.Add(1)
	step := max(firstStep/math.Sqrt(float64(n)), lastStep)
	for {
		old := u.bits.Load()
		q := math.Float64frombits(old)
		next := x
		if old != 0 {
			next = q * move(x, q, step)
		}
		if u.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// move returns by what factor an answer time moves the value: up and down balance
// where usualShare of the answers are under it.
func move(x, q, step float64) float64 {
	if x > q {
		return 1 + step*usualShare
	}
	return 1 - step*(1-usualShare)
}

// Cut returns the time past which an answer is slow.
func (u *Usual) Cut() time.Duration {
	if u.count.Load() < warmAnswers {
		return usualUnknown
	}
	q := math.Float64frombits(u.bits.Load())
	return max(time.Duration(q*float64(time.Second)), usualLeast)
}

// Stall returns the time past which a request counts as failed.
func (u *Usual) Stall() time.Duration { return max(stallFactor*u.Cut(), stallLeast) }
