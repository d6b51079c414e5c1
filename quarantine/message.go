package quarantine

import "time"

// Message is anything that a Register is told, with the time at which it was.
type Message interface{ at() time.Time }

// Messages to a Register.
type (
	// Ended says that an upstream ended while it ran an attempt.
	Ended struct {
		At       time.Time
		Print    Print
		Upstream string    // The incarnation.
		Began    time.Time // When the attempt did.
	}
	// Answered says that an upstream gave a good answer.
	Answered struct {
		At    time.Time
		Print Print
	}
	// Heard is what another node or the store says.
	Heard struct {
		At      time.Time
		Records []Record
	}
	// Lifted says that an operator no longer wants a request held.
	Lifted struct {
		At    time.Time
		Print Print
	}
	// Ticked says that time has passed.
	Ticked struct{ At time.Time }
)

func (m Ended) at() time.Time    { return m.At }
func (m Answered) at() time.Time { return m.At }
func (m Heard) at() time.Time    { return m.At }
func (m Lifted) at() time.Time   { return m.At }
func (m Ticked) at() time.Time   { return m.At }

// Command is anything that a Register wants done.
type Command interface{ command() }

// Commands of a Register.
type (
	// Tell wants a record told to all nodes that there is a link to.
	Tell struct{ Record Record }
	// Pass wants what another node said passed on to some.
	Pass struct{ Record Record }
	// Hold says that a request is held from now on. Its record is kept in the store by
	// the nodes whose own upstreams ended under it.
	Hold struct {
		Record Record
		Own    bool
	}
	// Release says that a request is no longer held. The node that found so removes the
	// record from the store.
	Release struct {
		Print Print
		Own   bool
		Cause string
	}
)

func (Tell) command()    {}
func (Pass) command()    {}
func (Hold) command()    {}
func (Release) command() {}
