package hollow

import (
	"fmt"
	"sync"
	"time"

	"bramblelift/pkg/bench/tally"
)

// NodeSet is a set of hollow nodes that share a configuration.
type NodeSet struct {
	Nodes []*Node
	// Tally counts the bytes that all nodes exchange with relays.
	Tally *tally.Tally
}

// NewNodeSet creates one node per identity; Start runs them.
func NewNodeSet(config Config, identities []Identity) *NodeSet {
	s := &NodeSet{Tally: &tally.Tally{}}
	for _, identity := range identities {
		s.Nodes = append(s.Nodes, newNode(config, identity, s.Tally))
	}
	return s
}

// Start starts all nodes and returns the first error.
func (s *NodeSet) Start() error {
	for _, node := range s.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all nodes in parallel.
func (s *NodeSet) Stop() {
	var group sync.WaitGroup
	for _, node := range s.Nodes {
		group.Go(node.Stop)
	}
	group.Wait()
}

// AwaitCurrent waits until the state of every node has been confirmed as current after the
// given time. It fails after the limit.
func (s *NodeSet) AwaitCurrent(moment time.Time, limit time.Duration) error {
	return s.await("current", limit, func(node *Node) bool { return node.ConfirmedAfter(moment) })
}

// AwaitServing waits until every node has a configuration in force. It fails after the
// limit.
func (s *NodeSet) AwaitServing(limit time.Duration) error {
	return s.await("serving", limit, (*Node).Serving)
}

func (s *NodeSet) await(what string, limit time.Duration, reached func(*Node) bool) error {
	deadline := time.Now().Add(limit)
	pending := s.Nodes
	for {
		var remaining []*Node
		for _, node := range pending {
			if !reached(node) {
				remaining = append(remaining, node)
			}
		}
		if len(remaining) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d nodes, among them %s, are not %s after %s", len(remaining), remaining[0].Name, what, limit)
		}
		pending = remaining
		time.Sleep(5 * time.Millisecond)
	}
}
