package ingress

import (
	"net/http"
	"strconv"
	"time"

	"eiderfold/result"
)

// backLater is when a caller is told to come back who finds no configuration: one comes
// from the first peer that is reached.
const backLater = 100 * time.Millisecond

// refusal makes a node's own answer.
func refusal(e *result.Error) *Response {
	h := http.Header{}
	result.Mark(h, e.Code())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter() > 0 {
		h.Set("Retry-After", fraction(e.RetryAfter()))
	}
	return &Response{Status: e.Code().Status(), Header: h, Body: []byte(e.Error() + "\n"), own: true, code: e.Code()}
}

// fraction writes seconds with their fraction: a gate is free again long before a
// whole second has passed.
func fraction(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
