// Package hollow runs many nodes in one process: the keeper and the subscription of a
// real node over real connections, without the data plane for callers.
package hollow

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramblelift/pkg/bench/tally"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/clock"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/proxy"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/stream"

	"github.com/go-kit/log"
)

const dialTimeout = time.Second

// Config is shared by the nodes of a swarm.
type Config struct {
	Cluster  string
	Verifier *bundle.Verifier
	Relays   []settings.Peer
	// Timing is that of a real node.
	Timing settings.Timing
	// InForce is told each state that a node puts in force.
	InForce func(node string, state *distribution.State)
}

// Identity names a node.
type Identity struct {
	Name  string
	Zone  string
	Group string
}

// Node is one hollow node. It may be started again after a stop and then knows nothing
// of its earlier life, like a node without a disk.
type Node struct {
	Identity
	config Config
	tally  *tally.Tally

	mu sync.Mutex
	// clock starts with each life, as a process's does.
	clock   *clock.Clock
	client  *stream.Client
	cancel  context.CancelFunc
	done    chan struct{}
	serving bool
}

func newNode(config Config, identity Identity, count *tally.Tally) *Node {
	return &Node{Identity: identity, config: config, tally: count}
}

// Start begins a life of the node.
func (n *Node) Start() error {
	started := clock.New()
	keeper, err := proxy.NewKeeper(proxy.KeeperConfig{
		Group: n.Group, Verifier: n.config.Verifier, InForce: n.inForce,
		OnFailure: func(error) {},
	})
	if err != nil {
		return fmt.Errorf("hollow node %s: %w", n.Name, err)
	}
	client, err := stream.NewClient(stream.ClientConfig{
		Hello: protocol.Hello{
			ClusterID: n.config.Cluster, Role: protocol.RoleNode, Name: n.Name, Zone: n.Zone, Group: n.Group,
		},
		Selector:       stream.DefaultSelectorConfig(),
		PingInterval:   time.Duration(n.config.Timing.PingInterval),
		SilenceTimeout: time.Duration(n.config.Timing.SilenceTimeout),
		DialTimeout:    dialTimeout,
		Observe:        n.tally.Observe,
		Logger:         log.NewNopLogger(),
		Now:            started.Elapsed,
		OnConfirmed:    keeper.Confirmed,
	}, keeper, stream.Candidates(n.Zone, n.config.Relays))
	if err != nil {
		return fmt.Errorf("hollow node %s: %w", n.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.mu.Lock()
	n.clock, n.client, n.cancel, n.done, n.serving = started, client, cancel, done, false
	n.mu.Unlock()
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	return nil
}

func (n *Node) inForce(state *distribution.State) {
	n.mu.Lock()
	n.serving = true
	n.mu.Unlock()
	n.config.InForce(n.Name, state)
}

// Serving reports whether the node has a configuration in force in this life.
func (n *Node) Serving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serving
}

// Stop ends the node's life.
func (n *Node) Stop() {
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.mu.Unlock()
	cancel()
	<-done
}

// ConfirmedAfter reports whether the node is known to be current as of a moment.
func (n *Node) ConfirmedAfter(moment time.Time) bool {
	n.mu.Lock()
	client, started := n.client, n.clock
	n.mu.Unlock()
	at, confirmed := client.ConfirmedAt()
	return confirmed && time.Now().Add(at-started.Elapsed()).After(moment)
}
