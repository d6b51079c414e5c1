package gate

import (
	"math"
	"time"
)

const (
	// minGain is the least weight of a new answer: about the last forty answers count.
	minGain = 0.04
	// assumedSpread is the prior standard deviation of the logarithm of answer times, weighted
	// as assumedCount answers. Short requests vary by about that much.
	assumedSpread = 0.8
	assumedCount  = 3
	// minAnswerTime is the resolution: shorter times differ by scheduling noise only.
	minAnswerTime = 3 * time.Millisecond
)

// answerTimes estimates the distribution of the answer times of one kind of request as
// lognormal.
type answerTimes struct {
	count    int
	mean     float64 // Of the logarithm of seconds.
	variance float64
}

// add updates the estimate with one answer time.
func (t *answerTimes) add(took time.Duration) {
	x := math.Log(max(took, minAnswerTime).Seconds())
	t.count++
	gain := max(1/float64(t.count), minGain)
	off := x - t.mean
	t.mean += gain * off
	t.variance = (1 - gain) * (t.variance + gain*off*off)
}

// median returns the estimated median.
func (t *answerTimes) median() time.Duration {
	return time.Duration(math.Exp(t.mean) * float64(time.Second))
}

// tailProbability returns the probability that an answer takes longer than took.
func (t *answerTimes) tailProbability(took time.Duration) float64 {
	if took <= minAnswerTime {
		return 1
	}
	n := float64(t.count)
	variance := (n*t.variance + assumedCount*assumedSpread*assumedSpread) / (n + assumedCount)
	spread := math.Sqrt(variance * (1 + 1/n))
	z := (math.Log(took.Seconds()) - t.mean) / spread
	return math.Erfc(z/math.Sqrt2) / 2
}
