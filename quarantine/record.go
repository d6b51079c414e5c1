package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of upstreams that crash while running a request before it is
	// quarantined: the users accept the loss of as many. One may be a coincidence, and two are
	// common for a harmless request that is retried on upstreams which another request crashes.
	minCrashes = 3
	// firstPeriod is the first quarantine period of a request; each further crash multiplies it
	// by periodGrowth. After a period, the next answer clears a request that was quarantined
	// only because the whole service failed, and the next crash quarantines it again
	// immediately. A request that crashes upstreams thus crashes three more in 43 hours.
	firstPeriod  = 10 * time.Minute
	periodGrowth = 6
	// growthLimit is the count of quarantines from which on the period no longer grows: the
	// fourth lasts a day and a half.
	growthLimit = 4
	// recordLifetime is how long a record is kept after the last crash: longer than the longest
	// period.
	recordLifetime = 48 * time.Hour
)

// Record describes a request during which upstreams crashed, as nodes exchange it.
type Record struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Crashed     []string      `cbor:"2,keyasint,omitempty"` // Incarnations that crashed while running it, up to minCrashes.
	Repeated    bool          `cbor:"3,keyasint,omitempty"` // At least one of them ran an attempt that began after another crash was known.
	Cleared     uint32        `cbor:"4,keyasint,omitempty"` // How often it was cleared.
	TTL         time.Duration `cbor:"5,keyasint"`           // Remaining lifetime of the record.
	Quarantines uint32        `cbor:"6,keyasint,omitempty"` // How often it has been quarantined.
	Remaining   time.Duration `cbor:"7,keyasint,omitempty"` // Remaining time of its quarantine.
}

// responsible reports whether the crashes are to be attributed to the request itself.
func (r Record) responsible() bool { return len(r.Crashed) >= minCrashes && r.Repeated }

// significant reports whether all nodes need the record. It is then passed on by the nodes that
// receive it and sent over new links, and its clearing is announced. A single crash is usually
// unrelated to the request: it is only sent to the nodes linked to the one that observed it.
func (r Record) significant() bool { return len(r.Crashed) > 1 || r.Cleared > 0 }

// quarantinePeriod returns the duration of the nth quarantine of a request.
func quarantinePeriod(n uint32) time.Duration {
	period := firstPeriod
	for range min(n, growthLimit) - 1 {
		period *= periodGrowth
	}
	return period
}

// merged returns the combination of two records of a fingerprint, and whether it contains more
// than r. The caller updates TTL and Remaining.
func (r Record) merged(o Record) (Record, bool) {
	if o.Cleared != r.Cleared {
		if o.Cleared < r.Cleared {
			return r, false
		}
		return o, true
	}
	out := r
	out.Repeated = r.Repeated || o.Repeated
	out.Quarantines = max(r.Quarantines, o.Quarantines)
	out.Crashed = slices.Clone(r.Crashed)
	for _, upstream := range o.Crashed {
		if len(out.Crashed) < minCrashes && !slices.Contains(out.Crashed, upstream) {
			out.Crashed = append(out.Crashed, upstream)
		}
	}
	return out, out.Repeated != r.Repeated || out.Quarantines > r.Quarantines || len(out.Crashed) > len(r.Crashed)
}
