package overload

import "time"

// maxNestedServices bounds the services that are told apart in one run. Requests to further ones
// are not learned.
const maxNestedServices = 4

// NestedRun records the nested requests of one run. The zero value is a run without any.
type NestedRun struct {
	calls     []nestedCalls
	open      int           // Nested requests that have not ended.
	openSince time.Time     // When open last rose from 0.
	waited    time.Duration // Time with open nested requests, up to openSince.
}

// nestedCalls counts a run's nested requests to one service.
type nestedCalls struct {
	service string
	open    int
	rounds  int // Requests one after the other; those that overlap count once.
}

// Begin records that the run makes a nested request to a service.
func (r *NestedRun) Begin(at time.Time, service string) {
	if r.open == 0 {
		r.openSince = at
	}
	r.open++
	c := r.callsTo(service)
	if c == nil && len(r.calls) < maxNestedServices {
		r.calls = append(r.calls, nestedCalls{service: service})
		c = &r.calls[len(r.calls)-1]
	}
	if c == nil {
		return
	}
	if c.open == 0 {
		c.rounds++
	}
	c.open++
}

// End records the end of a nested request that Begin was called for.
func (r *NestedRun) End(at time.Time, service string) {
	if r.open == 0 {
		return
	}
	r.open--
	if r.open == 0 {
		r.waited += at.Sub(r.openSince)
	}
	if c := r.callsTo(service); c != nil && c.open > 0 {
		c.open--
	}
}

// callsTo returns the count of a service, nil if there is none.
func (r *NestedRun) callsTo(service string) *nestedCalls {
	for i := range r.calls {
		if r.calls[i].service == service {
			return &r.calls[i]
		}
	}
	return nil
}

// ownTime returns the part of a run's time in which no nested request was open.
func (r *NestedRun) ownTime(endedAt time.Time, took time.Duration) time.Duration {
	waited := r.waited
	if r.open > 0 {
		waited += endedAt.Sub(r.openSince)
	}
	return max(took-waited, 0)
}
