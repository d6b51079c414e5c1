// Package quarantine tells requests apart that end the upstreams which run them.
//
// A request is named by its Print, whatever its attempts are called: what an attempt did
// to its upstream is of use only where it is known when the next one comes.
//
// # Usage
//
//	print := quarantine.PrintOf("GET", "office.example", "/births/7", "office-07", nil)
package quarantine
