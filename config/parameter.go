package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Type is the type of a parameter, as written in templates.
type Type string

// The types of parameters.
const (
	Duration Type = "duration"
	Integer  Type = "integer"
	Text     Type = "text"
)

const maxText = 256 // bytes

// Parameter is a parameter that a template declares and client accounts set.
type Parameter struct {
	name         string
	kind         Type
	defaultValue string // May be empty if required is set.
	required     bool
	minimum      string
	maximum      string
}

// Name returns the parameter's name.
func (p Parameter) Name() string { return p.name }

// Type returns the parameter's type.
func (p Parameter) Type() Type { return p.kind }

// Default returns the value for accounts that set none.
func (p Parameter) Default() string { return p.defaultValue }

// Required reports whether every account must set the parameter.
func (p Parameter) Required() bool { return p.required }

// Check validates a value against the parameter's type and bounds.
func (p Parameter) Check(value string) error {
	switch p.kind {
	case Duration:
		return p.checkDuration(value)
	case Integer:
		return p.checkInteger(value)
	default:
		return checkText(value)
	}
}

func (p Parameter) checkDuration(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return errors.Errorf("%q is no duration such as 800ms", value)
	}
	if minimum, err := time.ParseDuration(p.minimum); err == nil && d < minimum {
		return errors.Errorf("%s is under the least value %s", value, p.minimum)
	}
	if maximum, err := time.ParseDuration(p.maximum); err == nil && d > maximum {
		return errors.Errorf("%s is over the largest value %s", value, p.maximum)
	}
	return nil
}

func (p Parameter) checkInteger(value string) error {
	n, err := strconv.Atoi(value)
	if err != nil {
		return errors.Errorf("%q is not an integer", value)
	}
	if minimum, err := strconv.Atoi(p.minimum); err == nil && n < minimum {
		return errors.Errorf("%s is under the least value %s", value, p.minimum)
	}
	if maximum, err := strconv.Atoi(p.maximum); err == nil && n > maximum {
		return errors.Errorf("%s is over the largest value %s", value, p.maximum)
	}
	return nil
}

// checkText validates a text, which may become the value of an HTTP header: it must
// be short printable ASCII without line breaks.
func checkText(value string) error {
	if len(value) > maxText {
		return errors.Errorf("text of %d bytes is over the largest length %d", len(value), maxText)
	}
	for _, c := range value {
		if c < ' ' || c > '~' {
			return errors.Errorf("%q holds a character outside printable ASCII", value)
		}
	}
	return nil
}

// fieldValue is the value of a template's field: either fixed, or a reference to a
// parameter that is resolved per account.
type fieldValue struct {
	text      string        // The fixed value, or the parameter's default.
	duration  time.Duration // As text, for durations.
	parameter int           // Index into the template's parameters, or noParameter.
}

// noParameter is the parameter index of a fixed value.
const noParameter = -1

// reference returns the parameter name of a reference "${name}".
func reference(text string) (string, bool) {
	if strings.HasPrefix(text, "${") && strings.HasSuffix(text, "}") {
		return text[2 : len(text)-1], true
	}
	return "", false
}
