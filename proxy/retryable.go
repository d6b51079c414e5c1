package proxy

import (
	"context"
	"net/http"
	"time"

	"eiderfold/result"
)

// attempted is the end of one attempt.
type attempted struct {
	upstream *Upstream
	answer   *answer
	failure  *failure
	refused  *result.Error // No upstream could be had.
}

// usable reports whether the attempt's answer is one to give the caller without
// looking further.
func (a attempted) usable() bool {
	return a.answer != nil && a.answer.response.StatusCode < http.StatusInternalServerError
}

// race runs the attempts of one retryable request. The first goes out at once;
// another follows when one fails, or when the first is late (a hedge). Each
// beyond the first is paid out of the service's budget.
type race struct {
	handler *Handler
	call    *call
	ctx     context.Context
	ends    chan attempted
	running int
	tried   []*Upstream
	last    attempted // The best of what has ended.
	hedged  bool
}

const maxAttempts = 3

func (h *Handler) serveRetryable(w http.ResponseWriter, c *call) {
	ctx, cancel := context.WithCancel(c.request.Context())
	defer cancel() // Calls off whatever attempt lost.
	r := &race{handler: h, call: c, ctx: ctx, ends: make(chan attempted, maxAttempts)}
	end := r.run()
	r.abandon()
	h.tell(w, end)
}

// run returns the end to tell the caller.
func (r *race) run() attempted {
	r.start()
	hedge := time.NewTimer(r.call.usual.Cut())
	defer hedge.Stop()
	for r.running > 0 {
		select {
		case end := <-r.ends:
			r.running--
			if end.usable() {
				r.keep(end)
				return end
			}
			r.keep(end)
			if r.mayRetry(end) {
				r.start()
			}
		case <-hedge.C:
			r.hedge()
		}
	}
	return r.last
}

// start sends another attempt to an upstream that has not been tried.
func (r *race) start() {
	u, refused := r.call.service.acquire(r.ctx, r.call.deadline, len(r.tried) == 0, r.tried)
	if u == nil {
		r.keep(attempted{refused: refused})
		return
	}
	r.launch(u)
}

func (r *race) launch(u *Upstream) {
	r.tried = append(r.tried, u)
	r.running++
	go func() {
		a, f := r.handler.exchange(r.ctx, r.call, u, false)
		r.ends <- attempted{upstream: u, answer: a, failure: f}
	}()
}

// hedge sends a second attempt without giving up the first, if a slot is free at
// once; waiting for one would only add load when there is much already.
func (r *race) hedge() {
	c := r.call
	if r.hedged || len(r.tried) != 1 || !c.rewindable() || !c.service.spend() {
		return
	}
	r.hedged = true
	if u := c.service.pick(time.Now(), false, r.tried); u != nil {
		r.launch(u)
	}
}

// mayRetry decides whether an end is worth another attempt.
func (r *race) mayRetry(end attempted) bool {
	c := r.call
	if r.running > 0 || end.refused != nil || len(r.tried) >= maxAttempts || !c.rewindable() {
		return false
	}
	if end.failure != nil && (end.failure.reason == deserted || end.failure.reason == late) {
		return false
	}
	if !time.Now().Before(c.deadline) {
		return false
	}
	return c.service.spend()
}

// keep holds on to the best end so far: an answer is worth more than a failure,
// and that worth more than a refusal to try again.
func (r *race) keep(end attempted) {
	if r.last.answer != nil {
		if end.answer == nil {
			return
		}
		r.last.answer.close()
	}
	if end.answer == nil && end.failure == nil && r.last.failure != nil {
		return
	}
	r.last = end
}

// abandon closes the answers of attempts that lost, when they come. Their
// contexts are cancelled, so that is soon.
func (r *race) abandon() {
	if r.running == 0 {
		return
	}
	n := r.running
	go func() {
		for range n {
			if end := <-r.ends; end.answer != nil {
				end.answer.close()
			}
		}
	}()
}
