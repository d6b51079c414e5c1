// Package hop removes hop-by-hop headers, which are valid for a single connection
// only. Every component that forwards a message strips them, in both directions.
//
// # Usage
//
//	hop.Strip(request.Header)
package hop

import (
	"net/http"
	"strings"
)

// headers are the hop-by-hop headers of RFC 9110, section 7.6.1, and those that
// older clients send for the same purpose.
var headers = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Strip removes the hop-by-hop headers and every header listed in Connection.
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
