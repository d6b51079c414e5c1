package stand2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a client's request.
type Request struct {
	Method   string
	Path     string
	Attempt  string
	Deadline time.Duration
	Body     int64  // Bytes, sent with a length.
	Key      string // Of the tenant, "" for none.
}

// Outcome is how a request ended for its client.
type Outcome struct {
	Status  int // 0 without an answer.
	Stamp   string
	Body    string
	Error   error
	Took    time.Duration
	Sent    bool // The whole request was written.
	TimedUp bool // The client gave up waiting.
}

// Client sends one request at a time on one kept connection.
type Client struct {
	Address string
	Host    string
	Record  *Record
	conn    net.Conn
	in      *bufio.Reader
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request and waits for the answer, until half a second past its deadline.
func (c *Client) Do(r Request) Outcome {
	began := time.Now()
	o := c.do(r, began)
	o.Took = time.Since(began)
	c.Record.Printf("client at %s: %s %s %s (%d bytes) -> %d %s, %v, error: %v", c.Address, r.Attempt, r.Method, r.Path, r.Body, o.Status, o.Stamp, o.Took.Round(time.Millisecond), o.Error)
	if o.Error != nil {
		c.Close()
	}
	return o
}

func (c *Client) do(r Request, began time.Time) (o Outcome) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.Address, time.Second)
		if err != nil {
			o.Error = err
			return o
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(began.Add(r.Deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, c.Host, r.Attempt, r.Deadline.Milliseconds())
	if r.Key != "" {
		head += "Authorization: Token " + r.Key + "\r\n"
	}
	if r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", r.Body)
	}
	if _, o.Error = io.WriteString(c.conn, head+"\r\n"); o.Error != nil {
		return o
	}
	written := make(chan error, 1)
	go func(conn net.Conn) {
		_, err := io.CopyN(conn, zeros{}, r.Body)
		written <- err
	}(c.conn)
	response, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
	if err != nil {
		o.Error = err
		var t net.Error
		o.TimedUp = errors.As(err, &t) && t.Timeout()
		return o
	}
	o.Status, o.Stamp = response.StatusCode, response.Header.Get("Response-Stamp")
	text, err := io.ReadAll(response.Body)
	o.Body, o.Error = string(text), err
	select {
	case err := <-written:
		o.Sent = err == nil
	default:
		c.Close() // Answered before the whole request was sent.
		return o
	}
	if response.Close {
		c.Close()
	}
	return o
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
