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
	// floor and a new coordinator waits before it decides.
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
	relapseShare     = 0.5  // Unused.
	fullWeight       = 1.0
	secondsPerDay    = 86_400
)

// Phase is the ejection phase of an upstream.
type Phase uint8

// Phases of an upstream. Only Out and Trial count against the floor.
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

// Standing is the published ejection state of an upstream whose phase is not In.
type Standing struct {
	Upstream string  `cbor:"1,keyasint"`
	Phase    Phase   `cbor:"2,keyasint"`
	Weight   float64 `cbor:"3,keyasint,omitempty"` // Share of full weight, 0 to 1.
}

// Publish asks the caller to publish the set of ejection states to all nodes.
type Publish struct{ Set []Standing }

// Decided asks the caller to log a decision with its evidence.
type Decided struct {
	At       time.Time
	Upstream string
	Phase    Phase
	Reason   string
	Score    float64
	Limit    float64
	Reports  map[string]float64 // Contribution to the score by reporter.
}

func (Publish) command() {}
func (Decided) command() {}

// Judge is the outlier detector of one service: it decides which upstreams are out
// of rotation. It is not safe for concurrent use.
type Judge struct {
	scoreTable
	policy      Policy
	deciding    bool
	states      map[string]*upstreamState
	observed    float64   // Observations in the current rateWindow.
	windowStart time.Time // Start of the current rateWindow.
	perDay      float64   // Observations per upstream and day, from the last full rateWindow.
	set         []Standing
}

// upstreamState is the internal state of one upstream.
type upstreamState struct {
	phase        Phase
	until        time.Time // End of the current back-off, trial or ramp.
	countedUntil time.Time // Until when a readmitted upstream counts against the floor.
	forgetAt     time.Time // When ejections is reset.
	ejections    int       // Recent ejections; determines the back-off.
	trial        float64   // Log-likelihood ratio of the current trial.
}

// NewJudge returns a Judge that only collects evidence until Installed.
func NewJudge(p Policy) *Judge {
	return &Judge{scoreTable: newScoreTable(), policy: p, states: map[string]*upstreamState{}, perDay: initialPerDay}
}

// SetPolicy replaces the policy.
func (j *Judge) SetPolicy(p Policy) { j.policy = p }

// Set returns the current ejection states, sorted by upstream.
func (j *Judge) Set() []Standing { return j.set }

// Score returns an upstream's current score, for dumps.
func (j *Judge) Score(upstream string) float64 {
	if r := j.rows[upstream]; r != nil {
		return r.score()
	}
	return 0
}

// Threshold returns the score at which an upstream is ejected: the logarithm of the
// number of observations for each permitted false alarm.
func (j *Judge) Threshold() float64 {
	return math.Log(float64(len(alternatives)) * j.perDay / j.policy.Sensitivity)
}

// Update handles one message and returns the commands to carry out.
func (j *Judge) Update(m Message) []Command {
	var commands []Command
	switch m := m.(type) {
	case Members:
		commands = j.setMembers(m)
	case Installed:
		j.install()
	case Dismissed:
		j.deciding = false
		j.states = map[string]*upstreamState{}
	case Evidence:
		commands = j.addEvidence(m)
	case Tick:
		commands = j.tick(m.At)
	}
	return j.publish(commands)
}

// install starts deciding with no upstream ejected, regardless of the previous
// coordinator's decisions.
func (j *Judge) install() {
	j.deciding = true
	for _, r := range j.rows {
		r.reset()
	}
}

// setMembers updates the live upstreams. New ones start with a ramp.
func (j *Judge) setMembers(m Members) []Command {
	before := len(j.rows)
	known := maps.Clone(j.rows)
	j.scoreTable.setUpstreams(m.Upstreams)
	for u := range j.states {
		if j.rows[u] == nil {
			delete(j.states, u)
		}
	}
	var commands []Command
	for _, u := range m.Upstreams {
		// An upstream that joins a running service may be cold. The initial members
		// do not need a ramp: ramping all of them would change nothing.
		if before > 0 && known[u] == nil && j.deciding {
			s := j.state(u)
			commands = append(commands, j.ramp(m.At, u, s, "joined"))
		}
	}
	return append(commands, j.enforceFloor(m.At)...)
}

// state returns the state of an upstream, creating it if needed.
func (j *Judge) state(u string) *upstreamState {
	if j.states[u] == nil {
		j.states[u] = &upstreamState{}
	}
	return j.states[u]
}

// maxEjected returns how many upstreams may be ejected without violating the floor.
func (j *Judge) maxEjected() int { return max(len(j.rows)-j.policy.Floor, 0) }

// possiblyOut returns how many upstreams any node may treat as ejected: those that
// are, and those whose readmission may not have reached all nodes yet.
func (j *Judge) possiblyOut(at time.Time) int {
	n := 0
	for _, s := range j.states {
		if s.ejected() || at.Before(s.countedUntil) {
			n++
		}
	}
	return n
}

// enforceFloor readmits upstreams while more are ejected than the floor allows, for
// example because others have left the service.
func (j *Judge) enforceFloor(at time.Time) []Command {
	var commands []Command
	for j.ejected() > j.maxEjected() {
		u := j.fewestEjections()
		commands = append(commands, j.readmit(at, u, "needed for the floor"))
	}
	return commands
}

// ejected returns how many upstreams are ejected.
func (j *Judge) ejected() int {
	n := 0
	for _, s := range j.states {
		if s.ejected() {
			n++
		}
	}
	return n
}

// fewestEjections returns the ejected upstream with the fewest recent ejections.
func (j *Judge) fewestEjections() string {
	best := ""
	for _, u := range slices.Sorted(maps.Keys(j.states)) {
		s := j.states[u]
		if !s.ejected() {
			continue
		}
		if best == "" || s.ejections < j.states[best].ejections {
			best = u
		}
	}
	return best
}

// addEvidence adds a node's evidence and ejects or readmits upstreams accordingly.
func (j *Judge) addEvidence(e Evidence) []Command {
	j.updateObservationRate(e)
	j.scoreTable.observe(e.At, e.Reporter, e.Counts)
	if !j.deciding {
		return nil
	}
	var commands []Command
	for _, c := range e.Counts {
		if j.rows[c.Upstream] == nil {
			continue
		}
		s := j.state(c.Upstream)
		switch s.phase {
		case Trial:
			commands = append(commands, j.evaluateTrial(e.At, c, s)...)
		case In, Ramp:
			commands = append(commands, j.evaluateUpstream(e, c.Upstream, s)...)
		}
	}
	return commands
}

// updateObservationRate updates the number of observations per upstream and day.
func (j *Judge) updateObservationRate(e Evidence) {
	if j.windowStart.IsZero() {
		j.windowStart = e.At
	}
	for _, c := range e.Counts {
		j.observed += float64(c.total())
	}
	elapsed := e.At.Sub(j.windowStart)
	if elapsed < rateWindow || len(j.rows) == 0 {
		return
	}
	perDay := j.observed / elapsed.Seconds() * secondsPerDay / float64(len(j.rows))
	j.perDay = min(max(perDay, minPerDay), maxPerDay)
	j.observed, j.windowStart = 0, e.At
}

// evaluateUpstream ejects the upstream if its score reaches the threshold, the evidence
// is corroborated, it is clearly worse than the others, and the floor allows it.
func (j *Judge) evaluateUpstream(e Evidence, u string, s *upstreamState) []Command {
	limit := j.Threshold()
	r := j.rows[u]
	if r.score() < limit || !j.corroborated(u, e, limit) || !j.scoreTable.worseThanOthers(u, limit) {
		return nil
	}
	if j.possiblyOut(e.At) >= j.maxEjected() {
		return nil // The floor takes precedence; the nodes' local weights still shift traffic.
	}
	return []Command{j.eject(e.At, u, s, limit)}
}

// corroborated reports whether the evidence against an upstream cannot come from one
// node's bad link alone. A single reporter is enough if it is beside the upstream and
// so uses no link, or if no other node contributed to the score. Otherwise the other
// reporters must contribute at least 1-maxReporterShare of the threshold.
func (j *Judge) corroborated(u string, e Evidence, limit float64) bool {
	r := j.rows[u]
	if e.Beside == u || len(r.byReporter) == 1 {
		return true
	}
	top := 0.0
	for _, share := range r.byReporter {
		top = max(top, share)
	}
	return r.score()-top >= (1-maxReporterShare)*limit
}

// eject ejects the upstream and returns the decision to log.
func (j *Judge) eject(at time.Time, u string, s *upstreamState, limit float64) Command {
	r := j.rows[u]
	reason := "failures"
	if r.slowness() {
		reason = "slow answers"
	}
	s.eject(at)
	d := Decided{At: at, Upstream: u, Phase: Out, Reason: reason, Score: r.score(), Limit: limit, Reports: maps.Clone(r.byReporter)}
	r.reset()
	return d
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

// evaluateTrial is a sequential probability ratio test (Wald): it readmits the upstream
// if it is as good as the others, and ejects it again if it is still unhealthy. It
// compares with the others so that a trial can pass while the whole service does
// badly.
func (j *Judge) evaluateTrial(at time.Time, c Count, s *upstreamState) []Command {
	failures, slow := j.scoreTable.baseline().rates(j.rows[c.Upstream])
	s.trial += evidence(alternative{rate: trialRate}, c, failures, slow)
	s.trial += evidence(alternative{rate: trialRate, slow: true}, Count{Fast: c.Fast, Slow: c.Slow}, failures, slow)
	if s.trial >= trialReject {
		s.eject(at)
		return []Command{Decided{At: at, Upstream: c.Upstream, Phase: Out, Reason: "trial failed", Score: s.trial, Limit: trialReject}}
	}
	if s.trial <= trialAccept {
		return []Command{j.readmit(at, c.Upstream, "trial passed")}
	}
	return nil
}

// readmit returns an ejected upstream to rotation with a ramp.
func (j *Judge) readmit(at time.Time, u, reason string) Command {
	s := j.states[u]
	s.countedUntil = at.Add(Settle)
	s.forgetAt = at.Add(forgetAfter)
	j.rows[u].reset()
	return j.ramp(at, u, s, reason)
}

// ramp starts a slow start.
func (j *Judge) ramp(at time.Time, u string, s *upstreamState, reason string) Command {
	s.phase = Ramp
	s.until = at.Add(rampTime)
	return Decided{At: at, Upstream: u, Phase: Ramp, Reason: reason, Score: s.trial, Limit: trialAccept}
}

// tick handles the ends of back-offs, trials and ramps.
func (j *Judge) tick(at time.Time) []Command {
	if !j.deciding {
		return nil
	}
	var commands []Command
	for _, u := range slices.Sorted(maps.Keys(j.states)) {
		s := j.states[u]
		if s.ejections > 0 && (s.phase == In || s.phase == Ramp) && at.After(s.forgetAt) {
			s.ejections = 0
		}
		if at.Before(s.until) {
			continue
		}
		switch s.phase {
		case Out, Trial:
			s.phase, s.trial = Trial, 0
			s.until = at.Add(trialTimeout)
			commands = append(commands, Decided{At: at, Upstream: u, Phase: Trial, Reason: "back-off over"})
		case Ramp:
			s.phase = In
			commands = append(commands, Decided{At: at, Upstream: u, Phase: In, Reason: "ramp over"})
		}
	}
	// Weights of ramps change with time, so a set is published at every tick.
	return append(commands, Command(Publish{Set: j.ejectionStates(at)}))
}

// publish updates the current set and, if a decision changed it, appends a Publish.
func (j *Judge) publish(commands []Command) []Command {
	at := time.Time{}
	for _, c := range commands {
		switch c := c.(type) {
		case Publish:
			j.set = c.Set
			return commands
		case Decided:
			at = c.At
		}
	}
	if at.IsZero() {
		return commands
	}
	j.set = j.ejectionStates(at)
	return append(commands, Publish{Set: j.set})
}

// ejectionStates returns the ejection states at a time, sorted by upstream.
func (j *Judge) ejectionStates(at time.Time) []Standing {
	var set []Standing
	for _, u := range slices.Sorted(maps.Keys(j.states)) {
		s := j.states[u]
		if s.phase == In {
			continue
		}
		set = append(set, Standing{Upstream: u, Phase: s.phase, Weight: s.weight(at)})
	}
	return set
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
