package mesh

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// unreadyTime is how long a stopping node still takes everything: the platform
	// asks for readiness once a second and moves callers after two refusals.
	unreadyTime = 2500 * time.Millisecond
	// killMargin is kept before the platform kills the process.
	killMargin = 900 * time.Millisecond
	// stopPoll is the pace at which a stopping node looks whether work is left.
	stopPoll = 20 * time.Millisecond
	// finishTime is how long last answers may take to be written.
	finishTime = 200 * time.Millisecond
	// settleTime is kept for last answers to leave the socket.
	settleTime = 50 * time.Millisecond
	// endTimeout bounds a last call to the store.
	endTimeout = 300 * time.Millisecond
)

// stop ends the node without cutting a request: first callers and other nodes are
// told to go elsewhere, then what is in hand is answered, then sockets close.
func (n *Node) stop(l *listeners) {
	kill := time.Now().Add(n.settings.Load().Grace() - killMargin)
	n.log.Info("stop", zap.Time("until", kill))
	n.stopping.Store(true)
	n.server.Stop()
	time.Sleep(min(unreadyTime, n.settings.Load().Grace()/2))
	n.gate.Stop()
	_ = l.callers.Close()
	for time.Now().Before(kill) && (n.server.CloseIdle() > 0 || n.gate.Busy() > 0) {
		time.Sleep(stopPoll)
	}
	n.forwarder.Finish() // Better the truth about what is still in doubt than a broken connection.
	for end := time.Now().Add(finishTime); time.Now().Before(end) && n.server.CloseIdle() > 0; {
		time.Sleep(stopPoll)
	}
	time.Sleep(settleTime)
	if n.server.CloseIdle() > 0 || n.gate.Busy() > 0 {
		n.log.Warn("stopped with work in hand", zap.Int("attempts", n.gate.Busy()), zap.Int("connections", n.server.CloseIdle()))
	}
	for _, o := range []net.Listener{l.links, l.reports, l.ready, l.metrics} {
		if o != nil {
			_ = o.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	n.directory.end(ctx)
}
