// Package mesh implements a node of `eiderfold mesh`: the process beside an upstream that
// is both its gate and the ingress for the callers on its instance. It wires the parts
// together: listeners, links to the other nodes, the directory and the configuration in the
// platform's store, and an orderly stop.
//
// # Usage
//
//	n := mesh.New(settings, platform.New(store), metrics, log)
//	err := n.Run(ctx) // Returns after ctx ends and all work in progress is answered.
package mesh
