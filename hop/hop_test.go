package hop

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStrip(t *testing.T) {
	h := http.Header{
		"Connection":        {"close, X-One", "x-two"},
		"X-One":             {"1"},
		"X-Two":             {"2"},
		"Transfer-Encoding": {"chunked"},
		"Te":                {"trailers"},
		"Content-Type":      {"text/plain"},
		"Expect":            {"100-continue"},
	}
	Strip(h)
	assert.Equal(t, http.Header{"Content-Type": {"text/plain"}, "Expect": {"100-continue"}}, h)
}
