// Package ingress takes callers' requests on one node and sees each to an answer:
// it finds the route, offers the request to gates until one grants a slot, commits
// it to that one, and repeats or hedges what may run more than once, within the
// fleet's budget.
//
// What is certain about a request follows from its commits alone: without any, it
// has not run. A commit whose gate cannot be heard is asked for when the link is
// back; only when the gate's process is gone does the outcome stay unknown.
//
// # Usage
//
//	f := ingress.NewForwarder("births", targets, budget, platform.Headers{}, log, counters)
//	f.SetTable(table)
//	s := ingress.NewServer(f.Serve, limits)
//	err := s.Serve(listener) // Returns when the listener is closed.
package ingress
