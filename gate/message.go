package gate

import (
	"time"

	"eiderfold/budget"
	"eiderfold/link"
	"eiderfold/port"
)

// Message is an input of Admission.Update, with the time at which it occurred.
type Message interface{ at() time.Time }

// Offered reports an offer of an ingress.
type Offered struct {
	At             time.Time
	Key            link.Key
	Service        string
	Upstream       string
	Deadline       time.Time
	TargetDeadline time.Time // At most Deadline.
	Priority       int
	Retryable      bool
	Force          bool   // Too few gates are open: on trial, it may run while fewer than maxForced slots are taken.
	Ready          bool   // It came with its content and may start at once.
	Kind           uint32 // Requests of one kind take about the same time.
	AttemptKind    budget.AttemptKind
	Account        string  // The client account that it counts towards.
	Weight         float64 // Of the account.
	Nested         bool    // It is a nested request.
}

// Committed reports the commit of a granted offer.
type Committed struct {
	At  time.Time
	Key link.Key
}

// Withdrawn reports that the ingress withdrew its offer, or that the link to it broke.
type Withdrawn struct {
	At  time.Time
	Key link.Key
}

// Outcome classifies how a started attempt ended.
type Outcome uint8

// Outcomes, by what they show about the upstream.
const (
	Good         Outcome = iota // A complete answer that is no server error.
	Erred                       // A complete answer that is a server error.
	Broken                      // A reset, a closed connection or a malformed answer.
	Unreached                   // No connection could be established.
	Shed                        // Refused by the upstream without running.
	Replaced                    // Another incarnation has the address.
	NoEvidence                  // Canceled by the gate or past the deadline.
	NestedFailed                // A server error that follows from a failed nested request. Logged as call-failed.
)

var outcomeNames = [...]string{"good", "erred", "broken", "unreached", "shed", "replaced", "no-evidence", "call-failed"}

// String returns the outcome's name, as used in logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Ended reports that an attempt has ended.
type Ended struct {
	At        time.Time
	Key       link.Key
	Outcome   Outcome
	Took      time.Duration
	Unwritten bool   // It has ended before its request was written to the upstream.
	Holder    string // ID of the incarnation that holds the address, if the outcome is Replaced.
}

// Reported carries a report of the upstream.
type Reported struct {
	At     time.Time
	Report port.Report
}

// Confirmed reports whether an incarnation was acknowledged as leaving earlier.
type Confirmed struct {
	At       time.Time
	Upstream port.Incarnation
	Leaving  bool
}

// Held reports which incarnation holds the upstream's address, by its own answer.
type Held struct {
	At     time.Time
	Holder string
}

// Stated carries what the upstream says of itself in an answer.
type Stated struct {
	At       time.Time
	HeardAt  time.Time // When the answer arrived, at this node or at another one.
	Upstream port.Incarnation
	port.Statement
}

// Evacuated reports whether the upstream's data centre is evacuated and gets no new work.
type Evacuated struct {
	At time.Time
	On bool
}

// ColdBoundChanged sets the load limit of a cold upstream.
type ColdBoundChanged struct {
	At   time.Time
	Cold ColdBound
}

// Stopping reports that the node is about to stop.
type Stopping struct{ At time.Time }

// Ticked reports that time has passed.
type Ticked struct{ At time.Time }

func (m Offered) at() time.Time          { return m.At }
func (m Committed) at() time.Time        { return m.At }
func (m Withdrawn) at() time.Time        { return m.At }
func (m Ended) at() time.Time            { return m.At }
func (m Reported) at() time.Time         { return m.At }
func (m Confirmed) at() time.Time        { return m.At }
func (m Held) at() time.Time             { return m.At }
func (m Stated) at() time.Time           { return m.At }
func (m Evacuated) at() time.Time        { return m.At }
func (m ColdBoundChanged) at() time.Time { return m.At }
func (m Stopping) at() time.Time         { return m.At }
func (m Ticked) at() time.Time           { return m.At }

// Command is an effect that Admission requests.
type Command interface{ command() }

// Grant reserves a slot for an offer until it is committed.
type Grant struct{ Key link.Key }

// Start runs an offer now.
type Start struct{ Key link.Key }

// Queue reports that an offer waits in the queue.
type Queue struct {
	Key     link.Key
	Doubted bool          // It waits although a slot is free, as the upstream may not answer it well.
	Delay   time.Duration // By which the account's share delays it.
}

// Refuse ends an offer that has not run.
type Refuse struct {
	Key        link.Key
	Reason     link.Reason
	RetryAfter time.Duration
	Yields     bool // More urgent work leaves too little room for it.
	Reserved   bool // There is budget, but it is reserved for more urgent repeats.
	// NestedService is the service without room for nested requests, for ReasonNested.
	NestedService string
}

// Warn sends an Overdue frame to the ingress: its running retryable attempt on trial is not
// answered.
type Warn struct{ Key link.Key }

// Abort cancels a running attempt.
type Abort struct{ Key link.Key }

// Announce sends the gate's new status over all links.
type Announce struct{ Why string }

// RecordLeaving records that an incarnation leaves, for a process that replaces this one.
type RecordLeaving struct{ Upstream port.Incarnation }

// Confirm looks up whether an incarnation was acknowledged as leaving before this process
// started.
type Confirm struct{ Upstream port.Incarnation }

func (Grant) command()    {}
func (Start) command()    {}
func (Queue) command()    {}
func (Refuse) command()   {}
func (Warn) command()     {}
func (Abort) command()    {}
func (Announce) command() {}
func (Confirm) command()  {}

func (RecordLeaving) command() {}
