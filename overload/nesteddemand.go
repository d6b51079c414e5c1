package overload

import (
	"slices"
	"time"
)

const (
	// maxNestedKinds bounds the kinds of request whose nested requests are learned.
	maxNestedKinds = 256
	// nestedRetention is how long the figures of a kind are kept after its last run: long enough
	// for kinds that run rarely, and short enough to follow a changed upstream.
	nestedRetention = time.Minute
	// minNestedRuns is how many runs the figures of a kind need before they count. Fewer say
	// little about the share of runs that make nested requests.
	minNestedRuns = 10
	// minNestedShare is the share of runs that must lead to a service. Below a half, most of the
	// refused requests would have been served without it.
	minNestedShare = 0.5
	// nestedGain is the least weight of a run in the moving averages: about the last forty runs
	// count.
	nestedGain = 0.04
	// forgottenShare is the share of runs below which a service is forgotten.
	forgottenShare = 0.01
	// nestedProbeEvery is the number of offers without room of which one is admitted all the
	// same. Their nested requests find room that was not reported, and show that a kind still
	// makes them.
	nestedProbeEvery = 10
	// maxNestedWait is the longest reported wait that counts: no request is kept in a queue for so
	// long, so a longer one cannot be an estimate.
	maxNestedWait = time.Minute
)

// NestedDemand decides which requests are refused because there is no room for the nested
// requests that their runs will make. Such a request would occupy a slot until it fails, and the
// work on it would be lost.
//
// It learns from past runs, by kind of request, which services their nested requests lead to and
// how many rounds of them a run makes. Refusing work that would have been served costs more than
// a failed run. So a request is admitted if the wait is not known or the latest nested request has
// not confirmed it, and while only a few runs have been seen. The time that nested requests take
// beside their wait is left out, and a late request is judged by its deadline. NestedDemand is not
// safe for concurrent use.
type NestedDemand struct {
	kinds map[uint32]*nestedKind
}

// nestedKind holds the figures of one kind of request.
type nestedKind struct {
	expires   time.Time // When the figures are forgotten.
	runs      int
	completed int
	ownTime   float64 // Mean, in nanoseconds, without the time spent on nested requests.
	services  []nestedService
	noRoom    int // Offers for whose nested requests there was no room.
}

// nestedService holds what runs of one kind demand of one service.
type nestedService struct {
	name   string
	runs   int
	share  float64 // Share of runs that lead there.
	rounds float64 // Mean number of nested requests one after the other, of those runs.
	// bound is how long the latest nested request took if it found room: the next one is not
	// expected to wait for longer, whatever gates report.
	bound time.Duration
}

// NestedWait returns the shortest wait that gates of a service report, 0 if one of them has a free
// slot, and whether it is known.
type NestedWait func(service string) (wait time.Duration, known bool)

// NoteRun learns from a run that has ended. A run that is not complete, as it has failed, may have
// ended before it made all of its nested requests.
func (d *NestedDemand) NoteRun(at time.Time, kind uint32, r *NestedRun, took time.Duration, complete bool) {
	if len(r.services) == 0 && (!complete || d.find(at, kind) == nil) {
		return
	}
	k := d.findOrAdd(at, kind)
	if k == nil {
		return
	}
	k.expires = at.Add(nestedRetention)
	k.runs++
	k.noteServices(r, complete)
	if complete {
		k.completed++
		k.ownTime += gainOf(k.completed) * (float64(r.ownTime(at, took)) - k.ownTime)
	}
}

// NoteNested learns how long a nested request of a run took, and whether it found room. Nested
// requests have the urgency of their parent, so they may wait for less time than gates report: a
// reported wait counts only as far as the latest nested request confirms it.
func (d *NestedDemand) NoteNested(at time.Time, kind uint32, service string, took time.Duration, foundRoom bool) {
	k := d.find(at, kind)
	if k == nil {
		return
	}
	for i := range k.services {
		switch s := &k.services[i]; {
		case s.name != service:
		case foundRoom:
			s.bound = took
		default:
			s.bound = maxNestedWait
		}
	}
}

// find returns the figures of a kind, nil if there are none.
func (d *NestedDemand) find(at time.Time, kind uint32) *nestedKind {
	if k := d.kinds[kind]; k != nil && at.Before(k.expires) {
		return k
	}
	return nil
}

// findOrAdd returns the figures of a kind, new ones if there are none, or nil if there is no space
// for them.
func (d *NestedDemand) findOrAdd(at time.Time, kind uint32) *nestedKind {
	if k := d.find(at, kind); k != nil {
		return k
	}
	if d.kinds == nil {
		d.kinds = map[uint32]*nestedKind{}
	}
	for other, k := range d.kinds {
		if !at.Before(k.expires) {
			delete(d.kinds, other)
		}
	}
	if len(d.kinds) >= maxNestedKinds {
		return nil
	}
	k := &nestedKind{}
	d.kinds[kind] = k
	return k
}

// noteServices updates the figures of each service by one run's nested requests.
func (k *nestedKind) noteServices(r *NestedRun, complete bool) {
	for _, c := range r.services {
		k.addService(c.service)
	}
	gain := gainOf(k.runs)
	for i := range k.services {
		s := &k.services[i]
		switch c := r.find(s.name); {
		case c != nil:
			s.share += gain * (1 - s.share)
			s.noteRounds(c.rounds, complete)
		case complete:
			s.share -= gain * s.share
		}
	}
	k.services = slices.DeleteFunc(k.services, func(s nestedService) bool { return s.share < forgottenShare })
}

// addService adds a service, unless it is known already or there is no space for it.
func (k *nestedKind) addService(name string) {
	known := slices.ContainsFunc(k.services, func(s nestedService) bool { return s.name == name })
	if !known && len(k.services) < maxNestedServices {
		k.services = append(k.services, nestedService{name: name})
	}
}

// noteRounds updates the mean number of rounds. A run that is not complete counts for at least the
// mean, since it may have ended before its last rounds.
func (s *nestedService) noteRounds(rounds int, complete bool) {
	seen := float64(rounds)
	if !complete {
		seen = max(seen, s.rounds)
	}
	s.runs++
	s.rounds += gainOf(s.runs) * (seen - s.rounds)
}

// gainOf returns the weight of the latest of n values in a moving average.
func gainOf(n int) float64 { return max(1/float64(n), nestedGain) }

// Refuse reports whether an offer is refused for lack of room for its nested requests, with the
// service that has none and the wait there. Of the offers without room, one in nestedProbeEvery is
// admitted, so that admission recovers gradually.
func (d *NestedDemand) Refuse(at time.Time, kind uint32, target, deadline time.Time, wait NestedWait) (service string, retryAfter time.Duration, refuse bool) {
	k := d.find(at, kind)
	if k == nil || k.runs < minNestedRuns {
		return "", 0, false
	}
	service, retryAfter = k.withoutRoom(at, target, deadline, wait)
	if service == "" {
		return "", 0, false
	}
	k.noRoom++
	if k.noRoom%nestedProbeEvery == 0 {
		return "", 0, false
	}
	return service, retryAfter, true
}

// withoutRoom returns the service with the longest wait among those that would not answer the
// nested requests of a run in time; "" if there is none.
func (k *nestedKind) withoutRoom(at, target, deadline time.Time, wait NestedWait) (service string, longest time.Duration) {
	ownTime := time.Duration(k.ownTime)
	limit := target
	if at.Add(ownTime).After(target) {
		limit = deadline // It is late even without waiting.
	}
	for _, s := range k.services {
		if s.share < minNestedShare {
			continue // Before its wait is looked up, which passes over its gates.
		}
		w := s.expectedWait(wait)
		if w <= longest {
			continue
		}
		nested := time.Duration(s.share * s.rounds * float64(w))
		if at.Add(ownTime + nested).After(limit) {
			service, longest = s.name, w
		}
	}
	return service, longest
}

// expectedWait returns how long a nested request is expected to wait; 0 if that is not known.
func (s nestedService) expectedWait(wait NestedWait) time.Duration {
	w, known := wait(s.name)
	if !known || w > maxNestedWait {
		return 0
	}
	return min(w, s.bound)
}
