package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"eiderfold/bodymemory"
	"eiderfold/core"
	"eiderfold/hop"
	"eiderfold/result"
)

const maxKeyBytes = 256

// serveOnce serves an at-most-once route. Without a key each request is a separate
// operation, which needs no coordination with other nodes.
func (h *Handler) serveOnce(w http.ResponseWriter, c *call) {
	name := c.request.Header.Get(KeyHeader)
	if name == "" {
		res := h.sendOnce(c.request.Context(), c)
		h.writeResult(w, res)
		return
	}
	if len(name) > maxKeyBytes {
		h.refuse(w, result.New(result.BadRequest, KeyHeader+" is too long"))
		return
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	key := operationKey(c.route.Service().Name(), c.account.Name(), name)
	operation, recorded, refused := h.operations.Begin(ctx, c.template, key, bodyHash(c), keyTime(name))
	switch {
	case refused != nil:
		h.refuse(w, refused)
	case recorded != nil:
		h.replay(w, recorded)
	default:
		h.runKeyed(w, c, operation)
	}
}

// runKeyed runs a claimed operation to its end even if the caller disconnects,
// because a repeat of the key gets the recorded answer.
func (h *Handler) runKeyed(w http.ResponseWriter, c *call, operation Operation) {
	detached := c.detach()
	res := h.sendOnce(detached.request.Context(), detached)
	if res.answer == nil {
		operation.Finish(res.stage(), nil)
		h.writeResult(w, res)
		return
	}
	recorded, complete := h.record(res.answer)
	if !complete {
		operation.Finish(core.Uncertain, nil)
		h.refuse(w, result.New(result.AnswerCut, "the upstream's answer broke off"))
		return
	}
	operation.Finish(core.Done, recorded)
	h.writeRecorded(w, recorded, result.Answered)
}

// detach returns a copy of the call whose context is not cancelled when the
// caller disconnects.
func (c *call) detach() *call {
	d := *c
	d.request = c.request.WithContext(context.WithoutCancel(c.request.Context()))
	return &d
}

// sendOnce tries one upstream after the other until one may have received the
// request. It tries the next one only if the last certainly did not run it.
func (h *Handler) sendOnce(ctx context.Context, c *call) attemptResult {
	var tried []*Upstream
	var res attemptResult
	for {
		trial := len(tried) == 0 && c.service.Policy().OnlyAtMostOnce()
		u, refused := c.service.acquire(ctx, c.deadline, trial, tried)
		if u == nil {
			if res.failure == nil {
				res.refused = refused
			}
			return res
		}
		tried = append(tried, u)
		res = attemptResult{upstream: u}
		res.answer, res.failure = h.exchange(ctx, c, u, true)
		if res.answer != nil || !res.failure.notRun() || !c.rewindable() {
			return res
		}
	}
}

// stage returns the stage to record in the operation table for an attempt without
// an answer.
func (a attemptResult) stage() core.Stage {
	if a.failure == nil || a.failure.notRun() {
		return core.NotStarted
	}
	return core.Uncertain
}

func (h *Handler) writeResult(w http.ResponseWriter, res attemptResult) {
	switch {
	case res.answer != nil:
		h.relay(w, res.answer)
	case res.failure != nil:
		h.refuse(w, res.failure.result())
	default:
		h.refuse(w, res.refused)
	}
}

// record reads an answer to its end and reports whether it is complete, which it is not if there is no memory for it.
// If the operation table cannot keep it, the table only records that the operation ran.
func (h *Handler) record(a *answer) (*core.Recorded, bool) {
	defer a.close()
	body := a.prefix
	if !a.complete {
		whole, err := h.bodies.ReadAll(bodymemory.Answer, io.MultiReader(bytes.NewReader(a.prefix), a.response.Body), a.response.ContentLength)
		if err != nil {
			return nil, false
		}
		body = whole
	}
	hop.Strip(a.response.Header)
	recorded := &core.Recorded{Status: a.response.StatusCode, Body: body, Header: make(map[string]string, len(a.response.Header))}
	for name := range a.response.Header {
		recorded.Header[name] = a.response.Header.Get(name)
	}
	return recorded, true
}

// keyTime returns the creation time of a key that is a UUID of version 7, which
// starts with a timestamp, and the zero time for any other key.
func keyTime(name string) time.Time {
	const timeOrdered = 7
	id, err := uuid.Parse(name)
	if err != nil || id.Version() != timeOrdered {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

// operationKey returns the key of an operation: a hash of the caller's key and its
// scope, the service and the account.
func operationKey(service, account, name string) core.Key {
	var k core.Key
	first, second := xxhash.NewWithSeed(1), xxhash.NewWithSeed(2)
	for _, d := range []*xxhash.Digest{first, second} {
		for _, part := range []string{service, account, name} {
			_, _ = d.WriteString(part)
			_, _ = d.Write([]byte{0})
		}
	}
	copy(k[:8], first.Sum(nil))
	copy(k[8:], second.Sum(nil))
	return k
}

// bodyHash returns a hash of method, path, query and body. It distinguishes a repeat
// from a different request under the same key.
func bodyHash(c *call) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.request.Method + " " + c.path + "?" + c.request.URL.RawQuery + "\n")
	_, _ = d.Write(c.body)
	return d.Sum64()
}
