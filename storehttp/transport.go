// Package storehttp provides the HTTP transport used by the clients of key-value stores.
//
// Open connections may stall without an error while new connections work. A call on a stalled
// connection fails only when it times out, and the next call would time out too if it reused an
// idle connection that has also stalled. The transport therefore closes its idle connections
// after a call that fails without a complete response, so that the next call opens a new one.
//
// A response with an invalid head, or that its connection's reset has cut, is a failure.
//
// # Usage
//
//	client := &http.Client{Transport: storehttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2})}
package storehttp

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"eiderfold/httphead"
	"eiderfold/socket"
)

// Transport is an http.RoundTripper that closes its idle connections after a call that fails
// without a complete response. It is safe for concurrent use.
type Transport struct {
	*http.Transport
}

// maxHeadBytes bounds a response's head together with the interim responses before it.
const maxHeadBytes = 64 << 10

// NewTransport returns a Transport that sends requests with base.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = maxHeadBytes
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return socket.KeepReset(conn), nil
	}
	return &Transport{Transport: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		t.CloseIdleConnections()
		return nil, err
	}
	if err := httphead.CheckResponse(response); err != nil {
		_ = response.Body.Close() // Only read from.
		t.CloseIdleConnections()
		return nil, err
	}
	response.Body = &responseBody{ReadCloser: response.Body, transport: t}
	return response, nil
}

// responseBody closes the transport's idle connections when a read fails before the end of
// the body.
type responseBody struct {
	io.ReadCloser
	transport *Transport
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.transport.CloseIdleConnections()
	}
	return n, err
}
