package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"eiderfold/keys"
)

const (
	protocol         = "eiderfold/1"
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 20 * time.Second
	keepAlive        = 8 * time.Second
	// Windows start small: most messages are a few hundred bytes, and a node has
	// a connection to every other node of its template.
	streamWindow     = 32 << 10
	connectionWindow = 64 << 10
	maxStreamWindow  = 4 << 20
	maxStreams       = 256
	drain            = 5 * time.Second // For calls that still wait on a connection given up.
	codeClosed       = 0
	codeBad          = 1
)

// Handler answers a request. It must not keep the request.
type Handler func(ctx context.Context, r *Request) *Reply

// Transport is a node's end of all connections to peers. It is safe for several
// goroutines.
type Transport struct {
	socket   *quic.Transport
	listener *quic.Listener
	client   *tls.Config
	handler  Handler
	mu       sync.Mutex
	dialled  map[string]*link
	sent     atomic.Int64
	received atomic.Int64
	serving  sync.WaitGroup
	cancel   context.CancelFunc
}

// link is a connection that is dialled once for all calls that wait for it.
type link struct {
	ready      chan struct{}
	connection *quic.Conn
	err        error
}

// Listen opens a UDP port by IP number and serves requests on it.
func Listen(address string, material *keys.Material, handler Handler) (*Transport, error) {
	where, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(where))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	server, client := material.Mutual(), material.Mutual()
	server.NextProtos = []string{protocol}
	client.NextProtos = []string{protocol}
	t := &Transport{
		socket:  &quic.Transport{Conn: socket},
		client:  client,
		handler: handler,
		dialled: map[string]*link{},
	}
	t.listener, err = t.socket.Listen(server, settings())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.serving.Go(func() { t.accept(ctx) })
	return t, nil
}

func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		MaxConnectionReceiveWindow:     maxStreamWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
	}
}

// Address returns the address that was opened, with the port the kernel chose.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Traffic returns the bytes of messages sent and received since the start.
func (t *Transport) Traffic() (sent, received int64) { return t.sent.Load(), t.received.Load() }

// Close ends all connections.
func (t *Transport) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.mu.Lock()
	for _, l := range t.dialled {
		select {
		case <-l.ready:
			if l.connection != nil {
				_ = l.connection.CloseWithError(codeClosed, "stopping")
			}
		default:
		}
	}
	t.mu.Unlock()
	_ = t.socket.Close()
	t.serving.Wait()
	return errors.Wrap(err, "close")
}

// Call sends a request and waits for its reply. An error says nothing about
// whether the peer took the request, except ErrNotSent, with which it did not.
func (t *Transport) Call(ctx context.Context, address string, r *Request) (*Reply, error) {
	text, err := Encode(r)
	if err != nil {
		return nil, err
	}
	connection, err := t.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		t.forget(address, connection)
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	answer, err := t.exchange(ctx, stream, text)
	if err != nil {
		// The peer may have been replaced at the same address, which this
		// connection would only find out when it has been idle for long.
		t.forget(address, connection)
		return nil, err
	}
	reply := &Reply{}
	if err := Decode(answer, reply); err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, errors.New(reply.Error)
	}
	return reply, nil
}

// ErrNotSent says that a request never left this node.
var ErrNotSent = errors.New("not sent")

func (t *Transport) exchange(ctx context.Context, stream *quic.Stream, text []byte) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeClosed)
		stream.CancelWrite(codeClosed)
	})
	defer stop()
	t.sent.Add(int64(len(text)))
	if _, err := stream.Write(text); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	if err := stream.Close(); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	answer, err := io.ReadAll(io.LimitReader(stream, MaxMessage))
	t.received.Add(int64(len(answer)))
	return answer, errors.Wrap(err, "receive")
}

// connect returns the connection to a peer and dials it if there is none.
func (t *Transport) connect(ctx context.Context, address string) (*quic.Conn, error) {
	t.mu.Lock()
	l := t.dialled[address]
	if l == nil {
		l = &link{ready: make(chan struct{})}
		t.dialled[address] = l
		go t.dial(address, l)
	}
	t.mu.Unlock()
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if l.err != nil {
		return nil, l.err
	}
	if l.connection.Context().Err() != nil {
		t.forget(address, l.connection)
		return nil, errors.New("connection closed")
	}
	return l.connection, nil
}

// dial runs apart from any caller's deadline, since others may wait for it too.
func (t *Transport) dial(address string, l *link) {
	defer close(l.ready)
	where, err := netip.ParseAddrPort(address)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		l.connection, err = t.socket.Dial(ctx, net.UDPAddrFromAddrPort(where), t.client, settings())
	}
	if err != nil {
		l.err = err
		t.mu.Lock()
		if t.dialled[address] == l {
			delete(t.dialled, address)
		}
		t.mu.Unlock()
	}
}

func (t *Transport) forget(address string, connection *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.dialled[address]; l != nil && l.connection == connection {
		delete(t.dialled, address)
		time.AfterFunc(drain, func() { _ = connection.CloseWithError(codeClosed, "replaced") })
	}
}

func (t *Transport) accept(ctx context.Context) {
	for {
		connection, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		go t.serve(ctx, connection)
	}
}

func (t *Transport) serve(ctx context.Context, connection *quic.Conn) {
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.answer(ctx, stream)
	}
}

func (t *Transport) answer(ctx context.Context, stream *quic.Stream) {
	text, err := io.ReadAll(io.LimitReader(stream, MaxMessage))
	t.received.Add(int64(len(text)))
	request := &Request{}
	if err == nil {
		err = Decode(text, request)
	}
	if err != nil {
		stream.CancelWrite(codeBad)
		return
	}
	answer, err := Encode(t.handler(ctx, request))
	if err != nil {
		stream.CancelWrite(codeBad)
		return
	}
	t.sent.Add(int64(len(answer)))
	if _, err := stream.Write(answer); err == nil {
		_ = stream.Close() // The caller sees a missing end as an error of its own.
	}
}
