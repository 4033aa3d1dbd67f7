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

// These constants set the sizes of a simulated system and the names of its control replicas.
const (
	// initialControls is the number of control replicas that create the cluster.
	initialControls = 3
	nodesPerZone    = 2
	backendCount    = 6
	operatorCount   = 2
	controlPrefix   = "control-"
)

// groups are assigned to the nodes in turn; no route names the last one as a source.
var groups = []string{"orders", "prices", "other"}

// cluster is a simulated system: control replicas, relays, nodes, back ends, the
// platform and operators.
type cluster struct {
	simulation *simulation
	network    *network
	zones      []string
	controls   []*control
	// expanded is set if there are more control replicas than initialControls.
	expanded        bool
	controlsCreated int
	// retired holds the replicas whose machines were replaced by other machines.
	retired     []*control
	relays      []*relay
	nodes       []*node
	backends    *backendSet
	platform    *simPlatform
	verifier    *bundle.Verifier
	approvalKey ed25519.PrivateKey

	operators []*operatorClient
	// healed is set once fault injection has ended.
	healed bool
	*observations
}

func newCluster(sim *simulation, zones []string, zoneLatency time.Duration, controls int) (*cluster, error) {
	c := &cluster{simulation: sim, network: newNetwork(sim, zoneLatency), zones: zones, observations: newObservations()}
	c.approvalKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	public := base64.StdEncoding.EncodeToString(c.approvalKey.Public().(ed25519.PublicKey))
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
		r := &relay{process: newProcess(sim, "relay-"+zone, zone, actualDrift), cluster: c}
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
		b := &backend{process: newProcess(c.simulation, fmt.Sprintf("%s-%d", service, i), c.zones[i%len(c.zones)], 0), service: service, incarnation: 1}
		b.startRun()
		c.backends.all = append(c.backends.all, b)
	}
	c.platform.recordList()
}

func (c *cluster) addControls(count int) error {
	c.expanded = count > initialControls
	var members []raft.Member
	for i := range count {
		ctl := c.newControl(i)
		c.controls = append(c.controls, ctl)
		if i < initialControls {
			members = append(members, ctl.member())
		}
	}
	for _, ctl := range c.controls[:initialControls] {
		if err := replica.CreateFirst(ctl.disk, clusterID, ctl.name, members); err != nil {
			return err
		}
	}
	return nil
}

// newControl returns a replica with an empty disk and a name that was not used before.
func (c *cluster) newControl(index int) *control {
	c.controlsCreated++
	name := fmt.Sprintf("%s%d", controlPrefix, c.controlsCreated)
	return &control{process: newProcess(c.simulation, name, c.zones[index%len(c.zones)], actualDrift), cluster: c, disk: newDisk(c.simulation)}
}

func (c *cluster) addNodes() {
	for i := range nodesPerZone * len(c.zones) {
		name := fmt.Sprintf("node-%d", i+1)
		n := &node{process: newProcess(c.simulation, name, c.zones[i%len(c.zones)], actualDrift), cluster: c, group: groups[i%len(groups)]}
		if i%2 == 0 {
			n.disk = newDisk(c.simulation)
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

func (c *cluster) controlByName(name string) *control {
	for _, ctl := range slices.Concat(c.controls, c.retired) {
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
	ctl := c.controlByName(name)
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
	config.Random = c.simulation.random.Float64
	return stream.NewSelector(config, candidatesOf(zone, servers))
}

// fullyReplicated reports whether a replica with a valid lease counts every voter as
// holding all committed entries, and the voters are exactly the replicas on the current
// disks of all machines.
func (c *cluster) fullyReplicated() bool {
	for _, ctl := range c.controls {
		if !ctl.running || ctl.replica == nil || !ctl.replica.Node().LeaseValid(ctl.clock()) {
			continue
		}
		n := ctl.replica.Node()
		voters := len(n.Membership().Voters())
		complete := len(n.Membership().Members) == len(c.controls) && voters == len(c.controls)
		for _, other := range c.controls {
			identity, err := storage.ReadIdentity(other.disk)
			complete = complete && err == nil && n.Membership().IsVoter(identity.ReplicaID)
		}
		if complete && n.MembershipCommitted() && n.DurableCopies(ctl.clock()) == voters {
			return true
		}
	}
	return false
}
