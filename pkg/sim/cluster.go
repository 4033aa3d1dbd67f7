package sim

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/replica"
	"bramblelift/pkg/storage"
	"bramblelift/pkg/stream"
)

const clusterID = "simulated"

// Sizes of a simulated system.
const (
	// firstControls is how many control replicas found the cluster.
	firstControls = 3
	nodesPerZone  = 2
	backendCount  = 6
	operatorCount = 2
	controlPrefix = "control-"
)

// groups are given to nodes in turn; the last is named by no route.
var groups = []string{"orders", "prices", "other"}

// cluster is a whole simulated system.
type cluster struct {
	world    *world
	network  *network
	zones    []string
	controls []*control
	// grown is set if the replicas are more than those that founded the cluster.
	grown        bool
	controlsMade int
	// gone are the replicas whose machines left for good.
	gone     []*control
	relays   []*relay
	nodes    []*node
	backends *backendSet
	platform *simPlatform
	verifier *bundle.Verifier
	key      ed25519.PrivateKey

	operators []*operatorClient
	// healed is set once no fault strikes any more.
	healed bool
	*observations
}

func newCluster(w *world, zones []string, zoneLatency time.Duration, controls int) (*cluster, error) {
	c := &cluster{world: w, network: newNetwork(w, zoneLatency), zones: zones, observations: newObservations()}
	c.key = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	public := base64.StdEncoding.EncodeToString(c.key.Public().(ed25519.PublicKey))
	var err error
	if c.verifier, err = bundle.NewVerifier(clusterID, []string{public}); err != nil {
		return nil, err
	}
	c.platform = &simPlatform{cluster: c, lag: 700 * time.Millisecond}
	c.backends = &backendSet{cluster: c}
	c.addBackends()
	if err := c.addControls(controls); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		r := &relay{process: newProcess(w, "relay-"+zone, zone, actualDrift), cluster: c}
		c.relays = append(c.relays, r)
	}
	c.addNodes()
	for i := range operatorCount {
		c.operators = append(c.operators, newOperator(c, i))
	}
	return c, nil
}

func (c *cluster) addBackends() {
	for i := range backendCount {
		service := "orders"
		if i%3 == 2 {
			service = "prices"
		}
		b := &backend{process: newProcess(c.world, fmt.Sprintf("%s-%d", service, i), c.zones[i%len(c.zones)], 0), service: service, incarnation: 1}
		b.begin()
		c.backends.all = append(c.backends.all, b)
	}
	c.platform.record()
}

func (c *cluster) addControls(count int) error {
	c.grown = count > firstControls
	var members []raft.Member
	for i := range count {
		ctl := c.newControl(i)
		c.controls = append(c.controls, ctl)
		if i < firstControls {
			members = append(members, ctl.member())
		}
	}
	for _, ctl := range c.controls[:firstControls] {
		if err := replica.CreateFirst(ctl.disk, clusterID, ctl.name, members); err != nil {
			return err
		}
	}
	return nil
}

// newControl makes a replica on an empty disk, under a name that none had before.
func (c *cluster) newControl(index int) *control {
	c.controlsMade++
	name := fmt.Sprintf("%s%d", controlPrefix, c.controlsMade)
	return &control{process: newProcess(c.world, name, c.zones[index%len(c.zones)], actualDrift), cluster: c, disk: newDisk(c.world)}
}

func (c *cluster) addNodes() {
	for i := range nodesPerZone * len(c.zones) {
		name := fmt.Sprintf("node-%d", i+1)
		n := &node{process: newProcess(c.world, name, c.zones[i%len(c.zones)], actualDrift), cluster: c, group: groups[i%len(groups)]}
		if i%2 == 0 {
			n.disk = newDisk(c.world)
		}
		c.nodes = append(c.nodes, n)
	}
}

func (c *cluster) start() {
	for _, ctl := range c.controls {
		ctl.start()
	}
	for _, r := range c.relays {
		r.start()
	}
	for _, n := range c.nodes {
		n.start()
	}
	for _, o := range c.operators {
		o.start()
	}
}

func (c *cluster) controlNamed(name string) *control {
	for _, ctl := range slices.Concat(c.controls, c.gone) {
		if ctl.name == name {
			return ctl
		}
	}
	return nil
}

func (c *cluster) controlProcesses() []*process {
	var all []*process
	for _, ctl := range c.controls {
		all = append(all, &ctl.process)
	}
	return all
}

func (c *cluster) relayProcesses() []*process {
	var all []*process
	for _, r := range c.relays {
		all = append(all, &r.process)
	}
	return all
}

func (c *cluster) lookupControl(name string) (*process, func() *server) {
	ctl := c.controlNamed(name)
	return &ctl.process, func() *server { return ctl.server }
}

func (c *cluster) lookupRelay(name string) (*process, func() *server) {
	index := slices.IndexFunc(c.relays, func(r *relay) bool { return r.name == name })
	r := c.relays[index]
	return &r.process, func() *server { return r.server }
}

func candidatesOf(zone string, servers []*process) []stream.Candidate {
	var candidates []stream.Candidate
	for _, server := range servers {
		candidates = append(candidates, stream.Candidate{Address: server.name, Near: server.zone == zone})
	}
	return candidates
}

func (c *cluster) selector(zone string, servers []*process) *stream.Selector {
	config := stream.DefaultSelectorConfig()
	config.Random = c.world.random.Float64
	return stream.NewSelector(config, candidatesOf(zone, servers))
}

// repaired reports whether some leader counts every voter as holding all that is
// committed, there are as many voters as machines, and each machine's newest replica is
// among them.
func (c *cluster) repaired() bool {
	for _, ctl := range c.controls {
		if !ctl.alive || ctl.replica == nil || !ctl.replica.Node().LeaseValid(ctl.clock()) {
			continue
		}
		n := ctl.replica.Node()
		voters := len(n.Membership().Voters())
		whole := len(n.Membership().Members) == len(c.controls) && voters == len(c.controls)
		for _, other := range c.controls {
			identity, err := storage.ReadIdentity(other.disk)
			whole = whole && err == nil && n.Membership().IsVoter(identity.ReplicaID)
		}
		if whole && n.MembershipCommitted() && n.DurableCopies(ctl.clock()) == voters {
			return true
		}
	}
	return false
}
