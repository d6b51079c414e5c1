package core

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Policy is what a template says about a service.
type Policy struct {
	Floor int
	// Sensitivity is the wanted bound on false ejections, per upstream and day.
	Sensitivity float64
	// OnlyAtMostOnce allows a trial by a real operation, as nothing else comes.
	OnlyAtMostOnce bool
}

// Times of the judge.
const (
	// Lease is how long a node may act on a decision without hearing the
	// coordinator again, counted from when the node asked.
	Lease = 3 * time.Second
	// Settle is how long after its grant a lease may still be acted on: its node
	// counts by a clock that may run slow. So long a readmitted upstream still counts
	// against the floor, and so long a new coordinator waits.
	Settle = Lease + Lease/4

	firstBackoff = 2 * time.Second
	lastBackoff  = time.Minute
	calmAfter    = 5 * time.Minute // A time in rotation that forgives earlier ejections.
	rampTime     = 3 * time.Second
	rampStart    = 0.1
	trialLimit   = 20 * time.Second // A trial nobody could make is tried again after this.
	rateWindow   = 10 * time.Second
)

// Bounds of the test.
const (
	leastPerDay  = 1_000
	firstPerDay  = 1_000_000 // Before it has been measured; a high one is careful.
	mostPerDay   = 100_000_000
	singleShare  = 0.6 // What one reporter alone can bring of the threshold.
	trialAccept  = -6.0
	trialReject  = 4.0
	trialRate    = 0.5
	relapseShare = 0.5 // A recently ejected upstream starts with this much of the threshold.
	fullWeight   = 1.0
	dayInSeconds = 86_400
)

// Phase is where an upstream stands.
type Phase uint8

// The phases of an upstream. Only Out and Trial count against the floor.
const (
	In    Phase = iota // In rotation.
	Out                // Ejected; gets nothing.
	Trial              // Ejected; gets single retryable requests.
	Ramp               // Readmitted or cold; gets a growing share.
)

// String returns the phase as logs and dumps show it.
func (p Phase) String() string {
	return [...]string{"in", "out", "trial", "ramp"}[p]
}

// Standing is the published decision on one upstream that is not plainly in.
type Standing struct {
	Upstream string  `cbor:"1,keyasint"`
	Phase    Phase   `cbor:"2,keyasint"`
	Weight   float64 `cbor:"3,keyasint,omitempty"`
}

// Publish asks for the set of standings to be told to all nodes.
type Publish struct{ Set []Standing }

// Decided asks for a decision to be logged with its evidence.
type Decided struct {
	At       time.Time
	Upstream string
	Phase    Phase
	Reason   string
	Score    float64
	Limit    float64
	Reports  map[string]float64 // Share of the score by reporter.
}

func (Publish) command() {}
func (Decided) command() {}

// Judge decides which upstreams of one service are out of rotation. It is not
// safe for several goroutines.
type Judge struct {
	panel
	policy   Policy
	deciding bool
	states   map[string]*standing
	seen     float64   // Observations in the present rate window.
	windowAt time.Time // When the window began.
	perDay   float64   // Observations an upstream and day, from the last full window.
	set      []Standing
}

// standing is the judge's state of one upstream.
type standing struct {
	phase     Phase
	until     time.Time // End of the back-off, the trial or the ramp.
	countsTo  time.Time // Until when a readmitted one counts against the floor.
	calmAt    time.Time // When earlier ejections are forgiven.
	ejections int
	trial     float64 // The trial's sum.
}

// NewJudge returns a judge that does not decide until it is installed.
func NewJudge(p Policy) *Judge {
	return &Judge{panel: newPanel(), policy: p, states: map[string]*standing{}, perDay: firstPerDay}
}

// SetPolicy changes the policy in force.
func (j *Judge) SetPolicy(p Policy) { j.policy = p }

// Set returns the present standings in order of name.
func (j *Judge) Set() []Standing { return j.set }

// Score returns an upstream's present sum, for dumps.
func (j *Judge) Score(upstream string) float64 {
	if r := j.rows[upstream]; r != nil {
		return r.score()
	}
	return 0
}

// Threshold returns the sum at which an upstream is ejected: the logarithm of
// how many observations may pass for one false alarm.
func (j *Judge) Threshold() float64 {
	return math.Log(float64(len(alternatives)) * j.perDay / j.policy.Sensitivity)
}

// Update takes one message and returns what is to be done.
func (j *Judge) Update(m Message) []Command {
	var commands []Command
	switch m := m.(type) {
	case Members:
		commands = j.setMembers(m)
	case Installed:
		j.install()
	case Dismissed:
		j.deciding = false
		j.states = map[string]*standing{}
	case Evidence:
		commands = j.take(m)
	case Tick:
		commands = j.tick(m.At)
	}
	return j.publish(commands)
}

// install starts deciding afresh: all are in, whatever the last coordinator held.
func (j *Judge) install() {
	j.deciding = true
	for _, r := range j.rows {
		r.reset()
	}
}

func (j *Judge) setMembers(m Members) []Command {
	before := len(j.rows)
	known := maps.Clone(j.rows)
	j.panel.members(m.Upstreams)
	for u := range j.states {
		if j.rows[u] == nil {
			delete(j.states, u)
		}
	}
	var commands []Command
	for _, u := range m.Upstreams {
		// A newcomer to a running service may be cold. The first members of all
		// are not known to be, and ramping all of them would change nothing.
		if before > 0 && known[u] == nil && j.deciding {
			s := j.standing(u)
			commands = append(commands, j.ramp(m.At, u, s, "joined"))
		}
	}
	return append(commands, j.keepFloor(m.At)...)
}

func (j *Judge) standing(u string) *standing {
	if j.states[u] == nil {
		j.states[u] = &standing{}
	}
	return j.states[u]
}

// budget is how many upstreams may count as out.
func (j *Judge) budget() int { return max(len(j.rows)-j.policy.Floor, 0) }

// out counts the upstreams that some node may treat as out at a time.
func (j *Judge) out(at time.Time) int {
	n := 0
	for _, s := range j.states {
		if s.ejected() || at.Before(s.countsTo) {
			n++
		}
	}
	return n
}

// keepFloor readmits the least suspect when upstreams went away for good and
// the ones that are ejected are now needed.
func (j *Judge) keepFloor(at time.Time) []Command {
	var commands []Command
	for j.ejected() > j.budget() {
		u := j.leastSuspect()
		commands = append(commands, j.readmit(at, u, "needed for the floor"))
	}
	return commands
}

func (j *Judge) ejected() int {
	n := 0
	for _, s := range j.states {
		if s.ejected() {
			n++
		}
	}
	return n
}

func (j *Judge) leastSuspect() string {
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

func (j *Judge) take(e Evidence) []Command {
	j.countRate(e)
	j.panel.observe(e.At, e.Reporter, e.Counts)
	if !j.deciding {
		return nil
	}
	var commands []Command
	for _, c := range e.Counts {
		if j.rows[c.Upstream] == nil {
			continue
		}
		s := j.standing(c.Upstream)
		switch s.phase {
		case Trial:
			commands = append(commands, j.judgeTrial(e.At, c, s)...)
		case In, Ramp:
			commands = append(commands, j.judgeSuspect(e, c.Upstream, s)...)
		}
	}
	return commands
}

// countRate measures how many observations a day an upstream gives.
func (j *Judge) countRate(e Evidence) {
	if j.windowAt.IsZero() {
		j.windowAt = e.At
	}
	for _, c := range e.Counts {
		j.seen += float64(c.total())
	}
	passed := e.At.Sub(j.windowAt)
	if passed < rateWindow || len(j.rows) == 0 {
		return
	}
	perDay := j.seen / passed.Seconds() * dayInSeconds / float64(len(j.rows))
	j.perDay = min(max(perDay, leastPerDay), mostPerDay)
	j.seen, j.windowAt = 0, e.At
}

func (j *Judge) judgeSuspect(e Evidence, u string, s *standing) []Command {
	limit := j.Threshold()
	r := j.rows[u]
	if r.score() < limit || !j.corroborated(u, e, limit) || !j.panel.stands(u, limit) {
		return nil
	}
	if j.out(e.At) >= j.budget() {
		return nil // The floor comes first; the nodes' own avoidance still helps.
	}
	return []Command{j.eject(e.At, u, s, limit)}
}

// corroborated keeps one node's bad link from looking like a bad upstream. One
// reporter is enough if it needs no link, or if nobody else has work there;
// otherwise the others must bring a good part of the threshold.
func (j *Judge) corroborated(u string, e Evidence, limit float64) bool {
	r := j.rows[u]
	if e.Beside == u || len(r.by) == 1 {
		return true
	}
	top := 0.0
	for _, share := range r.by {
		top = max(top, share)
	}
	return r.score()-top >= (1-singleShare)*limit
}

func (j *Judge) eject(at time.Time, u string, s *standing, limit float64) Command {
	r := j.rows[u]
	reason := "failures"
	if r.slowness() {
		reason = "slow answers"
	}
	s.eject(at)
	d := Decided{At: at, Upstream: u, Phase: Out, Reason: reason, Score: r.score(), Limit: limit, Reports: maps.Clone(r.by)}
	r.reset()
	return d
}

// ejected reports whether the upstream is out of rotation, on trial or not.
func (s *standing) ejected() bool { return s.phase == Out || s.phase == Trial }

func (s *standing) eject(at time.Time) {
	s.phase = Out
	s.ejections++
	s.until = at.Add(backoff(s.ejections))
}

// backoff doubles with every ejection that followed soon on the last.
func backoff(ejections int) time.Duration {
	d := firstBackoff
	for range ejections - 1 {
		d = min(2*d, lastBackoff)
	}
	return d
}

// judgeTrial is Wald's sequential test the other way round: as good as the others,
// or still sick. It compares too, or an upstream could not come back while the
// whole service does badly.
func (j *Judge) judgeTrial(at time.Time, c Count, s *standing) []Command {
	failures, slow := j.panel.standard().others(j.rows[c.Upstream])
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

func (j *Judge) readmit(at time.Time, u, reason string) Command {
	s := j.states[u]
	s.countsTo = at.Add(Settle)
	s.calmAt = at.Add(calmAfter)
	j.rows[u].reset()
	return j.ramp(at, u, s, reason)
}

func (j *Judge) ramp(at time.Time, u string, s *standing, reason string) Command {
	s.phase = Ramp
	s.until = at.Add(rampTime)
	return Decided{At: at, Upstream: u, Phase: Ramp, Reason: reason, Score: s.trial, Limit: trialAccept}
}

func (j *Judge) tick(at time.Time) []Command {
	if !j.deciding {
		return nil
	}
	var commands []Command
	for _, u := range slices.Sorted(maps.Keys(j.states)) {
		s := j.states[u]
		if s.ejections > 0 && (s.phase == In || s.phase == Ramp) && at.After(s.calmAt) {
			s.ejections = 0
		}
		if at.Before(s.until) {
			continue
		}
		switch s.phase {
		case Out, Trial:
			s.phase, s.trial = Trial, 0
			s.until = at.Add(trialLimit)
			commands = append(commands, Decided{At: at, Upstream: u, Phase: Trial, Reason: "back-off over"})
		case Ramp:
			s.phase = In
			commands = append(commands, Decided{At: at, Upstream: u, Phase: In, Reason: "ramp over"})
		}
	}
	// Weights of ramps change with time alone, so there is always a set to publish.
	return append(commands, Command(Publish{Set: j.standings(at)}))
}

// publish appends the set if a decision changed it.
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
	j.set = j.standings(at)
	return append(commands, Publish{Set: j.set})
}

func (j *Judge) standings(at time.Time) []Standing {
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

func (s *standing) weight(at time.Time) float64 {
	if s.phase != Ramp {
		return 0
	}
	done := 1 - s.until.Sub(at).Seconds()/rampTime.Seconds()
	return min(max(rampStart+(fullWeight-rampStart)*done, rampStart), fullWeight)
}
