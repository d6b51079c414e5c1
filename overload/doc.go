// Package overload decides how requests are handled while a service has less capacity than its
// callers need: which wait, for how long and in which order, which are refused and when, and
// what retry-after a refused caller gets. It has no connections, clocks or messages of its own;
// the ingress and the gates call it.
//
// It handles these cases:
//
//   - A service is saturated and calls itself or others. A request that an upstream makes
//     while it works on another one is a nested request. If it is refused, the work on its
//     parent is lost. So it gets the higher priority and the later target deadline of the two,
//     and is kept until then while the parent's upstream has a free slot
//     (Requirements.ForNested, Requirements.KeepUntil).
//   - A service that nested requests lead to is saturated. A request that will make some would
//     occupy a slot and fail. So it is refused while others wait for the slot, except for a few
//     that probe for room (NestedDemand).
//   - A service has less capacity than is requested. A request that no gate takes is refused
//     soon rather than at its deadline. Only nested requests, and requests that have already
//     run, are kept for longer (Requirements.KeepUntil).
//   - A burst fills the queues. In order of arrival, all requests would miss their target
//     deadlines, although the capacity would be enough for some. So those that can no longer
//     meet theirs go last (QueueKey).
//   - A route with a long target and urgent ones with short targets compete for the same slots.
//     Each step of priority makes up for a part of the time until the target deadline, so that
//     the former waits, as it can afford to (PriorityStep).
//   - All upstreams of a service shed most of their work, and repeats are limited. A request that
//     was shed and can no longer meet its target deadline is refused, so that the repeats are left
//     to others (Requirements.RepeatShedUntil).
//   - A client account sends many times its usual load. Its requests would fill the queues, and
//     those of all other accounts would wait behind them. So requests go later in the queue by what
//     their account has taken beyond its share of the gate (Shares).
//   - Many callers are refused at once. They get a retry-after by the wait that gates
//     estimate, with random jitter, and shorter for higher priorities
//     (Requirements.RetryAfter).
//
// # Usage
//
//	r := overload.NewRequirements(route.Priority, arrived, route.Target, deadline)
//	if parent, ok := parentOf(attempt); ok {
//		r = r.ForNested(parent)
//	}
//	if !now.Before(r.KeepUntil(ran, saturated)) {
//		retryAfter := r.RetryAfter(shortestWait, rand.Float64()) // It is refused now.
//	}
package overload
