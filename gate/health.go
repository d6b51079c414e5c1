package gate

import (
	"time"

	"eiderfold/switches"
)

const (
	// trialAt is the suspicion at which the gate goes on trial. One reset or
	// garbled answer reaches it: in ordinary running they do not occur, and a
	// trial that clears the upstream lasts two answers.
	trialAt = 1.0
	// What each kind of bad outcome adds. An error answer may be the request's
	// own fault, so it takes two of them without a good one between.
	suspicionBroken    = 1.0
	suspicionErred     = 0.6
	suspicionShed      = 0.15 // Nothing is lost by it, and a full upstream is not sick.
	suspicionUnreached = 1.0
	suspicionHang      = 0.6
	// maxSuspicion bounds the sum, so that a long trouble is forgotten in a few answers.
	maxSuspicion = 8.0
	// maxDoublings of trialPause are past trialPauseMost already; it keeps the shift small.
	maxDoublings = 4
	// trialRecheck is the least time after which a refused try is of use again.
	trialRecheck = 20 * time.Millisecond
	// goodFactor is what a good answer leaves of the suspicion.
	goodFactor = 0.5
	// A trial ends after as many good answers in a row as it saw bad outcomes, the
	// one that began it among them, and at most trialGoods. One stray reset costs
	// one answer; an upstream that fails most of its work stays out.
	trialGoods = 3
	// trialPause is the pause after a bad outcome on trial, doubled up to
	// trialPauseMost. Each such try costs a repeat elsewhere, and troubles last for
	// seconds.
	trialPause     = 200 * time.Millisecond
	trialPauseMost = 800 * time.Millisecond
	// relapseTime is how soon after a trial another one counts as its continuation;
	// some answers' time.
	relapseTime = 2 * time.Second
	// trialQuiet ends a trial to which nothing came: a service without retryable
	// requests must not stay out. The next bad outcome begins it again.
	trialQuiet = 5 * time.Second
	// ratioGain is the weight of one outcome in the share of good ones.
	ratioGain = 0.2
	// usualGain is the weight of one answer in the mean answer time.
	usualGain = 0.1
)

// health follows from the outcomes whether the upstream does real work.
type health struct {
	switches   switches.Set
	suspicion  float64
	trial      bool
	goods      int
	bads       int       // Since the trial began.
	trialFrom  time.Time // When the next try may come.
	reopened   time.Time // When the last trial ended well.
	trialHeard time.Time // When the trial began or last saw an outcome.
	usual      time.Duration
	trialBegan time.Time
	badRatio   float64 // Share of bad outcomes, recent ones first.
	silence
}

// observe takes an outcome. Those it does not list say nothing of the upstream.
func (h *health) observe(at time.Time, o Outcome, took time.Duration) {
	switch o {
	case Good:
		h.learn(took)
		h.good(at)
	case Erred:
		h.bad(at, suspicionErred)
	case Broken:
		h.bad(at, suspicionBroken)
	case Unreached:
		h.bad(at, suspicionUnreached)
	case Shed:
		h.shed(at)
	}
}

// shed takes a refusal of the upstream. On trial it says neither that the upstream
// does its work nor that it does not: one that sheds half of it would never get out.
func (h *health) shed(at time.Time) {
	if h.trial {
		h.trialHeard = at
		return
	}
	h.bad(at, suspicionShed)
}

// learn moves the mean answer time, of good answers alone: errors are often quick.
func (h *health) learn(took time.Duration) {
	if h.usual == 0 {
		h.usual = took
		return
	}
	h.usual += time.Duration(usualGain * float64(took-h.usual))
}

// good lowers the suspicion and ends a trial that has seen enough good answers.
func (h *health) good(at time.Time) {
	h.suspicion *= goodFactor
	h.badRatio -= ratioGain * h.badRatio
	if !h.trial {
		return
	}
	h.trialHeard = at
	h.goods++
	if h.goods < min(h.bads, trialGoods) {
		return
	}
	h.trial = false
	h.forget(true)
	h.suspicion = 0
	h.reopened = at
}

// relapse is how many bad outcomes a trial begins with: the one that began it, and
// those of the trial before if the upstream soon failed again. One that fails half
// of its work would otherwise be open half of the time.
func (h *health) relapse(at time.Time) int {
	if h.reopened.IsZero() || at.Sub(h.reopened) > relapseTime {
		return 1
	}
	return h.bads + 1
}

// bad raises the suspicion by a weight, and begins a trial or puts its next try off.
func (h *health) bad(at time.Time, weight float64) {
	h.suspicion = min(h.suspicion+weight, maxSuspicion)
	h.badRatio += ratioGain * (1 - h.badRatio)
	h.goods = 0
	if h.trial {
		h.trialHeard = at
		h.trialFrom = at.Add(min(trialPause<<min(h.bads-1, maxDoublings), trialPauseMost))
		h.bads++
		return
	}
	if h.suspicion < trialAt || !h.switches.On(switches.Trials) {
		return
	}
	h.trial = true
	h.trialBegan = at
	h.forget(false)
	h.bads = h.relapse(at)
	h.trialHeard = at
	h.trialFrom = at
}

// forced is how many attempts at a time are right for an upstream on trial when
// too few others are open: as many of its slots as it answers well. It may be none:
// an upstream that fails nearly all of its work is no capacity.
func (h *health) forced(slots int) int { return int(float64(slots) * (1 - h.badRatio)) }

// tries is how many attempts may run at a time on trial: one, and one more for each
// good answer in a row. An upstream that has come back is soon whole again, and one
// that fails on is never given more than one.
func (h *health) tries() int { return 1 + h.goods }

// nextTrial is how long it is until an upstream on trial may be tried again.
func (h *health) nextTrial(at time.Time, busy bool) time.Duration {
	wait := h.trialFrom.Sub(at)
	if busy {
		wait = max(wait, h.usual)
	}
	return max(wait, trialRecheck)
}

// tick ends a trial to which nobody sends anything.
func (h *health) tick(at time.Time) {
	if !h.trial || at.Sub(h.trialHeard) < trialQuiet {
		return
	}
	h.trial = false
	h.forget(false)
	h.suspicion = trialAt - suspicionShed
}

// conclude takes what an attempt that has ended says of whether the upstream answers.
func (a *Admission) conclude(m Ended, e *entry) {
	if e.sample == nil {
		return
	}
	switch m.Outcome {
	case Good, Erred:
		a.answered(e.sample, m.Took)
	case CallFailed, Shed:
		a.alive(e.sample) // How long it took says nothing of its kind.
	default:
		a.unanswered(m.At, e.sample)
	}
}

// failsTry tells whether a running attempt is a try on trial that has been silent for
// too long. What started before the trial has been counted when it began.
func (a *Admission) failsTry(at time.Time, e *entry) bool {
	if !a.trial || e.hung || e.upstream != a.upstream || e.started.Before(a.trialBegan) {
		return false
	}
	return a.weigh(at, e.sample) >= silenceOfTry
}

// fallSilent begins a trial because attempts are not answered.
func (h *health) fallSilent(at time.Time) {
	for _, b := range h.samples {
		if h.weigh(at, b) > 0 {
			h.badRatio += ratioGain * (1 - h.badRatio)
		}
	}
	h.bad(at, trialAt)
}
