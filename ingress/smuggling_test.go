package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/route"
)

// A request within the body of another one must not be served, however the length of that body is written.
func TestRequestWithinABodyIsServed(t *testing.T) {
	inner := "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	for name, request := range map[string]string{
		"blank before the colon of the length": fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(inner), inner),
		"tab before the colon of the length":   fmt.Sprintf("Content-Length\t: %d\r\n\r\n%s", len(inner), inner),
		"blank before the colon of the coding": "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"chunks before HTTP/1.1":               "Transfer-Encoding: chunked\r\n\r\n" + inner,
		"folded length":                        fmt.Sprintf("Content-Length:\r\n %d\r\n\r\n%s", len(inner), inner),
		"length and chunks":                    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"blank within a name":                  "A B: c\r\n\r\n" + inner,
		"control byte in a value":              "A: b\x01\r\n\r\n" + inner,
		"two hosts":                            "Host: b\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int32
			_, address := testServer(t, func(context.Context, *Request) *Response {
				served.Add(1)
				return text(200, "")
			}, route.Limits{})
			version := "HTTP/1.1"
			if name == "chunks before HTTP/1.1" {
				version = "HTTP/1.0"
			}
			c, in := dialServer(t, address)
			_, err := io.WriteString(c, "POST /outer "+version+"\r\nHost: a\r\n"+request)
			require.NoError(t, err)
			r, _ := readAnswer(t, in)
			assert.Equal(t, http.StatusBadRequest, r.StatusCode)
			_, err = in.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the connection ends")
			assert.Zero(t, served.Load())
		})
	}
}
