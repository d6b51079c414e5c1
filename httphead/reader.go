package httphead

import (
	"bufio"
	"io"
	"net/http"
)

// keptBytes is the size up to which the memory for a head is kept for the next one.
const keptBytes = 4 << 10

// Reader reads from a connection, and keeps the bytes of a head while it is parsed: the parsed head lacks some of them.
type Reader struct {
	from    io.Reader
	parsing bool
	head    []byte
}

// NewReader returns a reader of a connection.
func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if r.parsing {
		r.head = append(r.head, p[:n]...)
	}
	return n, err
}

// ReadRequest reads a request's head from in, which must read from r. It returns an *InvalidError for an invalid head;
// nothing may be read on after an error.
func (r *Reader) ReadRequest(in *bufio.Reader) (*http.Request, error) {
	r.begin(in)
	defer r.end()
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	return request, checkRequest(r.head, request)
}

// ReadResponse reads the head of a response to a request of a method, as ReadRequest does. The response may be an
// interim one.
func (r *Reader) ReadResponse(in *bufio.Reader, method string) (*http.Response, error) {
	r.begin(in)
	defer r.end()
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return response, checkResponse(r.head, response)
}

// begin keeps what has arrived already, and from now on what is read.
func (r *Reader) begin(in *bufio.Reader) {
	arrived, _ := in.Peek(in.Buffered()) // It does not read.
	r.head = append(r.head[:0], arrived...)
	r.parsing = true
}

// end stops keeping what is read.
func (r *Reader) end() {
	r.parsing = false
	if cap(r.head) > keptBytes {
		r.head = nil
	}
}
