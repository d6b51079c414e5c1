package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"eiderfold/bodymemory"
)

const (
	// defaultBodyMemory is the memory for bodies, in bytes, unless SetBodyMemory sets another.
	defaultBodyMemory = 2 * maxFrame
	// beginningBytes is how much of a message has to arrive before there is memory for more.
	beginningBytes = 256 << 10
	// memoryTimeout is how long a message waits for memory, with those behind it: no longer than a node waits for the
	// response to an offer.
	memoryTimeout = 100 * time.Millisecond
)

// unreadError reports a message that was read past, as there is no memory for its body.
type unreadError struct {
	use bodymemory.Use
	key Key
}

// Error implements error.
func (e *unreadError) Error() string { return "no memory for the body of " + e.key.String() }

// refuse ends the request of a message that was not kept, with the truth: a request has not run and never will, and
// one whose answer is lost has run.
func (l *Link) refuse(e *unreadError, handle func(*Frame)) {
	if e.use == bodymemory.Answer {
		handle(&Frame{Failed: &Failed{Key: e.key, Detail: "no memory for the answer"}})
		return
	}
	handle(&Frame{Withdraw: &Withdraw{Key: e.key}})
	l.Send(&Frame{Refused: &Refused{Key: e.key, Reason: ReasonMemory}})
}

// read reads and decodes one message.
func (l *Link) read(in *bufio.Reader) (*Frame, error) {
	var prefix [prefixLength]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, errors.Wrap(err, "read")
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > maxFrame {
		return nil, errors.WithStack(ErrFrameTooLarge)
	}
	payload, err := l.readPayload(in, int(n))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	f := &Frame{}
	return f, errors.Wrap(decoding.Unmarshal(payload, f), "decode")
}

// readPayload reads n bytes. It takes the memory for a long message once its beginning has arrived: a peer may announce
// one and not send it.
func (l *Link) readPayload(in io.Reader, n int) ([]byte, error) {
	payload, err := readOn(in, nil, make([]byte, min(n, bodymemory.SmallBytes)))
	if err != nil || len(payload) == n {
		return payload, err
	}
	use, key, hasBody := parseBeginning(payload)
	buffer := func(bytes int) ([]byte, error) { return make([]byte, bytes), nil }
	if hasBody { // Other messages keep the fleet together, and do not wait for bodies.
		buffer = func(bytes int) ([]byte, error) { return l.bodies.Make(use, bytes, memoryTimeout) }
	}
	for len(payload) < n {
		size := n
		if len(payload) < beginningBytes {
			size = min(n, beginningBytes)
		}
		larger, err := buffer(size)
		if err != nil {
			return nil, discard(in, n-len(payload), &unreadError{use: use, key: key})
		}
		if payload, err = readOn(in, payload, larger); err != nil {
			return nil, err
		}
	}
	return payload, nil
}

// readOn fills a larger buffer, whose beginning has been read.
func readOn(in io.Reader, beginning, larger []byte) ([]byte, error) {
	_, err := io.ReadFull(in, larger[copy(larger, beginning):])
	return larger, err
}

// discard reads past the rest of a message, and returns the reason unless that fails.
func discard(in io.Reader, n int, reason *unreadError) error {
	if _, err := io.CopyN(io.Discard, in, int64(n)); err != nil {
		return err
	}
	return reason
}

// The first bytes of an encoded message that carries a body: a map with one entry, its key, and a map that begins with
// the offer's key.
const (
	mapOfOne   = 0xa1
	offerKey   = 0x03
	commitKey  = 0x07
	answerKey  = 0x09
	shortMap   = 0xa0 // With up to 23 entries; their number is added.
	longMap    = 0xb8 // Their number is in the next byte.
	keyOfKey   = 0x01
	shortBytes = 4
)

// parseBeginning returns the use and the key of a message that carries a body, and whether it does.
func parseBeginning(b []byte) (use bodymemory.Use, key Key, ok bool) {
	if len(b) <= shortBytes+1 || b[0] != mapOfOne {
		return 0, Key{}, false
	}
	switch b[1] {
	case offerKey, commitKey:
		use = bodymemory.ForwardedRequest
	case answerKey:
		use = bodymemory.Answer
	default:
		return 0, Key{}, false
	}
	fields := b[3:]
	switch {
	case b[2] == longMap:
		fields = b[4:]
	case b[2]&majorType != shortMap:
		return 0, Key{}, false
	}
	if fields[0] != keyOfKey {
		return 0, Key{}, false
	}
	_, err := cbor.UnmarshalFirst(fields[1:], &key)
	return use, key, err == nil
}
