package ingress

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

// explain counts and logs the outcome of a request and its causes. Answers in time are
// logged only at debug level.
func (f *Forwarder) explain(r *Request, req *inFlightRequest, answer *Response) {
	took := time.Since(r.Arrived)
	f.counters.Observe("request", took)
	outcome := outcomeOf(req, answer, took)
	f.counters.Count("request_" + outcome)
	level := zap.InfoLevel
	if outcome == answeredInTime {
		level = zap.DebugLevel
	}
	line := f.log.Check(level, "request "+outcome)
	if line == nil {
		return
	}
	fields := []zap.Field{zap.String("attempt", f.dialect.Request(r.Header).Attempt), zap.Duration("took", took)}
	if t := f.table.Load(); t != nil {
		fields = append(fields, zap.Uint64("configuration", t.Version()))
	}
	if answer != nil {
		fields = append(fields, zap.Int("status", answer.Status), zap.Bool("own", answer.own))
	}
	if answer != nil && answer.own {
		fields = append(fields, zap.Stringer("result", answer.code))
	}
	if req != nil {
		fields = append(fields, req.logFields()...)
	}
	line.Write(fields...)
}

// Outcomes of a request, as logged and counted.
const (
	answeredInTime = "answered"
	answeredLate   = "late"
	failedRequest  = "failed"
	refusedRequest = "refused" // Because of the request or its caller, not for lack of capacity.
	callerGone     = "abandoned"
)

func outcomeOf(req *inFlightRequest, answer *Response, took time.Duration) string {
	switch {
	case answer == nil:
		return callerGone
	case answer.own && answer.Status < http.StatusInternalServerError:
		return refusedRequest
	case req == nil || answer.Status >= http.StatusInternalServerError:
		return failedRequest
	case req.route.Target > 0 && took > req.route.Target:
		return answeredLate
	default:
		return answeredInTime
	}
}

// logFields returns the fields that explain the request's outcome in its log line.
func (f *inFlightRequest) logFields() []zap.Field {
	fields := []zap.Field{zap.String("route", f.route.Name), zap.String("service", f.service), zap.Int("offers", f.offersMade),
		zap.Int("runs", f.runs), zap.Strings("gates", f.gates)}
	if f.account != nil {
		fields = append(fields, zap.String("account", f.account.Name))
	}
	if !f.committedAt.IsZero() {
		fields = append(fields, zap.Duration("waited", f.committedAt.Sub(f.arrived)))
	}
	if f.lastRefusal != link.ReasonNone {
		fields = append(fields, zap.Stringer("refused", f.lastRefusal))
	}
	if f.unknownReason != "" {
		// "doubt" is why the outcome of an attempt is unknown.
		fields = append(fields, zap.String("doubt", f.unknownReason))
	}
	if f.unknownReason != "" || f.quarantineLeft > 0 {
		// "request" is the fingerprint, by which a request may be quarantined.
		fields = append(fields, zap.Stringer("request", f.fingerprint()))
	}
	return fields
}
