// Package quarantine detects requests that crash the upstreams which run them, and keeps them
// away from upstreams. It has no connections, no clock and no store: a node passes it what
// its gate and other nodes observe, and carries out the commands that it returns.
//
// A request is identified by the Fingerprint of its content, independent of the ids
// of its attempts: a crash has to be associated with the next attempt, at any gate and from
// any node.
//
// Condition: three upstreams have crashed while running the request, one of them in an
// attempt that began after another crash was known. Without the second part, popular
// requests would be quarantined whenever some instances lose power at the same moment. A
// crash also affects the other requests that the upstream is running; they are suspected as
// well and cleared by their next good answer, which a request that crashes every upstream
// never gets.
//
// Duration: ten minutes at first, and six times as long after each further crash, up to a
// day and a half. The first period is short because a whole service may fail while running
// popular requests. After a period, the next answer clears the request and the next crash
// quarantines it again.
//
// Replication: a gate sends each crash to the linked nodes; from the second one on, every
// node passes on what is new to it, and nodes exchange their records when they connect for
// the first time. Quarantined requests are kept in the platform's store, so that they survive
// the loss of all processes of a fleet. Records of a fingerprint merge to the same result in
// any order: crashes add up, and a record that was cleared more often takes precedence.
//
// The design covers these loads: one request that arrives again and again, at any node, and
// crashes each upstream that runs it; several of these at once; a wave of crashes under
// ordinary load, after which nothing may be quarantined.
//
// # Usage
//
//	tracker := quarantine.NewSharedTracker(func(commands []quarantine.Command) { /* send, store, log */ })
//	fingerprint := quarantine.FingerprintOf("GET", "office.example", "/births/7", "office-07", nil)
//	record := tracker.Crashed(time.Now(), fingerprint, "i-7f3a", began) // An upstream crashed.
//	if left := tracker.Remaining(time.Now(), func() quarantine.Fingerprint { return fingerprint }); left > 0 {
//		// Refuse it, with left as its retry-after.
//	}
package quarantine
