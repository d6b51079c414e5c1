// Package ingress accepts callers' requests on one node and forwards them. It matches
// the route, offers the request to gates until one grants a slot, commits it to that
// gate, and repeats or hedges requests that may run more than once, within the fleet's
// repeat budget.
//
// A non-retryable request runs only after a commit. The first offer of a retryable one
// carries its content and may start without a commit. If the link to a gate breaks, a
// retryable request that may be running there is offered to another gate at once, if it may
// run again and has no other offer. The outcome of a committed non-retryable one is queried
// when the link is back; it stays unknown if the link does not come back in time or the
// gate's process has been replaced.
//
// # Usage
//
//	f := ingress.NewForwarder("births", endpoints, platform.Headers{}, log, counters)
//	f.SetTable(table)
//	s := ingress.NewServer(f.Serve, limits)
//	s.Serve(listener) // Returns when the listener is closed.
package ingress
