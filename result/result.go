// Package result numbers every way a request or an administrative change can
// end, and says for each what the receiver may conclude.
//
// # Usage
//
// A refusal towards a caller is written with [Write]:
//
//	result.Write(w, result.Overloaded, "all slots are taken", retryAfter)
//
// A caller reads the number from the Eiderfold-Result header and looks up its
// meaning in docs/CODES.md, which a test keeps equal to the table here.
package result

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Header carries the numbered result of every answer made by a node itself, and
// of every upstream answer that was forwarded.
const Header = "Eiderfold-Result"

// MeaningHeader carries what the caller may conclude: ran, not-run or unknown.
const MeaningHeader = "Eiderfold-Meaning"

// Meaning is what a receiver may conclude about its request.
type Meaning string

// The three meanings. NotRun is only said with proof, see docs/DESIGN.md.
const (
	Ran     Meaning = "ran"
	NotRun  Meaning = "not-run"
	Unknown Meaning = "unknown"
)

// Code is a numbered result.
type Code int

// Results of a request.
const (
	Answered           Code = 10
	Repeated           Code = 11
	NoAccount          Code = 20
	NoRoute            Code = 21
	BodyTooLarge       Code = 22
	BadRequest         Code = 23
	SlowCaller         Code = 24
	KeyReused          Code = 25
	HeaderTooLarge     Code = 26
	UnknownKey         Code = 27
	OverLimit          Code = 28
	Quarantined        Code = 29
	NoConfiguration    Code = 30
	Overloaded         Code = 31
	Stopping           Code = 32
	DeadlineBeforeSend Code = 33
	NoUpstream         Code = 34
	UpstreamShed       Code = 35
	ConnectFailed      Code = 36
	LimitUnconfirmed   Code = 37
	TooManyConnections Code = 38
	CallerGone         Code = 39
	OutcomeUnknown     Code = 40
	AnswerCut          Code = 41
	AnswerLate         Code = 42
	RepeatInProgress   Code = 43
	AnswerNotKept      Code = 44
	KeyUnconfirmed     Code = 45
)

// Results of an administrative change.
const (
	Invalid          Code = 60
	Conflict         Code = 61
	Forbidden        Code = 62
	Missing          Code = 63
	StoreUnavailable Code = 64
	ChangeUnknown    Code = 65
)

type entry struct {
	name    string
	status  int
	meaning Meaning
	text    string
}

var table = map[Code]entry{
	Answered:           {"answered", http.StatusOK, Ran, "an upstream answered; the status is the upstream's"},
	Repeated:           {"repeated", http.StatusOK, Ran, "the recorded answer of the same operation"},
	NoAccount:          {"no-account", http.StatusNotFound, NotRun, "no client account of this name is known here"},
	NoRoute:            {"no-route", http.StatusNotFound, NotRun, "the template has no route for this method and path"},
	BodyTooLarge:       {"body-too-large", http.StatusRequestEntityTooLarge, NotRun, "the body is over the limit of the settings"},
	BadRequest:         {"bad-request", http.StatusBadRequest, NotRun, "a header of ours cannot be read"},
	SlowCaller:         {"slow-caller", http.StatusRequestTimeout, NotRun, "the body did not come within the deadline; nothing was sent"},
	HeaderTooLarge:     {"header-too-large", http.StatusRequestHeaderFieldsTooLarge, NotRun, "the header is over the limit of the configuration"},
	UnknownKey:         {"unknown-key", http.StatusUnauthorized, NotRun, "the request shows no key of a client account"},
	OverLimit:          {"over-limit", http.StatusTooManyRequests, NotRun, "the client account is over its limit"},
	Quarantined:        {"quarantined", http.StatusServiceUnavailable, NotRun, "upstreams ended under this request; it is not sent to further ones"},
	KeyReused:          {"key-reused", http.StatusUnprocessableEntity, NotRun, "the Idempotency-Key names an operation with another body"},
	NoConfiguration:    {"no-configuration", http.StatusServiceUnavailable, NotRun, "the node holds no configuration yet"},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, NotRun, "no slot comes free within the deadline"},
	Stopping:           {"stopping", http.StatusServiceUnavailable, NotRun, "the node is stopping; another one takes the request"},
	DeadlineBeforeSend: {"deadline-before-send", http.StatusGatewayTimeout, NotRun, "the deadline passed before anything was sent"},
	NoUpstream:         {"no-upstream", http.StatusServiceUnavailable, NotRun, "no upstream of the service is known or live"},
	UpstreamShed:       {"upstream-shed", http.StatusServiceUnavailable, NotRun, "the upstreams refused it by contract"},
	ConnectFailed:      {"connect-failed", http.StatusBadGateway, NotRun, "no connection could be made, so nothing was sent"},
	LimitUnconfirmed:   {"limit-unconfirmed", http.StatusServiceUnavailable, NotRun, "nobody who knows what the client account has used can be reached"},
	KeyUnconfirmed:     {"key-unconfirmed", http.StatusServiceUnavailable, Unknown, "nobody who knows whether this key has run can be reached; repeat with the same key"},
	TooManyConnections: {"too-many-connections", http.StatusServiceUnavailable, NotRun, "the node holds as many connections as its settings allow"},
	CallerGone:         {"caller-gone", 499, NotRun, "the caller went away before anything was sent"},
	OutcomeUnknown:     {"outcome-unknown", http.StatusBadGateway, Unknown, "the operation may have run; do not repeat it under another key"},
	AnswerCut:          {"answer-cut", http.StatusBadGateway, Unknown, "the upstream's answer broke off"},
	AnswerLate:         {"answer-late", http.StatusGatewayTimeout, Unknown, "the deadline passed after the request was sent"},
	RepeatInProgress:   {"repeat-in-progress", http.StatusConflict, Unknown, "the first request with this key still runs"},
	AnswerNotKept:      {"answer-not-kept", http.StatusConflict, Ran, "the operation ran; its answer was too large to keep"},
	Invalid:            {"invalid", http.StatusUnprocessableEntity, NotRun, "the document is refused; what was in force stays"},
	Conflict:           {"conflict", http.StatusConflict, NotRun, "somebody else changed the value first"},
	Forbidden:          {"forbidden", http.StatusForbidden, NotRun, "the token does not carry the right"},
	Missing:            {"missing", http.StatusNotFound, NotRun, "there is no such value"},
	StoreUnavailable:   {"store-unavailable", http.StatusServiceUnavailable, NotRun, "the store does not answer; nothing was changed"},
	ChangeUnknown:      {"change-unknown", http.StatusServiceUnavailable, Unknown, "the store's answer was lost; publish again with the same publish id"},
}

// Codes returns every known code.
func Codes() []Code {
	codes := make([]Code, 0, len(table))
	for c := range table {
		codes = append(codes, c)
	}
	return codes
}

// String returns the code's short name, or "unnumbered" for an unknown code.
func (c Code) String() string {
	if e, ok := table[c]; ok {
		return e.name
	}
	return "unnumbered"
}

// Status returns the HTTP status that goes with the code.
func (c Code) Status() int { return table[c].status }

// Meaning returns what the receiver may conclude.
func (c Code) Meaning() Meaning { return table[c].meaning }

// Text returns one sentence for people.
func (c Code) Text() string { return table[c].text }

// Error is a result that travels as an error.
type Error struct {
	code       Code
	detail     string
	retryAfter time.Duration
}

// New returns an error with a code and a detail for people.
func New(c Code, detail string) *Error { return &Error{code: c, detail: detail} }

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	later := *e
	later.retryAfter = d
	return &later
}

// Error implements the error interface.
func (e *Error) Error() string { return e.code.String() + ": " + e.detail }

// Code returns the numbered result.
func (e *Error) Code() Code { return e.code }

// Detail returns the text for people.
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns when the caller should come back, 0 for no advice.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// body is the JSON of a refusal.
type body struct {
	Code    Code    `json:"code"`
	Name    string  `json:"name"`
	Meaning Meaning `json:"meaning"`
	Detail  string  `json:"detail,omitempty"`
}

// Write answers a caller with a refusal. It must be called before anything else
// has been written to w.
func Write(w http.ResponseWriter, e *Error) {
	h := w.Header()
	Mark(h, e.code)
	h.Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(wholeSeconds(e.retryAfter)))
	}
	text, err := json.Marshal(body{e.code, e.code.String(), e.code.Meaning(), e.detail})
	if err != nil {
		text = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(e.code.Status())
	_, _ = w.Write(append(text, '\n')) // The caller may be gone; there is nobody left to tell.
}

// Mark sets the two result headers.
func Mark(h http.Header, c Code) {
	h.Set(Header, strconv.Itoa(int(c)))
	h.Set(MeaningHeader, string(c.Meaning()))
}

// wholeSeconds rounds up, because Retry-After counts whole seconds and "0" would
// invite the caller back at once.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
