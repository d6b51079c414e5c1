// Package quota keeps client accounts within their limits over a whole fleet of nodes.
// It knows no connections, no clocks and no messages of the wire: a node drives its
// machines with what it hears and does what they return.
//
// The bound: over any window, the requests of an account that all nodes together admit
// are at most rate x window + burst, and a tolerance above that the operators grant.
//
// How it is kept. Every account has a home among the nodes (Homes), the same for all that
// know the same nodes, where its tokens are (Home): a token bucket that fills at the rate
// and holds the burst. A node that takes a request asks the home for a token (Spender).
// A request that has not run gives its token back.
//
// A home behind a cut is asked through another node; one that nobody reaches is stood in
// for by the next. A home tells those that may stand in for it that it is there (Claim,
// Homes.Successors), and one that has stood in tells the home that is back what it gave
// (Resigned). A node that reaches nobody has half of its own part of the rate, which
// homes leave to those that they do not reach (Home.SetShare).
//
// What the tolerance pays for:
//
//   - a deeper bucket, so that chance alone does not empty it at ordinary use;
//   - the tokens that a home starts with which does not know what another gave out;
//   - what nodes admit that have just lost their home;
//   - the time until a home and those that it does not reach know of each other.
//
// The loads that it answers: an account that sends many times its usual for seconds, over
// all nodes or one; many small accounts, each of which a node sees once in some seconds,
// so that no part of a limit can be given to a node beforehand; a fleet of which a third
// is cut off, restarted or killed while an account is hot.
//
// The bucket is the token bucket of traffic shaping; that one node keeps it and others
// ask is what global rate limiters of the field do, here with the home chosen by
// rendezvous hashing, found again by SWIM's indirect probes, and without anything stored.
// Tokens are not lent ahead: what a dozen nodes would hold of a small account is more than
// its tolerance.
//
// # Usage
//
//	homes, spender := quota.NewHomes(fleet), quota.NewSpender(bounds, rand.Float64)
//	place := homes.Of("office", now)
//	for _, c := range spender.Update(quota.Wanted{At: now, Number: 1, Account: "office", Limit: limit, Home: place.Way}) {
//		switch c := c.(type) {
//		case quota.Admit: // The request may run.
//		case quota.Ask: // The node named is to be asked, as quota.Asked.
//		}
//	}
package quota
