package gate

import (
	"math"
	"time"
)

const (
	// hangShare is the share of the work that an upstream leaves unanswered when it
	// hangs. It is a guess on the low side: one that leaves more of it is found sooner.
	hangShare = 0.75
	// answerTail is the least chance that an upstream which is well has not answered
	// yet: some requests take very long, or wait for a call of their own. It bounds
	// what one attempt can prove, so that it takes three of them.
	answerTail = 0.02
	// unknownTail is the same past the aim of a kind of request that was never
	// answered here: the operators set aims that all but a few answers meet.
	unknownTail = 0.1
	// silenceAtTrial is the evidence, a logarithm of odds, at which a gate goes on
	// trial: once in about ten thousand answers by chance (bench/cmd/detect).
	silenceAtTrial = 7.0
	// silenceOfTry is the evidence at which a single try on trial counts as failed.
	silenceOfTry = 2.0
	// silenceAtHold is the evidence at which orders wait: what was offered them may
	// be lost, and another gate may have answered a moment ago.
	silenceAtHold = 2.0
	// silenceUnproven less is enough while nothing was answered since the upstream came, or
	// since a trial ended for want of work: nobody knows that it ever answered.
	silenceUnproven = 3.0
	// samplesKept is how many attempts are looked at together: several times the
	// slots of an upstream.
	samplesKept = 48
	// kindsKept bounds the kinds of request whose answer times are known.
	kindsKept = 256
)

// sample is an attempt as evidence of whether the upstream answers at all.
type sample struct {
	kind    uint32
	started time.Time
	aim     time.Time
	closed  bool
	weight  float64 // Its evidence, once closed.
}

// silence is a sequential test: has the upstream stopped answering? Attempts add up
// in the order of their start. One that runs speaks for silence by how unlikely it
// is that an answer of its kind takes so long; one that was answered speaks against.
// Since the upstream may have fallen silent at any moment, the evidence is that of
// the worst suspected beginning, the largest sum over the newest attempts.
//
// The test is that of Page (Continuous inspection schemes, 1954), with evidence that
// grows while an attempt runs.
type silence struct {
	kinds   map[uint32]*answerTimes
	samples []*sample // In the order of their start.
	proven  bool      // Something was answered since the evidence was last dropped.
}

// begin takes note of an attempt that starts.
func (s *silence) begin(at time.Time, kind uint32, aim time.Time) *sample {
	b := &sample{kind: kind, started: at, aim: aim}
	if len(s.samples) >= samplesKept {
		s.samples = append(s.samples[:0], s.samples[1:]...)
	}
	s.samples = append(s.samples, b)
	return b
}

// alive closes an attempt with an answer.
func (s *silence) alive(b *sample) {
	b.closed = true
	b.weight = math.Log(1 - hangShare)
	s.proven = true
}

// answered closes an attempt with its answer, and learns how long it took.
func (s *silence) answered(b *sample, took time.Duration) {
	s.alive(b)
	s.timesOf(b.kind).add(took)
}

// unanswered closes an attempt that ended without an answer; its silence until then
// stays evidence.
func (s *silence) unanswered(at time.Time, b *sample) {
	b.weight = s.weigh(at, b)
	b.closed = true
}

// forget drops all evidence, but not what answers usually take. Proven says whether the
// upstream has just been seen to answer.
func (s *silence) forget(proven bool) {
	s.samples = nil
	s.proven = proven
}

// evidence returns what speaks for silence now, at least 0.
func (s *silence) evidence(at time.Time) float64 {
	most, sum := 0.0, 0.0
	for i := len(s.samples) - 1; i >= 0; i-- {
		sum += s.weigh(at, s.samples[i])
		most = max(most, sum)
	}
	return most
}

// silent tells whether the evidence is enough for a trial.
func (s *silence) silent(at time.Time) bool {
	if len(s.samples) == 0 {
		return false
	}
	enough := silenceAtTrial
	if !s.proven {
		enough -= silenceUnproven
	}
	return s.evidence(at) >= enough
}

// weigh returns the evidence of one attempt: the logarithm of how much likelier its
// silence is with an upstream that hangs than with one that is well.
func (s *silence) weigh(at time.Time, b *sample) float64 {
	if b.closed {
		return b.weight
	}
	late := s.lateness(at, b)
	return math.Log(hangShare/late + 1 - hangShare)
}

// lateness returns the chance that an upstream which is well has not answered yet.
func (s *silence) lateness(at time.Time, b *sample) float64 {
	t := s.kinds[b.kind]
	switch {
	case t != nil && t.count > 0:
		return max(t.beyond(at.Sub(b.started)), answerTail)
	case at.After(b.aim):
		return unknownTail
	default:
		return 1
	}
}

// timesOf returns the answer times of a kind of request; those past kindsKept share one.
func (s *silence) timesOf(kind uint32) *answerTimes {
	if s.kinds == nil {
		s.kinds = map[uint32]*answerTimes{}
	}
	t := s.kinds[kind]
	if t == nil && len(s.kinds) >= kindsKept {
		kind = 0
		t = s.kinds[kind]
	}
	if t == nil {
		t = &answerTimes{}
		s.kinds[kind] = t
	}
	return t
}
