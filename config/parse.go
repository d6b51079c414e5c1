package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Defaults of optional fields.
const (
	defaultSlots        = 9    // Concurrent requests per upstream.
	defaultConnections  = 200  // Per upstream, from all nodes.
	defaultSensitivity  = 0.01 // False ejections per upstream and day.
	defaultRetryBudget  = 0.1  // Retries and hedges per request.
	defaultRepeatWindow = 15 * time.Minute
	defaultTimeout      = 2 * time.Second
)

// Bounds of the fields.
const (
	maxUpstreams    = 10_000
	maxCount        = 100_000 // Slots or connections.
	maxTimeout      = 10 * time.Minute
	minTimeout      = time.Millisecond
	maxRepeatWindow = 24 * time.Hour
	minRepeatWindow = time.Minute
	maxSensitivity  = 100
	minSensitivity  = 1e-9
	maxRetryBudget  = 1
	// MaxTemplate is the maximum size of a template's source in bytes. A store
	// value holds several versions of it.
	MaxTemplate = 64 << 10
)

// templateFile is the YAML form of a template.
type templateFile struct {
	Template   string          `yaml:"template"`
	Parameters []parameterFile `yaml:"parameters"`
	Services   []serviceFile   `yaml:"services"`
}

type parameterFile struct {
	Name     string  `yaml:"name"`
	Type     string  `yaml:"type"`
	Default  *string `yaml:"default"`
	Required bool    `yaml:"required"`
	Min      string  `yaml:"min"`
	Max      string  `yaml:"max"`
}

type serviceFile struct {
	Name         string      `yaml:"name"`
	List         string      `yaml:"list"`
	Upstreams    int         `yaml:"upstreams"`
	Floor        int         `yaml:"floor"`
	Slots        *int        `yaml:"slots"`
	Connections  *int        `yaml:"connections"`
	Sensitivity  *float64    `yaml:"sensitivity"`
	RetryBudget  *float64    `yaml:"retry_budget"`
	RepeatWindow string      `yaml:"repeat_window"`
	Routes       []routeFile `yaml:"routes"`
}

type routeFile struct {
	Name      string            `yaml:"name"`
	Pattern   string            `yaml:"pattern"`
	Operation string            `yaml:"operation"`
	Timeout   string            `yaml:"timeout"`
	Headers   map[string]string `yaml:"headers"`
}

// ValidationError lists all faults of a document.
type ValidationError struct{ lines []string }

// Error returns the faults, one a line.
func (f *ValidationError) Error() string { return strings.Join(f.lines, "\n") }

// reader builds a template from its YAML form and collects faults with their
// positions.
type reader struct {
	file     string
	document *ast.File
	faults   ValidationError
}

// ParseTemplate parses and validates a template; unknown fields are faults. The
// error is a *ValidationError with file, line and field of every fault. The file name is
// used for the error only.
func ParseTemplate(file string, source []byte) (*Template, error) {
	r := &reader{file: file}
	if len(source) > MaxTemplate {
		r.faults.lines = append(r.faults.lines, fmt.Sprintf("%s: %d bytes are over the largest template of %d", file, len(source), MaxTemplate))
		return nil, &r.faults
	}
	var content templateFile
	if !r.decode(source, &content) {
		return nil, &r.faults
	}
	t := &Template{name: content.Template, source: string(source), routes: &routeTree{}}
	r.name("template", content.Template)
	r.parameters(t, content.Parameters)
	r.services(t, content.Services)
	if len(r.faults.lines) > 0 {
		return nil, &r.faults
	}
	return t, nil
}

func (r *reader) decode(source []byte, into any) bool {
	document, err := parser.ParseBytes(source, 0)
	if err == nil {
		r.document = document
		err = yaml.UnmarshalWithOptions(source, into, yaml.Strict())
	}
	if err == nil {
		return true
	}
	var positioned yaml.Error
	if errors.As(err, &positioned) && positioned.GetToken() != nil {
		at := positioned.GetToken()
		r.faults.lines = append(r.faults.lines, fmt.Sprintf("%s:%d: %s: %s", r.file, at.Position.Line, strings.TrimSpace(at.Value), positioned.GetMessage()))
		return false
	}
	r.faults.lines = append(r.faults.lines, fmt.Sprintf("%s:1: %s", r.file, err))
	return false
}

// fault records a fault of a field, such as services[0].floor.
func (r *reader) fault(field, format string, arguments ...any) {
	line := r.line(field)
	r.faults.lines = append(r.faults.lines, fmt.Sprintf("%s:%d: %s: %s", r.file, line, field, fmt.Sprintf(format, arguments...)))
}

// line returns the line of a field, or that of its closest existing ancestor.
func (r *reader) line(field string) int {
	for field != "" {
		path, err := yaml.PathString("$." + field)
		if err == nil {
			if node, err := path.FilterFile(r.document); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

func (r *reader) name(field, name string) {
	if err := CheckName(name); err != nil {
		r.fault(field, "%v", err)
	}
}

func (r *reader) parameters(t *Template, content []parameterFile) {
	for i, c := range content {
		field := fmt.Sprintf("parameters[%d]", i)
		r.name(field+".name", c.Name)
		if t.parameter(c.Name) >= 0 {
			r.fault(field+".name", "%q is declared twice", c.Name)
		}
		t.parameters = append(t.parameters, r.parameter(field, c))
	}
}

func (r *reader) parameter(field string, c parameterFile) Parameter {
	p := Parameter{name: c.Name, kind: Type(c.Type), required: c.Required, minimum: c.Min, maximum: c.Max}
	switch p.kind {
	case Duration, Integer:
		r.bound(field+".min", p, c.Min)
		r.bound(field+".max", p, c.Max)
	case Text:
		if c.Min != "" || c.Max != "" {
			r.fault(field, "a text has neither min nor max")
		}
	default:
		r.fault(field+".type", "%q is none of duration, integer, text", c.Type)
		return p
	}
	if c.Default == nil && !c.Required {
		r.fault(field, "has neither a default nor required: true")
	}
	if c.Default == nil {
		return p
	}
	p.defaultValue = *c.Default
	if err := p.Check(p.defaultValue); err != nil {
		r.fault(field+".default", "%v", err)
	}
	return p
}

func (r *reader) bound(field string, p Parameter, text string) {
	if text == "" {
		return
	}
	free := Parameter{kind: p.kind}
	if err := free.Check(text); err != nil {
		r.fault(field, "%v", err)
	}
}

func (r *reader) services(t *Template, content []serviceFile) {
	if len(content) == 0 {
		r.fault("services", "a template needs at least one service")
	}
	for i, c := range content {
		field := fmt.Sprintf("services[%d]", i)
		if t.Service(c.Name) != nil {
			r.fault(field+".name", "%q is declared twice", c.Name)
		}
		s := r.service(field, c)
		t.services = append(t.services, s)
		for j, route := range c.Routes {
			r.route(t, s, fmt.Sprintf("%s.routes[%d]", field, j), route)
		}
	}
}

func (r *reader) service(field string, c serviceFile) *Service {
	s := &Service{
		name:         c.Name,
		list:         c.List,
		expected:     c.Upstreams,
		floor:        c.Floor,
		slots:        r.count(field+".slots", c.Slots, defaultSlots),
		connections:  r.count(field+".connections", c.Connections, defaultConnections),
		sensitivity:  r.number(field+".sensitivity", c.Sensitivity, defaultSensitivity, minSensitivity, maxSensitivity),
		retryBudget:  r.number(field+".retry_budget", c.RetryBudget, defaultRetryBudget, 0, maxRetryBudget),
		repeatWindow: defaultRepeatWindow,
	}
	r.name(field+".name", c.Name)
	if s.list == "" {
		s.list = c.Name
	}
	if s.expected < 1 || s.expected > maxUpstreams {
		r.fault(field+".upstreams", "%d is not between 1 and %d", s.expected, maxUpstreams)
	}
	if s.floor < 1 {
		r.fault(field+".floor", "%d is under the least value 1", s.floor)
	}
	if s.floor > s.expected {
		r.fault(field+".floor", "a floor of %d is above the %d upstreams of the service", s.floor, s.expected)
	}
	if c.RepeatWindow != "" {
		s.repeatWindow = r.duration(field+".repeat_window", c.RepeatWindow, minRepeatWindow, maxRepeatWindow)
	}
	if len(c.Routes) == 0 {
		r.fault(field+".routes", "a service needs at least one route")
	}
	return s
}

func (r *reader) count(field string, n *int, defaultValue int) int {
	if n == nil {
		return defaultValue
	}
	if *n < 1 || *n > maxCount {
		r.fault(field, "%d is not between 1 and %d", *n, maxCount)
	}
	return *n
}

func (r *reader) number(field string, n *float64, defaultValue, minimum, maximum float64) float64 {
	if n == nil {
		return defaultValue
	}
	if !(*n >= minimum && *n <= maximum) {
		r.fault(field, "%v is not between %v and %v", *n, minimum, maximum)
	}
	return *n
}

func (r *reader) duration(field, text string, minimum, maximum time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		r.fault(field, "%q is no duration such as 800ms", text)
		return minimum
	}
	if d < minimum || d > maximum {
		r.fault(field, "%s is not between %s and %s", text, minimum, maximum)
	}
	return d
}

func (r *reader) route(t *Template, s *Service, field string, c routeFile) {
	route := &Route{name: c.Name, service: s}
	r.name(field+".name", c.Name)
	var err error
	if route.method, route.pattern, err = checkPattern(c.Pattern); err != nil {
		r.fault(field+".pattern", "%v", err)
		return
	}
	switch c.Operation {
	case Retryable.String():
		route.operation = Retryable
	case AtMostOnce.String():
		route.operation = AtMostOnce
	default:
		// There is no default: a wrong guess of "retryable" would run requests twice.
		r.fault(field+".operation", "%q is neither retryable nor at_most_once", c.Operation)
	}
	route.timeout = r.timeout(t, field+".timeout", c.Timeout)
	for name, text := range c.Headers {
		route.headers = append(route.headers, header{name: name, value: r.text(t, field+".headers."+name, text)})
	}
	if err := t.routes.add(route); err != nil {
		r.fault(field+".pattern", "%v", err)
		return
	}
	s.routes = append(s.routes, route)
}

func (r *reader) timeout(t *Template, field, text string) fieldValue {
	if text == "" {
		return fieldValue{duration: defaultTimeout, parameter: noParameter}
	}
	name, ok := reference(text)
	if !ok {
		return fieldValue{duration: r.duration(field, text, minTimeout, maxTimeout), parameter: noParameter}
	}
	i := r.find(t, field, name, Duration)
	if i < 0 {
		return fieldValue{parameter: noParameter}
	}
	p := t.parameters[i]
	defaultValue := defaultTimeout
	if !p.required {
		defaultValue = r.duration(field, p.defaultValue, minTimeout, maxTimeout)
	}
	for _, bound := range []string{p.minimum, p.maximum} {
		if bound != "" {
			r.duration(field, bound, minTimeout, maxTimeout)
		}
	}
	return fieldValue{duration: defaultValue, parameter: i}
}

func (r *reader) text(t *Template, field, text string) fieldValue {
	name, ok := reference(text)
	if !ok {
		if err := checkText(text); err != nil {
			r.fault(field, "%v", err)
		}
		return fieldValue{text: text, parameter: noParameter}
	}
	i := t.parameter(name)
	if i < 0 {
		r.fault(field, "no parameter %s is declared", strconv.Quote(name))
		return fieldValue{parameter: noParameter}
	}
	return fieldValue{text: t.parameters[i].defaultValue, parameter: i}
}

// find returns the index of a parameter. If there is none of this name and type, it
// records a fault and returns -1.
func (r *reader) find(t *Template, field, name string, kind Type) int {
	i := t.parameter(name)
	if i < 0 {
		r.fault(field, "no parameter %s is declared", strconv.Quote(name))
		return -1
	}
	if t.parameters[i].kind != kind {
		r.fault(field, "parameter %q is a %s, and this field takes a %s", name, t.parameters[i].kind, kind)
		return -1
	}
	return i
}
