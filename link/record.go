package link

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
)

// Record is a versioned membership record of a node.
type Record struct {
	Member
	// Version grows with each start of the node: it is the start time in Unix
	// milliseconds, or higher if the node had to refute a newer record of its address.
	Version uint64 `cbor:"5,keyasint" json:"version"`
	// Gone is set if the node was unreachable for a long time or has stopped for good.
	Gone bool `cbor:"6,keyasint,omitempty" json:"-"`
}

// Supersedes reports whether r is newer than another record of the same address.
// At equal versions, a record of a node that is gone supersedes one of a live node.
func (r Record) Supersedes(o Record) bool {
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return r.Gone && !o.Gone
}

// maxVersion bounds a record's version: times in Unix milliseconds stay below it for 280,000 years, and a node can
// raise its own version above any other's.
const maxVersion = 1 << 53

// Check returns an error for a record that no node can have written: without a name, service or data centre, with an
// address that cannot be dialed, or with a version that its node could not raise.
func (r Record) Check() error {
	if r.Name == "" || r.Service == "" || r.DataCentre == "" {
		return errors.New("record: a field is missing")
	}
	host, portNumber, err := net.SplitHostPort(r.Address)
	if err != nil || host == "" {
		return errors.Errorf("record: address: %q is no HOST:PORT", r.Address)
	}
	if n, err := strconv.ParseUint(portNumber, 10, 16); err != nil || n == 0 {
		return errors.Errorf("record: address: %q is no port", portNumber)
	}
	if r.Version >= maxVersion {
		return errors.Errorf("record: version: %d is no time", r.Version)
	}
	return nil
}

// Digest holds checksums of the membership records that a node has, one for
// each part of the hashed address space.
type Digest struct {
	Sums  []uint64 `cbor:"1,keyasint"`
	Reply bool     `cbor:"2,keyasint,omitempty"` // The digest replies to the receiver's own.
}
