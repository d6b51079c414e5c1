package core

import "time"

// Stage is the progress of an operation at the node that claimed it.
type Stage uint8

// Stages of an operation at its holder.
const (
	Absent     Stage = iota // No record of the operation.
	Claiming                // Waiting for the coordinator's answer.
	NotStarted              // Abandoned before it started; this attempt never will.
	Running                 // Started, no answer yet.
	Done                    // Answered, and the answer is recorded.
	DoneNoBody              // Answered, but the answer was too large to record or has been evicted.
	Uncertain               // Started with unknown outcome.
)

// String returns the stage's name in logs and dumps.
func (s Stage) String() string {
	return [...]string{"absent", "claiming", "not-started", "running", "done", "done-no-body", "uncertain"}[s]
}

// Begin starts a new attempt.
type Begin struct {
	At   time.Time
	Key  Key
	Body uint64
}

// Permit starts an attempt by the coordinator's grant.
type Permit struct {
	Key     Key
	Attempt uint64
	Epoch   uint64
}

// Abandon abandons an attempt that has not started.
type Abandon struct {
	Key     Key
	Attempt uint64
}

// Finish ends a running attempt.
type Finish struct {
	At      time.Time
	Key     Key
	Attempt uint64
	Stage   Stage // NotStarted (proved not to have run), Done, DoneNoBody or Uncertain.
	Answer  *Recorded
}

// Query queries an operation on behalf of another node, and abandons an attempt that
// has not started. Own is set if the holder is this process, and not one whose
// operation table this one adopted.
type Query struct {
	Key    Key
	Holder Holder
	Own    bool
}

// Peek queries an operation without changing it.
type Peek struct{ Key Key }

// Promise makes the operation table reject grants of earlier epochs.
type Promise struct{ Epoch uint64 }

// Witness stores a grant for another node. A coordinator's grant to itself would
// otherwise be on one node only.
type Witness struct {
	At   time.Time
	Held Held
}

func (Begin) message()   {}
func (Permit) message()  {}
func (Abandon) message() {}
func (Finish) message()  {}
func (Query) message()   {}
func (Peek) message()    {}
func (Promise) message() {}
func (Witness) message() {}

// Recorded is an answer recorded for retries with the same key.
type Recorded struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
}

// size returns the memory that the answer counts for, in bytes.
func (r *Recorded) size() int {
	if r == nil {
		return 0
	}
	return len(r.Body) + recordOverhead
}

// recordOverhead is the estimated size of an answer without its body, in bytes.
const recordOverhead = 256

// Adopt adds the entries of a stopping node.
type Adopt struct {
	At      time.Time
	Entries []Entry
}

func (Adopt) message() {}
