package ingress

import (
	"net/http"
	"strconv"
	"time"

	"eiderfold/result"
)

// shortRetryAfter is the retry-after of refusals with a short cause: no configuration has
// been received from a peer yet, or there is no memory for a body.
const shortRetryAfter = 100 * time.Millisecond

// refusal returns the node's own answer for an error.
func refusal(e *result.Error) *Response {
	h := http.Header{}
	result.Mark(h, e.Code())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter() > 0 {
		h.Set("Retry-After", formatSeconds(e.RetryAfter()))
	}
	return &Response{Status: e.Code().Status(), Header: h, Body: []byte(e.Error() + "\n"), own: true, code: e.Code()}
}

// formatSeconds formats a duration as decimal seconds, since a gate is often free again
// well within a second.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
