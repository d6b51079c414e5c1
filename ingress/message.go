package ingress

import (
	"net/http"
	"net/url"
	"time"

	"eiderfold/hop"
	"eiderfold/result"
)

// Request is a caller's request, read whole.
type Request struct {
	Method     string
	RequestURI string
	URL        *url.URL
	Host       string
	Header     http.Header
	Body       []byte
	Arrived    time.Time
}

// Response is an answer to a caller.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	own    bool // Made by this node, not by an upstream.
	code   result.Code
}

// strip removes what counts for one connection only. A body is read whole before
// it is passed on, so the wish to be told to go on is met here as well.
func strip(h http.Header) {
	hop.Strip(h)
	h.Del("Expect")
}
