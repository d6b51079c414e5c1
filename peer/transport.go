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
	keepAlivePeriod  = 8 * time.Second
	// Flow-control windows start small, in bytes: most messages have a few hundred
	// bytes, and a node has a connection to every other node of its template.
	streamWindow     = 32 << 10
	connectionWindow = 64 << 10
	maxStreamWindow  = 4 << 20
	maxStreams       = 256
	closeDelay       = 5 * time.Second // For calls that still use a replaced connection.
	codeClosed       = 0
	codeMalformed    = 1 // The request could not be read or decoded, or its reply not encoded.
)

// Handler answers a request. It must not retain the request.
type Handler func(ctx context.Context, r *Request) *Reply

// Transport holds a node's connections to and from its peers. It is safe for
// concurrent use.
type Transport struct {
	socket    *quic.Transport
	listener  *quic.Listener
	client    *tls.Config
	handler   Handler
	mu        sync.Mutex
	dialled   map[string]*link
	sent      atomic.Int64
	received  atomic.Int64
	accepting sync.WaitGroup // The accept loop.
	cancel    context.CancelFunc
}

// link is a connection that is dialled once for all calls that wait for it. ready is
// closed when connection or err is set.
type link struct {
	ready      chan struct{}
	connection *quic.Conn
	err        error
}

// Listen opens a UDP port at an IP:port address and serves requests on it.
func Listen(address string, material *keys.Material, handler Handler) (*Transport, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	server, client := material.MutualTLS(), material.MutualTLS()
	server.NextProtos = []string{protocol}
	client.NextProtos = []string{protocol}
	t := &Transport{
		socket:  &quic.Transport{Conn: socket},
		client:  client,
		handler: handler,
		dialled: map[string]*link{},
	}
	t.listener, err = t.socket.Listen(server, quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.accepting.Go(func() { t.accept(ctx) })
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		MaxConnectionReceiveWindow:     maxStreamWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
	}
}

// Address returns the listening address, with the actual port if 0 was given.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Traffic returns the total size of the messages sent and received since the start,
// in bytes.
func (t *Transport) Traffic() (sent, received int64) { return t.sent.Load(), t.received.Load() }

// Close ends all connections and stops reading the UDP port, whose socket stays open. It
// waits for the accept loop, but not for requests that are being served.
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
	t.accepting.Wait()
	return errors.Wrap(err, "close")
}

// Call sends a request and waits for its reply. After ErrNotSent the peer has not
// received the request; after any other error it may have.
func (t *Transport) Call(ctx context.Context, address string, r *Request) (*Reply, error) {
	data, err := Encode(r)
	if err != nil {
		return nil, err
	}
	connection, err := t.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		t.drop(address, connection)
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	replyData, err := t.exchange(ctx, stream, data)
	if err != nil {
		// Another process may have replaced the peer at the same address, which
		// this connection would only detect after its idle timeout.
		t.drop(address, connection)
		return nil, err
	}
	reply := &Reply{}
	if err := Decode(replyData, reply); err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, errors.New(reply.Error)
	}
	return reply, nil
}

// ErrNotSent is returned by Call when there was no connection or stream to send the
// request on.
var ErrNotSent = errors.New("not sent")

// exchange writes a request to a stream and reads the reply.
func (t *Transport) exchange(ctx context.Context, stream *quic.Stream, data []byte) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeClosed)
		stream.CancelWrite(codeClosed)
	})
	defer stop()
	t.sent.Add(int64(len(data)))
	if _, err := stream.Write(data); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	if err := stream.Close(); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	replyData, err := io.ReadAll(io.LimitReader(stream, MaxMessage))
	t.received.Add(int64(len(replyData)))
	return replyData, errors.Wrap(err, "receive")
}

// connect returns the connection to a peer, which it dials if there is none.
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
		t.drop(address, l.connection)
		return nil, errors.New("connection closed")
	}
	return l.connection, nil
}

// dial opens the connection of l. It is independent of any caller's deadline, since
// several calls may wait for it.
func (t *Transport) dial(address string, l *link) {
	defer close(l.ready)
	addrPort, err := netip.ParseAddrPort(address)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		l.connection, err = t.socket.Dial(ctx, net.UDPAddrFromAddrPort(addrPort), t.client, quicConfig())
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

// drop removes a connection, so that the next call dials a new one, and closes it after
// closeDelay.
func (t *Transport) drop(address string, connection *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.dialled[address]; l != nil && l.connection == connection {
		delete(t.dialled, address)
		time.AfterFunc(closeDelay, func() { _ = connection.CloseWithError(codeClosed, "replaced") })
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
		go t.serveStream(ctx, stream)
	}
}

func (t *Transport) serveStream(ctx context.Context, stream *quic.Stream) {
	data, err := io.ReadAll(io.LimitReader(stream, MaxMessage))
	t.received.Add(int64(len(data)))
	request := &Request{}
	if err == nil {
		err = Decode(data, request)
	}
	if err != nil {
		stream.CancelWrite(codeMalformed)
		return
	}
	replyData, err := Encode(t.handler(ctx, request))
	if err != nil {
		stream.CancelWrite(codeMalformed)
		return
	}
	t.sent.Add(int64(len(replyData)))
	if _, err := stream.Write(replyData); err == nil {
		_ = stream.Close() // If this fails, the caller gets an error when it reads the stream.
	}
}
