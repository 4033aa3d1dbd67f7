// Package hollow runs many nodes in one process. A hollow node subscribes to relays over
// real connections and verifies and holds their configuration like a real node, but has no
// data plane.
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

const dialInterval = time.Second

// Config is the configuration shared by all nodes of a set.
type Config struct {
	Cluster  string
	Verifier *bundle.Verifier
	Relays   []settings.Peer
	// Timing has the same meaning as in the settings of a real node.
	Timing settings.Timing
	// OnActivate is called with each state that a node activates.
	OnActivate func(node string, state *distribution.State)
}

// Identity holds the name, zone and group of a node.
type Identity struct {
	Name  string
	Zone  string
	Group string
}

// Node is one hollow node. It can be started again after a stop and then begins without
// state, like a node without a data folder.
type Node struct {
	Identity
	config Config
	tally  *tally.Tally

	mu sync.Mutex
	// clock starts anew with each run, like the clock of a process.
	clock   *clock.Clock
	client  *stream.Client
	cancel  context.CancelFunc
	done    chan struct{}
	serving bool
}

func newNode(config Config, identity Identity, count *tally.Tally) *Node {
	return &Node{Identity: identity, config: config, tally: count}
}

// Start runs the node in the background until Stop.
func (n *Node) Start() error {
	runClock := clock.New()
	store, err := proxy.NewConfigStore(proxy.StoreConfig{
		Group: n.Group, Verifier: n.config.Verifier, OnActivate: n.onActivate,
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
		DialInterval:   dialInterval,
		Observe:        n.tally.Observe,
		Logger:         log.NewNopLogger(),
		Now:            runClock.Elapsed,
		OnConfirmed:    store.Confirmed,
	}, store, stream.Candidates(n.Zone, n.config.Relays))
	if err != nil {
		return fmt.Errorf("hollow node %s: %w", n.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.mu.Lock()
	n.clock, n.client, n.cancel, n.done, n.serving = runClock, client, cancel, done, false
	n.mu.Unlock()
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	return nil
}

func (n *Node) onActivate(state *distribution.State) {
	n.mu.Lock()
	n.serving = true
	n.mu.Unlock()
	n.config.OnActivate(n.Name, state)
}

// Serving reports whether the node has had a configuration in force since its last start.
func (n *Node) Serving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serving
}

// Stop disconnects the node and waits until its goroutine has exited.
func (n *Node) Stop() {
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.mu.Unlock()
	cancel()
	<-done
}

// ConfirmedAfter reports whether the node's state was confirmed as current after the given
// time.
func (n *Node) ConfirmedAfter(moment time.Time) bool {
	n.mu.Lock()
	client, runClock := n.client, n.clock
	n.mu.Unlock()
	at, confirmed := client.ConfirmedAt()
	return confirmed && time.Now().Add(at-runClock.Elapsed()).After(moment)
}
