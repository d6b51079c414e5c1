package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/ingress"
	"eiderfold/listener"
)

const (
	// unreadyTime is how long a stopping node still accepts everything: the platform checks
	// readiness once a second and moves callers after two failures.
	unreadyTime = 2500 * time.Millisecond
	// killMargin is the time reserved before the platform kills the process: for closing the
	// listeners, the last answers and the last call.
	killMargin = 900 * time.Millisecond
	// stopPoll is the interval at which a stopping node checks for remaining work.
	stopPoll = 20 * time.Millisecond
	// finishTimeout is how long the last answers may take to be written.
	finishTimeout = 200 * time.Millisecond
	// flushTime lets the last answers leave the socket.
	flushTime = 50 * time.Millisecond
	// lastCallTimeout bounds a final call to the store, and how long reports in progress may take.
	lastCallTimeout = 300 * time.Millisecond
)

// stop stops the node without cutting off requests: it first signals callers and other
// nodes to go elsewhere, then waits for work in progress, then closes the sockets. Until the
// end it accepts connections, and refuses new requests, which are sent elsewhere at once. Its
// listeners accept every established connection before they close (see package listener).
func (n *Node) stop(l *listeners) {
	kill := time.Now().Add(n.settings.Load().Grace() - killMargin)
	n.log.Info("stop", zap.Time("until", kill))
	n.stopping.Store(true)
	n.server.Stop()
	time.Sleep(min(unreadyTime, n.settings.Load().Grace()/2))
	n.forwarder.Refuse(kill)
	n.gate.Stop()
	for time.Now().Before(kill) && (n.server.Busy() > 0 || n.gate.ActiveOffers() > 0) {
		n.server.CloseIdle()
		time.Sleep(stopPoll)
	}
	n.links.awaitDelivery(kill)
	n.forwarder.Finish() // Requests whose outcome is unknown get an answer instead of a broken connection.
	_ = l.callers.Close()
	for end := time.Now().Add(finishTimeout); time.Now().Before(end) && n.server.CloseIdle() > 0; {
		n.server.AbortReading()
		time.Sleep(stopPoll)
	}
	time.Sleep(flushTime)
	if n.server.Busy() > 0 || n.gate.ActiveOffers() > 0 {
		n.log.Warn("stopped with requests in flight", zap.Int("attempts", n.gate.ActiveOffers()), zap.Int("connections", n.server.Busy()))
	}
	for _, c := range n.server.Unanswered() {
		n.logUnanswered("connection open at the end of the stop", c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastCallTimeout)
	defer cancel()
	var closing sync.WaitGroup
	closing.Go(func() { _ = l.links.Close() })
	for _, s := range l.servers {
		closing.Go(func() { s.stop(ctx) })
	}
	n.directory.removeSelf(ctx)
	closing.Wait()
}

// logClosing logs how a listener was closed. Connections that it lost were established and never
// accepted, so that no other line has them.
func (n *Node) logClosing(c listener.Closing) {
	n.metrics.Add("stop_connections_lost", max(c.Lost, 0))
	n.log.Info("listener closed", zap.Inline(c))
}

// logUnanswered logs a connection without an answer. A request that was reset and whose connection
// is in no such line was never accepted.
func (n *Node) logUnanswered(text string, c ingress.ConnectionState) {
	n.metrics.Count("stop_connection_unanswered")
	n.log.Info(text, zap.Stringer("from", c.Remote), zap.Duration("age", time.Since(c.Accepted)),
		zap.Int("answered", c.Answered), zap.Int("pending", c.Pending), zap.Bool("reading", c.Reading), zap.Bool("writing", c.Writing))
}
