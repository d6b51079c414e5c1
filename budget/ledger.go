package budget

const (
	// ownShare and nextShare are the parts of the ratio that a first attempt pays in its own window and in the
	// next one. Together they are 1. The more it pays in its own, the sooner gates that get more requests than
	// before may repeat more; what it pays in the next is there at once when errors begin.
	ownShare  = 0.65
	nextShare = 0.35
	// ledgerBuckets covers the first attempts that pay for the repeats of the last window.
	ledgerBuckets = 2 * buckets
)

// ledger counts a gate's attempts and says how many more repeats may start.
//
// A first attempt pays for repeats of its own window with one part of the ratio, and for those of the next
// window with the rest. What a window's repeats are paid with is therefore linear in the first
// attempts, with the same weights at all gates, and the sum over all gates is at most the ratio of the
// service's first attempts in one of the two windows. That also holds if requests move from some
// gates to others. It would not if each gate counted the window that ends when it uses its part:
// one that had all requests until a moment, and one that has them afterwards, would both count them.
type ledger struct {
	ring   [ledgerBuckets]counts
	newest int64 // The number of the newest bucket.
}

// counts are the attempts of a bucket.
type counts struct{ firsts, repeats float64 }

// span is the time from the beginning of a bucket until now.
type span struct {
	begin   int64   // The number of the bucket.
	own     float64 // First attempts in the span.
	before  float64 // First attempts in the window before it.
	repeats float64
}

// paid returns how many repeats the first attempts pay for at a ratio.
func (s span) paid(ratio float64) float64 { return ratio * (ownShare*s.own + nextShare*s.before) }

// at returns the counts of a bucket that the ring covers.
func (l *ledger) at(n int64) *counts { return &l.ring[(n+ledgerBuckets)%ledgerBuckets] }

// addFirst counts a first attempt in the newest bucket.
func (l *ledger) addFirst(newest int64) {
	l.advance(newest)
	l.at(l.newest).firsts++
}

// addRepeat counts a repeat in the newest bucket.
func (l *ledger) addRepeat(newest int64) {
	l.advance(newest)
	l.at(l.newest).repeats++
}

// removeFirst subtracts a first attempt that was counted in a bucket, if that is still in the ring and has any.
func (l *ledger) removeFirst(n int64) {
	if l.covers(n) && l.at(n).firsts > 0 {
		l.at(n).firsts--
	}
}

// removeRepeat subtracts a repeat that was counted in a bucket, if that is still in the ring and has any.
func (l *ledger) removeRepeat(n int64) {
	if l.covers(n) && l.at(n).repeats > 0 {
		l.at(n).repeats--
	}
}

// covers reports whether a bucket is in the ring.
func (l *ledger) covers(n int64) bool { return n >= 0 && n > l.newest-ledgerBuckets && n <= l.newest }

// each calls f for the spans that begin with each bucket of the last window, the shortest first. A window
// may begin and end anywhere in a bucket, so first attempts are counted low and repeats high.
func (l *ledger) each(newest int64, f func(s span)) {
	l.advance(newest)
	s := span{begin: l.newest, before: l.firstsSince(l.newest - buckets + 1), repeats: l.at(l.newest).repeats}
	f(s)
	for s.begin > l.newest-buckets {
		// A window that begins in a bucket has the first attempts of the next one; those of the bucket itself may
		// lie before it.
		begun := l.at(s.begin).firsts
		s.begin--
		s.own += begun
		s.before += l.at(s.begin-buckets+1).firsts - begun
		s.repeats += l.at(s.begin).repeats
		f(s)
	}
}

// firstsSince returns how many first attempts have started since the beginning of a bucket.
func (l *ledger) firstsSince(begin int64) float64 {
	n := 0.0
	for i := begin; i <= l.newest; i++ {
		n += l.at(i).firsts
	}
	return n
}

// tightest returns the span in which the fewest repeats are left at a ratio.
func (l *ledger) tightest(newest int64, ratio float64) span {
	var least span
	l.each(newest, func(s span) {
		if s.begin == l.newest || s.paid(ratio)-s.repeats < least.paid(ratio)-least.repeats {
			least = s
		}
	})
	return least
}

// firstsInWindow returns how many first attempts have started in the last window.
func (l *ledger) firstsInWindow(newest int64) float64 {
	l.advance(newest)
	return l.firstsSince(newest - buckets + 1)
}

// repeatsInWindow returns how many repeats have started in the last window.
func (l *ledger) repeatsInWindow(newest int64) float64 {
	n := 0.0
	l.each(newest, func(s span) { n = s.repeats }) // The last span is the longest.
	return n
}

// advance moves the ring forward to the newest bucket and clears the buckets that are reused.
func (l *ledger) advance(newest int64) {
	if newest-l.newest > ledgerBuckets {
		*l = ledger{newest: newest}
		return
	}
	for l.newest < newest {
		l.newest++
		*l.at(l.newest) = counts{}
	}
}
