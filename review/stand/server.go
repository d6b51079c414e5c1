package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that has reached a back end.
type Arrival struct {
	Server  *Server
	Attempt string
	Method  string
	Target  string
	Body    []byte
	Header  http.Header
	Conn    net.Conn
	Number  int // Of the connection at this back end.
}

// Answer is what a back end answers.
type Answer struct {
	Status int
	Header map[string]string
	Body   string
	Extra  bool // A copy of the answer arrives late, in the place of the next one on the connection.
	Drop   bool // Close the connection without an answer.
}

// Server is a back end as PROTOCOL.md describes it. Behave decides what happens to a request that
// names this incarnation.
type Server struct {
	Machine *Machine
	ID      string
	Slots   int
	Behave  func(a *Arrival) Answer
	Health  func() int
	state   atomic.Value // string
	seq     atomic.Int64
	running atomic.Int64
	conns   atomic.Int64
	born    int64
	stop    chan struct{}
	once    sync.Once
	l       net.Listener
}

// StartServer starts a back end on its machine's application address.
func StartServer(m *Machine, id string, slots int, behave func(*Arrival) Answer) (*Server, error) {
	l, err := net.Listen("tcp4", m.App)
	if err != nil {
		return nil, err
	}
	s := &Server{Machine: m, ID: id, Slots: slots, Behave: behave, l: l, stop: make(chan struct{}), born: time.Now().UnixMilli()}
	s.state.Store("ready")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, int(s.conns.Add(1)))
		}
	}()
	go s.beat()
	return s, nil
}

// Stop ends the back end.
func (s *Server) Stop() {
	s.once.Do(func() { close(s.stop); _ = s.l.Close() })
}

// SetState sets the state that heartbeats report.
func (s *Server) SetState(state string) { s.state.Store(state) }

// Beat sends one heartbeat and reports whether it was acknowledged within a second.
func (s *Server) Beat() bool {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"callSeq":%d,"born":%d}`,
		s.Machine.Service, s.Machine.App, s.Machine.Zone, s.Slots, s.state.Load(), s.seq.Add(1), s.born)
	c := http.Client{Timeout: time.Second}
	r, err := c.Post("http://"+s.Machine.Beats+"/-/rpc?call=instances.heartbeat&of="+s.ID, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode/100 == 2
}

func (s *Server) beat() {
	for {
		wait := 1500 * time.Millisecond
		if !s.Beat() {
			wait = 200 * time.Millisecond
		}
		select {
		case <-s.stop:
			return
		case <-time.After(wait):
		}
	}
}

// Running returns how many requests it works on.
func (s *Server) Running() int { return int(s.running.Load()) }

// Work marks a request as running for a time.
func (s *Server) Work(d time.Duration) {
	s.running.Add(1)
	time.Sleep(d)
	s.running.Add(-1)
}

func (s *Server) serve(c net.Conn, number int) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	extra := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			status := http.StatusOK
			if s.state.Load() != "ready" {
				status = http.StatusServiceUnavailable
			}
			if s.Health != nil {
				status = s.Health()
			}
			fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), s.ID)
			continue
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"), s.ID)
			continue
		}
		if extra != "" { // Late, in the place where the answer to this request is expected.
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		a := s.Behave(&Arrival{Server: s, Attempt: r.Header.Get("Attempt-Id"), Method: r.Method, Target: r.RequestURI, Body: body, Header: r.Header, Conn: c, Number: number})
		if a.Drop {
			return
		}
		text := s.encode(r.Header.Get("Attempt-Id"), a)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if a.Extra {
			extra = text
		}
	}
}

func (s *Server) encode(attempt string, a Answer) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nServer-Load: %d,0,%d\r\n", a.Status, http.StatusText(a.Status), attempt, s.ID, min(s.Running(), s.Slots), s.Slots)
	for k, v := range a.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
	return b.String()
}

// Stamp returns the signature of an answer that this back end made itself.
func (s *Server) Stamp(attempt string) string { return s.ID + "." + attempt }
