package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Print names a request by what it asks, whoever sends it and however often: it is the
// same for every attempt of it. Sixteen bytes of a digest are enough that nobody finds
// two requests with the same one.
type Print [16]byte

// String returns the print for logs and keys.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// ParsePrint reads what String returns.
func ParsePrint(text string) (Print, bool) {
	var p Print
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(p) {
		return p, false
	}
	copy(p[:], raw)
	return p, true
}

// PrintOf returns the print of a request. The account is the client account for which it
// is made, "" without one. Headers are left out, since they differ between attempts.
func PrintOf(method, host, target, account string, body []byte) Print {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(target), []byte(account), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // A hash takes everything.
		h.Write(part)
	}
	var p Print
	copy(p[:], h.Sum(nil))
	return p
}
