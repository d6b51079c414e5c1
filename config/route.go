package config

import (
	"strings"

	"github.com/pkg/errors"
)

// routeTree finds a route by method and path segment by segment. A literal
// segment wins over {name}, and {name...} takes the rest of the path.
type routeTree struct {
	literal map[string]*routeTree
	any     *routeTree
	rest    map[string]*Route // By method.
	here    map[string]*Route // By method.
}

// add puts a route in. It fails when the place is taken.
func (t *routeTree) add(r *Route) error {
	at := t
	path := strings.TrimPrefix(r.pattern, "/")
	for path != "" {
		var segment string
		segment, path, _ = strings.Cut(path, "/")
		if strings.HasSuffix(segment, "...}") {
			return place(&at.rest, r)
		}
		at = at.child(segment)
	}
	return place(&at.here, r)
}

func (t *routeTree) child(segment string) *routeTree {
	if strings.HasPrefix(segment, "{") {
		if t.any == nil {
			t.any = &routeTree{}
		}
		return t.any
	}
	if t.literal == nil {
		t.literal = map[string]*routeTree{}
	}
	if t.literal[segment] == nil {
		t.literal[segment] = &routeTree{}
	}
	return t.literal[segment]
}

func place(where *map[string]*Route, r *Route) error {
	if *where == nil {
		*where = map[string]*Route{}
	}
	if taken, ok := (*where)[r.method]; ok {
		return errors.Errorf("%s %s matches the same requests as route %q", r.method, r.pattern, taken.name)
	}
	(*where)[r.method] = r
	return nil
}

// find returns the most literal route that matches, nil if there is none.
func (t *routeTree) find(method, path string) *Route {
	path = strings.TrimPrefix(path, "/")
	if path == "" {
		if r := t.here[method]; r != nil {
			return r
		}
		return t.rest[method]
	}
	segment, left, _ := strings.Cut(path, "/")
	if next := t.literal[segment]; next != nil {
		if r := next.find(method, left); r != nil {
			return r
		}
	}
	if t.any != nil {
		if r := t.any.find(method, left); r != nil {
			return r
		}
	}
	return t.rest[method]
}

// checkPattern tells what is wrong with "METHOD /path/{name}".
func checkPattern(text string) (method, path string, err error) {
	method, path, ok := strings.Cut(text, " ")
	if !ok || !strings.HasPrefix(path, "/") || !methods[method] {
		return "", "", errors.Errorf("%q is no pattern such as GET /births/{id}", text)
	}
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, s := range segments {
		if err := checkSegment(s, i == len(segments)-1); err != nil {
			return "", "", errors.Wrapf(err, "%q", text)
		}
	}
	return method, path, nil
}

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func checkSegment(s string, last bool) error {
	open := strings.HasPrefix(s, "{")
	if open != strings.HasSuffix(s, "}") || strings.ContainsAny(strings.Trim(s, "{}"), "{}") {
		return errors.Errorf("segment %q has a stray brace", s)
	}
	if s == "" && !last {
		return errors.New("holds an empty segment")
	}
	if strings.HasSuffix(s, "...}") && !last {
		return errors.Errorf("segment %q must be the last", s)
	}
	return nil
}
