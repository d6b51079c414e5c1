// Package node wires a node together: the request path of package proxy, the
// decisions of package core, peers, the platform's store and instance list, and
// the admin API.
//
// # Usage
//
//	n, err := node.New(settings, node.WithStore(store), node.WithList(list))
//	err = n.Run(ctx) // Returns when a planned stop is over.
//
// A node serves one or more templates. The nodes of one template form a group.
// One of them is its coordinator: the store's assignment says which. Everything
// that a group decides goes through its coordinator, and the other nodes keep
// working without it: they serve, they avoid by themselves, and they eject nothing.
//
// Files: group.go holds the state; evidence.go, heartbeat.go, leader.go, watch.go
// and operations.go each hold one of its loops or roles; peers.go answers peers.
package node
