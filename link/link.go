// Package link carries messages between two nodes: length-prefixed CBOR over one
// TCP connection, in both directions. It keeps order, never blocks a sender, and
// notices within seconds when the other side has gone silent.
//
// # Usage
//
//	l, err := link.Dial(ctx, net.ParseIP("10.0.0.1"), "10.0.0.2:8146")
//	go l.Run(func(f *link.Frame) { ... })
//	l.Send(&link.Frame{Offer: &link.Offer{...}})
package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// maxFrame bounds a message in bytes: the largest body an operator allows is
	// 64 MiB, with its header.
	maxFrame = 80 << 20
	// dialTimeout bounds a connection's making: some hundred round trips.
	dialTimeout = 1 * time.Second
	// silence is how long bytes may stay unacknowledged before the connection
	// counts as broken; several retransmissions fit.
	silence = 4 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
	// prefixLength is the size in bytes of a message's length, big-endian.
	prefixLength = 4
	// bufferBytes is the size of a link's buffers: a dozen messages without content.
	bufferBytes = 4 << 10
)

// ErrFrameTooLarge says that a peer sent a message over the bound.
var ErrFrameTooLarge = errors.New("message too large")

// Link is one connection to another node.
type Link struct {
	conn     net.Conn
	outbox   *outbox
	closed   chan struct{}
	once     sync.Once
	received atomic.Int64 // UnixNano of the last message.
	ponged   atomic.Int64 // UnixNano of the last reply to a ping.
	meter    atomic.Pointer[Meter]
}

// Dial connects to a node, from an IP address of this one.
func Dial(ctx context.Context, from net.IP, address string) (*Link, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: silence / 2, Control: control, LocalAddr: &net.TCPAddr{IP: from}}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return New(conn), nil
}

// control lets the kernel end a connection whose bytes are not acknowledged.
func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A kernel without the option still has the pings to find a dead peer.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
}

// New makes a link of a connection.
func New(conn net.Conn) *Link {
	l := &Link{conn: conn, outbox: newOutbox(), closed: make(chan struct{})}
	l.received.Store(time.Now().UnixNano())
	return l
}

// Send queues a message. It returns false when the link is closed, and closes it
// when the peer does not keep up.
func (l *Link) Send(f *Frame) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	if !l.outbox.put(f) {
		l.Close()
		return false
	}
	return true
}

// Ping asks the peer for a sign of life; Ponged tells when it came.
func (l *Link) Ping() { l.Send(&Frame{Ping: &Ping{}}) }

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // Nothing more is wanted of it.
	})
}

// Closed is closed with the link.
func (l *Link) Closed() <-chan struct{} { return l.closed }

// Received returns when the last message came.
func (l *Link) Received() time.Time { return time.Unix(0, l.received.Load()) }

// Ponged returns when a ping was last replied to: unlike any other message, it shows that
// the peer hears as well.
func (l *Link) Ponged() time.Time { return time.Unix(0, l.ponged.Load()) }

// Remote returns the peer's address.
func (l *Link) Remote() string { return l.conn.RemoteAddr().String() }

// Run reads messages until the link ends and says why.
func (l *Link) Run(handle func(*Frame)) error {
	defer l.Close()
	go l.write()
	in := bufio.NewReaderSize(l.conn, bufferBytes)
	for {
		f, err := read(in)
		if err != nil {
			return err
		}
		l.received.Store(time.Now().UnixNano())
		if f.Ping == nil {
			handle(f)
			continue
		}
		if f.Ping.Reply {
			l.ponged.Store(time.Now().UnixNano())
			continue
		}
		l.Send(&Frame{Ping: &Ping{Reply: true}})
	}
}

// read takes one message.
func read(in *bufio.Reader) (*Frame, error) {
	var prefix [prefixLength]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, errors.Wrap(err, "read")
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > maxFrame {
		return nil, errors.WithStack(ErrFrameTooLarge)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(in, text); err != nil {
		return nil, errors.Wrap(err, "read")
	}
	f := &Frame{}
	return f, errors.Wrap(cbor.Unmarshal(text, f), "decode")
}

// writers are buffers for writing. A link holds one only while it writes: a node has
// many links, and most of them rest.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// write sends what waits, several messages in one packet where there are.
func (l *Link) write() {
	defer l.Close()
	for {
		select {
		case <-l.outbox.filled:
		case <-l.closed:
			return
		}
		// A message over the buffer is written in part before the flush.
		_ = l.conn.SetWriteDeadline(time.Now().Add(silence)) // Fails only on a closed connection, as the write does.
		if l.send(l.outbox.take()) != nil {
			return
		}
	}
}

// send encodes messages and writes them.
func (l *Link) send(frames []*Frame) error {
	out := writers.Get().(*bufio.Writer)
	defer writers.Put(out)
	out.Reset(l.conn)
	for _, f := range frames {
		n, err := encode(out, f)
		if err != nil {
			return err
		}
		l.measured(f, n)
	}
	return errors.Wrap(out.Flush(), "write")
}

// encode writes one message with its length before it, and returns its size in bytes.
func encode(out *bufio.Writer, f *Frame) (int, error) {
	text, err := cbor.Marshal(f)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	var prefix [prefixLength]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(text)))
	if _, err := out.Write(prefix[:]); err != nil {
		return 0, errors.Wrap(err, "write")
	}
	_, err = out.Write(text)
	return prefixLength + len(text), errors.Wrap(err, "write")
}
