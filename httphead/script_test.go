package httphead

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// headCase is a head of a script in testdata.
type headCase struct {
	Name    string   `yaml:"name"`
	Head    []string `yaml:"head"`
	Invalid bool     `yaml:"invalid"`
	Parsed  bool     `yaml:"parsed"` // A client of net/http refuses it too.
}

func (c headCase) text() string { return strings.Join(c.Head, "\r\n") + "\r\n\r\n" }

func loadCases(t *testing.T, path string) []headCase {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var cases []headCase
	require.NoError(t, yaml.UnmarshalWithOptions(text, &cases, yaml.Strict()))
	return cases
}

// sources are readers by which a head arrives at once, or byte by byte.
var sources = []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader}

// A head whose body readers may end at different places, or that is not of the protocol, must be refused.
func TestInvalidRequestIsRead(t *testing.T) {
	for _, c := range loadCases(t, "testdata/requests.yaml") {
		for _, source := range sources {
			head := NewReader(source(strings.NewReader(c.text())))
			_, err := head.ReadRequest(bufio.NewReader(head))
			assert.Equal(t, c.Invalid, err != nil, "%s: %v", c.Name, err)
		}
	}
}

// The same for the heads of responses.
func TestInvalidResponseIsRead(t *testing.T) {
	for _, c := range loadCases(t, "testdata/responses.yaml") {
		for _, source := range sources {
			head := NewReader(source(strings.NewReader(c.text())))
			_, err := head.ReadResponse(bufio.NewReader(head), http.MethodGet)
			assert.Equal(t, c.Invalid, err != nil, "%s: %v", c.Name, err)
		}
	}
}

// Clients of net/http must refuse what can be seen in the parsed head.
func TestInvalidParsedResponseIsPassedOn(t *testing.T) {
	for _, c := range loadCases(t, "testdata/responses.yaml") {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.text())), nil)
		if err == nil {
			err = CheckResponse(r)
		}
		assert.Equal(t, c.Parsed, err != nil, "%s: %v", c.Name, err)
	}
}

// What follows a head on its connection must not be taken for a part of it.
func TestNextMessageIsTakenForTheHead(t *testing.T) {
	head := NewReader(strings.NewReader("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\n\r\nxA B: c\r\n\r\n"))
	in := bufio.NewReader(head)
	for _, path := range []string{"/a", "/b"} {
		r, err := head.ReadRequest(in)
		require.NoError(t, err)
		assert.Equal(t, path, r.RequestURI)
		_, err = io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
	}
	_, err := head.ReadRequest(in)
	assert.Error(t, err)
}

// A head larger than the buffer must be checked whole.
func TestEndOfALongHeadIsNotChecked(t *testing.T) {
	for field, valid := range map[string]bool{"A: b": true, "A B: c": false} {
		head := NewReader(strings.NewReader("GET /a HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("x", 3*keptBytes) + "\r\n" + field + "\r\n\r\n"))
		_, err := head.ReadRequest(bufio.NewReaderSize(head, keptBytes/8))
		assert.Equal(t, valid, err == nil, field)
		assert.Empty(t, head.head, "the memory for a long head is not kept")
	}
}
