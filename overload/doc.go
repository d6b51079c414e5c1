// Package overload decides about requests while a service has less room than its
// callers need: who waits, for how long and in which order, who is turned away and
// when, and by which word a caller is told to come back. It knows no connections, no
// clocks and no messages; the ingress and the gates ask it.
//
// The loads that it answers:
//
//   - A service is short and calls itself or others. A request that an upstream makes
//     while it works on another one is a call. Turned away, it takes with it the work
//     that its parent has had, so it has its parent's urgency and aim, and waits until
//     then while it is in nobody's way (Terms.ForCall, Terms.KeptUntil).
//   - A service is short of room for what is asked of it. What no gate takes is told so
//     soon rather than at its deadline; only what has run already, and calls, are kept
//     for longer (Terms.KeptUntil).
//   - A burst fills the queues. Served in their order, all would be late, though as many
//     could be in time as there is room for: what no longer can goes last (Place).
//   - Callers are refused together. They are told to come back when a gate expects room,
//     spread, and the more urgent first (Terms.ComeBack).
//
// # Usage
//
//	t := overload.NewTerms(route.Priority, arrived, route.Target, deadline)
//	if parent, ok := parentOf(attempt); ok {
//		t = t.ForCall(parent)
//	}
//	if !now.Before(t.KeptUntil(ran, crowded)) {
//		retryAfter := t.ComeBack(shortestWait, rand.Float64()) // It is refused now.
//	}
package overload
