// Package config holds what operators publish: templates with parameters, and
// client accounts that instantiate them.
//
// # Usage
//
//	t, err := config.ParseTemplate("montevideo.yaml", source)
//	a, err := t.Instantiate("oficina-07", map[string]string{"lookup_timeout": "800ms"})
//	route := t.Route("GET", "/births/118")
//	timeout := a.Timeout(route)
//
// Parsing is strict. Every fault is reported, with file, line and field. What
// comes out is immutable, so the request path reads it without a lock.
package config

import "time"

// Operation is the kind of work a route stands for.
type Operation int

// The kinds of operation.
const (
	// Retryable work may be sent again, to the same or another upstream.
	Retryable Operation = iota
	// AtMostOnce work is sent once and never again.
	AtMostOnce
)

// String returns the word used in templates.
func (o Operation) String() string {
	if o == AtMostOnce {
		return "at_most_once"
	}
	return "retryable"
}

// Template is a published template, checked and ready for lookups.
type Template struct {
	name       string
	source     string
	parameters []Parameter
	services   []*Service
	routes     *routeTree
}

// Name returns the template's name.
func (t *Template) Name() string { return t.name }

// Source returns the YAML it was made from.
func (t *Template) Source() string { return t.source }

// Parameters returns the declared parameters; do not change the slice.
func (t *Template) Parameters() []Parameter { return t.parameters }

// Services returns the services; do not change the slice.
func (t *Template) Services() []*Service { return t.services }

// Service returns a service by name, nil if there is none.
func (t *Template) Service(name string) *Service {
	for _, s := range t.services {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Route finds the route of a request; path starts with a slash. It returns nil
// if the template has none, and allocates nothing.
func (t *Template) Route(method, path string) *Route { return t.routes.find(method, path) }

// Service is one service of a template.
type Service struct {
	name         string
	list         string
	expected     int
	floor        int
	slots        int
	connections  int
	sensitivity  float64
	retryBudget  float64
	repeatWindow time.Duration
	routes       []*Route
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// List returns the service's name in the platform's instance list.
func (s *Service) List() string { return s.list }

// Expected returns how many upstreams the service has when all is well.
func (s *Service) Expected() int { return s.expected }

// Floor returns how many upstreams must never be ejected.
func (s *Service) Floor() int { return s.floor }

// Slots returns how many requests one upstream works on at once.
func (s *Service) Slots() int { return s.slots }

// Connections returns how many connections one upstream bears from all nodes.
func (s *Service) Connections() int { return s.connections }

// Sensitivity returns the wanted bound on false ejections, per upstream and day.
func (s *Service) Sensitivity() float64 { return s.sensitivity }

// RetryBudget returns how many retries and hedges are allowed per request.
func (s *Service) RetryBudget() float64 { return s.retryBudget }

// RepeatWindow returns how long an Idempotency-Key is remembered.
func (s *Service) RepeatWindow() time.Duration { return s.repeatWindow }

// Routes returns the routes; do not change the slice.
func (s *Service) Routes() []*Route { return s.routes }

// OnlyAtMostOnce reports whether no route of the service is retryable, in which
// case readmission cannot wait for a retryable trial.
func (s *Service) OnlyAtMostOnce() bool {
	for _, r := range s.routes {
		if r.operation == Retryable {
			return false
		}
	}
	return true
}

// Route is one method and path pattern of a service.
type Route struct {
	name      string
	service   *Service
	method    string
	pattern   string
	operation Operation
	timeout   setting
	headers   []header
}

type header struct {
	name  string
	value setting
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// Service returns the service that the route belongs to.
func (r *Route) Service() *Service { return r.service }

// Method returns the HTTP method.
func (r *Route) Method() string { return r.method }

// Pattern returns the path pattern, such as /births/{id}.
func (r *Route) Pattern() string { return r.pattern }

// Operation returns the kind of work.
func (r *Route) Operation() Operation { return r.operation }
