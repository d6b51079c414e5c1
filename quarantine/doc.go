// Package quarantine finds requests that end the upstreams which run them, and keeps them
// from upstreams. It knows no connections, no clocks and no store: a node tells it what
// its gate and other nodes saw, and does what it returns.
//
// A request is named by its Print, by what it asks, whatever its attempts are called: what
// an attempt did to its upstream is of use only where it is known when the next one comes,
// to any gate, by any node.
//
// When a request is held. Three upstreams have ended under it, one of them under an
// attempt that began when it was known that it had ended another. Without the second
// condition, what many callers ask for would be held whenever some instances lose power at
// one moment. An upstream takes with it what else it has in hand; these requests are
// suspected as well, and cleared by the next good answer to them, which one that ends
// every upstream never has.
//
// For how long. Ten minutes at first, and six times as long after each further end: a whole
// service may fail under what many callers ask for, which is not to be held for a day.
// When a hold is over the next answer clears the request, the next end holds it again.
//
// Who knows. A gate tells its nodes' links of each end, and from the second one on every
// node passes on what is news to it; a node that starts is told by those that it meets.
// What is held is kept in the platform's store, where a fleet finds it of which all
// processes were killed. Records of a print merge to the same whatever the order in which
// they come: ends add up, and a record that was cleared more often goes first.
//
// The loads that it answers: one request that comes again and again, at any node, and ends
// each upstream that begins it; several of them at once; a wave of crashes under ordinary
// work, of which nothing may be held.
//
// # Usage
//
//	book := quarantine.NewBook(func(commands []quarantine.Command) { /* tell, keep, log */ })
//	print := quarantine.PrintOf("GET", "office.example", "/births/7", "office-07", nil)
//	record := book.Ended(time.Now(), print, "i-7f3a", began)  // An upstream ended under it.
//	if left := book.Held(time.Now(), func() quarantine.Print { return print }); left > 0 {
//		// It is refused, and told to come back when it is no longer held.
//	}
package quarantine
