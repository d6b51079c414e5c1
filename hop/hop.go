// Package hop knows which headers count for one connection only. Every part that
// passes a message on removes them, in both directions.
//
// # Usage
//
//	hop.Strip(request.Header)
package hop

import (
	"net/http"
	"strings"
)

// headers are those of RFC 9110, 7.6.1, and the ones that older clients send for
// the same purpose.
var headers = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Strip removes those headers, and what the message itself lists in Connection.
func Strip(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range headers {
		h.Del(name)
	}
}
