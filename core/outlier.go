package core

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Policy holds a template's ejection settings for a service.
type Policy struct {
	// Floor is how many upstreams must stay in rotation.
	Floor int
	// Sensitivity is the target bound on false ejections, per upstream and day.
	Sensitivity float64
	// OnlyAtMostOnce is set if the service has no retryable requests, so that trials
	// must use non-retryable ones.
	OnlyAtMostOnce bool
}

// Intervals of the outlier detector.
const (
	// Lease is how long a node may act on a decision without another reply from the
	// coordinator, counted from when the node sent its request.
	Lease = 3 * time.Second
	// Settle is how long after its grant a lease may still be in use: the clock of its
	// node may run slow. For this long, a readmitted upstream still counts against the
	// floor for further ejections and a new coordinator waits before it decides.
	Settle = Lease + Lease/4

	minBackoff   = 2 * time.Second
	maxBackoff   = time.Minute
	forgetAfter  = 5 * time.Minute // Time in rotation after which the back-off starts over.
	rampTime     = 3 * time.Second
	rampStart    = 0.1
	trialTimeout = 20 * time.Second // A trial without a result is restarted after this.
	rateWindow   = 10 * time.Second // Interval over which the observation rate is averaged.
)

// Parameters of the outlier detector.
const (
	minPerDay        = 1_000     // Lower limit of the estimated observations per upstream and day.
	initialPerDay    = 1_000_000 // Until the first rateWindow is over; a high value raises the threshold.
	maxPerDay        = 100_000_000
	maxReporterShare = 0.6  // Largest share of the threshold that a single reporter can contribute.
	trialAccept      = -6.0 // Log-likelihood ratio at which a trial passes.
	trialReject      = 4.0  // Log-likelihood ratio at which a trial fails.
	trialRate        = 0.5  // Rate of bad outcomes assumed of an unhealthy upstream on trial.
	fullWeight       = 1.0
	secondsPerDay    = 86_400
)

// Publish asks the caller to publish the set of ejection states to all nodes.
type Publish struct{ Set []EjectionState }

// LogDecision asks the caller to log a decision with its evidence.
type LogDecision struct {
	At       time.Time
	Upstream string
	Phase    Phase
	Reason   string
	Score    float64
	Limit    float64
	Reports  map[string]float64 // Contribution to the score by reporter.
}

func (Publish) command()     {}
func (LogDecision) command() {}

// OutlierDetector decides which upstreams of one service are out
// of rotation. It is not safe for concurrent use.
type OutlierDetector struct {
	scoreTable
	policy      Policy
	deciding    bool
	states      map[string]*upstreamState
	observed    float64   // Observations in the current rateWindow.
	windowStart time.Time // Start of the current rateWindow.
	perDay      float64   // Observations per upstream and day, from the last full rateWindow.
	set         []EjectionState
}

// NewOutlierDetector returns a detector that only collects evidence until StartDeciding.
func NewOutlierDetector(p Policy) *OutlierDetector {
	return &OutlierDetector{scoreTable: newScoreTable(), policy: p, states: map[string]*upstreamState{}, perDay: initialPerDay}
}

// SetPolicy replaces the policy.
func (d *OutlierDetector) SetPolicy(p Policy) { d.policy = p }

// Set returns the current ejection states, sorted by upstream.
func (d *OutlierDetector) Set() []EjectionState { return d.set }

// Score returns an upstream's current score, for dumps.
func (d *OutlierDetector) Score(upstream string) float64 {
	if r := d.rows[upstream]; r != nil {
		return r.score()
	}
	return 0
}

// Threshold returns the score at which an upstream is ejected: the logarithm of the
// number of observations for each permitted false alarm.
func (d *OutlierDetector) Threshold() float64 {
	return math.Log(float64(len(alternatives)) * d.perDay / d.policy.Sensitivity)
}

// Update handles one message and returns the commands to carry out.
func (d *OutlierDetector) Update(m Message) []Command {
	var commands []Command
	switch m := m.(type) {
	case Members:
		commands = d.setMembers(m)
	case StartDeciding:
		d.install()
	case StopDeciding:
		d.deciding = false
		d.states = map[string]*upstreamState{}
	case Evidence:
		commands = d.addEvidence(m)
	case Tick:
		commands = d.tick(m.At)
	}
	return d.publish(commands)
}

// install starts deciding with no upstream ejected, regardless of the previous
// coordinator's decisions.
func (d *OutlierDetector) install() {
	d.deciding = true
	for _, r := range d.rows {
		r.reset()
	}
}

// setMembers updates the live upstreams. New ones start with a ramp.
func (d *OutlierDetector) setMembers(m Members) []Command {
	before := len(d.rows)
	known := maps.Clone(d.rows)
	d.scoreTable.setUpstreams(m.Upstreams)
	for u := range d.states {
		if d.rows[u] == nil {
			delete(d.states, u)
		}
	}
	var commands []Command
	for _, u := range m.Upstreams {
		// An upstream that joins a running service may be cold. The initial members
		// do not need a ramp: ramping all of them would change nothing.
		if before > 0 && known[u] == nil && d.deciding {
			s := d.state(u)
			commands = append(commands, d.ramp(m.At, u, s, "joined"))
		}
	}
	return append(commands, d.enforceFloor(m.At)...)
}

// state returns the state of an upstream, creating it if needed.
func (d *OutlierDetector) state(u string) *upstreamState {
	if d.states[u] == nil {
		d.states[u] = &upstreamState{}
	}
	return d.states[u]
}

// maxEjected returns how many upstreams may be ejected without violating the floor.
func (d *OutlierDetector) maxEjected() int { return max(len(d.rows)-d.policy.Floor, 0) }

// possiblyOut returns how many upstreams any node may treat as ejected: those that
// are, and those whose readmission may not have reached all nodes yet.
func (d *OutlierDetector) possiblyOut(at time.Time) int {
	n := 0
	for _, s := range d.states {
		if s.ejected() || at.Before(s.countedUntil) {
			n++
		}
	}
	return n
}

// enforceFloor readmits upstreams while more are ejected than the floor allows, for
// example because others have left the service.
func (d *OutlierDetector) enforceFloor(at time.Time) []Command {
	var commands []Command
	for d.ejected() > d.maxEjected() {
		u := d.fewestEjections()
		commands = append(commands, d.readmit(at, u, "needed for the floor"))
	}
	return commands
}

// ejected returns how many upstreams are ejected.
func (d *OutlierDetector) ejected() int {
	n := 0
	for _, s := range d.states {
		if s.ejected() {
			n++
		}
	}
	return n
}

// fewestEjections returns the ejected upstream with the fewest recent ejections.
func (d *OutlierDetector) fewestEjections() string {
	best := ""
	for _, u := range slices.Sorted(maps.Keys(d.states)) {
		s := d.states[u]
		if !s.ejected() {
			continue
		}
		if best == "" || s.ejections < d.states[best].ejections {
			best = u
		}
	}
	return best
}

// addEvidence adds a node's evidence and ejects or readmits upstreams accordingly.
func (d *OutlierDetector) addEvidence(e Evidence) []Command {
	d.updateObservationRate(e)
	d.scoreTable.observe(e.At, e.Reporter, e.Counts)
	if !d.deciding {
		return nil
	}
	var commands []Command
	for _, c := range e.Counts {
		if d.rows[c.Upstream] == nil {
			continue
		}
		s := d.state(c.Upstream)
		switch s.phase {
		case Trial:
			commands = append(commands, d.evaluateTrial(e.At, c, s)...)
		case In, Ramp:
			commands = append(commands, d.evaluateUpstream(e, c.Upstream, s)...)
		}
	}
	return commands
}

// updateObservationRate updates the number of observations per upstream and day.
func (d *OutlierDetector) updateObservationRate(e Evidence) {
	if d.windowStart.IsZero() {
		d.windowStart = e.At
	}
	for _, c := range e.Counts {
		d.observed += float64(c.total())
	}
	elapsed := e.At.Sub(d.windowStart)
	if elapsed < rateWindow || len(d.rows) == 0 {
		return
	}
	perDay := d.observed / elapsed.Seconds() * secondsPerDay / float64(len(d.rows))
	d.perDay = min(max(perDay, minPerDay), maxPerDay)
	d.observed, d.windowStart = 0, e.At
}

// evaluateUpstream ejects the upstream if its score reaches the threshold, the evidence
// is corroborated, it is clearly worse than the others, and the floor allows it.
func (d *OutlierDetector) evaluateUpstream(e Evidence, u string, s *upstreamState) []Command {
	limit := d.Threshold()
	r := d.rows[u]
	if r.score() < limit || !d.corroborated(u, e, limit) || !d.scoreTable.worseThanOthers(u, limit) {
		return nil
	}
	if d.possiblyOut(e.At) >= d.maxEjected() {
		return nil // The floor takes precedence; the nodes' local weights still shift traffic.
	}
	return []Command{d.eject(e.At, u, s, limit)}
}

// corroborated reports whether the evidence against an upstream cannot come from one
// node's bad link alone. A single reporter is enough if it is beside the upstream and
// so uses no link, or if no other node contributed to the score. Otherwise the other
// reporters must contribute at least 1-maxReporterShare of the threshold.
func (d *OutlierDetector) corroborated(u string, e Evidence, limit float64) bool {
	r := d.rows[u]
	if e.LocalUpstream == u || len(r.byReporter) == 1 {
		return true
	}
	top := 0.0
	for _, share := range r.byReporter {
		top = max(top, share)
	}
	return r.score()-top >= (1-maxReporterShare)*limit
}

// eject ejects the upstream and returns the decision to log.
func (d *OutlierDetector) eject(at time.Time, u string, s *upstreamState, limit float64) Command {
	r := d.rows[u]
	reason := "failures"
	if r.slowness() {
		reason = "slow answers"
	}
	s.eject(at)
	decision := LogDecision{At: at, Upstream: u, Phase: Out, Reason: reason, Score: r.score(), Limit: limit, Reports: maps.Clone(r.byReporter)}
	r.reset()
	return decision
}

// evaluateTrial is a sequential probability ratio test (Wald): it readmits the upstream
// if it is as good as the others, and ejects it again if it is still unhealthy. It
// compares with the others so that a trial can pass while the whole service does
// badly.
func (d *OutlierDetector) evaluateTrial(at time.Time, c Count, s *upstreamState) []Command {
	failures, slow := d.scoreTable.baseline().rates(d.rows[c.Upstream])
	s.trial += evidence(alternative{rate: trialRate}, c, failures, slow)
	s.trial += evidence(alternative{rate: trialRate, slow: true}, Count{Fast: c.Fast, Slow: c.Slow}, failures, slow)
	if s.trial >= trialReject {
		s.eject(at)
		return []Command{LogDecision{At: at, Upstream: c.Upstream, Phase: Out, Reason: "trial failed", Score: s.trial, Limit: trialReject}}
	}
	if s.trial <= trialAccept {
		return []Command{d.readmit(at, c.Upstream, "trial passed")}
	}
	return nil
}

// readmit returns an ejected upstream to rotation with a ramp.
func (d *OutlierDetector) readmit(at time.Time, u, reason string) Command {
	s := d.states[u]
	s.countedUntil = at.Add(Settle)
	s.forgetAt = at.Add(forgetAfter)
	d.rows[u].reset()
	return d.ramp(at, u, s, reason)
}

// ramp starts a slow start.
func (d *OutlierDetector) ramp(at time.Time, u string, s *upstreamState, reason string) Command {
	s.phase = Ramp
	s.until = at.Add(rampTime)
	return LogDecision{At: at, Upstream: u, Phase: Ramp, Reason: reason, Score: s.trial, Limit: trialAccept}
}

// tick handles the ends of back-offs, trials and ramps.
func (d *OutlierDetector) tick(at time.Time) []Command {
	if !d.deciding {
		return nil
	}
	var commands []Command
	for _, u := range slices.Sorted(maps.Keys(d.states)) {
		s := d.states[u]
		if s.ejections > 0 && (s.phase == In || s.phase == Ramp) && at.After(s.forgetAt) {
			s.ejections = 0
		}
		if at.Before(s.until) {
			continue
		}
		switch s.phase {
		case Out, Trial:
			// The reason is the same for a trial that is restarted without a result.
			s.phase, s.trial = Trial, 0
			s.until = at.Add(trialTimeout)
			commands = append(commands, LogDecision{At: at, Upstream: u, Phase: Trial, Reason: "back-off over"})
		case Ramp:
			s.phase = In
			commands = append(commands, LogDecision{At: at, Upstream: u, Phase: In, Reason: "ramp over"})
		}
	}
	// Weights of ramps change with time, so a set is published at every tick.
	return append(commands, Command(Publish{Set: d.ejectionStates(at)}))
}

// publish updates the current set and, if a decision changed it, appends a Publish.
func (d *OutlierDetector) publish(commands []Command) []Command {
	at := time.Time{}
	for _, c := range commands {
		switch c := c.(type) {
		case Publish:
			d.set = c.Set
			return commands
		case LogDecision:
			at = c.At
		}
	}
	if at.IsZero() {
		return commands
	}
	d.set = d.ejectionStates(at)
	return append(commands, Publish{Set: d.set})
}

// ejectionStates returns the ejection states at a time, sorted by upstream.
func (d *OutlierDetector) ejectionStates(at time.Time) []EjectionState {
	var set []EjectionState
	for _, u := range slices.Sorted(maps.Keys(d.states)) {
		s := d.states[u]
		if s.phase == In {
			continue
		}
		set = append(set, EjectionState{Upstream: u, Phase: s.phase, Weight: s.weight(at)})
	}
	return set
}
