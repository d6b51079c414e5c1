// Package core holds the decisions of eiderfold and nothing else: no clock, no
// input or output, no goroutine. Every type changes state in one Update step
// from a typed message and returns what is to be done as commands.
//
// There are four small machines:
//
//   - Judge ejects and readmits the upstreams of one service. Only the
//     coordinator's judge decides; see judge.go.
//   - Avoider shifts one node's own traffic at once, from what it sees itself.
//   - View is what a node believes of the coordinator's decisions, and until when.
//   - Claims and Ledger keep an operation from running twice.
//
// # Usage
//
//	j := core.NewJudge(core.Policy{Floor: 2, Sensitivity: 0.01})
//	j.Update(core.Members{At: now, Upstreams: []string{"a", "b", "c"}})
//	j.Update(core.Installed{At: now})
//	for _, c := range j.Update(core.Evidence{At: now, Reporter: "n1", Counts: counts}) {
//		// Publish the set, log the decision.
//	}
package core

import "time"

// Count is what one node saw of one upstream in one window.
type Count struct {
	Upstream string `cbor:"1,keyasint"`
	Fast     uint32 `cbor:"2,keyasint,omitempty"` // Good answers within the route's usual time.
	Slow     uint32 `cbor:"3,keyasint,omitempty"` // Good answers past it, and requests that are past it unanswered.
	Failed   uint32 `cbor:"4,keyasint,omitempty"` // Errors that are not the caller's, resets, stalls.
}

func (c Count) total() uint32 { return c.Fast + c.Slow + c.Failed }

// Message is anything a machine of this package is told.
type Message interface{ message() }

// Command is anything a machine of this package wants done.
type Command interface{ command() }

// Members says which upstreams of the service are live.
type Members struct {
	At        time.Time
	Upstreams []string
}

// Evidence is what a node saw since its last evidence.
type Evidence struct {
	At       time.Time
	Reporter string
	Beside   string // The upstream the reporter stands beside, seen without a link; may be empty.
	Counts   []Count
}

// Tick says that time has passed.
type Tick struct{ At time.Time }

// Installed says that this node may decide from At on.
type Installed struct{ At time.Time }

// Dismissed says that this node no longer decides.
type Dismissed struct{ At time.Time }

func (Members) message()   {}
func (Evidence) message()  {}
func (Tick) message()      {}
func (Installed) message() {}
func (Dismissed) message() {}
