package membership

import (
	"time"

	"eiderfold/link"
)

// Message is an input to a View, with the time at which it arrived.
type Message interface{ at() time.Time }

// Received carries records from the store or another node.
type Received struct {
	At      time.Time
	Records []link.Record
}

// Compared carries the sums of another node's records. Answer is set if they answer this
// node's own sums.
type Compared struct {
	At     time.Time
	Sums   []uint64
	Answer bool
}

// NotCompared reports that the comparison that was due was not made, as there is no link.
type NotCompared struct{ At time.Time }

// Unreachable reports that a dialed node could not be reached for long.
type Unreachable struct {
	At      time.Time
	Address string
}

// Needed requests a link to a node that is not dialed, although it is not selected. For a node
// that is dialed already it has no effect: if that is so because the node is selected, its link
// is dropped once the node is displaced from the selection.
type Needed struct {
	At      time.Time
	Address string
}

// Ticked reports the current time.
type Ticked struct{ At time.Time }

func (m Received) at() time.Time    { return m.At }
func (m Compared) at() time.Time    { return m.At }
func (m NotCompared) at() time.Time { return m.At }
func (m Unreachable) at() time.Time { return m.At }
func (m Needed) at() time.Time      { return m.At }
func (m Ticked) at() time.Time      { return m.At }

// Command is an action that a View requests.
type Command interface{ command() }

// Dial establishes a link to a node and keeps it.
type Dial struct{ Member link.Member }

// Drop closes a link once no request is using it.
type Drop struct{ Address string }

// Updates carries records that other nodes may not have yet.
type Updates struct{ Records []link.Record }

// Reply sends records to the node that sent its sums.
type Reply struct{ Records []link.Record }

// Answer sends this node's sums to the node that sent its own.
type Answer struct{ Sums []uint64 }

// Compare sends this node's sums to a node, of another data centre if Far is set.
type Compare struct {
	Sums []uint64
	Far  bool
}

// Refute reports that other nodes consider this node gone: its record has to be written again
// with the new version.
type Refute struct{}

func (Dial) command()    {}
func (Drop) command()    {}
func (Updates) command() {}
func (Reply) command()   {}
func (Answer) command()  {}
func (Compare) command() {}
func (Refute) command()  {}
