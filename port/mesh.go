package port

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"eiderfold/route"
)

// Errors of a Directory, in addition to those of a Store.
var (
	// ErrCompacted is returned if the store no longer has the history that a watch needs.
	ErrCompacted = errors.New("history is gone")
	// ErrConflict is returned if the platform answers that the condition of a write did not
	// hold. Directory has only writes without a condition.
	ErrConflict = errors.New("condition does not hold")
)

// Platform holds what a node of `eiderfold mesh` needs from the platform it runs on.
type Platform struct {
	Store            Directory
	Dialect          Dialect
	ConfigurationKey string
	// OperatorPrefix is the prefix of all keys that operators write, including the
	// configuration.
	OperatorPrefix string
	// EvacuationPrefix is the prefix of the evacuation keys, one for each data centre
	// to be evacuated.
	EvacuationPrefix string
	ReadinessPath    string
	// DecodeConfiguration decodes the operators' configuration.
	DecodeConfiguration func(text []byte) (route.Document, error)
	// IsReport reports whether a request is an upstream's report about itself.
	IsReport func(r *http.Request) bool
	// DecodeReport decodes such a report. An error means that the report is invalid.
	DecodeReport func(r *http.Request) (Report, error)
	// AcknowledgeReport responds to an accepted report.
	AcknowledgeReport func(w http.ResponseWriter)
}

// StoreRevision is a state of the store. The revision number grows with each change; a store
// that is restored from an older copy starts a new era, in which revision numbers start lower
// and are reused.
type StoreRevision struct {
	Era      uint64
	Revision uint64
}

// Before reports whether r is older than o.
func (r StoreRevision) Before(o StoreRevision) bool {
	if r.Era != o.Era {
		return r.Era < o.Era
	}
	return r.Revision < o.Revision
}

// Directory is the key-value store of `eiderfold mesh`, with watches of limited duration.
// `eiderfold run` uses a Store instead.
type Directory interface {
	// Get reads a key and the store revision. It returns ErrMissing if there is no such key.
	Get(ctx context.Context, key string) (Entry, StoreRevision, error)
	// Range reads everything below a prefix, in key order.
	Range(ctx context.Context, prefix string) ([]Entry, StoreRevision, error)
	// Page reads one page of the entries below a prefix that follow the key after, and
	// reports whether there are more. The store determines the size of the page.
	Page(ctx context.Context, prefix, after string) ([]Entry, bool, StoreRevision, error)
	// StaleRange is a stale read of everything below a prefix: the result is at
	// most a few seconds old. It costs a tenth of a Range.
	StaleRange(ctx context.Context, prefix string) ([]Entry, StoreRevision, error)
	// Watch waits up to wait for changes below prefix after a store revision, and returns
	// them. It returns ErrCompacted if that history is no longer available.
	Watch(ctx context.Context, prefix string, after StoreRevision, wait time.Duration) ([]Entry, StoreRevision, error)
	// Put writes a key unconditionally.
	Put(ctx context.Context, key string, value []byte) error
	// Remove deletes a key.
	Remove(ctx context.Context, key string) error
}

// RequestMetadata holds the metadata that a caller sends with a request.
type RequestMetadata struct {
	Attempt    string        // Identifies this attempt of the caller; each retry has another one.
	Parent     string        // For a nested request, the attempt of its parent, if that is part of Attempt; otherwise "".
	Timeout    time.Duration // The caller's timeout from now; 0 if not sent.
	Malformed  bool          // A header that eiderfold defines cannot be parsed.
	AccountKey string        // Key of a client account; "" if missing or malformed.
}

// OutgoingMetadata holds the metadata that is sent to an upstream with a request.
type OutgoingMetadata struct {
	TimeLeft      time.Duration // Time until the request's deadline.
	Upstream      string        // ID of the upstream that is to run it.
	CallerService string        // The service of the node where the request arrived.
	Account       string        // The client account it is made for; "" if none.
}

// ResponseMetadata holds the metadata that an upstream sends with a response.
type ResponseMetadata struct {
	Attempt  string // The attempt it responds to, as in RequestMetadata; "" if not sent.
	Upstream string // ID of the upstream that responded; "" if not sent.
	NotRun   bool   // The request was refused and has not run.
	Statement
}

// Statement is what a response says of the upstream itself.
type Statement struct {
	Genuine  bool          // The response is marked as an upstream's own.
	ColdLeft time.Duration // How much longer the upstream is cold.
	Limit    NamedLimit    // As the headers have it; see KnownLimit.
	Leaving  bool          // The upstream leaves and accepts no new requests.
	Load     Load          // The zero value if the response does not report it.
}

// Load is the load that an upstream reports in a response, over all of its callers.
type Load struct {
	Running int
	Waiting int
	Slots   int // 0 if the load is not known.
	// Malformed is set if the response reports a load that cannot be true.
	Malformed bool
}

// KnownLimit returns what the response shows of the upstream's limit. Only a response that is marked
// as the upstream's own shows that there is none.
func (s Statement) KnownLimit() NamedLimit {
	if s.Limit.State == LimitNone && !s.Genuine {
		return NamedLimit{}
	}
	return s.Limit
}

// LimitState tells what a response says about the upstream's limit.
type LimitState uint8

// States of a NamedLimit.
const (
	LimitUnknown LimitState = iota // Nothing that can be read.
	LimitNone                      // The response names no limit.
	LimitNamed
)

// NamedLimit is the limit that an upstream names in a response. It holds for as long as its
// responses name it.
type NamedLimit struct {
	State LimitState
	Rate  float64 // Requests per second from all nodes together; set if State is LimitNamed.
}

// Dialect reads and writes the platform's headers of requests and responses.
type Dialect interface {
	// AttemptHeader returns the canonical name of the header that identifies the attempt.
	AttemptHeader() string
	// Request reads a caller's metadata.
	Request(h http.Header) RequestMetadata
	// StripPrivate removes headers that only the node that received the request from its caller
	// may see, and headers that callers may not set.
	StripPrivate(h http.Header)
	// SetOutgoing writes the metadata for the upstream, replacing headers of the caller.
	SetOutgoing(h http.Header, m OutgoingMetadata)
	// Answer reads the metadata of an upstream's response.
	Answer(status int, h http.Header) ResponseMetadata
	// Statement reads only what an upstream's response says of the upstream.
	Statement(h http.Header) Statement
}

// Incarnation identifies one run of an upstream, from start to exit. A later run may have
// the same ID, but shares no state or counters with an earlier one.
type Incarnation struct {
	ID        string // "" for none.
	StartedAt int64  // Start time in Unix milliseconds by the upstream's clock; 0 if not reported.
}

// String returns a name of the incarnation, for logs and keys. Without a start time it is
// the ID, which a later run may have too.
func (i Incarnation) String() string {
	if i.StartedAt == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedAt, 10)
}

// Before reports whether i is known to have started before o.
func (i Incarnation) Before(o Incarnation) bool {
	return i.StartedAt != 0 && o.StartedAt != 0 && i.StartedAt < o.StartedAt
}

// CoversStart reports whether the leaving of an incarnation, last reported at a time, concerns the start of its id at
// another time, in Unix milliseconds, 0 if unknown. Without its own start time it concerns each start until it was
// reported, by the clock that the upstream shares with the node. Earlier starts of an id are gone.
func (i Incarnation) CoversStart(startedAt int64, reported time.Time) bool {
	switch {
	case startedAt == 0:
		return true
	case i.StartedAt == 0:
		return startedAt <= reported.UnixMilli()
	default:
		return startedAt <= i.StartedAt
	}
}

// Report is what an upstream reports about itself.
type Report struct {
	Incarnation
	Service  string
	Address  string
	Slots    int
	ColdLeft time.Duration // How much longer it is cold, that is, slow after its start.
	Sequence uint64        // Increases with each report of an incarnation; 0 in a final one.
	Leaving  bool          // The upstream accepts no new requests.
	Final    bool          // The upstream is about to exit.
}
