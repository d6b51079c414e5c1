package config

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxName is the maximum length of a name accepted by CheckName, in bytes.
const MaxName = 64

// Account is a client account: an instance of a template with its parameter
// values. It stores only the values that differ from the defaults, to save memory.
type Account struct {
	name   string
	values []value
}

// value is the value of a parameter that differs from the default.
type value struct {
	parameter int // Index into the template's parameters.
	text      string
	duration  time.Duration
}

// Name returns the account's name.
func (a *Account) Name() string { return a.name }

// Instantiate validates parameters against the template and returns the account.
// The error lists every fault, one a line.
func (t *Template) Instantiate(name string, parameters map[string]string) (*Account, error) {
	var faults []string
	if err := CheckName(name); err != nil {
		faults = append(faults, "account: "+err.Error())
	}
	a := &Account{name: name}
	for i, p := range t.parameters {
		text, set := parameters[p.name]
		if !set {
			if p.required {
				faults = append(faults, "parameters."+p.name+": required, and the account sets none")
			}
			continue
		}
		if err := p.Check(text); err != nil {
			faults = append(faults, "parameters."+p.name+": "+err.Error())
			continue
		}
		if text != p.defaultValue {
			a.values = append(a.values, newValue(i, p, text))
		}
	}
	for name := range parameters {
		if t.parameter(name) < 0 {
			faults = append(faults, "parameters."+name+": the template declares no such parameter")
		}
	}
	if len(faults) > 0 {
		slices.Sort(faults)
		return nil, errors.New(strings.Join(faults, "\n"))
	}
	return a, nil
}

func newValue(index int, p Parameter, text string) value {
	v := value{parameter: index, text: text}
	if p.kind == Duration {
		v.duration, _ = time.ParseDuration(text) // Validated by the callers.
	}
	return v
}

// Timeout returns the total time allowed for one of the account's requests on a route.
func (a *Account) Timeout(r *Route) time.Duration {
	if r.timeout.parameter == noParameter {
		return r.timeout.duration
	}
	for i := range a.values {
		if a.values[i].parameter == r.timeout.parameter {
			return a.values[i].duration
		}
	}
	return r.timeout.duration
}

// EachHeader calls set for every header the route adds to the account's requests.
func (a *Account) EachHeader(r *Route, set func(name, value string)) {
	for i := range r.headers {
		set(r.headers[i].name, a.text(r.headers[i].value))
	}
}

func (a *Account) text(s fieldValue) string {
	for i := range a.values {
		if s.parameter != noParameter && a.values[i].parameter == s.parameter {
			return a.values[i].text
		}
	}
	return s.text
}

func (t *Template) parameter(name string) int {
	return slices.IndexFunc(t.parameters, func(p Parameter) bool { return p.name == name })
}

// CheckName validates the name of an account, template, service or parameter.
// Names are parts of store keys and of URLs.
func CheckName(name string) error {
	if name == "" {
		return errors.New("is empty")
	}
	if len(name) > MaxName {
		return errors.Errorf("%q is over %d bytes", name, MaxName)
	}
	for _, c := range name {
		if !nameCharacter(c) {
			return errors.Errorf("%q may hold only a-z, 0-9, '-', '_' and '.'", name)
		}
	}
	return nil
}

func nameCharacter(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}
