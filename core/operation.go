package core

import (
	"slices"
	"time"
)

// Key names an operation: a hash of template, client account and the caller's
// Idempotency-Key.
type Key [16]byte

// Holder is one attempt of one run of a node at an operation. A node that was
// restarted is another holder, and so is its next attempt.
type Holder struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Attempt     uint64 `cbor:"3,keyasint"`
}

// covers reports whether an attempt that gave up says so for another: a node
// begins an attempt only when all its earlier ones are known not to have started.
func (h Holder) covers(o Holder) bool {
	return h.Node == o.Node && h.Incarnation == o.Incarnation && o.Attempt <= h.Attempt && h.Attempt != 0
}

// Verdict is the coordinator's word on a claim.
type Verdict uint8

// The verdicts on a claim.
const (
	Refused   Verdict = iota // Not the coordinator, or not yet: nothing is recorded.
	Granted                  // The holder, and nobody else, may start the operation.
	HeldBy                   // Another holder was granted it.
	OtherBody                // The key names an operation with another body.
	Unsure                   // It may have been granted by a coordinator whose memory is lost.
	Ahead                    // The key says that it was made in the future.
)

// Claim asks for the right to start an operation.
type Claim struct {
	At   time.Time
	Key  Key
	Body uint64 // Hash of method, path and body.
	// Born is when the key was made, if it tells (a UUID of version 7); or zero.
	Born   time.Time
	Holder Holder
	// Instead names a holder that has promised never to start. It is empty for a
	// first claim.
	Instead Holder
}

// Answer is the coordinator's answer to a claim.
type Answer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Epoch   uint64  `cbor:"2,keyasint"`
	Holder  Holder  `cbor:"3,keyasint,omitempty"`
	Where   string  `cbor:"4,keyasint,omitempty"` // With HeldBy: the node that has the holder's memory.
}

// Held is a granted operation as its holder, or a witness, knows it.
type Held struct {
	Key    Key    `cbor:"1,keyasint"`
	Body   uint64 `cbor:"2,keyasint"`
	Holder Holder `cbor:"3,keyasint"`
}

// TakeOver starts an epoch of this coordinator. From lists the nodes that may
// hold operations of earlier epochs and have not told them yet. Lost is until
// when memories that are gone for good might still be asked for.
type TakeOver struct {
	At    time.Time
	Epoch uint64
	From  []string
	Lost  time.Time
}

// Collected is what a node holds, told with its promise to take no grant of an
// earlier epoch.
type Collected struct {
	At   time.Time
	Node string
	Held []Held
	Lost time.Time // Until when a memory that this node knows to be lost may be asked for.
	// Complete says that the node was the last coordinator and tells all it knew,
	// with nothing missing: no other loss matters then.
	Complete bool
}

// NodeGone says that the platform no longer lists a node.
type NodeGone struct {
	At   time.Time
	Node string
}

// Moved says that a stopping node gave what it held to another.
type Moved struct {
	From, To Holder // Attempt is not used.
}

func (Claim) message()     {}
func (TakeOver) message()  {}
func (Collected) message() {}
func (NodeGone) message()  {}
func (Moved) message()     {}

// Claims is the coordinator's memory of who may start which operation. The holder
// remembers its own, so each operation is in two memories, and one crash loses
// none. It is not safe for several goroutines.
type Claims struct {
	window  time.Duration
	epoch   uint64
	active  bool
	entries map[Key]*claimed
	waiting map[string]bool // Nodes that have not told what they hold.
	lost    time.Time       // Until when an unknown key may be one of a lost memory.
	// complete says that the last coordinator itself told all it knew.
	complete bool
	moved    map[Holder]Holder
	order    forgetting
}

// claimed is an operation with the holders that may have started it. There is one,
// but for what a new coordinator collects: a witness may still name a holder that
// gave its right back, beside the one that got it instead.
type claimed struct {
	body    uint64
	holders []Holder
	expires time.Time
}

// forgetting lists keys by when they may be forgotten, in order of time.
type forgetting []expiry

type expiry struct {
	key Key
	at  time.Time
}

func (f *forgetting) add(k Key, at time.Time) { *f = append(*f, expiry{k, at}) }

// due takes the keys out whose time has come.
func (f *forgetting) due(at time.Time) []expiry {
	n := 0
	for n < len(*f) && !at.Before((*f)[n].at) {
		n++
	}
	keys := (*f)[:n]
	*f = (*f)[n:]
	return keys
}

// NewClaims returns a memory that forgets an operation a window after its claim.
func NewClaims(window time.Duration) *Claims {
	return &Claims{window: window, entries: map[Key]*claimed{}, moved: map[Holder]Holder{}}
}

// SetWindow changes how long operations claimed from now on are remembered.
func (c *Claims) SetWindow(window time.Duration) { c.window = window }

// Len returns how many operations are remembered.
func (c *Claims) Len() int { return len(c.entries) }

// Held lists every grant, for a coordinator that takes over by plan.
func (c *Claims) Held() []Held {
	held := make([]Held, 0, len(c.entries))
	for k, e := range c.entries {
		for _, h := range e.holders {
			held = append(held, Held{Key: k, Body: e.body, Holder: h})
		}
	}
	return held
}

// Waiting returns how many nodes have still to tell what they hold.
func (c *Claims) Waiting() int { return len(c.waiting) }

// Lost returns until when unknown keys are answered with Unsure.
func (c *Claims) Lost() time.Time {
	if c.complete {
		return time.Time{}
	}
	return c.lost
}

// Complete reports whether every grant of the window is remembered here.
func (c *Claims) Complete(at time.Time) bool { return c.active && !c.unsure(at, time.Time{}) }

// Update takes a message; only Claim has an answer of interest.
func (c *Claims) Update(m Message) Answer {
	switch m := m.(type) {
	case Claim:
		return c.claim(m)
	case TakeOver:
		c.takeOver(m)
	case Collected:
		c.collect(m)
	case NodeGone:
		c.gone(m)
	case Moved:
		c.move(m)
	case Dismissed:
		c.active = false
	case Tick:
		c.expire(m.At)
	}
	return Answer{Verdict: Refused, Epoch: c.epoch}
}

func (c *Claims) takeOver(m TakeOver) {
	// What this node remembers from an earlier time as coordinator stays: it may
	// be the only one who does.
	c.epoch, c.active, c.complete, c.lost = m.Epoch, true, false, m.Lost
	c.waiting = make(map[string]bool, len(m.From))
	for _, n := range m.From {
		c.waiting[n] = true
	}
}

func (c *Claims) collect(m Collected) {
	for _, h := range m.Held {
		c.remember(h.Key, h.Body, h.Holder, m.At)
	}
	delete(c.waiting, m.Node)
	if m.Lost.After(c.lost) {
		c.lost = m.Lost
	}
	c.complete = c.complete || m.Complete
}

// gone gives up on a node's memory: whatever it alone knew may be asked for as
// long as the window lasts.
func (c *Claims) gone(m NodeGone) {
	if !c.waiting[m.Node] {
		return
	}
	delete(c.waiting, m.Node)
	if end := m.At.Add(c.window); end.After(c.lost) {
		c.lost = end
	}
}

func (c *Claims) move(m Moved) {
	c.moved[Holder{Node: m.From.Node, Incarnation: m.From.Incarnation}] = m.To
}

func (c *Claims) claim(m Claim) Answer {
	if !c.active {
		return Answer{Verdict: Refused, Epoch: c.epoch}
	}
	if m.Born.After(m.At.Add(KeySkew)) {
		return Answer{Verdict: Ahead, Epoch: c.epoch}
	}
	e := c.entries[m.Key]
	if e == nil {
		if c.unsure(m.At, m.Born) {
			return Answer{Verdict: Unsure, Epoch: c.epoch}
		}
		c.remember(m.Key, m.Body, m.Holder, m.At)
		return Answer{Verdict: Granted, Epoch: c.epoch, Holder: m.Holder}
	}
	if e.body != m.Body {
		return Answer{Verdict: OtherBody, Epoch: c.epoch}
	}
	// What is left are holders that may have started: not the claimant itself,
	// whose answer was lost, and not one that gave its right back unused.
	e.holders = slices.DeleteFunc(e.holders, func(h Holder) bool { return h == m.Holder || m.Instead.covers(h) })
	if len(e.holders) > 0 {
		return Answer{Verdict: HeldBy, Epoch: c.epoch, Holder: e.holders[0], Where: c.whereabouts(e.holders[0])}
	}
	e.holders = append(e.holders, m.Holder)
	if c.unsure(m.At, m.Born) {
		return Answer{Verdict: Unsure, Epoch: c.epoch}
	}
	return Answer{Verdict: Granted, Epoch: c.epoch, Holder: m.Holder}
}

// KeySkew is how far a caller's clock may be ahead of a coordinator's.
const KeySkew = 30 * time.Second

// unsure reports whether an operation may have been granted that is not
// remembered here. A memory that was lost at some time holds no key that was made
// later; and as no key is granted that is further ahead than KeySkew, its time
// can be relied on to that.
func (c *Claims) unsure(at, born time.Time) bool {
	if len(c.waiting) > 0 {
		return true
	}
	lost := c.Lost()
	if !at.Before(lost) {
		return false
	}
	lostAt := lost.Add(-c.window)
	return born.IsZero() || !born.After(lostAt.Add(2*KeySkew))
}

// whereabouts follows a holder that stopped by plan to the node that has its
// memory now.
func (c *Claims) whereabouts(h Holder) string {
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

func (c *Claims) remember(k Key, body uint64, h Holder, at time.Time) {
	if e := c.entries[k]; e != nil {
		if !slices.Contains(e.holders, h) {
			e.holders = append(e.holders, h)
		}
		return
	}
	e := &claimed{body: body, holders: []Holder{h}, expires: at.Add(c.window)}
	c.entries[k] = e
	c.order.add(k, e.expires)
}

func (c *Claims) expire(at time.Time) {
	for _, x := range c.order.due(at) {
		if e := c.entries[x.key]; e != nil && !at.Before(e.expires) {
			delete(c.entries, x.key)
		}
	}
}
