package link

import (
	"fmt"
	"time"

	"eiderfold/budget"
	"eiderfold/quarantine"
)

// Key identifies one offer of a request: the process that made it and its number there.
type Key struct {
	Origin uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// String returns the key for logs.
func (k Key) String() string { return fmt.Sprintf("%x-%d", k.Origin, k.Number) }

// Content is a request as it is sent to the upstream.
type Content struct {
	Method string              `cbor:"1,keyasint"`
	Target string              `cbor:"2,keyasint"` // Request target, as the caller sent it.
	Host   string              `cbor:"3,keyasint"`
	Header map[string][]string `cbor:"4,keyasint"`
	Body   Body                `cbor:"5,keyasint,omitempty"`
}

// Offer requests a slot at a gate.
type Offer struct {
	Key           Key                `cbor:"1,keyasint"`
	Attempt       string             `cbor:"2,keyasint"` // The caller's identifier of this attempt.
	Service       string             `cbor:"3,keyasint"`
	Upstream      string             `cbor:"4,keyasint,omitempty"` // ID of the intended upstream; "" for any.
	CallerService string             `cbor:"5,keyasint"`
	TimeLeft      time.Duration      `cbor:"6,keyasint"` // Time until the deadline.
	Priority      int                `cbor:"7,keyasint,omitempty"`
	Retryable     bool               `cbor:"8,keyasint,omitempty"`
	Force         bool               `cbor:"9,keyasint,omitempty"`  // Too few gates are open: on trial, accept it even if not retryable.
	Content       *Content           `cbor:"10,keyasint,omitempty"` // If set, a free slot starts it without a commit.
	Target        time.Duration      `cbor:"11,keyasint,omitempty"` // Time until the target deadline, after which an answer loses most of its value; negative once passed, 0 for none.
	AttemptKind   budget.AttemptKind `cbor:"12,keyasint,omitempty"` // First, charged, failure retry or hedge.
	Kind          uint32             `cbor:"13,keyasint,omitempty"` // Groups requests with similar response times.
	Account       string             `cbor:"14,keyasint,omitempty"` // The client account it is made for.
	// Record is the quarantine record of the request, if an upstream crashed while running it.
	Record *quarantine.Record `cbor:"15,keyasint,omitempty"`
	// Limit is the limit that the intended upstream last named to the sender. It is only sent to a
	// gate that has heard nothing from the upstream yet, as after a restart.
	Limit *NamedLimit `cbor:"16,keyasint,omitempty"`
	// Weight is the account's weight among the accounts that compete for the gate's slots; 0 for 1.
	Weight float64 `cbor:"17,keyasint,omitempty"`
	Nested bool    `cbor:"18,keyasint,omitempty"` // It is a nested request.
	// ParentAccount is the client account of its parent, which it counts towards. The upstream
	// gets Account only.
	ParentAccount string `cbor:"19,keyasint,omitempty"`
	BodyBytes     int64  `cbor:"20,keyasint,omitempty"` // The size of the request's body.
}

// Room is how much more work a gate has room for when it sends the message.
type Room struct {
	Free int           `cbor:"1,keyasint,omitempty"` // Free slots.
	Wait time.Duration `cbor:"2,keyasint,omitempty"` // Expected wait of one more offer; 0 if a slot is free.
}

const (
	// maxFreeSlots and maxWait bound a valid Room: no upstream has so many slots, and no request
	// waits so long.
	maxFreeSlots = 1 << 16
	maxWait      = time.Hour
)

// Valid reports whether the room can be true; nil is valid.
func (r *Room) Valid() bool {
	return r == nil || r.Free >= 0 && r.Free <= maxFreeSlots && r.Wait >= 0 && r.Wait <= maxWait
}

// NamedLimit is the limit that an upstream has named to the sender.
type NamedLimit struct {
	StartedAt int64         `cbor:"1,keyasint,omitempty"` // When the incarnation started; see port.Incarnation.
	Rate      float64       `cbor:"2,keyasint"`           // Requests per second.
	Age       time.Duration `cbor:"3,keyasint"`           // How long ago it was named.
}

// Granted reports that a slot is reserved for the offer. The gate waits for the
// commit, or has started the request if the offer carried its content.
type Granted struct {
	Key     Key   `cbor:"1,keyasint"`
	Started bool  `cbor:"2,keyasint,omitempty"`
	Room    *Room `cbor:"3,keyasint,omitempty"`
}

// Queued reports that the offer waits in the gate's queue for a slot.
type Queued struct {
	Key  Key   `cbor:"1,keyasint"`
	Room *Room `cbor:"2,keyasint,omitempty"`
}

// Reason is why an offer was refused.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonNone         Reason = iota
	ReasonClosed              // The gate is stopping or evacuated, or its upstream is unknown or leaving.
	ReasonTrial               // The gate is on trial and does not accept this offer.
	ReasonBusy                // No slot will be free in time.
	ReasonMisdirected         // The offer is for another service or upstream, or was received before.
	ReasonNotConnected        // The upstream accepted no connection.
	ReasonShed                // The upstream reported that it did not run the request.
	ReasonNeverSeen           // The gate has no record of the offer: it did not start and never will.
	ReasonExpired             // The deadline passed before it started.
	ReasonBudget              // The offer is a retry or hedge, and the gate's retry budget is exhausted.
	ReasonQuarantined         // The request is quarantined because upstreams crash while running it.
	ReasonLimited             // The limit that the upstream names keeps the offer from starting in time.
	ReasonNested              // The services that its nested requests lead to have no room for them.
	ReasonShare               // No slot will be free in time for the offer's account, which has taken more than its share.
	ReasonMemory              // The gate's node has no memory for the request's body.
)

var reasonNames = [...]string{"none", "closed", "trial", "busy", "misdirected", "not-connected", "shed", "never-seen", "expired", "budget", "quarantined", "limited", "nested", "share", "memory"}

// String returns the reason's name, or "unknown".
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Refused reports that the offer has not run and never will.
type Refused struct {
	Key        Key           `cbor:"1,keyasint"`
	Reason     Reason        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"` // When to retry, 0 for no advice.
	Room       *Room         `cbor:"4,keyasint,omitempty"`
}

// Commit starts a granted offer.
type Commit struct {
	Key      Key           `cbor:"1,keyasint"`
	TimeLeft time.Duration `cbor:"2,keyasint"`
	Content  *Content      `cbor:"3,keyasint"`
	Repeat   bool          `cbor:"4,keyasint,omitempty"` // This run is a retry or hedge of another attempt.
}

// Withdraw cancels an offer. A request that already runs is aborted if it is retryable.
type Withdraw struct {
	Key Key `cbor:"1,keyasint"`
}

// Answer carries an upstream's complete response.
type Answer struct {
	Key              Key                 `cbor:"1,keyasint"`
	Status           int                 `cbor:"2,keyasint"`
	Header           map[string][]string `cbor:"3,keyasint"`
	Body             Body                `cbor:"4,keyasint,omitempty"`
	MeanResponseTime time.Duration       `cbor:"5,keyasint,omitempty"` // At the gate.
	// BudgetSpent is set on an error that follows from a nested request for which no budget for
	// repeats was left: a repeat would make the same nested request and fail too.
	BudgetSpent bool  `cbor:"6,keyasint,omitempty"`
	Room        *Room `cbor:"7,keyasint,omitempty"`
}

// Failed reports that the request may have run and that no response was received.
type Failed struct {
	Key    Key    `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint"`
	// Record is the quarantine record of the request, if its upstream crashed while running it.
	Record *quarantine.Record `cbor:"3,keyasint,omitempty"`
}

// Overdue reports that a started attempt takes far longer than responses of its kind
// usually do, so that a retry elsewhere is better than waiting.
type Overdue struct {
	Key Key `cbor:"1,keyasint"`
}

// OutcomeQuery requests the outcome of a committed offer after a link broke.
type OutcomeQuery struct {
	Key Key `cbor:"1,keyasint"`
}

// Mode is how a gate admits requests.
type Mode uint8

// Modes of a gate.
const (
	ModeClosed Mode = iota // Admits nothing.
	ModeTrial              // Admits few retryable requests, more with each good response.
	ModeOpen               // Admits as many requests as there are slots.
)

var modeNames = [...]string{"closed", "trial", "open"}

// String returns the mode's name, or "unknown".
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "unknown"
}

// Status is what a gate reports about itself.
type Status struct {
	Mode             Mode          `cbor:"1,keyasint"`
	Upstream         string        `cbor:"2,keyasint,omitempty"`
	Slots            int           `cbor:"3,keyasint,omitempty"`
	MeanResponseTime time.Duration `cbor:"4,keyasint,omitempty"`
	Suspicion        float64       `cbor:"5,keyasint,omitempty"` // Evidence against its upstream, used to rank gates.
	StartedAt        int64         `cbor:"6,keyasint,omitempty"` // When the upstream's incarnation started; see port.Incarnation.
	Heard            bool          `cbor:"7,keyasint,omitempty"` // The gate knows what the upstream says of itself in its answers.
	Limited          bool          `cbor:"8,keyasint,omitempty"` // The upstream names a limit.
	Limit            float64       `cbor:"9,keyasint,omitempty"` // That limit, in requests per second.
	Room             *Room         `cbor:"10,keyasint,omitempty"`
	Leaving          bool          `cbor:"11,keyasint,omitempty"` // The upstream is leaving or has left.
}

// LeavingNotice reports to a gate that its upstream is leaving or has left. The gate's process may have
// replaced the one that knew.
type LeavingNotice struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint,omitempty"` // When the incarnation started; see port.Incarnation.
}

// Hello is the first message of each side of a link.
type Hello struct {
	Member  Member `cbor:"1,keyasint"`
	Process uint64 `cbor:"2,keyasint"` // Differs after a restart.
	Version uint64 `cbor:"3,keyasint"` // Version of the sender's configuration; 0 for none.
	Status  Status `cbor:"4,keyasint"`
	// Operator is the operator state that the sender has; nil for none.
	Operator *OperatorState `cbor:"5,keyasint,omitempty"`
	// RecordVersion is the version of the sender's own membership record.
	RecordVersion uint64 `cbor:"6,keyasint,omitempty"`
}

// Record returns the sender's own membership record.
func (h *Hello) Record() Record { return Record{Member: h.Member, Version: h.RecordVersion} }

// OperatorState is what operators set beside the configuration, as of a store revision.
type OperatorState struct {
	Era       uint64   `cbor:"1,keyasint,omitempty"`
	Revision  uint64   `cbor:"2,keyasint"`
	Evacuated []string `cbor:"3,keyasint,omitempty"` // Data centres whose upstreams get no requests.
}

// Member identifies a node and its service to other nodes.
type Member struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Address    string `cbor:"2,keyasint" json:"address"` // IP:port for links.
	DataCentre string `cbor:"3,keyasint" json:"data_centre"`
	Service    string `cbor:"4,keyasint" json:"service"`
}

// Configuration carries a configuration, or only its version to announce or request it.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	Packed  []byte `cbor:"2,keyasint,omitempty"` // The text, compressed.
	Want    bool   `cbor:"3,keyasint,omitempty"` // The sender requests the text.
	// WatchFor asks the receiver to watch the store for this long, as the sender cannot reach it; 0 for no request.
	WatchFor time.Duration `cbor:"4,keyasint,omitempty"`
	Watching bool          `cbor:"5,keyasint,omitempty"` // The sender, asked to watch the store, has reached it.
	// Heartbeat is a heartbeat of a node that watches the store: the sender, or one that the sender
	// has heard.
	Heartbeat *Heartbeat `cbor:"6,keyasint,omitempty"`
}

// Heartbeat identifies a heartbeat of a node that watches the store.
type Heartbeat struct {
	Process  uint64 `cbor:"1,keyasint"` // Of the watching node.
	Sequence uint64 `cbor:"2,keyasint"` // Increases with each heartbeat of the process.
	// Unreached is set if the node's last call to the store failed.
	Unreached bool `cbor:"3,keyasint,omitempty"`
}

// Ping requests a ping reply, or is one.
type Ping struct {
	Reply bool `cbor:"1,keyasint,omitempty"`
}

// LimitRequest requests a token from a client account's home node.
type LimitRequest struct {
	Number  uint64 `cbor:"1,keyasint"` // The sender's number for the request.
	Account string `cbor:"2,keyasint"`
	Spent   int    `cbor:"3,keyasint,omitempty"` // Tokens spent without a home node and not reported yet.
	Hops    int    `cbor:"4,keyasint,omitempty"` // How many nodes have forwarded it.
}

// LimitReply is a home node's reply to LimitRequest.
type LimitReply struct {
	Number     uint64        `cbor:"1,keyasint"`
	Granted    bool          `cbor:"2,keyasint,omitempty"`
	Unknown    bool          `cbor:"3,keyasint,omitempty"` // The sender does not reach the home or does not have the account.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"` // When to retry, if not granted.
}

// LimitReport reports tokens to a home node that were spent without it or are returned.
type LimitReport struct {
	Account string `cbor:"1,keyasint"`
	Count   int    `cbor:"2,keyasint"` // Negative for returned tokens.
}

// LimitProbe asks whether the receiver can reach a node.
type LimitProbe struct {
	Address string `cbor:"1,keyasint"`
}

// LimitProbeReply is the reply to LimitProbe: whether the sender can reach the node.
type LimitProbeReply struct {
	Address string `cbor:"1,keyasint"`
	Reached bool   `cbor:"2,keyasint,omitempty"`
}

// HomeNotice reports that the sender is the home node of an account for which the
// receiver may have acted as home.
type HomeNotice struct {
	Record Record `cbor:"1,keyasint"`
}

// Frame is one message; exactly one field is set.
type Frame struct {
	Hello           *Hello           `cbor:"1,keyasint,omitempty"`
	Status          *Status          `cbor:"2,keyasint,omitempty"`
	Offer           *Offer           `cbor:"3,keyasint,omitempty"`
	Granted         *Granted         `cbor:"4,keyasint,omitempty"`
	Queued          *Queued          `cbor:"5,keyasint,omitempty"`
	Refused         *Refused         `cbor:"6,keyasint,omitempty"`
	Commit          *Commit          `cbor:"7,keyasint,omitempty"`
	Withdraw        *Withdraw        `cbor:"8,keyasint,omitempty"`
	Answer          *Answer          `cbor:"9,keyasint,omitempty"`
	Failed          *Failed          `cbor:"10,keyasint,omitempty"`
	OutcomeQuery    *OutcomeQuery    `cbor:"11,keyasint,omitempty"`
	Configuration   *Configuration   `cbor:"12,keyasint,omitempty"`
	Ping            *Ping            `cbor:"13,keyasint,omitempty"`
	Records         []Record         `cbor:"14,keyasint,omitempty"` // Membership records.
	Overdue         *Overdue         `cbor:"15,keyasint,omitempty"`
	LimitRequest    *LimitRequest    `cbor:"16,keyasint,omitempty"`
	LimitReply      *LimitReply      `cbor:"17,keyasint,omitempty"`
	LimitReports    []LimitReport    `cbor:"18,keyasint,omitempty"`
	LimitProbe      *LimitProbe      `cbor:"19,keyasint,omitempty"`
	LimitProbeReply *LimitProbeReply `cbor:"20,keyasint,omitempty"`
	HomeNotice      *HomeNotice      `cbor:"21,keyasint,omitempty"`
	// Quarantine holds records of requests that crash upstreams.
	Quarantine []quarantine.Record `cbor:"22,keyasint,omitempty"`
	Operator   *OperatorState      `cbor:"23,keyasint,omitempty"`
	Digest     *Digest             `cbor:"24,keyasint,omitempty"`
	// Packed holds many membership records, compressed.
	Packed  []byte         `cbor:"25,keyasint,omitempty"`
	Leaving *LeavingNotice `cbor:"26,keyasint,omitempty"`
}
