package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Print is the fingerprint of a request's content. It is the same for every attempt and every
// sender. Sixteen bytes of a digest make it infeasible to find two requests with the same one.
type Print [16]byte

// String returns the fingerprint in hexadecimal, for logs and keys.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// ParsePrint parses the result of String.
func ParsePrint(text string) (Print, bool) {
	var p Print
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(p) {
		return p, false
	}
	copy(p[:], raw)
	return p, true
}

// PrintOf returns the fingerprint of a request. The account is the client account of the
// request, "" if there is none. Headers are left out, as they differ between attempts.
func PrintOf(method, host, target, account string, body []byte) Print {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(target), []byte(account), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // Writing to a hash never fails.
		h.Write(part)
	}
	var p Print
	copy(p[:], h.Sum(nil))
	return p
}
