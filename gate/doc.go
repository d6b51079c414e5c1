// Package gate controls all access to the upstream beside a node. It tracks the upstream's
// slots, its incarnation, whether it is leaving, and the result of every attempt, and it
// decides on its own how much work the upstream gets.
//
// Admission is the pure part: Update takes typed messages and returns commands. Gate carries
// the commands out: it answers offers, sends requests to the upstream over HTTP and keeps
// results of finished attempts for a while, in case a link breaks before they arrive.
//
// The gate detects a failing upstream by the outcomes of its attempts (health) and by attempts
// that run far longer than requests of their kind usually take (hangDetector). After a single error
// it keeps non-retryable requests waiting until a later attempt is answered well (doubt).
//
// A gate is on trial after its upstream has failed or stopped answering: it takes a limited number
// of attempts at a time, non-retryable ones only if forced, until there are enough good answers in
// a row, or no outcomes for a while. An incarnation is one run of the upstream's process, from
// start to exit.
//
// An offer goes through these states:
//
//	offered -> queued -> granted -> committed (running) -> ended
//	      \________\________\-> refused: it has not run and never will
//
// # Usage
//
//	g := gate.New(gate.Upstream{Address: "10.0.0.1:8145", Service: "births"}, platform.Headers{}, log)
//	g.Report(report)           // A heartbeat of the upstream.
//	g.Handle(link, frame)      // An offer, a commit, a withdrawal or an outcome query.
package gate
