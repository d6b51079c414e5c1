package core

import "time"

// Phase is the ejection phase of an upstream.
type Phase uint8

// Phases of an upstream. Out and Trial count against the floor; for further ejections, so does
// an upstream that was readmitted less than Settle ago.
const (
	In    Phase = iota // In rotation.
	Out                // Ejected; gets no requests.
	Trial              // Ejected; gets single test requests.
	Ramp               // Readmitted or cold (slow start); gets a growing share of requests.
)

// String returns the phase's name in logs and dumps.
func (p Phase) String() string {
	return [...]string{"in", "out", "trial", "ramp"}[p]
}

// EjectionState is the published state of an upstream whose phase is not In.
type EjectionState struct {
	Upstream string  `cbor:"1,keyasint"`
	Phase    Phase   `cbor:"2,keyasint"`
	Weight   float64 `cbor:"3,keyasint,omitempty"` // Share of full weight, 0 to 1.
}

// upstreamState is the internal state of one upstream.
type upstreamState struct {
	phase        Phase
	until        time.Time // End of the current back-off, trial or ramp.
	countedUntil time.Time // Until when a readmitted upstream counts against the floor for further ejections.
	forgetAt     time.Time // When ejections is reset.
	ejections    int       // Recent ejections; determines the back-off.
	trial        float64   // Log-likelihood ratio of the current trial.
}

// ejected reports whether the upstream is out of rotation, which includes trials.
func (s *upstreamState) ejected() bool { return s.phase == Out || s.phase == Trial }

// eject starts the next back-off.
func (s *upstreamState) eject(at time.Time) {
	s.phase = Out
	s.ejections++
	s.until = at.Add(backoff(s.ejections))
}

// backoff returns the back-off after the given number of recent ejections. It doubles
// with each one.
func backoff(ejections int) time.Duration {
	d := minBackoff
	for range ejections - 1 {
		d = min(2*d, maxBackoff)
	}
	return d
}

// weight returns the share of full weight at a time: during a ramp it grows linearly
// from rampStart.
func (s *upstreamState) weight(at time.Time) float64 {
	if s.phase != Ramp {
		return 0
	}
	done := 1 - s.until.Sub(at).Seconds()/rampTime.Seconds()
	return min(max(rampStart+(fullWeight-rampStart)*done, rampStart), fullWeight)
}
