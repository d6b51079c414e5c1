// Package ingress accepts callers' requests on one node and forwards them. It matches
// the route, offers the request to gates until one grants a slot, commits it to that
// gate, and repeats or hedges requests that may run more than once, within the fleet's
// repeat budget.
//
// A request without a commit has not run. If the link to the gate of a committed request
// breaks, the outcome is queried when the link is back; it stays unknown if the link does
// not come back in time or the gate's process has been replaced.
//
// # Usage
//
//	f := ingress.NewForwarder("births", endpoints, platform.Headers{}, log, counters)
//	f.SetTable(table)
//	s := ingress.NewServer(f.Serve, limits)
//	err := s.Serve(listener) // Returns when the listener is closed.
package ingress
