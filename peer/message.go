// Package peer carries messages between nodes, encoded as CBOR over QUIC with mutual
// TLS. A node uses one connection for all its requests to a peer, and one stream per
// request.
//
// # Usage
//
//	t, err := peer.Listen("10.0.0.1:7400", material, handler)
//	reply, err := t.Call(ctx, "10.0.0.2:7400", &peer.Request{Heartbeat: &peer.Heartbeat{...}})
//
// A heartbeat carries evidence to the coordinator; its reply carries decisions,
// configuration and membership back. See Request for the other messages.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"eiderfold/core"
)

// MaxMessage is the maximum size of a message in bytes. The largest one is a full set
// of shards for a starting node.
const MaxMessage = 32 << 20

// Request is a request to another node. Exactly one of the pointer fields is set.
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

// Identity identifies the process that sends a request. A restarted process has a
// greater incarnation.
type Identity struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Stopping    bool   `cbor:"4,keyasint,omitempty"`
}

// Reply answers a Request. Either the field that matches the request is set, or Error.
type Reply struct {
	Error     string          `cbor:"1,keyasint,omitempty"`
	Heartbeat *HeartbeatReply `cbor:"2,keyasint,omitempty"`
	Claim     *core.Answer    `cbor:"3,keyasint,omitempty"`
	Inquire   *InquireReply   `cbor:"4,keyasint,omitempty"`
	Collect   *CollectReply   `cbor:"5,keyasint,omitempty"`
	Status    *StatusReply    `cbor:"6,keyasint,omitempty"`
	Done      bool            `cbor:"7,keyasint,omitempty"`
}

// Heartbeat is sent regularly by every node of a template to its coordinator. It
// refers to upstreams by their index in the roster with version Roster, since names
// would be most of the message.
type Heartbeat struct {
	LocalUpstream string             `cbor:"1,keyasint,omitempty"` // On the instance of the sender, "" for none.
	Evidence      map[string][]Tally `cbor:"2,keyasint,omitempty"` // By service.
	Load          map[string][]Load  `cbor:"3,keyasint,omitempty"` // Requests in flight, by service.
	Sequences     map[string]uint64  `cbor:"4,keyasint,omitempty"` // Omitted unless the receiver asked for them with WantSequences.
	Digest        uint64             `cbor:"5,keyasint,omitempty"` // Of the sequences in force.
	Roster        uint64             `cbor:"6,keyasint,omitempty"` // Version of the roster held.
	Leaving       []string           `cbor:"7,keyasint,omitempty"` // Upstreams that announced that they are leaving.
	Epoch         uint64             `cbor:"8,keyasint,omitempty"` // Newest epoch promised.
}

// Tally counts the answers of the upstream at Index of the roster.
type Tally struct {
	_      struct{} `cbor:",toarray"`
	Index  uint32
	Fast   uint32
	Slow   uint32
	Failed uint32
}

// Load is the number of in-flight requests of the upstream at Index of the roster.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Index uint32
	Count uint32
}

// HeartbeatReply answers a Heartbeat. The coordinator's decisions in it are valid for
// a lease that starts when the heartbeat was sent. A node that is not the coordinator
// sends no decisions or loads, but configuration, its roster and the current Leader.
type HeartbeatReply struct {
	Coordinator     bool                  `cbor:"1,keyasint,omitempty"`
	Published       *core.PublishedStates `cbor:"2,keyasint,omitempty"` // Decisions of the coordinator.
	Shards          map[string][]byte     `cbor:"3,keyasint,omitempty"`
	Roster          *Roster               `cbor:"4,keyasint,omitempty"`
	Load            map[string][]Load     `cbor:"5,keyasint,omitempty"`  // In-flight requests of all nodes, by service.
	WantSequences   bool                  `cbor:"6,keyasint,omitempty"`  // The digests differ: send the sequences.
	CrashedAgo      int64                 `cbor:"7,keyasint,omitempty"`  // Nanoseconds since a node was last lost without a planned stop; 0 for never.
	Leader          *Leader               `cbor:"8,keyasint,omitempty"`  // Not from the coordinator: the sender's latest known assignment.
	LeaderReachable bool                  `cbor:"9,keyasint,omitempty"`  // The sender had recent contact with Leader.
	Sequences       map[string]uint64     `cbor:"10,keyasint,omitempty"` // Set if the sender of the heartbeat has newer shards, which it then pushes.
}

// Leader names the coordinator of a template, also called its leader. It is stored as the
// template's assignment.
type Leader struct {
	Node        string `cbor:"1,keyasint" json:"node"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Address     string `cbor:"3,keyasint" json:"address"`
	Epoch       uint64 `cbor:"4,keyasint" json:"epoch"`
	// ChangedAt is when the coordinator was last changed without a handover, in
	// Unix milliseconds; 0 for never.
	ChangedAt int64 `cbor:"5,keyasint,omitempty" json:"changed_at,omitempty"`
}

// Roster lists the nodes and upstreams of a template: the platform's list, with the
// upstreams marked that announced to a node that they are leaving.
type Roster struct {
	Version   uint64                `cbor:"1,keyasint"`
	Epoch     uint64                `cbor:"2,keyasint"`
	Nodes     []Member              `cbor:"3,keyasint,omitempty"`
	Upstreams map[string][]Upstream `cbor:"4,keyasint,omitempty"` // By service.
}

// Member is a node of a template in the roster.
type Member struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
}

// Upstream is an upstream in the platform's instance list.
type Upstream struct {
	Name       string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
	Generation string `cbor:"4,keyasint,omitempty"`
	Leaving    bool   `cbor:"5,keyasint,omitempty"`
}

// Push sends changes at once, without waiting for the next heartbeat, which would
// carry them too.
type Push struct {
	Published *core.PublishedStates `cbor:"1,keyasint,omitempty"` // Decisions of the coordinator.
	Shards    map[string][]byte     `cbor:"2,keyasint,omitempty"`
	Roster    *Roster               `cbor:"3,keyasint,omitempty"`
	Leader    *Leader               `cbor:"4,keyasint,omitempty"`
}

// Claim asks the coordinator for the right to start an operation. Replaces names a
// holder that is known never to start it.
type Claim struct {
	Key        core.Key    `cbor:"1,keyasint"`
	Body       uint64      `cbor:"2,keyasint"`
	Holder     core.Holder `cbor:"3,keyasint"`
	Replaces   core.Holder `cbor:"4,keyasint"`
	KeyCreated int64       `cbor:"5,keyasint,omitempty"` // When the key was created, in Unix milliseconds; 0 if unknown.
}

// Inquire asks for the stage of an operation. It is sent to the node that has the
// holder's operation table.
type Inquire struct {
	Key    core.Key    `cbor:"1,keyasint"`
	Holder core.Holder `cbor:"2,keyasint"`
}

// InquireReply answers Inquire. Answer is set if the operation's answer is still recorded.
type InquireReply struct {
	Stage  core.Stage     `cbor:"1,keyasint"`
	Answer *core.Recorded `cbor:"2,keyasint,omitempty"`
}

// Collect asks a node to promise a new epoch, that is to ignore earlier ones, and to
// send the grants that it has a record of.
type Collect struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// CollectReply answers Collect. It is empty if the node has promised a later epoch.
type CollectReply struct {
	Promised bool        `cbor:"1,keyasint"`
	Held     []core.Held `cbor:"2,keyasint,omitempty"`
	Nodes    []Member    `cbor:"3,keyasint,omitempty"` // The nodes in its roster.

	// Adopted lists the processes whose operation tables the node has taken over. Adopter
	// identifies the node itself.
	Adopted    []core.Holder `cbor:"8,keyasint,omitempty"`
	Adopter    core.Holder   `cbor:"9,keyasint,omitempty"`
	CrashedAgo int64         `cbor:"4,keyasint,omitempty"` // As in HeartbeatReply.
	Age        int64         `cbor:"5,keyasint,omitempty"` // Nanoseconds since the process started.
	Previous   uint64        `cbor:"7,keyasint,omitempty"` // Epoch that this process promised to the previous Collect.
	Complete   bool          `cbor:"6,keyasint,omitempty"` // The node was the previous coordinator, and Held has all its grants.
}

// Witness asks a node to record grants of which otherwise only the coordinator would
// have a record: its grants to itself, and the operations that it held when it took
// over.
type Witness struct {
	Held  []core.Held `cbor:"1,keyasint"`
	Epoch uint64      `cbor:"2,keyasint"`
}

// Handover passes the operation table of a stopping node to another node, which is
// the coordinator only if no third node accepts it. The coordinator then receives a
// Handover with To set, which names the node that has the table and announces the
// planned stop.
type Handover struct {
	Entries []core.Entry `cbor:"1,keyasint,omitempty"`
	To      core.Holder  `cbor:"2,keyasint"`
	Held    []core.Held  `cbor:"3,keyasint,omitempty"` // Recorded grants to other nodes; for the coordinator, all grants.
}

// Status asks for the configuration sequences in force on a node.
type Status struct{}

// StatusReply holds the configuration sequences in force, by shard, and the state of
// the process.
type StatusReply struct {
	Sequences   map[string]uint64 `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Stopping    bool              `cbor:"3,keyasint,omitempty"`
}

// decMode limits the size and nesting of messages, so that a malformed one is rejected
// before memory is allocated for it.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		UTF8:             cbor.UTF8DecodeInvalid, // Headers of recorded answers may hold any bytes.
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// Encode returns the CBOR encoding of a request or reply.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode message")
}

// Decode decodes a request or reply into the value that into points to.
func Decode(data []byte, into any) error {
	return errors.Wrap(decMode.Unmarshal(data, into), "decode message")
}
