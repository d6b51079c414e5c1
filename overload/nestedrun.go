package overload

import "time"

// maxNestedServices bounds the services of one run that are distinguished. Requests to further ones
// are not counted.
const maxNestedServices = 4

// NestedRun records the nested requests of one run. The zero value is a run without any.
type NestedRun struct {
	services  []nestedCount
	open      int           // Nested requests that have not ended.
	openSince time.Time     // When open last rose from 0.
	waited    time.Duration // Time with open nested requests, up to openSince.
}

// nestedCount counts a run's nested requests to one service.
type nestedCount struct {
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
	c := r.find(service)
	if c == nil && len(r.services) < maxNestedServices {
		r.services = append(r.services, nestedCount{service: service})
		c = &r.services[len(r.services)-1]
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
	if c := r.find(service); c != nil && c.open > 0 {
		c.open--
	}
}

// find returns the count of a service, nil if there is none.
func (r *NestedRun) find(service string) *nestedCount {
	for i := range r.services {
		if r.services[i].service == service {
			return &r.services[i]
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
