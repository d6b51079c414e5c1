// Package gate is the only way to the upstream beside a node. It knows the
// upstream's slots, its incarnation, whether it leaves, and what became of every
// attempt, and it decides for itself how much work the upstream can be given.
//
// Admission is the pure part: one Update step from typed messages, effects as
// commands. Gate carries the commands out: it answers offers, talks HTTP to the
// upstream and keeps ended answers for a while, in case a link broke under them.
//
// Whether the upstream does its work is judged by outcomes (health) and, while attempts
// still run, by their silence: each is compared with how long its kind of request takes.
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
//	g.Handle(link, frame)      // An offer, a commit, a withdrawal or a question.
package gate
