package stand

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Reply is the end of a client's request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Client sends requests over a kept connection to one node.
type Client struct {
	Address string
	conn    net.Conn
	in      *bufio.Reader
}

// Do sends one request and waits for its answer, at most until its deadline and a second.
func (c *Client) Do(method, host, path, attempt string, deadline time.Duration, body []byte) Reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.Address, time.Second)
		if err != nil {
			return Reply{Err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second)) // Fails only on a closed connection.
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, attempt, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	if method != http.MethodGet {
		out.Write(body)
	}
	if _, err := c.conn.Write(out.Bytes()); err != nil {
		c.Close()
		return Reply{Err: err}
	}
	r, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.Close()
		return Reply{Err: err}
	}
	text, err := io.ReadAll(r.Body)
	if err != nil || r.Close {
		c.Close()
	}
	return Reply{Status: r.StatusCode, Header: r.Header, Body: text, Err: err}
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
