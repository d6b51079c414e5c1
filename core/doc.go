// Package core implements the decisions of eiderfold as pure state machines: no
// clock, no I/O, no goroutines. All but View handle typed messages in an Update method.
// OutlierDetector's returns commands for the caller to carry out, ClaimTable's an answer
// and OperationTable's a report. Apart from that, only setters such as SetPolicy change
// their state.
//
// The state machines are:
//
//   - OutlierDetector ejects and readmits the upstreams of one service. Only the
//     coordinator's decides; see outlier.go.
//   - LocalWeights shifts one node's own traffic at once, based on that node's own
//     observations.
//   - View holds the coordinator's decisions that a node has received, and the end
//     of their lease. Its methods Receive and Promise change its state.
//   - ClaimTable and OperationTable keep an operation from running twice.
//
// # Usage
//
//	d := core.NewOutlierDetector(core.Policy{Floor: 2, Sensitivity: 0.01})
//	d.Update(core.Members{At: now, Upstreams: []string{"a", "b", "c"}})
//	d.Update(core.StartDeciding{At: now})
//	for _, c := range d.Update(core.Evidence{At: now, Reporter: "n1", Counts: counts}) {
//		// Publish the set of ejection states, log the decision.
//	}
package core

import "time"

// Count is the number of outcomes that one node observed of one upstream in one window.
type Count struct {
	Upstream string `cbor:"1,keyasint"`
	Fast     uint32 `cbor:"2,keyasint,omitempty"` // Good responses within the route's latency percentile.
	Slow     uint32 `cbor:"3,keyasint,omitempty"` // Good responses above it, and requests unanswered for longer.
	Failed   uint32 `cbor:"4,keyasint,omitempty"` // Errors that the caller did not cause, resets, stalls.
}

func (c Count) total() uint32 { return c.Fast + c.Slow + c.Failed }

// Message is an input of a state machine of this package.
type Message interface{ message() }

// Command is an output of a state machine, for the caller to carry out.
type Command interface{ command() }

// Members lists the live upstreams of the service.
type Members struct {
	At        time.Time
	Upstreams []string
}

// Evidence holds a node's observations since its last Evidence.
type Evidence struct {
	At            time.Time
	Reporter      string
	LocalUpstream string // The upstream beside the reporter, observed without a network link; may be empty.
	Counts        []Count
}

// Tick reports the current time.
type Tick struct{ At time.Time }

// StartDeciding reports that this node may decide from At on.
type StartDeciding struct{ At time.Time }

// StopDeciding reports that this node no longer decides.
type StopDeciding struct{ At time.Time }

func (Members) message()       {}
func (Evidence) message()      {}
func (Tick) message()          {}
func (StartDeciding) message() {}
func (StopDeciding) message()  {}
