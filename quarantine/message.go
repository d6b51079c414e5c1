package quarantine

import "time"

// Message is an input to a Tracker, with the time at which it arrived.
type Message interface{ at() time.Time }

// Messages to a Tracker.
type (
	// Crashed reports that an upstream crashed while running an attempt.
	Crashed struct {
		At          time.Time
		Fingerprint Fingerprint
		Upstream    string    // The upstream's incarnation.
		Began       time.Time // Start time of the attempt.
	}
	// Answered reports that an upstream gave a good answer.
	Answered struct {
		At          time.Time
		Fingerprint Fingerprint
	}
	// Received carries records from another node or the store.
	Received struct {
		At      time.Time
		Records []Record
	}
	// Lifted reports that an operator ended the quarantine of a request.
	Lifted struct {
		At          time.Time
		Fingerprint Fingerprint
	}
	// Ticked reports the current time.
	Ticked struct{ At time.Time }
)

func (m Crashed) at() time.Time  { return m.At }
func (m Answered) at() time.Time { return m.At }
func (m Received) at() time.Time { return m.At }
func (m Lifted) at() time.Time   { return m.At }
func (m Ticked) at() time.Time   { return m.At }

// Command is an action that a Tracker requests.
type Command interface{ command() }

// Commands of a Tracker.
type (
	// Broadcast sends a record to all linked nodes.
	Broadcast struct{ Record Record }
	// Relay forwards a record received from another node to some nodes.
	Relay struct{ Record Record }
	// Quarantined reports that a request is quarantined from now on. Its record is kept in the
	// store by the nodes whose own upstreams crashed while running it.
	Quarantined struct {
		Record Record
		Own    bool // One of this node's own upstreams crashed: this node stores the record.
	}
	// Release reports that a request is no longer quarantined, or that its record has expired.
	// Own has another meaning than in Quarantined: this node removes the record from the store,
	// also if it has cleared a request that crashed only upstreams of other nodes.
	Release struct {
		Fingerprint Fingerprint
		Own         bool
		Cause       string
	}
)

func (Broadcast) command()   {}
func (Relay) command()       {}
func (Quarantined) command() {}
func (Release) command()     {}
