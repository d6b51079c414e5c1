// Package quota keeps client accounts within their request limits over a whole fleet of
// nodes. It has no connections, no clock and no wire messages: a node passes its inputs to
// Home, Homes and Limiter, and carries out the commands that they return.
//
// The bound: over any window, the requests of an account that all nodes together admit are
// at most rate x window + burst, plus a tolerance that the operators grant.
//
// Mechanism: every account has a home among the nodes (Homes), the same for all nodes that
// know the same fleet. The home holds the account's tokens (Home) in a bucket that fills at
// the rate and holds the burst. A node that receives a request asks the home for a token
// (Limiter). A request that has not run returns its token.
//
// A home behind a network cut is asked through another node; if no node reaches it, the next
// in rank acts as home. A home notifies its possible successors that it is reachable (Claim,
// Homes.Successors), and an acting home reports to a returned home what it granted
// (HomeReturned). A node that reaches no other uses half of its own share of the rate, which
// homes leave to the nodes that they do not reach (Home.SetShare).
//
// The tolerance covers:
//
//   - a deeper bucket, so that random arrivals at an ordinary rate do not empty it;
//   - the initial tokens of a home that does not know what another home granted;
//   - the requests that nodes admit just after they lost their home;
//   - the time until a home and the nodes that it does not reach have noticed the cut.
//
// The design covers these loads: an account that sends many times its ordinary rate for
// seconds, through all nodes or one; many small accounts, each seen by a node once in some
// seconds, so that no share of a limit can be assigned to a node in advance; a fleet of which
// a third is cut off, restarted or killed while an account is at its limit.
//
// The bucket is the token bucket of traffic shaping. One node holds it and the others ask
// that node, as in other global rate limiters; here the home is chosen by rendezvous hashing
// and located with SWIM's indirect probes, and nothing is stored. Tokens are not handed out
// in advance: what a dozen nodes would hold of a small account exceeds its tolerance.
//
// # Usage
//
//	homes, limiter := quota.NewHomes(fleet), quota.NewLimiter(bounds, rand.Float64)
//	location := homes.Of("office", now)
//	for _, c := range limiter.Update(quota.TokenWanted{At: now, Number: 1, Account: "office", Limit: limit, Home: location.Via}) {
//		switch c := c.(type) {
//		case quota.Admit: // The request may run.
//		case quota.RequestToken: // Send it to the node c.To, as quota.TokenRequested.
//		}
//	}
package quota
