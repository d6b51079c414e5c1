package mesh

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A configuration must survive compression, and a large one must become far smaller.
func TestPackedConfiguration(t *testing.T) {
	var text strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&text, `{"name":"r-%d","match":{"pathPrefix":"/office-%d/"},"action":{"service":"births","timeoutMs":2500}},`, i, i)
	}
	for _, s := range []string{"", "{}", text.String()} {
		back, err := unpack(pack([]byte(s)))
		require.NoError(t, err)
		assert.Equal(t, s, string(back))
	}
	assert.Less(t, 5*len(pack([]byte(text.String()))), text.Len())
}

// Uncompressed, truncated and oversized input must be refused.
func TestUnpackRefuses(t *testing.T) {
	good := pack([]byte(strings.Repeat("x", 1000)))
	for _, bad := range [][]byte{nil, []byte("{}"), good[:len(good)/2], pack(make([]byte, maxUnpacked+1))} {
		_, err := unpack(bad)
		assert.Error(t, err)
	}
}
