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

// Standard values of fields that a template may leave out.
const (
	standardSlots        = 9
	standardConnections  = 200
	standardSensitivity  = 0.01
	standardRetryBudget  = 0.1
	standardRepeatWindow = 15 * time.Minute
	standardTimeout      = 2 * time.Second
)

// Bounds of the fields.
const (
	maxUpstreams    = 10_000
	maxSlots        = 100_000
	maxTimeout      = 10 * time.Minute
	minTimeout      = time.Millisecond
	maxRepeatWindow = 24 * time.Hour
	minRepeatWindow = time.Minute
	maxSensitivity  = 100
	minSensitivity  = 1e-9
	maxRetryBudget  = 1
	// MaxTemplate bounds a template's source, so that a value of the store holds
	// it together with its history. In bytes.
	MaxTemplate = 64 << 10
)

// templateFile is the YAML of a template.
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

// Faults is everything that is wrong with a document.
type Faults struct{ lines []string }

// Error lists the faults, one a line.
func (f *Faults) Error() string { return strings.Join(f.lines, "\n") }

// reader collects faults with their places while a template is built.
type reader struct {
	file     string
	document *ast.File
	faults   Faults
}

// ParseTemplate reads a template strictly. The file name only serves the error,
// which is a *Faults that names file, line and field of everything wrong.
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

// fault records what is wrong with a field such as services[0].floor.
func (r *reader) fault(field, format string, arguments ...any) {
	line := r.line(field)
	r.faults.lines = append(r.faults.lines, fmt.Sprintf("%s:%d: %s: %s", r.file, line, field, fmt.Sprintf(format, arguments...)))
}

// line finds the line of a field, or of the nearest field above it.
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
	p := Parameter{name: c.Name, kind: Type(c.Type), required: c.Required, least: c.Min, most: c.Max}
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
	p.standard = *c.Default
	if err := p.Check(p.standard); err != nil {
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
		slots:        r.count(field+".slots", c.Slots, standardSlots),
		connections:  r.count(field+".connections", c.Connections, standardConnections),
		sensitivity:  r.number(field+".sensitivity", c.Sensitivity, standardSensitivity, minSensitivity, maxSensitivity),
		retryBudget:  r.number(field+".retry_budget", c.RetryBudget, standardRetryBudget, 0, maxRetryBudget),
		repeatWindow: standardRepeatWindow,
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

func (r *reader) count(field string, n *int, standard int) int {
	if n == nil {
		return standard
	}
	if *n < 1 || *n > maxSlots {
		r.fault(field, "%d is not between 1 and %d", *n, maxSlots)
	}
	return *n
}

func (r *reader) number(field string, n *float64, standard, least, most float64) float64 {
	if n == nil {
		return standard
	}
	if !(*n >= least && *n <= most) {
		r.fault(field, "%v is not between %v and %v", *n, least, most)
	}
	return *n
}

func (r *reader) duration(field, text string, least, most time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		r.fault(field, "%q is no duration such as 800ms", text)
		return least
	}
	if d < least || d > most {
		r.fault(field, "%s is not between %s and %s", text, least, most)
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
		// There is no default: guessing "retryable" wrong would run work twice.
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

func (r *reader) timeout(t *Template, field, text string) setting {
	if text == "" {
		return setting{duration: standardTimeout, parameter: fixed}
	}
	name, ok := reference(text)
	if !ok {
		return setting{duration: r.duration(field, text, minTimeout, maxTimeout), parameter: fixed}
	}
	i := r.find(t, field, name, Duration)
	if i < 0 {
		return setting{parameter: fixed}
	}
	p := t.parameters[i]
	standard := standardTimeout
	if !p.required {
		standard = r.duration(field, p.standard, minTimeout, maxTimeout)
	}
	for _, bound := range []string{p.least, p.most} {
		if bound != "" {
			r.duration(field, bound, minTimeout, maxTimeout)
		}
	}
	return setting{duration: standard, parameter: i}
}

func (r *reader) text(t *Template, field, text string) setting {
	name, ok := reference(text)
	if !ok {
		if err := checkText(text); err != nil {
			r.fault(field, "%v", err)
		}
		return setting{text: text, parameter: fixed}
	}
	i := t.parameter(name)
	if i < 0 {
		r.fault(field, "no parameter %s is declared", strconv.Quote(name))
		return setting{parameter: fixed}
	}
	return setting{text: t.parameters[i].standard, parameter: i}
}

// find returns the index of a parameter of the wanted type, or -1 with a fault.
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
