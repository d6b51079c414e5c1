// Package switches names the mechanisms that decide where requests go, so that each can
// be switched off, to measure what it is worth. All are on unless the settings say
// otherwise; a fleet in service needs none of them off.
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

// Mechanism is something that decides.
type Mechanism string

// Mechanisms, with what happens where one is off.
const (
	Silence   Mechanism = "silence"    // No trial begins because attempts are not answered.
	Hold      Mechanism = "hold"       // Orders are given to upstreams whose answers are in doubt.
	Warnings  Mechanism = "warnings"   // No ingress is told of attempts that are silent.
	OwnCalls  Mechanism = "own-calls"  // Errors count against an upstream whatever its calls did.
	KindTimes Mechanism = "kind-times" // Queues expect the mean time of all kinds of request.
	Trials    Mechanism = "trials"     // No upstream is set aside for its outcomes.
	Forced    Mechanism = "forced"     // Gates on trial take no orders, however few are open.
	Hedges    Mechanism = "hedges"     // A late attempt is not repeated beside itself.
	Near      Mechanism = "near"       // The own data centre is not preferred.
	SlowLast  Mechanism = "slow-last"  // Slow gates are chosen as others are.
	Priority  Mechanism = "priority"   // Queues do not look at priorities.
	LateLast  Mechanism = "late-last"  // Queues do not put behind what can no longer be in time.
	CallTerms Mechanism = "call-terms" // A call is not as urgent as the request that it is made for.
)

var all = []Mechanism{Silence, Hold, Warnings, OwnCalls, KindTimes, Trials, Forced, Hedges, Near, SlowLast, Priority,
	LateLast, CallTerms}

// All returns every mechanism.
func All() []Mechanism { return slices.Clone(all) }

// Set says which mechanisms are on. The zero value has all of them on.
type Set struct{ off []Mechanism }

// Off returns a set with some mechanisms off. Its error names every unknown one.
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

// On tells whether a mechanism is on.
func (s Set) On(m Mechanism) bool { return !slices.Contains(s.off, m) }

// String lists the mechanisms that are off, for the log.
func (s Set) String() string { return join(s.off) }

func join(list []Mechanism) string {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}
