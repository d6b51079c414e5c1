package mesh

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"eiderfold/port"
)

const (
	// ackTimeout bounds how long a report's sender waits for the acknowledgement.
	ackTimeout = 900 * time.Millisecond
	// headerTimeout bounds reading a request's header on the auxiliary servers.
	headerTimeout = 5 * time.Second
)

// auxiliaryServer serves HTTP on one of a node's auxiliary listeners.
type auxiliaryServer struct {
	listener net.Listener
	http     *http.Server
}

// serveHTTP starts a server.
func serveHTTP(l net.Listener, h http.Handler) auxiliaryServer {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go s.Serve(l) //nolint:errcheck // The error only reports that the listener is closed.
	return auxiliaryServer{listener: l, http: s}
}

// stop closes the listener and waits, until ctx ends, for the requests that are being handled.
func (s auxiliaryServer) stop(ctx context.Context) {
	_ = s.listener.Close() // Before the server, which would keep the accepting goroutine waiting.
	_ = s.http.Shutdown(ctx)
}

// serveReady answers the platform's readiness check.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	if !n.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveReport handles a report from the local upstream. That it leaves takes effect at once. It is
// acknowledged when the store has recorded it, because a process that replaces this one has to find the
// record, and no request is being written to the upstream.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	if !n.platform.IsReport(r) {
		http.NotFound(w, r)
		return
	}
	report, err := n.platform.DecodeReport(r)
	if err != nil {
		n.log.Warn("report refused", zap.String("from", r.RemoteAddr), zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if n.isForeign(report) {
		n.refuseForeign(w, report)
		return
	}
	report.Incarnation = n.gate.Report(report)
	n.directory.upstreamGone.Store(report.Final)
	if report.Leaving && !n.settleLeaving(r.Context(), report) {
		http.Error(w, "not in effect yet", http.StatusServiceUnavailable)
		return
	}
	n.platform.AcknowledgeReport(w)
}

// isForeign reports whether a report names another service or address than those that the gate uses.
func (n *Node) isForeign(r port.Report) bool {
	return !r.Final && (r.Service != n.upstream.Service || r.Address != n.upstream.Address)
}

// refuseForeign handles a report of another upstream, which has no effect. That one leaves is not
// acknowledged: its sender would take that as a promise.
func (n *Node) refuseForeign(w http.ResponseWriter, r port.Report) {
	n.metrics.Count("report_foreign")
	n.log.Warn("report from another upstream than the local one", zap.Stringer("upstream", r.Incarnation),
		zap.String("service", r.Service), zap.String("address", r.Address), zap.Bool("leaving", r.Leaving))
	if r.Leaving {
		http.Error(w, "the upstream beside this node has another service or address", http.StatusConflict)
		return
	}
	n.platform.AcknowledgeReport(w)
}

// settleLeaving reports whether, before the sender's timeout, the store has recorded it and writes in
// progress have ended.
func (n *Node) settleLeaving(ctx context.Context, r port.Report) bool {
	ctx, cancel := context.WithTimeout(ctx, min(ackTimeout, n.settings.Load().AcknowledgeTimeout()))
	defer cancel()
	err := n.directory.recordLeavingReport(ctx, r.Incarnation)
	recorded := err == nil
	if recorded {
		err = n.gate.AwaitWrites(ctx, r.Incarnation)
	}
	closed, unwritten := n.gate.LeavingState(r.Incarnation)
	if !closed {
		n.metrics.Count("leaving_without_effect")
	}
	n.log.Info("upstream leaves", zap.Stringer("upstream", r.Incarnation), zap.Bool("final", r.Final), zap.Bool("recorded", recorded), zap.NamedError("cause", err),
		zap.Bool("closed", closed), zap.Int("unwritten", unwritten))
	return err == nil
}
