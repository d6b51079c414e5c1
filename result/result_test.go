package result

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDocumentedCodes checks that the table in docs/CODES.md equals the one in the code.
func TestDocumentedCodes(t *testing.T) {
	text, err := os.ReadFile("../docs/CODES.md")
	require.NoError(t, err)
	var documented []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "| ") && strings.ContainsAny(line[2:3], "0123456789") {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	codes := Codes()
	slices.Sort(codes)
	var want []string
	for _, c := range codes {
		want = append(want, fmt.Sprintf("| %d | %s | %d | %s | %s |", c, c, c.Status(), c.Meaning(), c.Text()))
	}
	assert.Equal(t, want, documented)
}
