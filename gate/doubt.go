package gate

import "time"

const (
	// doubtTime is how long doubt lasts without a response: a few response times, after which an
	// upstream that goes on failing has had another error and is on trial.
	doubtTime = 2 * time.Second
	// doubtProbeAfter is how long orders wait for a retryable request to show whether the upstream
	// still fails: about one response time. After that, single orders do, as the service may have no
	// other requests.
	doubtProbeAfter = 500 * time.Millisecond
)

// doubt keeps orders from an upstream that has just returned an error. Most errors of an upstream
// come in spells, and the second one, which begins a trial, would often hit an order, which cannot
// be repeated. An error of a sound upstream costs little: the next good response ends the doubt, and
// meanwhile orders may start at other gates.
type doubt struct {
	erred time.Time // The latest error; the zero time if a good response has followed.
	until time.Time // When doubt ends without a response.
}

// note processes the outcome of an attempt. A response to an attempt that started before the error
// does not show that the upstream has recovered from it.
func (d *doubt) note(at, started time.Time, o Outcome) {
	switch {
	case o == Erred:
		*d = doubt{erred: at, until: at.Add(doubtTime)}
	case o == Good && started.After(d.erred):
		*d = doubt{}
	}
}

// holds reports whether an order has to wait. The parameter idle reports whether no attempt
// runs.
func (d *doubt) holds(at time.Time, idle bool) bool {
	return at.Before(d.until) && (!idle || at.Sub(d.erred) < doubtProbeAfter)
}
