package proxy

import (
	"context"
	"net/http"
	"time"

	"eiderfold/result"
)

// attemptResult is the outcome of one attempt; exactly one of answer, failure and
// refused is set.
type attemptResult struct {
	upstream *Upstream
	answer   *answer
	failure  *failure
	refused  *result.Error // No upstream could be acquired.
}

// usable reports whether the attempt's answer can be sent to the caller without a
// further attempt.
func (a attemptResult) usable() bool {
	return a.answer != nil && a.answer.response.StatusCode < http.StatusInternalServerError
}

// race runs the attempts of one retryable request. The first starts at once. Another one
// may start when the last running attempt ends without a usable answer, or when the first
// is slow (a hedge). Each attempt after the first takes a token of the service's retry budget.
type race struct {
	handler *Handler
	call    *call
	ctx     context.Context
	results chan attemptResult
	running int
	tried   []*Upstream
	best    attemptResult // The best result so far.
	hedged  bool          // A token was taken for a hedge.
}

const maxAttempts = 3

func (h *Handler) serveRetryable(w http.ResponseWriter, c *call) {
	ctx, cancel := context.WithCancel(c.request.Context())
	defer cancel() // Cancels the attempts that lost.
	r := &race{handler: h, call: c, ctx: ctx, results: make(chan attemptResult, maxAttempts)}
	res := r.run()
	r.abandon()
	h.writeResult(w, res)
}

// run runs the attempts and returns the result for the caller.
func (r *race) run() attemptResult {
	r.start()
	hedge := time.NewTimer(r.call.latency.Threshold())
	defer hedge.Stop()
	for r.running > 0 {
		select {
		case res := <-r.results:
			r.running--
			if res.usable() {
				r.keepBest(res)
				return res
			}
			r.keepBest(res)
			if r.mayRetry(res) {
				r.start()
			}
		case <-hedge.C:
			r.hedge()
		}
	}
	return r.best
}

// start starts another attempt, at an upstream that has not been tried.
func (r *race) start() {
	u, refused := r.call.service.acquire(r.ctx, r.call.deadline, len(r.tried) == 0, r.tried)
	if u == nil {
		r.keepBest(attemptResult{refused: refused})
		return
	}
	r.launch(u)
}

func (r *race) launch(u *Upstream) {
	r.tried = append(r.tried, u)
	r.running++
	go func() {
		a, f := r.handler.exchange(r.ctx, r.call, u, false)
		r.results <- attemptResult{upstream: u, answer: a, failure: f}
	}()
}

// hedge starts a second attempt without cancelling the first, if a slot is free.
// It does not wait for one, since that would add load to a busy service.
func (r *race) hedge() {
	c := r.call
	if r.hedged || len(r.tried) != 1 || !c.rewindable() || !c.service.takeRetryToken() {
		return
	}
	r.hedged = true
	if u := c.service.pick(time.Now(), false, r.tried); u != nil {
		r.launch(u)
	}
}

// mayRetry reports whether another attempt may follow a result, and takes a retry
// token if so.
func (r *race) mayRetry(res attemptResult) bool {
	c := r.call
	if r.running > 0 || res.refused != nil || len(r.tried) >= maxAttempts || !c.rewindable() {
		return false
	}
	if res.failure != nil && (res.failure.reason == callerGone || res.failure.reason == timedOut) {
		return false
	}
	if !time.Now().Before(c.deadline) {
		return false
	}
	return c.service.takeRetryToken()
}

// keepBest keeps the best result so far: an answer is preferred to a failure, and
// a failure to a refusal of a further attempt.
func (r *race) keepBest(res attemptResult) {
	if r.best.answer != nil {
		if res.answer == nil {
			return
		}
		r.best.answer.close()
	}
	if res.answer == nil && res.failure == nil && r.best.failure != nil {
		return
	}
	r.best = res
}

// abandon closes the answers of attempts that lost, once they arrive. Their
// contexts are cancelled, so they end soon.
func (r *race) abandon() {
	if r.running == 0 {
		return
	}
	n := r.running
	go func() {
		for range n {
			if res := <-r.results; res.answer != nil {
				res.answer.close()
			}
		}
	}()
}
