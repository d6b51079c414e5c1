package ingress

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
)

// explain logs what became of a request and why. An answer that came in time is
// only counted at the usual level of the log.
func (f *Forwarder) explain(r *Request, fl *flight, answer *Response) {
	took := time.Since(r.Arrived)
	f.counters.Observe("request", took)
	outcome := outcomeOf(fl, answer, took)
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
	if fl != nil {
		fields = append(fields, fl.story()...)
	}
	line.Write(fields...)
}

// Outcomes of a request, as logged and counted.
const (
	answeredInTime = "answered"
	answeredLate   = "late"
	failedRequest  = "failed"
	refusedRequest = "refused" // By what it asks or who asks, not for want of room.
	callerGone     = "abandoned"
)

func outcomeOf(fl *flight, answer *Response, took time.Duration) string {
	switch {
	case answer == nil:
		return callerGone
	case answer.own && answer.Status < http.StatusInternalServerError:
		return refusedRequest
	case fl == nil || answer.Status >= http.StatusInternalServerError:
		return failedRequest
	case fl.route.Target > 0 && took > fl.route.Target:
		return answeredLate
	default:
		return answeredInTime
	}
}

// story is what decided about the request, for its log line.
func (f *flight) story() []zap.Field {
	fields := []zap.Field{zap.String("route", f.route.Name), zap.String("service", f.service), zap.Int("offers", f.made),
		zap.Int("runs", f.runs), zap.Strings("gates", f.gates)}
	if f.account != nil {
		fields = append(fields, zap.String("account", f.account.Name))
	}
	if !f.committed.IsZero() {
		fields = append(fields, zap.Duration("waited", f.committed.Sub(f.began)))
	}
	if f.last != link.ReasonNone {
		fields = append(fields, zap.Stringer("refused", f.last))
	}
	if f.doubt != "" {
		fields = append(fields, zap.String("doubt", f.doubt))
	}
	if f.doubt != "" || f.held > 0 {
		fields = append(fields, zap.Stringer("request", f.print()))
	}
	return fields
}
