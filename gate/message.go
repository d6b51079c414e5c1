package gate

import (
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/port"
)

// Message is anything Admission is told, with the time at which it was.
type Message interface{ at() time.Time }

// Offered is an offer that came in.
type Offered struct {
	At        time.Time
	Key       link.Key
	Service   string
	Upstream  string
	Deadline  time.Time
	Aim       time.Time // When the answer loses most of its worth; at most the deadline.
	Priority  int
	Retryable bool
	Force     bool
	Ready     bool   // It came with its content and may start at once.
	Kind      uint32 // Requests of one kind take about the same time.
	Claim     budget.Claim
}

// Committed is the go-ahead for a granted offer.
type Committed struct {
	At  time.Time
	Key link.Key
}

// Withdrawn says that the one who offered gave up.
type Withdrawn struct {
	At  time.Time
	Key link.Key
}

// Outcome is how a started attempt ended.
type Outcome uint8

// Outcomes, by what they say of the upstream.
const (
	Good       Outcome = iota // A whole answer that is no error of the upstream.
	Erred                     // A whole answer that is an error of the upstream.
	Broken                    // A reset, a cut or a garbled answer.
	Unreached                 // No connection came about.
	Shed                      // Refused without running.
	Replaced                  // Another incarnation holds the address.
	NoEvidence                // Broken off from our side.
	CallFailed                // An error that follows from a failed call of the upstream's own.
)

var outcomeNames = [...]string{"good", "erred", "broken", "unreached", "shed", "replaced", "no-evidence", "call-failed"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Ended says that an attempt is over.
type Ended struct {
	At      time.Time
	Key     link.Key
	Outcome Outcome
	Took    time.Duration
}

// Reported is an upstream's word about itself.
type Reported struct {
	At     time.Time
	Report port.Report
}

// Confirmed says whether an incarnation has been acknowledged as leaving earlier.
type Confirmed struct {
	At       time.Time
	Upstream port.Incarnation
	Leaving  bool
}

// Evacuated says whether the upstream's data centre is to be evacuated: no new work.
type Evacuated struct {
	At time.Time
	On bool
}

// Bounded says what the upstream bears while it is cold.
type Bounded struct {
	At   time.Time
	Cold ColdBound
}

// Stopping says that the node is about to end.
type Stopping struct{ At time.Time }

// Ticked says that time has passed.
type Ticked struct{ At time.Time }

func (m Offered) at() time.Time   { return m.At }
func (m Committed) at() time.Time { return m.At }
func (m Withdrawn) at() time.Time { return m.At }
func (m Ended) at() time.Time     { return m.At }
func (m Reported) at() time.Time  { return m.At }
func (m Confirmed) at() time.Time { return m.At }
func (m Evacuated) at() time.Time { return m.At }
func (m Bounded) at() time.Time   { return m.At }
func (m Stopping) at() time.Time  { return m.At }
func (m Ticked) at() time.Time    { return m.At }

// Command is anything Admission wants done.
type Command interface{ command() }

// Grant holds a slot for an offer until it is committed.
type Grant struct{ Key link.Key }

// Start runs an offer now.
type Start struct{ Key link.Key }

// Queue tells that an offer waits.
type Queue struct{ Key link.Key }

// Refuse ends an offer that has not run.
type Refuse struct {
	Key    link.Key
	Reason link.Reason
	After  time.Duration
}

// Warn tells that a running attempt that may be repeated is not answered.
type Warn struct{ Key link.Key }

// Abort breaks a running attempt off.
type Abort struct{ Key link.Key }

// Announce tells all links of the gate's new state.
type Announce struct{ Why string }

// Confirm asks whether an incarnation was acknowledged as leaving before this
// process began.
type Confirm struct{ Upstream port.Incarnation }

func (Grant) command()    {}
func (Start) command()    {}
func (Queue) command()    {}
func (Refuse) command()   {}
func (Warn) command()     {}
func (Abort) command()    {}
func (Announce) command() {}
func (Confirm) command()  {}
