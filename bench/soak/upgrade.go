package soak

import (
	"context"
	"syscall"
	"time"
)

// programs returns the program that the nodes run first and the one that replaces it. They differ
// only in a run with an earlier build.
func (s *soak) programs() (first, next string) {
	o := s.options
	switch {
	case o.Previous == "":
		return o.Program, o.Program
	case o.Seed%2 == 0:
		return o.Previous, o.Program
	default:
		return o.Program, o.Previous
	}
}

// replaceBuilds stops the nodes one after the other during the faults and starts them again with
// the other build. It returns once all run it.
func (s *soak) replaceBuilds(ctx context.Context) {
	_, next := s.programs()
	pause := s.options.For / time.Duration(len(s.nodes)+1)
	for _, n := range s.nodes {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		end := s.markAffected(oneNode, n)
		n.setProgram(next)
		n.restart(syscall.SIGTERM)
		end()
		s.recordFault("other build on " + n.name)
	}
}

// setProgram sets the program of the node's further starts.
func (n *node) setProgram(program string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program = program
}
