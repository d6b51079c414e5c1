package gate

import "time"

const (
	// doubtTime is how long an error counts against the upstream if nothing else shows that it
	// works again.
	doubtTime = 2 * time.Second
	// doubtWait is how long an order waits at a gate in doubt: some round trips between data
	// centres, in which its ingress gets a slot elsewhere if there is a free one.
	doubtWait = 60 * time.Millisecond
)

// doubt remembers the upstream's latest error. An upstream that begins to fail returns errors to most
// of what it gets, and an order that gets one is lost, while a retryable request can be repeated. So
// orders leave a gate in doubt to retryable requests as long as another gate has room for them.
//
// A single error is no reason for a trial: some requests fail wherever they run.
type doubt struct {
	latest time.Time // When the latest error was answered; the zero time if there is no doubt.
}

// raise records an error.
func (d *doubt) raise(at time.Time) { d.latest = at }

// clear records a good answer. One of an attempt that started before the error shows nothing.
func (d *doubt) clear(started time.Time) {
	if started.After(d.latest) {
		d.latest = time.Time{}
	}
}

// delays reports whether an order that arrived at the given time has to wait now.
func (d *doubt) delays(now, arrived time.Time) bool {
	return now.Before(d.latest.Add(doubtTime)) && now.Before(arrived.Add(doubtWait))
}
