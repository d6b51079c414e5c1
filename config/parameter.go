package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Type is the type of a parameter.
type Type string

// The types of parameters.
const (
	Duration Type = "duration"
	Integer  Type = "integer"
	Text     Type = "text"
)

const maxText = 256

// Parameter is what a client account may set.
type Parameter struct {
	name     string
	kind     Type
	standard string // The default; empty with required set.
	required bool
	least    string
	most     string
}

// Name returns the parameter's name.
func (p Parameter) Name() string { return p.name }

// Type returns the parameter's type.
func (p Parameter) Type() Type { return p.kind }

// Default returns the value used by accounts that set none.
func (p Parameter) Default() string { return p.standard }

// Required reports whether every account has to set it.
func (p Parameter) Required() bool { return p.required }

// Check tells what is wrong with a value, nil if nothing is.
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
	if least, err := time.ParseDuration(p.least); err == nil && d < least {
		return errors.Errorf("%s is under the least value %s", value, p.least)
	}
	if most, err := time.ParseDuration(p.most); err == nil && d > most {
		return errors.Errorf("%s is over the largest value %s", value, p.most)
	}
	return nil
}

func (p Parameter) checkInteger(value string) error {
	n, err := strconv.Atoi(value)
	if err != nil {
		return errors.Errorf("%q is no whole number", value)
	}
	if least, err := strconv.Atoi(p.least); err == nil && n < least {
		return errors.Errorf("%s is under the least value %s", value, p.least)
	}
	if most, err := strconv.Atoi(p.most); err == nil && n > most {
		return errors.Errorf("%s is over the largest value %s", value, p.most)
	}
	return nil
}

// checkText refuses what could end a header line or fill one.
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

// setting is a field of a template: a fixed value, or a reference to a parameter
// that each account resolves for itself.
type setting struct {
	text      string
	duration  time.Duration
	parameter int // Index into the template's parameters; fixed if negative.
}

const fixed = -1

// reference returns the name in "${name}".
func reference(text string) (string, bool) {
	if strings.HasPrefix(text, "${") && strings.HasSuffix(text, "}") {
		return text[2 : len(text)-1], true
	}
	return "", false
}
