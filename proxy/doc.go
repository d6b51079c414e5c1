// Package proxy is the path of a request through a node: find the client account
// and the route, choose an upstream, send, retry or hedge where that is allowed,
// and give the caller the whole answer or a numbered result.
//
// # Usage
//
//	h := proxy.NewHandler(holder, directory, operations, proxy.WithLimits(limits))
//	http.ListenAndServe("127.0.0.1:8080", h)
//
// The path of a request takes no lock that all requests share. It reads the
// configuration and each service's rotation through atomic pointers, and counts
// what it sees in atomics of the upstream, which package node drains as evidence.
package proxy

import (
	"context"
	"time"

	"eiderfold/core"
	"eiderfold/result"
)

// Directory finds the balancer of a service.
type Directory interface {
	// Service returns nil while the node has not set the service up.
	Service(template, service string) *Service
	// Complete reports whether the node has had its whole configuration since it
	// started. Before that an unknown account may only be one that has not come yet.
	Complete() bool
}

// Operations keeps keyed operations from running twice.
type Operations interface {
	// Begin claims an operation. It returns a running operation, or the recorded
	// answer of an earlier run, or why there is neither. born is when the key was
	// made, or zero if it does not tell.
	Begin(ctx context.Context, template string, key core.Key, body uint64, born time.Time) (Operation, *core.Recorded, *result.Error)
}

// Operation is a claimed operation that this node alone may start.
type Operation interface {
	// Finish records how it ended. Stage is NotStarted, Done or Uncertain.
	Finish(stage core.Stage, answer *core.Recorded)
}
