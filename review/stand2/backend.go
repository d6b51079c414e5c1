package stand2

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatEvery   = 1500 * time.Millisecond
	beatTimeout = time.Second
)

// Run is one request that a backend began to work on.
type Run struct {
	Attempt string
	Backend string
	At      time.Time
}

// Backend is an application backend: it serves requests, limits itself to its slots and a short queue,
// and sends heartbeats to the node beside it.
type Backend struct {
	Service string
	Address string
	Control string // The node's address for heartbeats.
	Zone    string
	Slots   int
	Work    func(path string) time.Duration
	// Spoils, if set, reports whether the answer to a request that has run is spoiled; Spoiled then writes it.
	Spoils  func() bool
	Spoiled func(c net.Conn, r *http.Request)

	record *Record
	mu     sync.Mutex
	id     string
	state  string
	seq    int
	runs   []Run
	server *http.Server
	stop   context.CancelFunc
	queued atomic.Int32
	slots  chan struct{}
	silent atomic.Bool // No heartbeats are sent.
}

// Start begins a new incarnation with a new id.
func (b *Backend) Start(record *Record, id string) error {
	l, err := net.Listen("tcp4", b.Address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	b.mu.Lock()
	b.record, b.id, b.state, b.seq, b.stop = record, id, "ready", 0, stop
	b.slots = make(chan struct{}, b.Slots)
	b.server = &http.Server{Handler: b}
	server := b.server
	b.mu.Unlock()
	go server.Serve(l) //nolint:errcheck // It ends at Crash.
	go b.beat(ctx)
	record.Printf("backend %s at %s starts", id, b.Address)
	return nil
}

// Crash ends the incarnation without a word.
func (b *Backend) Crash() {
	b.mu.Lock()
	server, stop, id := b.server, b.stop, b.id
	b.mu.Unlock()
	stop()
	_ = server.Close()
	b.record.Printf("backend %s crashes", id)
}

// ID returns the id of the current incarnation.
func (b *Backend) ID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id
}

// Runs returns what the backend has begun to run so far.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

func (b *Backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		id, body := b.NextBeat()
		b.SendBeat(id, body)
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// NextBeat returns the id and the body of the next heartbeat.
func (b *Backend) NextBeat() (id, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return b.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"callSeq":%d}`,
		b.Service, b.Address, b.Zone, b.Slots, b.state, b.seq)
}

// SendBeat sends a heartbeat and reports whether it was acknowledged.
func (b *Backend) SendBeat(id, body string) bool {
	client := http.Client{Timeout: beatTimeout}
	r, err := client.Post("http://"+b.Control+"/-/rpc?call=instances.heartbeat&of="+id, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	defer r.Body.Close() //nolint:errcheck // Only read from.
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id, slots := b.id, b.slots
	b.mu.Unlock()
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(slots), b.queued.Load(), b.Slots))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		b.record.Printf("backend %s answers 421 to %s, which expects %s", id, attempt, want)
		h.Set("Instance-Id", id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // It has not begun to run.
	}
	if !b.enter(r, slots) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	b.mu.Lock()
	b.runs = append(b.runs, Run{Attempt: attempt, Backend: id, At: time.Now()})
	b.mu.Unlock()
	b.record.Printf("backend %s runs %s (%d bytes)", id, attempt, body)
	time.Sleep(b.Work(r.URL.Path))
	if b.Spoils != nil && b.Spoils() {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close() //nolint:errcheck // Nothing more is sent.
		b.Spoiled(c, r)
		return
	}
	text := Answer(attempt)
	h.Set("Response-Stamp", fmt.Sprintf("s.%s.%08x", attempt, crc32.ChecksumIEEE([]byte(text))))
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // The node may have left.
}

// enter waits for a slot, and reports false if the queue is full or the deadline passes.
func (b *Backend) enter(r *http.Request, slots chan struct{}) bool {
	if int(b.queued.Add(1)) > 8*b.Slots {
		b.queued.Add(-1)
		return false
	}
	defer b.queued.Add(-1)
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	deadline := time.NewTimer(time.Duration(max(ms, 1)) * time.Millisecond)
	defer deadline.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-deadline.C:
	case <-r.Context().Done():
	}
	return false
}

// Answer returns the body of the answer to an attempt.
func Answer(attempt string) string { return "answer to " + attempt }
