// Package membership holds one node's records of the other nodes of its fleet, and selects the
// nodes that it keeps links to. It has no clock and performs no input or output.
//
// Nodes learn of each other from one page of records in the platform's store, and of the rest
// from the nodes that they connect to: new records are passed on, and from time to time two
// nodes compare sums of their records, range by range, and exchange the ranges that differ.
// A start thus takes as many calls to the store in a fleet of ten thousand nodes as in one of
// a hundred. A node's own record has a version that grows with its starts. The record that it
// is gone has the version of its last record, and a node that receives such a record of
// itself takes a higher version, as in SWIM (Das, Gupta, Motivala: SWIM, 2002). Comparing
// sums by range follows Demers and others (Epidemic algorithms for replicated database
// maintenance, 1987).
//
// For each service, a node keeps links to some nodes in its own data centre and to some in the
// other data centres. It takes the first in an order of preference, which is by a hash that
// differs from node to node, so that every node is dialed by about as many nodes as any other
// of its service. The selection always takes all known nodes into account: a link that is
// displaced by a preferred one is dropped.
//
// # Usage
//
//	v := membership.New(self, membership.LinkCounts{Near: 24, Far: 24})
//	for _, c := range v.Update(membership.Received{At: now, Records: page}) {
//		switch c := c.(type) {
//		case membership.Dial: // Keep a link to c.Member from now on.
//		}
//	}
package membership
