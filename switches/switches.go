// Package switches names the mechanisms that decide where, when and how often requests run.
// Each can be switched off to measure its effect. All are on by default; a fleet in
// production does not need to switch any off.
//
// # Usage
//
//	s, err := switches.Off("hedges", "near")
//	if s.On(switches.Hedges) {
package switches

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Mechanism is the name of a mechanism as it appears in the settings. The name may differ from
// that of its constant.
type Mechanism string

// Mechanisms. Each comment says what happens if the mechanism is off.
const (
	HangDetection      Mechanism = "silence"        // Unanswered attempts do not put a gate on trial.
	HoldUnresponsive   Mechanism = "hold"           // Non-retryable requests also go to upstreams that may be unresponsive.
	OverdueNotices     Mechanism = "warnings"       // Gates on trial do not report overdue attempts to the ingress.
	NestedRequests     Mechanism = "own-calls"      // An error answer counts against an upstream even if it follows from a failed nested request.
	KindTimes          Mechanism = "kind-times"     // Queues estimate response times by the mean over all kinds of requests.
	Trials             Mechanism = "trials"         // Bad outcomes do not put a gate on trial.
	Forced             Mechanism = "forced"         // No offers are forced on gates on trial, however few gates are open: these accept no non-retryable requests.
	Hedges             Mechanism = "hedges"         // Late attempts are not hedged.
	PreferLocal        Mechanism = "near"           // Gates in the local data centre are not preferred.
	SlowLast           Mechanism = "slow-last"      // Slow gates are selected like any other.
	Priority           Mechanism = "priority"       // Queues ignore priorities.
	LateLast           Mechanism = "late-last"      // Queues do not move requests to the back that can no longer meet their target deadline.
	NestedRequirements Mechanism = "call-terms"     // Nested requests do not inherit the requirements of their parent.
	TargetSteps        Mechanism = "target-steps"   // A step of priority is worth the same waiting time on every route, however long its target.
	Doubt              Mechanism = "doubt"          // Orders go to an upstream whose latest response was an error.
	NestedRoom         Mechanism = "nested-room"    // Requests start even if there is no room for their nested requests.
	FairShares         Mechanism = "fair-shares"    // Client accounts get slots in the order of their requests.
	Room               Mechanism = "room"           // The selection of a gate ignores how full it is.
	UrgentRepeats      Mechanism = "urgent-repeats" // No part of the repeat budget is reserved for urgent requests, and shed requests without budget or time are not refused at once.
)

var all = []Mechanism{HangDetection, HoldUnresponsive, OverdueNotices, NestedRequests, KindTimes, Trials, Forced, Hedges, PreferLocal, SlowLast, Priority,
	LateLast, NestedRequirements, TargetSteps, Doubt, NestedRoom, FairShares, Room, UrgentRepeats}

// All returns all mechanisms.
func All() []Mechanism { return slices.Clone(all) }

// Set is a set of mechanisms that are on. In the zero value all are on.
type Set struct{ off []Mechanism }

// Off returns a set with the named mechanisms off. Its error lists every unknown name.
func Off(names ...string) (Set, error) {
	var s Set
	var unknown []string
	for _, name := range names {
		if !slices.Contains(all, Mechanism(name)) {
			unknown = append(unknown, name)
			continue
		}
		s.off = append(s.off, Mechanism(name))
	}
	if len(unknown) > 0 {
		return Set{}, errors.Errorf("unknown mechanism %s; known are %s", strings.Join(unknown, ", "), join(all))
	}
	return s, nil
}

// On reports whether a mechanism is on.
func (s Set) On(m Mechanism) bool { return !slices.Contains(s.off, m) }

// String returns the mechanisms that are off, separated by commas, for logs.
func (s Set) String() string { return join(s.off) }

func join(list []Mechanism) string {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}
