package proxy

import (
	"expvar"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eiderfold/bodymemory"
	"eiderfold/config"
	"eiderfold/core"
	"eiderfold/result"
)

// Limits bounds the size of callers' requests.
type Limits struct {
	Body      int64 // Bytes of a request body.
	KeyedBody int64 // Bytes of a keyed operation's body, which is buffered.
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	holder     *config.Holder
	directory  Directory
	operations Operations
	node       string
	limits     Limits
	bodies     *bodymemory.Memory
	attributor *attributor
	latencies  sync.Map // *core.LatencyPercentile by routeKey.
	stopping   atomic.Bool
	isSuspect  func(*Upstream) bool
	results    *expvar.Map
}

// Option configures a new Handler.
type Option func(*Handler)

// WithLimits sets the limits on callers' requests.
func WithLimits(l Limits) Option { return func(h *Handler) { h.limits = l } }

// WithNode sets the node name sent in NodeHeader.
func WithNode(name string) Option { return func(h *Handler) { h.node = name } }

// WithSuspects sets a function that reports whether an upstream is suspected of
// being unhealthy. Its answer times are then left out of the latency percentile.
func WithSuspects(f func(*Upstream) bool) Option { return func(h *Handler) { h.isSuspect = f } }

const (
	defaultBodyBytes      = 16 << 20
	defaultKeyedBodyBytes = 1 << 20
	bodyMemory            = 256 << 20 // Of the requests and answers that are buffered, together, in bytes.
	maxRewindBytes        = 64 << 10  // Bodies without a key that declare more are streamed and cannot be sent again.
)

// NewHandler returns a handler over the configuration in force.
func NewHandler(holder *config.Holder, d Directory, o Operations, options ...Option) *Handler {
	h := &Handler{
		holder:     holder,
		directory:  d,
		operations: o,
		limits:     Limits{Body: defaultBodyBytes, KeyedBody: defaultKeyedBodyBytes},
		bodies:     bodymemory.New(bodyMemory),
		attributor: newAttributor(),
		isSuspect:  func(*Upstream) bool { return false },
		results:    new(expvar.Map).Init(),
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Results returns the count of each result, by its number.
func (h *Handler) Results() expvar.Var { return h.results }

// Stop makes every answer close its connection, so that callers move to other
// nodes before this one stops.
func (h *Handler) Stop() { h.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if h.node != "" {
		w.Header().Set(NodeHeader, h.node)
	}
	c, refused := h.admit(r)
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	if refused := h.readBody(w, c); refused != nil {
		h.refuse(w, refused)
		return
	}
	c.service.addRetryTokens()
	if c.route.Operation() == config.Retryable {
		h.serveRetryable(w, c)
		return
	}
	h.serveOnce(w, c)
}

// admit resolves the account, route, service and deadline of a request.
func (h *Handler) admit(r *http.Request) (*call, *result.Error) {
	now := time.Now()
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	snapshot := h.holder.Snapshot()
	template, account, route := snapshot.Find(name, r.Method, "/"+rest)
	switch {
	case account == nil && (len(snapshot.Sequences()) == 0 || !h.directory.Loaded()):
		return nil, result.New(result.NoConfiguration, "nothing is in force on this node yet").WithRetryAfter(minRetryAfter)
	case account == nil:
		return nil, result.New(result.NoAccount, "no account "+name)
	case route == nil:
		return nil, result.New(result.NoRoute, r.Method+" /"+rest)
	}
	service := h.directory.Service(template.Name(), route.Service().Name())
	if service == nil {
		return nil, result.New(result.NoConfiguration, "the service is being set up").WithRetryAfter(minRetryAfter)
	}
	timeout := account.Timeout(route)
	if text := r.Header.Get(TimeoutHeader); text != "" {
		wanted, err := time.ParseDuration(text)
		if err != nil || wanted <= 0 {
			return nil, result.New(result.BadRequest, TimeoutHeader+": "+text+" is no duration such as 800ms")
		}
		timeout = min(timeout, wanted)
	}
	return &call{
		template: template.Name(),
		account:  account,
		route:    route,
		service:  service,
		latency:  h.latencyOf(template, route),
		request:  r,
		path:     "/" + rest,
		deadline: now.Add(timeout),
	}, nil
}

// latencyOf returns the latency percentile of a route. It is keyed by name, because
// a new version of the template has new route objects.
func (h *Handler) latencyOf(t *config.Template, r *config.Route) *core.LatencyPercentile {
	key := routeKey{t.Name(), r.Service().Name(), r.Name()}
	if u, ok := h.latencies.Load(key); ok {
		return u.(*core.LatencyPercentile)
	}
	u, _ := h.latencies.LoadOrStore(key, &core.LatencyPercentile{})
	return u.(*core.LatencyPercentile)
}

type routeKey struct{ template, service, route string }

// readBody buffers the body of a keyed operation, and any other body whose declared
// length is at most maxRewindBytes or unknown, up to the limit. Other bodies are streamed.
//
// The limit shows whether the operation is keyed: if Limits.Body and Limits.KeyedBody are
// equal, every body is buffered.
func (h *Handler) readBody(w http.ResponseWriter, c *call) *result.Error {
	r := c.request
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	once := c.route.Operation() == config.AtMostOnce
	limit := h.limits.Body
	if once && r.Header.Get(KeyHeader) != "" {
		limit = h.limits.KeyedBody
	}
	if r.ContentLength > limit {
		return result.New(result.BodyTooLarge, "the body is over the limit")
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > maxRewindBytes && limit != h.limits.KeyedBody {
		c.stream = body
		return nil
	}
	// The error is ignored: only a test's recorder does not support deadlines.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline)
	text, err := h.bodies.ReadAll(bodymemory.CallerRequest, body, r.ContentLength)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		c.body = text
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bodymemory.ErrNone):
		return result.New(result.Overloaded, "no room for the body").WithRetryAfter(minRetryAfter)
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "the body is over the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.SlowCaller, "the body did not come in time")
	default:
		return result.New(result.CallerGone, "the caller's body broke off")
	}
}

func (h *Handler) refuse(w http.ResponseWriter, e *result.Error) {
	h.results.Add(e.Code().String(), 1)
	result.Write(w, e)
}
