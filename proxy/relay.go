package proxy

import (
	"io"
	"maps"
	"net/http"
	"strconv"

	"eiderfold/core"
	"eiderfold/hop"
	"eiderfold/result"
)

// relay gives the caller an upstream's answer. A short one is whole already. A
// long one that breaks off aborts the caller's connection, since by then the head
// has gone out and nothing else could say that the rest is missing.
func (h *Handler) relay(w http.ResponseWriter, a *answer) {
	defer a.close()
	h.results.Add(result.Answered.String(), 1)
	header := w.Header()
	hop.Strip(a.response.Header)
	maps.Copy(header, a.response.Header)
	result.Mark(header, result.Answered)
	if a.whole && a.response.Request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.prefix)))
	}
	w.WriteHeader(a.response.StatusCode)
	if _, err := w.Write(a.prefix); err != nil {
		panic(http.ErrAbortHandler)
	}
	if a.whole {
		return
	}
	if _, err := io.Copy(w, a.response.Body); err != nil {
		h.results.Add(result.AnswerCut.String(), 1)
		panic(http.ErrAbortHandler)
	}
}

// replay gives the caller a recorded answer.
func (h *Handler) replay(w http.ResponseWriter, recorded *core.Recorded) {
	w.Header().Set("Content-Length", strconv.Itoa(len(recorded.Body)))
	h.give(w, recorded, result.Repeated)
}

// give writes a kept answer.
func (h *Handler) give(w http.ResponseWriter, recorded *core.Recorded, c result.Code) {
	h.results.Add(c.String(), 1)
	header := w.Header()
	for name, value := range recorded.Header {
		header.Set(name, value)
	}
	result.Mark(header, c)
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Body) // The caller may be gone; the record stays.
}
