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

// relay sends an upstream's answer to the caller. A short answer is buffered
// already. If a long one breaks off, relay aborts the caller's connection: the
// header has been sent, so there is no other way to signal truncation.
func (h *Handler) relay(w http.ResponseWriter, a *answer) {
	defer a.close()
	h.results.Add(result.Answered.String(), 1)
	header := w.Header()
	hop.Strip(a.response.Header)
	maps.Copy(header, a.response.Header)
	result.Mark(header, result.Answered)
	if a.complete && a.response.Request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.prefix)))
	}
	w.WriteHeader(a.response.StatusCode)
	if _, err := w.Write(a.prefix); err != nil {
		panic(http.ErrAbortHandler)
	}
	if a.complete {
		return
	}
	if _, err := io.Copy(w, a.response.Body); err != nil {
		h.results.Add(result.AnswerCut.String(), 1)
		panic(http.ErrAbortHandler)
	}
}

// replay sends a recorded answer to a caller that repeats a key.
func (h *Handler) replay(w http.ResponseWriter, recorded *core.Recorded) {
	w.Header().Set("Content-Length", strconv.Itoa(len(recorded.Body)))
	h.writeRecorded(w, recorded, result.Repeated)
}

// writeRecorded writes a recorded answer with a result code.
func (h *Handler) writeRecorded(w http.ResponseWriter, recorded *core.Recorded, c result.Code) {
	h.results.Add(c.String(), 1)
	header := w.Header()
	for name, value := range recorded.Header {
		header.Set(name, value)
	}
	result.Mark(header, c)
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Body) // The caller may have disconnected; the record stays.
}
