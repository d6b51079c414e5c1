package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request's content. It is the same for every attempt and every
// sender. Sixteen bytes of a digest make it infeasible to find two requests with the same one.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal, for logs and keys.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, false
	}
	copy(f[:], raw)
	return f, true
}

// FingerprintOf returns the fingerprint of a request. The account is the client account of the
// request, "" if there is none. Headers are left out, as they differ between attempts.
func FingerprintOf(method, host, target, account string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(target), []byte(account), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // Writing to a hash never fails.
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
