package link

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"eiderfold/bodymemory"
)

// Body is the body of a request or an answer. A decoded one is a part of the message that it came in, and an encoded
// one is not copied if it is long: a node holds a body once.
type Body []byte

// The parts of the first byte of a CBOR value, and how a byte string gives its length (RFC 8949, 3).
const (
	majorType      = 0xe0
	byteString     = 0x40
	additionalInfo = 0x1f
	oneByte        = 24 // The length is in the next byte, for the following values in the next 2, 4 and 8.
	eightBytes     = 27
)

// errNoByteString is returned for a body that is not encoded as a byte string of known length.
var errNoByteString = errors.New("a body is not a byte string")

// UnmarshalCBOR implements cbor.Unmarshaler. It keeps a part of data, which the caller must not change.
func (b *Body) UnmarshalCBOR(data []byte) error {
	if len(data) == 0 || data[0]&majorType != byteString || data[0]&additionalInfo > eightBytes {
		return errNoByteString
	}
	header := 1
	if info := data[0] & additionalInfo; info >= oneByte {
		header += 1 << (info - oneByte)
	}
	*b = data[header:]
	return nil
}

// appendHeader appends the encoded header of a byte string of n bytes.
func appendHeader(to []byte, n int) []byte {
	return binary.BigEndian.AppendUint64(append(to, byteString|eightBytes), uint64(n))
}

// placeholder stands for a long body while the rest of its message is encoded. Nobody else knows it, so it occurs
// nowhere else in a message.
var placeholder = newPlaceholder()

func newPlaceholder() Body {
	p := make(Body, 16)
	_, _ = rand.Read(p) // It never fails.
	return p
}

// body returns the body that a message carries, nil for none.
func (f *Frame) body() Body {
	switch {
	case f.Offer != nil && f.Offer.Content != nil:
		return f.Offer.Content.Body
	case f.Commit != nil && f.Commit.Content != nil:
		return f.Commit.Content.Body
	case f.Answer != nil:
		return f.Answer.Body
	default:
		return nil
	}
}

// withBody returns a copy of a message that carries another body.
func (f *Frame) withBody(b Body) *Frame {
	switch {
	case f.Offer != nil:
		offer := *f.Offer
		offer.Content = offer.Content.withBody(b)
		return &Frame{Offer: &offer}
	case f.Commit != nil:
		commit := *f.Commit
		commit.Content = commit.Content.withBody(b)
		return &Frame{Commit: &commit}
	default:
		answer := *f.Answer
		answer.Body = b
		return &Frame{Answer: &answer}
	}
}

func (c *Content) withBody(b Body) *Content {
	content := *c
	content.Body = b
	return &content
}

// encode writes one length-prefixed message and returns its size in bytes, prefix included.
func encode(out *bufio.Writer, f *Frame) (int, error) {
	body := f.body()
	if len(body) <= bodymemory.SmallBytes {
		payload, err := cbor.Marshal(f)
		if err != nil {
			return 0, errors.Wrap(err, "encode")
		}
		return writeMessage(out, payload)
	}
	payload, err := cbor.Marshal(f.withBody(placeholder))
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	before, after, _ := bytes.Cut(payload, append([]byte{byteString | byte(len(placeholder))}, placeholder...))
	return writeMessage(out, appendHeader(before[:len(before):len(before)], len(body)), body, after)
}

// writeMessage writes a message in parts, with the prefix, and returns its size in bytes.
func writeMessage(out *bufio.Writer, parts ...[]byte) (int, error) {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	var prefix [prefixLength]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(size))
	// The writer keeps its first error.
	_, err := out.Write(prefix[:])
	for _, p := range parts {
		_, err = out.Write(p)
	}
	return prefixLength + size, errors.Wrap(err, "write")
}
