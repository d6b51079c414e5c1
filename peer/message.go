// Package peer carries messages between nodes: CBOR over one QUIC connection a
// pair of nodes, one stream a call, with certificates on both ends.
//
// # Usage
//
//	t, err := peer.Listen("10.0.0.1:7400", material, handler)
//	reply, err := t.Call(ctx, "10.0.0.2:7400", &peer.Request{Heartbeat: &peer.Heartbeat{...}})
//
// The messages are the whole protocol: a heartbeat with its reply carries
// evidence one way, and decisions, configuration and membership the other.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"eiderfold/core"
)

// MaxMessage bounds one message, in bytes: a full set of shards at a start.
const MaxMessage = 32 << 20

// Request is one of the calls between nodes; exactly one field is set.
type Request struct {
	From      Identity   `cbor:"1,keyasint"`
	Template  string     `cbor:"2,keyasint"`
	Heartbeat *Heartbeat `cbor:"3,keyasint,omitempty"`
	Push      *Push      `cbor:"4,keyasint,omitempty"`
	Claim     *Claim     `cbor:"5,keyasint,omitempty"`
	Inquire   *Inquire   `cbor:"6,keyasint,omitempty"`
	Collect   *Collect   `cbor:"7,keyasint,omitempty"`
	Witness   *Witness   `cbor:"8,keyasint,omitempty"`
	Handover  *Handover  `cbor:"9,keyasint,omitempty"`
	Status    *Status    `cbor:"10,keyasint,omitempty"`
}

// Identity says who speaks. A restarted process has a greater incarnation.
type Identity struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Stopping    bool   `cbor:"4,keyasint,omitempty"`
}

// Reply answers a Request; the field that matches is set, or Error.
type Reply struct {
	Error     string          `cbor:"1,keyasint,omitempty"`
	Heartbeat *HeartbeatReply `cbor:"2,keyasint,omitempty"`
	Claim     *core.Answer    `cbor:"3,keyasint,omitempty"`
	Inquire   *Inquired       `cbor:"4,keyasint,omitempty"`
	Collect   *Collected      `cbor:"5,keyasint,omitempty"`
	Status    *StatusReply    `cbor:"6,keyasint,omitempty"`
	Done      bool            `cbor:"7,keyasint,omitempty"`
}

// Heartbeat goes from every node of a template to its coordinator. Upstreams are
// named by their place in the roster, whose version it tells: names would be most
// of the message.
type Heartbeat struct {
	Beside    string             `cbor:"1,keyasint,omitempty"`
	Evidence  map[string][]Tally `cbor:"2,keyasint,omitempty"` // By service.
	Load      map[string][]Load  `cbor:"3,keyasint,omitempty"` // Requests in flight, by service.
	Sequences map[string]uint64  `cbor:"4,keyasint,omitempty"` // Left out while Digest is the coordinator's.
	Digest    uint64             `cbor:"5,keyasint,omitempty"` // Of the sequences in force.
	Roster    uint64             `cbor:"6,keyasint,omitempty"` // Version of the roster held.
	Refused   []string           `cbor:"7,keyasint,omitempty"` // Upstreams that said they are leaving.
	Epoch     uint64             `cbor:"8,keyasint,omitempty"` // Newest epoch promised.
}

// Tally is what a node saw of the upstream at a place of the roster.
type Tally struct {
	_      struct{} `cbor:",toarray"`
	Place  uint32
	Fast   uint32
	Slow   uint32
	Failed uint32
}

// Load is how many requests the upstream at a place of the roster works on.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Place uint32
	Count uint32
}

// HeartbeatReply is the coordinator's word, good for a lease from when the
// heartbeat was sent. From a node that is no coordinator only the configuration
// and the roster count.
type HeartbeatReply struct {
	Coordinator bool              `cbor:"1,keyasint,omitempty"`
	Stamped     *core.Stamped     `cbor:"2,keyasint,omitempty"`
	Shards      map[string][]byte `cbor:"3,keyasint,omitempty"`
	Roster      *Roster           `cbor:"4,keyasint,omitempty"`
	Load        map[string][]Load `cbor:"5,keyasint,omitempty"`  // Sum over all nodes.
	WantFull    bool              `cbor:"6,keyasint,omitempty"`  // The digests differ: send the sequences.
	CrashedAgo  int64             `cbor:"7,keyasint,omitempty"`  // Nanoseconds since a node was last lost unplanned, 0 for never.
	Leader      *Leader           `cbor:"8,keyasint,omitempty"`  // Whom a node that is none takes for coordinator.
	HeardLeader bool              `cbor:"9,keyasint,omitempty"`  // It heard that one a moment ago.
	Sequences   map[string]uint64 `cbor:"10,keyasint,omitempty"` // Of a node that lacks what the other one has.
}

// Leader is the coordinator of a template, as the store's assignment names it.
type Leader struct {
	Node        string `cbor:"1,keyasint" json:"node"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Address     string `cbor:"3,keyasint" json:"address"`
	Epoch       uint64 `cbor:"4,keyasint" json:"epoch"`
	// ChangedAt is when the coordinator was last changed without a handover, in
	// Unix milliseconds; 0 for never.
	ChangedAt int64 `cbor:"5,keyasint,omitempty" json:"changed_at,omitempty"`
}

// Roster is who is there: the platform's list, refined by what nodes heard.
type Roster struct {
	Version   uint64                `cbor:"1,keyasint"`
	Epoch     uint64                `cbor:"2,keyasint"`
	Nodes     []Member              `cbor:"3,keyasint,omitempty"`
	Upstreams map[string][]Upstream `cbor:"4,keyasint,omitempty"` // By service.
}

// Member is a node of a template.
type Member struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
}

// Upstream is a row of the instance list.
type Upstream struct {
	Name       string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
	Generation string `cbor:"4,keyasint,omitempty"`
	Leaving    bool   `cbor:"5,keyasint,omitempty"`
}

// Push brings news at once; the next heartbeat would bring it too.
type Push struct {
	Stamped *core.Stamped     `cbor:"1,keyasint,omitempty"`
	Shards  map[string][]byte `cbor:"2,keyasint,omitempty"`
	Roster  *Roster           `cbor:"3,keyasint,omitempty"`
	Leader  *Leader           `cbor:"4,keyasint,omitempty"`
}

// Claim asks the coordinator for the right to start an operation.
type Claim struct {
	Key     core.Key    `cbor:"1,keyasint"`
	Body    uint64      `cbor:"2,keyasint"`
	Holder  core.Holder `cbor:"3,keyasint"`
	Instead core.Holder `cbor:"4,keyasint"`
	Born    int64       `cbor:"5,keyasint,omitempty"` // Unix milliseconds; 0 if the key does not tell.
}

// Inquire asks a holder how far an operation is.
type Inquire struct {
	Key    core.Key    `cbor:"1,keyasint"`
	Holder core.Holder `cbor:"2,keyasint"`
}

// Inquired is the holder's answer.
type Inquired struct {
	Stage  core.Stage     `cbor:"1,keyasint"`
	Answer *core.Recorded `cbor:"2,keyasint,omitempty"`
}

// Collect asks a node to promise a new epoch and tell what it holds.
type Collect struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// Collected is a node's promise with what it holds.
type Collected struct {
	Promised bool        `cbor:"1,keyasint"`
	Held     []core.Held `cbor:"2,keyasint,omitempty"`
	Nodes    []Member    `cbor:"3,keyasint,omitempty"` // Whom the node knew of.

	// Adopted lists the processes whose memory the node has, and By is the node.
	Adopted    []core.Holder `cbor:"8,keyasint,omitempty"`
	By         core.Holder   `cbor:"9,keyasint,omitempty"`
	CrashedAgo int64         `cbor:"4,keyasint,omitempty"`
	Age        int64         `cbor:"5,keyasint,omitempty"` // Nanoseconds since the process started.
	Previous   uint64        `cbor:"7,keyasint,omitempty"` // Epoch of the last promise before, by this process.
	Complete   bool          `cbor:"6,keyasint,omitempty"` // The node is the last coordinator, and this is all.
}

// Witness asks a node to remember grants that would otherwise be in one memory:
// the coordinator's to itself, and what a new coordinator holds.
type Witness struct {
	Held  []core.Held `cbor:"1,keyasint"`
	Epoch uint64      `cbor:"2,keyasint"`
}

// Handover gives the memory of a stopping node to another one, which must not be
// the coordinator if there is a third. The coordinator gets one too, with To set:
// it says who has the memory, and that the node goes by plan.
type Handover struct {
	Entries []core.Entry `cbor:"1,keyasint,omitempty"`
	To      core.Holder  `cbor:"2,keyasint"`
	Held    []core.Held  `cbor:"3,keyasint,omitempty"` // What it remembers for others; to the coordinator, all.
}

// Status asks what is in force.
type Status struct{}

// StatusReply says what is in force.
type StatusReply struct {
	Sequences   map[string]uint64 `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Stopping    bool              `cbor:"3,keyasint,omitempty"`
}

// decoding refuses what no node of ours would send, before memory is given to it.
var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// Encode returns a request or reply as bytes.
func Encode(message any) ([]byte, error) {
	text, err := cbor.Marshal(message)
	return text, errors.Wrap(err, "encode message")
}

// Decode reads a request or reply.
func Decode(text []byte, into any) error {
	return errors.Wrap(decoding.Unmarshal(text, into), "decode message")
}
