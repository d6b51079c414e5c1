package gate

import (
	"math"
	"time"
)

const (
	// hangShare is the assumed share of its work that a hanging upstream leaves unanswered. It
	// is low on purpose: an upstream that leaves more unanswered is detected sooner.
	hangShare = 0.75
	// minTail bounds from below the probability that a healthy upstream has not answered yet:
	// some requests take very long or wait for a nested request. It limits the evidence of one
	// attempt to a little over half of trialEvidence, so that a trial for lack of answers begins
	// after two attempts without one at the earliest.
	minTail = 0.02
	// unknownKindTail is that probability past the target deadline for a kind of request
	// without answer times: operators set targets that nearly all answers meet.
	unknownKindTail = 0.1
	// trialEvidence is the evidence, as log odds, at which a trial begins. A false alarm occurs
	// about once in ten thousand answers (see bench/cmd/detect).
	trialEvidence = 7.0
	// trialAttemptEvidence is the evidence at which a single attempt on trial counts as failed.
	trialAttemptEvidence = 2.0
	// holdEvidence is the evidence at which non-retryable requests wait, since they could be
	// lost while another gate might answer them.
	holdEvidence = 2.0
	// unprovenDiscount lowers trialEvidence while nothing has been answered since the upstream
	// started or since a trial ended for lack of attempts.
	unprovenDiscount = 3.0
	// maxSamples bounds the attempts that are considered together: several times the slots of
	// an upstream.
	maxSamples = 48
	// maxKinds bounds the kinds of request whose answer times are tracked. Kind 0 may come on top.
	maxKinds = 256
)

// sample is one attempt as evidence on whether the upstream answers.
type sample struct {
	kind    uint32
	started time.Time
	target  time.Time
	closed  bool
	weight  float64 // Its evidence, once closed.
}

// hangDetector is a sequential test for an upstream that has stopped answering. Each attempt
// contributes a log-likelihood ratio: a running one the more, the less likely it is that an
// answer of its kind takes so long; an answered one a negative value. Attempts are summed up in
// the order of their start.
// Since the upstream may have stopped at any time, the evidence is the largest sum over the
// newest attempts.
//
// This is Page's CUSUM test (Continuous inspection schemes, 1954), with contributions that grow
// while an attempt runs.
type hangDetector struct {
	kinds       map[uint32]*answerTimes
	samples     []*sample // In the order of their start.
	hasAnswered bool      // Something was answered since the last reset.
}

// addSample adds an attempt that starts.
func (d *hangDetector) addSample(at time.Time, kind uint32, target time.Time) *sample {
	b := &sample{kind: kind, started: at, target: target}
	if len(d.samples) >= maxSamples {
		d.samples = append(d.samples[:0], d.samples[1:]...)
	}
	d.samples = append(d.samples, b)
	return b
}

// markAnswered closes an attempt that was answered.
func (d *hangDetector) markAnswered(b *sample) {
	b.closed = true
	b.weight = math.Log(1 - hangShare)
	d.hasAnswered = true
}

// recordAnswer closes an attempt that was answered, and learns its answer time.
func (d *hangDetector) recordAnswer(b *sample, took time.Duration) {
	d.markAnswered(b)
	d.answerTimesOf(b.kind).add(took)
}

// markUnanswered closes an attempt that ended without an answer. Its evidence so far is kept.
func (d *hangDetector) markUnanswered(at time.Time, b *sample) {
	b.weight = d.sampleEvidence(at, b)
	b.closed = true
}

// reset drops all evidence but keeps the answer times. The parameter hasAnswered tells whether
// the upstream has just answered.
func (d *hangDetector) reset(hasAnswered bool) {
	d.samples = nil
	d.hasAnswered = hasAnswered
}

// evidence returns the current evidence that the upstream hangs, at least 0.
func (d *hangDetector) evidence(at time.Time) float64 {
	most, sum := 0.0, 0.0
	for i := len(d.samples) - 1; i >= 0; i-- {
		sum += d.sampleEvidence(at, d.samples[i])
		most = max(most, sum)
	}
	return most
}

// unresponsive reports whether the evidence is enough for a trial.
func (d *hangDetector) unresponsive(at time.Time) bool {
	if len(d.samples) == 0 {
		return false
	}
	enough := trialEvidence
	if !d.hasAnswered {
		enough -= unprovenDiscount
	}
	return d.evidence(at) >= enough
}

// sampleEvidence returns the evidence of one attempt: the log-likelihood ratio of its missing
// answer for a hanging against a healthy upstream.
func (d *hangDetector) sampleEvidence(at time.Time, b *sample) float64 {
	if b.closed {
		return b.weight
	}
	tail := d.healthyTail(at, b)
	return math.Log(hangShare/tail + 1 - hangShare)
}

// healthyTail returns the probability that a healthy upstream has not answered yet.
func (d *hangDetector) healthyTail(at time.Time, b *sample) float64 {
	t := d.kinds[b.kind]
	switch {
	case t != nil && t.count > 0:
		return max(t.tailProbability(at.Sub(b.started)), minTail)
	case at.After(b.target):
		return unknownKindTail
	default:
		return 1
	}
}

// answerTimesOf returns the answer times of a kind of request, to add one. Once there are maxKinds
// kinds, it returns those of kind 0 for a new kind; reads of the new kind still find none, and
// treat it as a kind without answer times.
func (d *hangDetector) answerTimesOf(kind uint32) *answerTimes {
	if d.kinds == nil {
		d.kinds = map[uint32]*answerTimes{}
	}
	t := d.kinds[kind]
	if t == nil && len(d.kinds) >= maxKinds {
		kind = 0
		t = d.kinds[kind]
	}
	if t == nil {
		t = &answerTimes{}
		d.kinds[kind] = t
	}
	return t
}
