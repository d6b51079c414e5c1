package mesh

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/link"
)

// acceptPause is the pause after a failed accept.
const acceptPause = 20 * time.Millisecond

// accept serves links that other nodes dial.
func (l *links) accept(from net.Listener) {
	for {
		c, err := from.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go l.serve(link.New(c))
	}
}

// serve answers one dialed link until it ends.
func (l *links) serve(in *link.Link) {
	l.mu.Lock()
	l.inbound[in] = true
	l.mu.Unlock()
	in.Send(l.hello())
	err := in.Run(func(f *link.Frame) { l.fromIngress(in, f) })
	l.mu.Lock()
	delete(l.inbound, in)
	l.mu.Unlock()
	l.node.gate.Lost(in)
	l.node.log.Debug("inbound link ended", zap.String("from", in.Remote()), zap.Error(err))
}

// fromIngress takes a message of the node that dialed.
func (l *links) fromIngress(in *link.Link, f *link.Frame) {
	switch {
	case f.Hello != nil:
		l.learn(f.Hello.Member)
		l.node.config.handle(&link.Configuration{Version: f.Hello.Version}, in)
	case f.Configuration != nil:
		l.node.config.handle(f.Configuration, in)
	default:
		l.node.gate.Handle(in, f)
	}
}
