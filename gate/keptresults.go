package gate

import (
	"time"

	"eiderfold/link"
)

const (
	// answerRetention is how long the result of a finished attempt is kept for an OutcomeQuery
	// after a broken link. It has to exceed how long an ingress waits for the link (its
	// reconnectTimeout).
	answerRetention = 6 * time.Second
	// keptPart is the part of the memory for bodies that kept answers may take, as its inverse.
	keptPart = 4
)

// keptResult is the result of a finished attempt.
type keptResult struct {
	frame   *link.Frame
	expires time.Time
}

// keptResults are the results that are kept for OutcomeQueries.
type keptResults struct {
	results   map[link.Key]keptResult
	answers   []link.Key // Those with a body, the oldest first.
	bodyBytes int64
	maxBytes  int64 // Of all bodies.
}

func newKeptResults(maxBytes int64) *keptResults {
	return &keptResults{results: map[link.Key]keptResult{}, maxBytes: maxBytes}
}

// put keeps a result. If the bodies of answers take too much memory, the oldest are dropped.
func (k *keptResults) put(key link.Key, frame *link.Frame, now time.Time) {
	k.results[key] = keptResult{frame: frame, expires: now.Add(answerRetention)}
	if bytes := bodyBytes(frame); bytes > 0 {
		k.answers = append(k.answers, key)
		k.bodyBytes += bytes
	}
	for k.bodyBytes > k.maxBytes {
		oldest := k.answers[0]
		expires := k.results[oldest].expires
		k.removeOldestBody()
		k.results[oldest] = keptResult{frame: noLongerKept(oldest), expires: expires}
	}
}

// removeOldestBody stops counting the oldest body.
func (k *keptResults) removeOldestBody() {
	k.bodyBytes -= bodyBytes(k.results[k.answers[0]].frame)
	k.answers = k.answers[1:]
}

// get returns a result that is kept.
func (k *keptResults) get(key link.Key) (*link.Frame, bool) {
	r, ok := k.results[key]
	return r.frame, ok
}

// expire drops the results that are past their retention, and calls expired for each.
func (k *keptResults) expire(now time.Time, expired func(link.Key)) {
	for len(k.answers) > 0 && now.After(k.results[k.answers[0]].expires) {
		k.removeOldestBody()
	}
	for key, r := range k.results {
		if now.After(r.expires) {
			delete(k.results, key)
			expired(key)
		}
	}
}

// bodyBytes returns the size of the body of a result.
func bodyBytes(f *link.Frame) int64 {
	if f.Answer == nil {
		return 0
	}
	return int64(len(f.Answer.Body))
}

// noLongerKept returns the result of an attempt that may have run.
func noLongerKept(k link.Key) *link.Frame {
	return &link.Frame{Failed: &link.Failed{Key: k, Detail: "its end is no longer kept"}}
}
