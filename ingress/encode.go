package ingress

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
)

// encode writes an answer with a Content-Length, whatever framing the upstream used.
func encode(out *bufio.Writer, r *Response, method string, last bool) {
	h := http.Header(r.Header)
	switch {
	case method == http.MethodHead:
		// The upstream's Content-Length describes the body that is not sent.
	case r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
		h.Del("Content-Length")
	default:
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	if last {
		h.Set("Connection", "close")
	}
	// The writer keeps its first error, which Flush returns.
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	_ = h.Write(out)
	_, _ = out.WriteString("\r\n")
	if method != http.MethodHead {
		_, _ = out.Write(r.Body)
	}
}
