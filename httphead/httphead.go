// Package httphead decides which heads of HTTP/1 messages are valid.
//
// The parser of net/http accepts more than RFC 9110 and 9112 allow, such as blanks in the names of fields. Two readers
// of such a head can disagree on where its message ends, and the rest of one message is then taken for another. Whatever
// reads requests or responses uses this package, so that all readers refuse the same heads.
//
// # Usage
//
// On a connection, a Reader lies below the buffer:
//
//	head := httphead.NewReader(conn)
//	buffer := bufio.NewReader(head)
//	request, err := head.ReadRequest(buffer) // *InvalidError for an invalid head.
//
// A client of net/http has parsed the head already:
//
//	response, err := transport.RoundTrip(request)
//	if err == nil {
//		err = httphead.CheckResponse(response)
//	}
package httphead

import (
	"bytes"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The statuses of final and interim responses: RFC 9110, 15.
const (
	minStatus = 100
	maxStatus = 599
)

// InvalidError reports an invalid head.
type InvalidError struct{ reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid head: " + e.reason }

func invalid(reason string) error { return &InvalidError{reason: reason} }

// CheckResponse returns an error if a parsed response has a head that is invalid.
func CheckResponse(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return invalid("not HTTP/1")
	case r.StatusCode < minStatus || r.StatusCode > maxStatus:
		return invalid("no such status")
	case r.StatusCode == http.StatusSwitchingProtocols:
		return invalid("another protocol, which nobody asked for")
	}
	for name, values := range r.Header {
		for _, v := range values {
			if err := checkField(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkField checks a field's name and value.
func checkField(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return invalid("a field's name")
	case !httpguts.ValidHeaderFieldValue(value):
		return invalid("a field's value")
	}
	return nil
}

// framing counts the fields of which a head may have one at most, and not all together.
type framing struct{ hosts, lengths, codings int }

// count counts a field.
func (f *framing) count(name string) {
	switch http.CanonicalHeaderKey(name) {
	case "Host":
		f.hosts++
	case "Content-Length":
		f.lengths++
	case "Transfer-Encoding":
		f.codings++
	}
}

// check returns an error if readers could disagree on where the message ends.
func (f *framing) check(isHTTP11 bool) error {
	switch {
	case f.codings > 0 && f.lengths > 0:
		return invalid("a length and a transfer coding")
	case f.codings > 0 && !isHTTP11:
		return invalid("a transfer coding before HTTP/1.1")
	}
	return nil
}

// checkRequest checks the bytes of a request's head.
func checkRequest(head []byte, r *http.Request) error {
	if r.ProtoMajor != 1 {
		return invalid("not HTTP/1")
	}
	f, err := checkFields(head)
	switch {
	case err != nil:
		return err
	case f.hosts > 1 || !httpguts.ValidHostHeader(r.Host):
		return invalid("host")
	}
	return f.check(r.ProtoAtLeast(1, 1))
}

// checkResponse checks the bytes of a response's head.
func checkResponse(head []byte, r *http.Response) error {
	if err := CheckResponse(r); err != nil {
		return err
	}
	f, err := checkFields(head)
	if err != nil {
		return err
	}
	return f.check(r.ProtoAtLeast(1, 1))
}

// checkFields checks the lines between the first one of a head and the empty one at its end.
func checkFields(head []byte) (framing, error) {
	var f framing
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for {
		line, next, found := bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if !found || len(line) == 0 {
			return f, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":")) // A folded line has no valid name.
		if err := checkField(string(name), string(bytes.Trim(value, " \t"))); err != nil {
			return f, err
		}
		f.count(string(name))
		rest = next
	}
}
