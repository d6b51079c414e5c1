package config

import (
	"strings"

	"github.com/pkg/errors"
)

// routeTree is a trie of path segments that finds the route of a request. A literal
// segment takes precedence over {name}, and {name} over {name...}, which matches the
// rest of the path.
type routeTree struct {
	literal  map[string]*routeTree
	wildcard *routeTree        // Of {name}.
	catchAll map[string]*Route // Of {name...}, by method.
	exact    map[string]*Route // Routes whose pattern ends here, by method.
}

// add inserts a route. It fails if another route matches the same requests.
func (t *routeTree) add(r *Route) error {
	node := t
	path := strings.TrimPrefix(r.pattern, "/")
	for path != "" {
		var segment string
		segment, path, _ = strings.Cut(path, "/")
		if strings.HasSuffix(segment, "...}") {
			return insert(&node.catchAll, r)
		}
		node = node.child(segment)
	}
	return insert(&node.exact, r)
}

func (t *routeTree) child(segment string) *routeTree {
	if strings.HasPrefix(segment, "{") {
		if t.wildcard == nil {
			t.wildcard = &routeTree{}
		}
		return t.wildcard
	}
	if t.literal == nil {
		t.literal = map[string]*routeTree{}
	}
	if t.literal[segment] == nil {
		t.literal[segment] = &routeTree{}
	}
	return t.literal[segment]
}

func insert(routes *map[string]*Route, r *Route) error {
	if *routes == nil {
		*routes = map[string]*Route{}
	}
	if existing, ok := (*routes)[r.method]; ok {
		return errors.Errorf("%s %s matches the same requests as route %q", r.method, r.pattern, existing.name)
	}
	(*routes)[r.method] = r
	return nil
}

// find returns the matching route of the highest precedence, or nil if there is none.
func (t *routeTree) find(method, path string) *Route {
	path = strings.TrimPrefix(path, "/")
	if path == "" {
		if r := t.exact[method]; r != nil {
			return r
		}
		return t.catchAll[method]
	}
	segment, remainder, _ := strings.Cut(path, "/")
	if next := t.literal[segment]; next != nil {
		if r := next.find(method, remainder); r != nil {
			return r
		}
	}
	if t.wildcard != nil {
		if r := t.wildcard.find(method, remainder); r != nil {
			return r
		}
	}
	return t.catchAll[method]
}

// checkPattern splits and validates a pattern of the form "METHOD /path/{name}".
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
