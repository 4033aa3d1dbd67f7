package hollow

import (
	"fmt"
	"sync"
	"time"

	"bramblelift/pkg/bench/tally"
)

// Swarm is many hollow nodes.
type Swarm struct {
	Nodes []*Node
	// Tally counts what all of them exchange with relays.
	Tally *tally.Tally
}

// NewSwarm lays out nodes; Start runs them.
func NewSwarm(config Config, identities []Identity) *Swarm {
	s := &Swarm{Tally: &tally.Tally{}}
	for _, identity := range identities {
		s.Nodes = append(s.Nodes, newNode(config, identity, s.Tally))
	}
	return s
}

// Start runs all nodes at once.
func (s *Swarm) Start() error {
	for _, node := range s.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all nodes.
func (s *Swarm) Stop() {
	var group sync.WaitGroup
	for _, node := range s.Nodes {
		group.Go(node.Stop)
	}
	group.Wait()
}

// AwaitCurrent waits until every node is known to be current as of a moment.
func (s *Swarm) AwaitCurrent(moment time.Time, limit time.Duration) error {
	return s.await("current", limit, func(node *Node) bool { return node.ConfirmedAfter(moment) })
}

// AwaitServing waits until every node has a configuration in force.
func (s *Swarm) AwaitServing(limit time.Duration) error {
	return s.await("serving", limit, (*Node).Serving)
}

func (s *Swarm) await(what string, limit time.Duration, reached func(*Node) bool) error {
	deadline := time.Now().Add(limit)
	waiting := s.Nodes
	for {
		var still []*Node
		for _, node := range waiting {
			if !reached(node) {
				still = append(still, node)
			}
		}
		if len(still) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d nodes, among them %s, are not %s after %s", len(still), still[0].Name, what, limit)
		}
		waiting = still
		time.Sleep(5 * time.Millisecond)
	}
}
