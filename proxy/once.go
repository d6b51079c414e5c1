package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"eiderfold/core"
	"eiderfold/hop"
	"eiderfold/result"
)

const (
	keptAnswer = 64 << 10 // Answers up to this are kept for repeats.
	maxKey     = 256
)

// serveOnce serves an at-most-once route. Without a key each request is an
// operation of its own, and nothing has to be agreed with other nodes.
func (h *Handler) serveOnce(w http.ResponseWriter, c *call) {
	name := c.request.Header.Get(KeyHeader)
	if name == "" {
		end := h.sendOnce(c.request.Context(), c)
		h.tell(w, end)
		return
	}
	if len(name) > maxKey {
		h.refuse(w, result.New(result.BadRequest, KeyHeader+" is too long"))
		return
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	key := operationKey(c.route.Service().Name(), c.account.Name(), name)
	operation, recorded, refused := h.operations.Begin(ctx, c.template, key, bodyHash(c), born(name))
	switch {
	case refused != nil:
		h.refuse(w, refused)
	case recorded != nil:
		h.replay(w, recorded)
	default:
		h.runKeyed(w, c, operation)
	}
}

// runKeyed runs a claimed operation to its end even when the caller goes away,
// because its answer is what a repeat of the key will get.
func (h *Handler) runKeyed(w http.ResponseWriter, c *call, operation Operation) {
	detached := c.detach()
	end := h.sendOnce(detached.request.Context(), detached)
	if end.answer == nil {
		operation.Finish(end.stage(), nil)
		h.tell(w, end)
		return
	}
	recorded, whole := record(end.answer)
	if !whole {
		operation.Finish(core.Uncertain, nil)
		h.refuse(w, result.New(result.AnswerCut, "the upstream's answer broke off"))
		return
	}
	operation.Finish(core.Done, recorded)
	h.give(w, recorded, result.Answered)
}

// detach gives the call a context that does not end with the caller's.
func (c *call) detach() *call {
	d := *c
	d.request = c.request.WithContext(context.WithoutCancel(c.request.Context()))
	return &d
}

// sendOnce sends to one upstream after the other until one may have got it. Only
// proof that the last did not run it allows the next.
func (h *Handler) sendOnce(ctx context.Context, c *call) attempted {
	var tried []*Upstream
	var end attempted
	for {
		trial := len(tried) == 0 && c.service.Policy().OnlyAtMostOnce()
		u, refused := c.service.acquire(ctx, c.deadline, trial, tried)
		if u == nil {
			if end.failure == nil {
				end.refused = refused
			}
			return end
		}
		tried = append(tried, u)
		end = attempted{upstream: u}
		end.answer, end.failure = h.exchange(ctx, c, u, true)
		if end.answer != nil || !end.failure.proven() || !c.rewindable() {
			return end
		}
	}
}

// stage is what the ledger is told of an end without an answer.
func (a attempted) stage() core.Stage {
	if a.failure == nil || a.failure.proven() {
		return core.NotStarted
	}
	return core.Uncertain
}

func (h *Handler) tell(w http.ResponseWriter, end attempted) {
	switch {
	case end.answer != nil:
		h.relay(w, end.answer)
	case end.failure != nil:
		h.refuse(w, end.failure.result())
	default:
		h.refuse(w, end.refused)
	}
}

// record reads an answer to its end. It is whole even when it is too large to be
// kept; the ledger then only remembers that it ran.
func record(a *answer) (*core.Recorded, bool) {
	defer a.close()
	body := a.prefix
	if !a.whole {
		rest, err := io.ReadAll(a.response.Body)
		if err != nil {
			return nil, false
		}
		body = append(body, rest...)
	}
	hop.Strip(a.response.Header)
	recorded := &core.Recorded{Status: a.response.StatusCode, Body: body, Header: make(map[string]string, len(a.response.Header))}
	for name := range a.response.Header {
		recorded.Header[name] = a.response.Header.Get(name)
	}
	return recorded, true
}

// born returns when a key was made, if it is a UUID of version 7, which begins
// with that time.
func born(name string) time.Time {
	const timeOrdered = 7
	id, err := uuid.Parse(name)
	if err != nil || id.Version() != timeOrdered {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

// operationKey names an operation by what the caller's key is good for.
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

// bodyHash tells the same operation from another one under the same key.
func bodyHash(c *call) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.request.Method + " " + c.path + "?" + c.request.URL.RawQuery + "\n")
	_, _ = d.Write(c.body)
	return d.Sum64()
}
