// Package config implements the configuration that operators publish: templates
// with parameters, and client accounts that instantiate them.
//
// # Usage
//
//	t, err := config.ParseTemplate("montevideo.yaml", source)
//	a, err := t.Instantiate("oficina-07", map[string]string{"lookup_timeout": "800ms"})
//	route := t.Route("GET", "/births/118")
//	timeout := a.Timeout(route)
//
// Parsing is strict and reports every fault with file, line and field. Parsed
// templates and accounts are immutable, so the request path reads them without locks.
package config

import "time"

// Operation is the kind of operation that a route's requests are. It tells whether they may
// be sent again.
type Operation int

// The kinds of operation.
const (
	// Retryable requests may be sent again, to the same or another upstream.
	Retryable Operation = iota
	// AtMostOnce requests are only sent again if the upstream certainly did not run them.
	AtMostOnce
)

// String returns the word used in templates.
func (o Operation) String() string {
	if o == AtMostOnce {
		return "at_most_once"
	}
	return "retryable"
}

// Template is a validated template with an index of its routes.
type Template struct {
	name       string
	source     string
	parameters []Parameter
	services   []*Service
	routes     *routeTree
}

// Name returns the template's name.
func (t *Template) Name() string { return t.name }

// Source returns the YAML source of the template.
func (t *Template) Source() string { return t.source }

// Parameters returns the declared parameters. The caller must not modify the slice.
func (t *Template) Parameters() []Parameter { return t.parameters }

// Services returns the template's services. The caller must not modify the slice.
func (t *Template) Services() []*Service { return t.services }

// Service returns a service by name, or nil if there is none.
func (t *Template) Service(name string) *Service {
	for _, s := range t.services {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Route returns the route of a request, or nil if none matches. The path starts with
// a slash. Route does not allocate.
func (t *Template) Route(method, path string) *Route { return t.routes.find(method, path) }

// Service is a service of a template, with its limits and routes.
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

// ListName returns the service's name in the platform's instance list.
func (s *Service) ListName() string { return s.list }

// ExpectedUpstreams returns the number of upstreams of the service in normal operation.
func (s *Service) ExpectedUpstreams() int { return s.expected }

// Floor returns the minimum number of upstreams that must not be ejected.
func (s *Service) Floor() int { return s.floor }

// Slots returns the maximum number of concurrent requests per upstream.
func (s *Service) Slots() int { return s.slots }

// Connections returns the maximum number of connections per upstream, from all nodes
// together.
func (s *Service) Connections() int { return s.connections }

// Sensitivity returns the target bound on false ejections, per upstream and day.
func (s *Service) Sensitivity() float64 { return s.sensitivity }

// RetryBudget returns the number of retries and hedges allowed per request, as a ratio.
func (s *Service) RetryBudget() float64 { return s.retryBudget }

// RepeatWindow returns how long an Idempotency-Key is stored.
func (s *Service) RepeatWindow() time.Duration { return s.repeatWindow }

// Routes returns the service's routes. The caller must not modify the slice.
func (s *Service) Routes() []*Route { return s.routes }

// OnlyAtMostOnce reports whether no route of the service is retryable. An ejected
// upstream must then be readmitted without a retryable trial request.
func (s *Service) OnlyAtMostOnce() bool {
	for _, r := range s.routes {
		if r.operation == Retryable {
			return false
		}
	}
	return true
}

// Route is a method and path pattern of a service.
type Route struct {
	name      string
	service   *Service
	method    string
	pattern   string
	operation Operation
	timeout   fieldValue
	headers   []header
}

type header struct {
	name  string
	value fieldValue
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// Service returns the service that the route belongs to.
func (r *Route) Service() *Service { return r.service }

// Method returns the HTTP method.
func (r *Route) Method() string { return r.method }

// Pattern returns the path pattern, such as /births/{id}.
func (r *Route) Pattern() string { return r.pattern }

// Operation returns whether the route's requests may be retried.
func (r *Route) Operation() Operation { return r.operation }
