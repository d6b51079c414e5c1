package gate

import (
	"math"
	"time"
)

const (
	// timesGain is the least weight of one answer: the last forty or so count.
	timesGain = 0.04
	// Until there are answers, times spread by assumedSpread (of their logarithm),
	// as if seen in assumedCount answers: short work varies about so much.
	assumedSpread = 0.8
	assumedCount  = 3
	// leastTime is under what times are not told apart: scheduling noise.
	leastTime = 3 * time.Millisecond
)

// answerTimes follows how long the answers of one kind of request take, as a
// lognormal distribution.
type answerTimes struct {
	count    int
	mean     float64 // Of the logarithm of seconds.
	variance float64
}

// add takes the time of one answer.
func (t *answerTimes) add(took time.Duration) {
	x := math.Log(max(took, leastTime).Seconds())
	t.count++
	gain := max(1/float64(t.count), timesGain)
	off := x - t.mean
	t.mean += gain * off
	t.variance = (1 - gain) * (t.variance + gain*off*off)
}

// median returns the time that half of the answers take.
func (t *answerTimes) median() time.Duration {
	return time.Duration(math.Exp(t.mean) * float64(time.Second))
}

// beyond returns the chance that an answer takes longer than this.
func (t *answerTimes) beyond(took time.Duration) float64 {
	if took <= leastTime {
		return 1
	}
	n := float64(t.count)
	variance := (n*t.variance + assumedCount*assumedSpread*assumedSpread) / (n + assumedCount)
	spread := math.Sqrt(variance * (1 + 1/n))
	z := (math.Log(took.Seconds()) - t.mean) / spread
	return math.Erfc(z/math.Sqrt2) / 2
}
