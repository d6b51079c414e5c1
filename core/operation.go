package core

import (
	"slices"
	"time"
)

// Key identifies an operation: a hash of the template, the client account and the
// caller's Idempotency-Key.
type Key [16]byte

// Holder identifies one attempt at an operation by one run of a node. After a restart,
// and for each further attempt, the node is a different holder.
type Holder struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Attempt     uint64 `cbor:"3,keyasint"`
}

// covers reports whether it follows from h not having started that o has not either: a
// node begins an attempt only after all its earlier ones are known not to have started.
func (h Holder) covers(o Holder) bool {
	return h.Node == o.Node && h.Incarnation == o.Incarnation && o.Attempt <= h.Attempt && h.Attempt != 0
}

// Verdict is the coordinator's decision on a claim.
type Verdict uint8

// Verdicts.
const (
	Refused     Verdict = iota // This node is not the coordinator, or not yet. Nothing is recorded.
	Granted                    // Only this holder may start the operation.
	HeldBy                     // The operation was granted to another holder.
	OtherBody                  // The key was used for a request with another body.
	Unconfirmed                // A coordinator whose claim table is lost may have granted it.
	KeyInFuture                // The creation time in the key is in the future.
)

// Claim requests the right to start an operation.
type Claim struct {
	At   time.Time
	Key  Key
	Body uint64 // Hash of method, path and body.
	// KeyCreated is the creation time in the key, if it has one (UUID version 7), or zero.
	KeyCreated time.Time
	Holder     Holder
	// Replaces is an earlier holder that will never start. It is empty for a first
	// claim.
	Replaces Holder
}

// Answer is the coordinator's answer to a claim.
type Answer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint"`
	Holder  Holder  `cbor:"3,keyasint,omitempty"`
	Where   string  `cbor:"4,keyasint,omitempty"` // With HeldBy: the node that has the holder's operation table.
}

// Held is a granted operation as recorded by its holder or a witness.
type Held struct {
	Key    Key    `cbor:"1,keyasint"`
	Body   uint64 `cbor:"2,keyasint"`
	Holder Holder `cbor:"3,keyasint"`
}

// TakeOver starts an epoch of this coordinator. From lists the nodes that may hold
// operations of earlier epochs and have not reported them yet. Until LostUntil, a claim may be
// for an operation whose grant is lost for good.
type TakeOver struct {
	At        time.Time
	Epoch     uint64
	From      []string
	LostUntil time.Time
}

// Collected is a node's report of the operations that it holds, sent with its promise
// to accept no grant of an earlier epoch.
type Collected struct {
	At        time.Time
	Node      string
	Held      []Held
	LostUntil time.Time // Until when a claim may be for an operation whose grant this node knows to be lost.
	// Complete is set if the node was the previous coordinator and reports every grant
	// of the window. Other losses do not matter then.
	Complete bool
}

// NodeGone reports that the platform no longer lists a node.
type NodeGone struct {
	At   time.Time
	Node string
}

// Moved reports that a stopping node handed its operation table to another node.
type Moved struct {
	From, To Holder // Attempt is unused.
}

func (Claim) message()     {}
func (TakeOver) message()  {}
func (Collected) message() {}
func (NodeGone) message()  {}
func (Moved) message()     {}

// ClaimTable records for the coordinator which holder may start which
// operation. Each holder records its own operations too, so that every grant is stored
// on two nodes and a single crash loses none. It is not safe for concurrent use.
type ClaimTable struct {
	window    time.Duration
	epoch     uint64
	active    bool
	entries   map[Key]*claimEntry
	waiting   map[string]bool // Nodes that have not reported what they hold.
	lostUntil time.Time       // Until when an unknown key may belong to a lost grant.
	// complete is set if the previous coordinator reported every grant itself.
	complete bool
	moved    map[Holder]Holder // Stopped processes and their successors, without attempts.
	expiries expiryQueue
}

// claimEntry is an operation with the holders that may have started it. There is usually
// one. A new coordinator may collect several: a witness may still report a holder that
// returned its grant, in addition to the one that got it instead.
type claimEntry struct {
	body    uint64
	holders []Holder
	expires time.Time
}

// expiryQueue is a queue of keys in order of expiry.
type expiryQueue []expiry

type expiry struct {
	key Key
	at  time.Time
}

func (f *expiryQueue) add(k Key, at time.Time) { *f = append(*f, expiry{k, at}) }

// due removes and returns the keys that have expired.
func (f *expiryQueue) due(at time.Time) []expiry {
	n := 0
	for n < len(*f) && !at.Before((*f)[n].at) {
		n++
	}
	keys := (*f)[:n]
	*f = (*f)[n:]
	return keys
}

// NewClaimTable returns a claim table that removes an operation one window after its claim.
func NewClaimTable(window time.Duration) *ClaimTable {
	return &ClaimTable{window: window, entries: map[Key]*claimEntry{}, moved: map[Holder]Holder{}}
}

// SetWindow changes how long operations claimed from now on are kept.
func (c *ClaimTable) SetWindow(window time.Duration) { c.window = window }

// Len returns the number of operations in the table.
func (c *ClaimTable) Len() int { return len(c.entries) }

// Held returns every grant, for a handover or for a new coordinator.
func (c *ClaimTable) Held() []Held {
	held := make([]Held, 0, len(c.entries))
	for k, e := range c.entries {
		for _, h := range e.holders {
			held = append(held, Held{Key: k, Body: e.body, Holder: h})
		}
	}
	return held
}

// Waiting returns how many nodes have not reported yet what they hold.
func (c *ClaimTable) Waiting() int { return len(c.waiting) }

// LostUntil returns until when claims of unknown keys may be answered with Unconfirmed.
func (c *ClaimTable) LostUntil() time.Time {
	if c.complete {
		return time.Time{}
	}
	return c.lostUntil
}

// Complete reports whether the table has every grant of the window.
func (c *ClaimTable) Complete(at time.Time) bool { return c.active && !c.unconfirmed(at, time.Time{}) }

// Update handles a message. Only the answer to a Claim is meaningful.
func (c *ClaimTable) Update(m Message) Answer {
	switch m := m.(type) {
	case Claim:
		return c.claim(m)
	case TakeOver:
		c.takeOver(m)
	case Collected:
		c.collect(m)
	case NodeGone:
		c.nodeGone(m)
	case Moved:
		c.move(m)
	case StopDeciding:
		c.active = false
	case Tick:
		c.expire(m.At)
	}
	return Answer{Verdict: Refused, Epoch: c.epoch}
}

// takeOver starts an epoch.
func (c *ClaimTable) takeOver(m TakeOver) {
	// Entries from an earlier term as coordinator stay: no other node may have them.
	c.epoch, c.active, c.complete, c.lostUntil = m.Epoch, true, false, m.LostUntil
	c.waiting = make(map[string]bool, len(m.From))
	for _, n := range m.From {
		c.waiting[n] = true
	}
}

// collect adds what a node holds.
func (c *ClaimTable) collect(m Collected) {
	for _, h := range m.Held {
		c.record(h.Key, h.Body, h.Holder, m.At)
	}
	delete(c.waiting, m.Node)
	if m.LostUntil.After(c.lostUntil) {
		c.lostUntil = m.LostUntil
	}
	c.complete = c.complete || m.Complete
}

// nodeGone stops waiting for a node. Grants that only it had are lost: for one window, a claim
// of an unknown key may be for such an operation, and can be answered with Unconfirmed.
func (c *ClaimTable) nodeGone(m NodeGone) {
	if !c.waiting[m.Node] {
		return
	}
	delete(c.waiting, m.Node)
	if end := m.At.Add(c.window); end.After(c.lostUntil) {
		c.lostUntil = end
	}
}

func (c *ClaimTable) move(m Moved) {
	c.moved[Holder{Node: m.From.Node, Incarnation: m.From.Incarnation}] = m.To
}

// claim decides on a claim.
func (c *ClaimTable) claim(m Claim) Answer {
	if !c.active {
		return Answer{Verdict: Refused, Epoch: c.epoch}
	}
	if m.KeyCreated.After(m.At.Add(KeySkew)) {
		return Answer{Verdict: KeyInFuture, Epoch: c.epoch}
	}
	e := c.entries[m.Key]
	if e == nil {
		if c.unconfirmed(m.At, m.KeyCreated) {
			return Answer{Verdict: Unconfirmed, Epoch: c.epoch}
		}
		c.record(m.Key, m.Body, m.Holder, m.At)
		return Answer{Verdict: Granted, Epoch: c.epoch, Holder: m.Holder}
	}
	if e.body != m.Body {
		return Answer{Verdict: OtherBody, Epoch: c.epoch}
	}
	// Keep only holders that may have started: not the claimant itself, which claims
	// again because the answer was lost, and none that returned its grant unused.
	e.holders = slices.DeleteFunc(e.holders, func(h Holder) bool { return h == m.Holder || m.Replaces.covers(h) })
	if len(e.holders) > 0 {
		return Answer{Verdict: HeldBy, Epoch: c.epoch, Holder: e.holders[0], Where: c.locate(e.holders[0])}
	}
	e.holders = append(e.holders, m.Holder)
	if c.unconfirmed(m.At, m.KeyCreated) {
		return Answer{Verdict: Unconfirmed, Epoch: c.epoch}
	}
	return Answer{Verdict: Granted, Epoch: c.epoch, Holder: m.Holder}
}

// KeySkew is how far a caller's clock may be ahead of a coordinator's.
const KeySkew = 30 * time.Second

// unconfirmed reports whether an operation that is not in the table may have been granted.
// A grant that was lost at some time cannot be for a key created later. Creation times
// are reliable to within KeySkew, because keys further in the future are not granted.
func (c *ClaimTable) unconfirmed(at, keyCreated time.Time) bool {
	if len(c.waiting) > 0 {
		return true
	}
	lost := c.LostUntil()
	if !at.Before(lost) {
		return false
	}
	lostAt := lost.Add(-c.window)
	return keyCreated.IsZero() || !keyCreated.After(lostAt.Add(2*KeySkew))
}

// locate returns the node that has the holder's operation table now, following
// the handovers of stopped nodes.
func (c *ClaimTable) locate(h Holder) string {
	at := Holder{Node: h.Node, Incarnation: h.Incarnation}
	for range len(c.moved) {
		to, ok := c.moved[at]
		if !ok {
			break
		}
		at = Holder{Node: to.Node, Incarnation: to.Incarnation}
	}
	return at.Node
}

// record adds a holder to an operation.
func (c *ClaimTable) record(k Key, body uint64, h Holder, at time.Time) {
	if e := c.entries[k]; e != nil {
		if !slices.Contains(e.holders, h) {
			e.holders = append(e.holders, h)
		}
		return
	}
	e := &claimEntry{body: body, holders: []Holder{h}, expires: at.Add(c.window)}
	c.entries[k] = e
	c.expiries.add(k, e.expires)
}

func (c *ClaimTable) expire(at time.Time) {
	for _, x := range c.expiries.due(at) {
		if e := c.entries[x.key]; e != nil && !at.Before(e.expires) {
			delete(c.entries, x.key)
		}
	}
}
