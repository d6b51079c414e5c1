package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// garbleShare is the share of requests that a garbling upstream answers with what is no answer.
	garbleShare = 0.05
	// garbleTime is how long it writes one that does not end, unless the node closes before.
	garbleTime = 2 * time.Second
	// announcedBytes is the length that such an answer announces.
	announcedBytes = 64 << 20
	// garblingMemoryMB is the memory of an instance with a garbling upstream.
	garblingMemoryMB = 184
	// largeUploadBytes is the size of a large upload, more than the sockets hold.
	largeUploadBytes = 8 << 20
	// One request in largeUploadEvery of a caller is a large upload.
	largeUploadEvery = 60
	// memoryInterval is how often the memory of the nodes is read.
	memoryInterval = 20 * time.Millisecond
)

// garbledLength is the end of a head that announces announcedBytes.
var garbledLength = fmt.Sprintf("Content-Length: %d\r\n\r\n", announcedBytes)

// garbledMark is in each body that must not be passed on.
const garbledMark = "garbled"

// largeUpload is the body of large uploads. They never run, as each answer to one is cut, and share it.
var largeUpload = strings.Repeat("x", largeUploadBytes)

// garbledAnswer is what a garbling upstream sends in the place of an answer.
type garbledAnswer struct {
	head    string // {good} stands for the fields of a good answer.
	body    string
	endless bool // The body goes on, for less than the length that is announced.
	resets  bool // The connection is reset, not closed.
}

// cutAnswer is an answer without a length that a reset cuts. It is the one to large uploads, while they are being written.
var cutAnswer = garbledAnswer{head: "HTTP/1.1 200 OK\r\n{good}\r\n", body: garbledMark, resets: true}

// garbledAnswers are the other ones.
var garbledAnswers = []garbledAnswer{
	{head: "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n{good}Content-Length: 7\r\n\r\n", body: garbledMark},
	{head: "HTTP/1.1 200 OK\r\n{good}A B: c\r\nContent-Length: 7\r\n\r\n", body: garbledMark},
	{head: "HTTP/1.1 200 OK\r\n{good}Content-Length : 3\r\n\r\n", body: garbledMark},
	{head: "HTTP/1.1 200 OK\r\n{good}Transfer-Encoding : chunked\r\n\r\n", body: "7\r\n" + garbledMark + "\r\n0\r\n\r\n"},
	{head: "HTTP/1.1 200 OK\r\n{good}\r\n", body: garbledMark, endless: true, resets: true},
	{head: "HTTP/1.1 200 OK\r\n" + garbledLength, body: garbledMark, endless: true, resets: true},
	{head: "HTTP/1.1 200 OK\r\n{good}" + garbledLength, body: garbledMark, endless: true, resets: true},
	{head: "HTTP/1.1 200 OK\r\n{good}A: ", body: garbledMark, endless: true, resets: true},
}

// garbles answers some requests of a garbling upstream, before it reads their bodies, with what is no answer, and
// reports whether it did.
func (u *upstream) garbles(w http.ResponseWriter, r *http.Request, stamp string) bool {
	isLarge := r.ContentLength >= largeUploadBytes
	if !isLarge && (!u.garbling.Load() || rand.Float64() >= garbleShare) {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		u.checker.violate("harness: %v", err)
		return true
	}
	a := cutAnswer
	if !isLarge {
		a = garbledAnswers[rand.N(len(garbledAnswers))]
	}
	a.write(conn, "Attempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Stamp: "+stamp+"\r\n")
	return true
}

// write sends the answer, with the fields of a good one, and ends the connection.
func (a garbledAnswer) write(conn net.Conn, good string) {
	defer conn.Close() //nolint:errcheck // Nothing more is sent.
	_ = conn.SetWriteDeadline(time.Now().Add(garbleTime))
	_, err := io.WriteString(conn, strings.ReplaceAll(a.head, "{good}", good)+a.body)
	piece := strings.Repeat(a.body, 8<<10)
	for sent := 0; a.endless && err == nil && sent < announcedBytes/2; sent += len(piece) {
		_, err = io.WriteString(conn, piece)
	}
	if c, ok := conn.(*unrulyConn); ok && a.resets {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
}

// setGarbling makes all upstreams garble, or stop that.
func (s *soak) setGarbling(on bool) {
	s.garbling.Store(on)
	for _, n := range s.nodes {
		n.upstream.garbling.Store(on)
	}
}

// isLargeUpload reports whether request i of a caller has a large body.
func (s *soak) isLargeUpload(i int) bool { return s.garbling.Load() && i%largeUploadEvery == 0 }

// watchMemory reports nodes that are above their memory, for which the platform would kill them, until ctx ends.
func (s *soak) watchMemory(ctx context.Context) {
	t := time.NewTicker(memoryInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		<-t.C
		for _, n := range s.nodes {
			if mb := n.anonymousMemory() >> 20; mb > garblingMemoryMB {
				s.checker.violate("MEMORY: %s takes %d MB of %d MB", n.name, mb, garblingMemoryMB)
			}
		}
	}
}

// anonymousMemory returns the bytes that the process takes for itself; 0 if it does not run.
func (n *node) anonymousMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid.Load()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kB int64
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kB); err == nil {
			return kB << 10
		}
	}
	return 0
}
