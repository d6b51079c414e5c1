// Package link carries messages between two nodes: length-prefixed CBOR over one
// TCP connection, in both directions. It preserves order and never blocks a sender.
// It answers pings and records when messages and ping replies arrived, so that its user
// can detect an unresponsive peer. A link closes itself if too many messages are queued, if
// the peer makes no room for 64 KiB within four seconds or, if it was dialed, if sent bytes stay
// unacknowledged for as long.
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
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"eiderfold/bodymemory"
	"eiderfold/socket"
)

const (
	// maxFrame is the maximum size of a message in bytes: the largest body that the
	// settings allow is 64 MiB, plus headers.
	maxFrame = 80 << 20
	// dialTimeout limits connecting; it allows some hundred round trips.
	dialTimeout = 1 * time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection is considered broken; it allows several retransmissions.
	ackTimeout = 4 * time.Second
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
	// prefixLength is the size in bytes of the big-endian length before a message.
	prefixLength = 4
	// bufferBytes is the size of the read and write buffers; it holds a dozen
	// messages without content.
	bufferBytes = 4 << 10
)

// ErrFrameTooLarge is returned when a peer announces a message larger than maxFrame.
var ErrFrameTooLarge = errors.New("message too large")

// Link is one connection to another node.
type Link struct {
	conn         net.Conn
	in           *bufio.Reader // nil until AwaitData or Run: an idle link should be small.
	outbox       *outbox
	closed       chan struct{}
	closeOnce    sync.Once
	lastReceived atomic.Int64 // UnixNano of the last bytes.
	lastPong     atomic.Int64 // UnixNano of the last ping reply.
	// writtenFrames and writtenBytes are what the connection has taken so far.
	writtenFrames atomic.Uint64
	writtenBytes  atomic.Uint64
	meter         atomic.Pointer[Meter]
	bodies        *bodymemory.Memory
}

// Dial connects to a node from the given local IP address. A node passes the one at which it
// accepts links itself, so that it has the same address in both directions.
func Dial(ctx context.Context, from net.IP, address string) (*Link, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: ackTimeout / 2, Control: control, LocalAddr: &net.TCPAddr{IP: from}}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return New(conn), nil
}

// control makes the kernel close a connection whose bytes stay unacknowledged.
func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option, the pings of the link's user still detect a dead peer.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
}

// New returns a link over an established connection.
func New(conn net.Conn) *Link {
	l := &Link{conn: conn, outbox: newOutbox(), closed: make(chan struct{}), bodies: bodymemory.New(defaultBodyMemory)}
	l.lastReceived.Store(time.Now().UnixNano())
	socket.LimitUnread(conn)
	return l
}

// SetBodyMemory sets the memory for the bodies of received messages, which the link may share with others. It must be
// called before Run.
func (l *Link) SetBodyMemory(m *bodymemory.Memory) { l.bodies = m }

// Send queues a message. It returns false if the link is closed. If the outbox is
// full because the peer does not keep up, Send closes the link.
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

// Ping requests a ping reply from the peer; LastPong returns when the last one arrived.
func (l *Link) Ping() { l.Send(&Frame{Ping: &Ping{}}) }

// Close closes the link and its connection. It may be called more than once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // The connection is not used any more.
	})
}

// Closed returns a channel that is closed when the link is.
func (l *Link) Closed() <-chan struct{} { return l.closed }

// LastReceived returns when the last bytes arrived: a long message may take long.
func (l *Link) LastReceived() time.Time { return time.Unix(0, l.lastReceived.Load()) }

// LastPong returns when the last ping reply arrived. Unlike any other message, a reply
// shows that messages reach the peer too.
func (l *Link) LastPong() time.Time { return time.Unix(0, l.lastPong.Load()) }

// RemoteAddr returns the peer's address.
func (l *Link) RemoteAddr() string { return l.conn.RemoteAddr().String() }

// AwaitData waits for the peer's first bytes and reports whether they arrived in time. It must
// be called before Run, which then reads them.
func (l *Link) AwaitData(timeout time.Duration) bool {
	_ = l.conn.SetReadDeadline(time.Now().Add(timeout)) // Fails only on a closed connection, as the read does.
	_, err := l.reader().Peek(1)
	return err == nil && l.conn.SetReadDeadline(time.Time{}) == nil
}

// reader returns the reader of the connection, which only one goroutine may use at a time.
func (l *Link) reader() *bufio.Reader {
	if l.in == nil {
		l.in = bufio.NewReaderSize(arrivals{l}, bufferBytes)
	}
	return l.in
}

// arrivals reads from a link's connection and records when bytes arrive.
type arrivals struct{ link *Link }

// Read implements io.Reader.
func (a arrivals) Read(p []byte) (int, error) {
	n, err := a.link.conn.Read(p)
	if n > 0 {
		a.link.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// Run writes queued messages and passes received ones to handle until the link
// fails or is closed. It returns the error that ended reading. If the link was closed at
// this end, which includes a failed write and a full outbox, that is the error of reading
// from a closed connection. A message whose body finds no memory ends its request: see refuse.
func (l *Link) Run(handle func(*Frame)) error {
	defer l.Close()
	go l.runWriter()
	in := l.reader()
	for {
		f, err := l.read(in)
		var unread *unreadError
		switch {
		case errors.As(err, &unread):
			l.refuse(unread, handle)
		case err != nil:
			return err
		case f.Ping == nil:
			handle(f)
		case f.Ping.Reply:
			l.lastPong.Store(time.Now().UnixNano())
		default:
			l.Send(&Frame{Ping: &Ping{Reply: true}})
		}
	}
}

// decoding accepts text that is not UTF-8: headers and paths may hold any bytes, and are passed on unchanged.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// writerPool holds write buffers. A link holds one only while it writes, because a
// node has many links and most of them are idle.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// runWriter writes queued messages until the link is closed or a write fails, batching
// those that are queued at the same time.
func (l *Link) runWriter() {
	defer l.Close()
	for {
		select {
		case <-l.outbox.ready:
		case <-l.closed:
			return
		}
		if l.writeBatch(l.outbox.take()) != nil {
			return
		}
	}
}

// writeBatch encodes messages and writes them to the connection.
func (l *Link) writeBatch(frames []*Frame) error {
	out := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(out)
	out.Reset(socket.PieceWriter{Conn: l.conn, Timeout: ackTimeout})
	bytes := 0
	for _, f := range frames {
		n, err := encode(out, f)
		if err != nil {
			return err
		}
		l.count(f, n)
		bytes += n
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	l.writtenBytes.Add(uint64(bytes))
	l.writtenFrames.Add(uint64(len(frames)))
	return nil
}
