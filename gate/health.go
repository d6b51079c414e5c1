package gate

import (
	"time"

	"eiderfold/switches"
)

const (
	// trialThreshold is the suspicion at which a trial begins. One reset or malformed answer
	// reaches it: in normal operation none occur, and a healthy upstream soon passes a trial.
	trialThreshold = 1.0
	// Suspicion added by each kind of bad outcome. An error answer may be caused by the
	// request, so it takes two of them without a good answer in between to begin a trial.
	suspicionBroken    = 1.0
	suspicionErred     = 0.6
	suspicionShed      = 0.15 // The request can be retried safely, and a full upstream is not unhealthy.
	suspicionUnreached = 1.0
	suspicionHang      = 0.6
	// maxSuspicion bounds the sum, so that a few good answers clear it after a long failure.
	maxSuspicion = 8.0
	// maxDoublings bounds the shift of trialPause; with so many doublings it exceeds
	// maxTrialPause.
	maxDoublings = 4
	// minTrialRetry is the shortest retry-after of an offer refused on trial.
	minTrialRetry = 20 * time.Millisecond
	// suspicionDecay is the factor by which a good answer reduces the suspicion.
	suspicionDecay = 0.5
	// maxTrialGoods bounds how many good answers in a row end a trial. Below it, a trial needs
	// as many as it had bad outcomes, including the one that began it: a single reset costs one
	// answer, and an upstream that fails most of its work stays on trial.
	maxTrialGoods = 3
	// trialPause is the pause after a bad outcome on trial, doubled up to maxTrialPause. Each
	// failed trial attempt costs a repeat elsewhere, and failures last for seconds.
	trialPause    = 200 * time.Millisecond
	maxTrialPause = 800 * time.Millisecond
	// relapseWindow is how soon after a trial another one counts as its continuation: a few
	// answer times.
	relapseWindow = 2 * time.Second
	// trialIdleTimeout ends a trial in which no attempts arrive, so that a service without
	// retryable requests does not stay on trial. The next bad outcome begins another one.
	trialIdleTimeout = 5 * time.Second
	// badRatioGain is the weight of one outcome in badRatio.
	badRatioGain = 0.2
	// meanGain is the weight of one answer in meanResponseTime.
	meanGain = 0.1
)

// health derives from outcomes whether the upstream does its work.
type health struct {
	switches         switches.Set
	suspicion        float64
	trial            bool
	goodStreak       int
	badCount         int       // Since the trial began.
	unanswered       int       // Attempts that showed that the upstream hangs, beside the one in badCount.
	nextTrialAt      time.Time // The earliest time for the next trial attempt.
	reopened         time.Time // When the last trial ended with good answers.
	lastTrialEvent   time.Time // When the trial began or last had an outcome.
	meanResponseTime time.Duration
	trialStarted     time.Time
	badRatio         float64 // Moving average of the share of bad outcomes.
	doubt            doubt
	hangDetector
}

// recordOutcome updates the health by an outcome. Outcomes not listed are no evidence.
func (h *health) recordOutcome(at, started time.Time, o Outcome, took time.Duration) {
	h.doubt.note(at, started, o)
	switch o {
	case Good:
		h.updateMean(took)
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

// shed handles a refusal by the upstream. On trial it is no evidence: otherwise an upstream
// that sheds half of its work would stay on trial.
func (h *health) shed(at time.Time) {
	if h.trial {
		h.lastTrialEvent = at
		return
	}
	h.bad(at, suspicionShed)
}

// updateMean updates the mean response time, by good answers only: errors are often quick.
func (h *health) updateMean(took time.Duration) {
	if h.meanResponseTime == 0 {
		h.meanResponseTime = took
		return
	}
	h.meanResponseTime += time.Duration(meanGain * float64(took-h.meanResponseTime))
}

// good reduces the suspicion and ends a trial that has had enough good answers.
func (h *health) good(at time.Time) {
	h.suspicion *= suspicionDecay
	h.badRatio -= badRatioGain * h.badRatio
	if !h.trial {
		return
	}
	h.lastTrialEvent = at
	h.goodStreak++
	if h.goodStreak < min(h.badCount+h.unanswered, maxTrialGoods) {
		return
	}
	h.trial = false
	h.reset(true)
	h.suspicion = 0
	h.reopened = at
}

// initialBadCount returns the number of bad outcomes that a trial starts with: the one that
// began it and, within relapseWindow of the previous trial, those of that trial. Otherwise an
// upstream that fails half of its work would be open half of the time.
func (h *health) initialBadCount(at time.Time) int {
	if h.reopened.IsZero() || at.Sub(h.reopened) > relapseWindow {
		return 1
	}
	return h.badCount + 1
}

// bad raises the suspicion by a weight. It begins a trial, or delays the next attempt of one.
func (h *health) bad(at time.Time, weight float64) { h.badBeside(at, weight, 0) }

// badBeside is bad for an outcome beside which other attempts hang. If it begins a trial, each of them
// makes the trial longer.
func (h *health) badBeside(at time.Time, weight float64, hanging int) {
	h.suspicion = min(h.suspicion+weight, maxSuspicion)
	h.badRatio += badRatioGain * (1 - h.badRatio)
	h.goodStreak = 0
	if h.trial {
		h.lastTrialEvent = at
		h.nextTrialAt = at.Add(min(trialPause<<min(h.badCount-1, maxDoublings), maxTrialPause))
		h.badCount++
		return
	}
	if h.suspicion < trialThreshold || !h.switches.On(switches.Trials) {
		return
	}
	h.trial = true
	h.trialStarted = at
	h.reset(false)
	h.badCount = h.initialBadCount(at)
	h.unanswered = hanging
	h.lastTrialEvent = at
	h.nextTrialAt = at
}

// maxForced returns how many forced attempts an upstream on trial may run at a time when too
// few other gates are open: the share of its slots that matches its good outcomes. It is 0 for
// an upstream that fails nearly all of its work.
func (h *health) maxForced(slots int) int { return int(float64(slots) * (1 - h.badRatio)) }

// maxTrialAttempts returns how many attempts may run at a time on trial: one, plus one for each
// good answer in a row. A recovered upstream soon gets all of its slots back, and one that
// keeps failing gets a single attempt at a time.
func (h *health) maxTrialAttempts() int { return 1 + h.goodStreak }

// trialRetryAfter returns how long until an upstream on trial may get another attempt.
func (h *health) trialRetryAfter(at time.Time, busy bool) time.Duration {
	wait := h.nextTrialAt.Sub(at)
	if busy {
		wait = max(wait, h.meanResponseTime)
	}
	return max(wait, minTrialRetry)
}

// tick ends a trial in which no attempts arrive.
func (h *health) tick(at time.Time) {
	if !h.trial || at.Sub(h.lastTrialEvent) < trialIdleTimeout {
		return
	}
	h.trial = false
	h.reset(false)
	h.suspicion = trialThreshold - suspicionShed
}

// closeSample records in the hang detector how an attempt ended.
func (a *Admission) closeSample(m Ended, e *entry) {
	if e.sample == nil {
		return
	}
	switch m.Outcome {
	case Good, Erred:
		a.recordAnswer(e.sample, m.Took)
	case NestedFailed, Shed:
		a.markAnswered(e.sample) // Its duration is not typical of its kind.
	default:
		a.markUnanswered(m.At, e.sample)
	}
}

// trialAttemptHangs reports whether a running attempt of this trial has been unresponsive for
// too long. Attempts from before the trial were counted when it began.
func (a *Admission) trialAttemptHangs(at time.Time, e *entry) bool {
	if !a.trial || e.hung || e.upstream != a.upstream || e.started.Before(a.trialStarted) {
		return false
	}
	return a.sampleEvidence(at, e.sample) >= trialAttemptEvidence
}

// beginHangTrial begins a trial because attempts are not answered.
func (h *health) beginHangTrial(at time.Time) {
	unanswered := 0
	for _, b := range h.samples {
		if h.sampleEvidence(at, b) > 0 {
			h.badRatio += badRatioGain * (1 - h.badRatio)
			unanswered++
		}
	}
	h.badBeside(at, trialThreshold, max(unanswered-1, 0))
}

// relapses reports whether a trial has ended so recently that another one would continue it.
func (h *health) relapses(at time.Time) bool {
	return !h.reopened.IsZero() && at.Sub(h.reopened) <= relapseWindow
}
