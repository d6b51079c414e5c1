package link

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

// Digest holds checksums of the membership records that a node has, one for
// each part of the hashed address space.
type Digest struct {
	Sums  []uint64 `cbor:"1,keyasint"`
	Reply bool     `cbor:"2,keyasint,omitempty"` // The digest replies to the receiver's own.
}
