// Package proxy handles callers' requests: it finds the client account and the
// route, chooses an upstream, sends the request, retries or hedges it where the
// route allows that, and relays the upstream's answer or, if there is none, returns a
// result code (package result).
//
// # Usage
//
//	h := proxy.NewHandler(holder, directory, operations, proxy.WithLimits(limits))
//	http.ListenAndServe("127.0.0.1:8080", h)
//
// Apart from the short critical section of error attribution, the request path in this
// package takes no lock that all requests share. It reads the configuration and each
// service's rotation through atomic pointers, and counts outcomes in per-upstream
// atomics, which package node drains as evidence. The given Operations and the function
// of WithSuspects may take locks of their own.
package proxy

import (
	"context"
	"time"

	"eiderfold/core"
	"eiderfold/result"
)

// Directory finds the balancer of a service.
type Directory interface {
	// Service returns nil until the node has set up the service.
	Service(template, service string) *Service
	// Loaded reports whether the node has loaded its whole configuration since it
	// started. Until then an unknown account may just not have been loaded yet.
	Loaded() bool
}

// Operations prevents keyed operations from running twice.
type Operations interface {
	// Begin claims an operation. It returns the claimed operation, the recorded
	// answer of an earlier run, or an error. created is the time at which the key
	// was created, or zero if the key does not contain it.
	Begin(ctx context.Context, template string, key core.Key, body uint64, created time.Time) (Operation, *core.Recorded, *result.Error)
}

// Operation is a claimed operation, which only this node may start.
type Operation interface {
	// Finish records the operation's outcome. Stage is NotStarted, Done or Uncertain.
	Finish(stage core.Stage, answer *core.Recorded)
}
