// Package node assembles a node from the request path of package proxy, the
// state machines of package core, the connections to peers, the platform's store
// and instance list, and the admin API.
//
// # Usage
//
//	n, err := node.New(settings, material, node.WithStore(store), node.WithList(list))
//	err = n.Run(ctx, admin, nil) // Returns when the planned stop is complete.
//
// A node serves one or more templates. The nodes of one template form a group.
// The assignment in the store names one of them as the coordinator, which makes
// all decisions of the group. Without a coordinator the other nodes still serve
// requests and shift traffic by their own local weights, but eject no upstream.
//
// Files: group.go holds the state of a group; evidence.go, heartbeat.go, leader.go,
// watch.go and operations.go each implement one of its loops or roles; peers.go
// handles requests from peers.
package node
