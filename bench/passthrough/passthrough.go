// Package passthrough is a minimal proxy on net/http, with which the cost of a request
// through a node is compared.
//
// # Usage
//
//	http.ListenAndServe("127.0.0.1:8080", passthrough.New("127.0.0.1:9001"))
package passthrough

import (
	"io"
	"maps"
	"net/http"
)

// Handler forwards every request to one address.
type Handler struct {
	address   string
	transport *http.Transport
}

const maxIdleConns = 100

// New returns a handler that forwards to an IP:port.
func New(address string) *Handler {
	return &Handler{address: address, transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", h.address
	resp, err := h.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
