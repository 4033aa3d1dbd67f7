package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bramblelift/pkg/bench/convergence"
	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/hollow"
	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/bench/tally"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/settings"
)

const (
	cluster    = "experiment"
	replicas   = 3
	setupLimit = time.Minute
	// convergeLimit is the time after which a change that is not in force everywhere fails
	// the experiment.
	convergeLimit = 30 * time.Second
	// nodePingInterval and nodeSilenceTimeout equal the defaults of a real node.
	nodePingInterval   = 2 * time.Second
	nodeSilenceTimeout = 5 * time.Second
)

// system runs the product for a measurement: real control replicas and relays, a few real
// nodes whose CPU and memory are measured, and many hollow nodes for convergence times.
type system struct {
	folder      string
	platform    *standin.Platform
	fleet       *fleet.Fleet
	hollowNodes *hollow.NodeSet
	recorder    *convergence.Recorder
	groupOf     map[string]string
	work        *workload
}

type systemSize struct {
	nodes     int
	realNodes int
	relays    int
}

func startSystem(work *workload, size systemSize) (*system, error) {
	folder, err := os.MkdirTemp("", "bramblelift-experiment-")
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	s := &system{folder: folder, work: work, groupOf: map[string]string{}}
	if err := s.start(size); err != nil {
		s.stop()
		return nil, fmt.Errorf("experiment: set up: %w", err)
	}
	return s, nil
}

func (s *system) start(size systemSize) error {
	var err error
	if s.platform, err = standin.StartPlatform(0); err != nil {
		return err
	}
	s.platform.SetMachines(s.work.machines)
	s.fleet, err = fleet.New(fleet.Config{
		Folder: filepath.Join(s.folder, "fleet"), Cluster: cluster, Zones: s.work.zones,
		Replicas: replicas, Relays: size.relays, Proxies: size.realNodes, Groups: s.work.groups,
		PlatformURL: s.platform.ListURL(),
	})
	if err != nil {
		return err
	}
	if err := s.fleet.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, append(s.fleet.Controls, s.fleet.Relays...)); err != nil {
		return err
	}
	if err := s.createHollowNodes(size.nodes); err != nil {
		return err
	}
	if _, _, err := s.fleet.Publish(ctx, s.work.text(s.work.timeout, s.work.secret)); err != nil {
		return err
	}
	started := time.Now()
	if err := s.hollowNodes.Start(); err != nil {
		return err
	}
	if err := s.hollowNodes.AwaitCurrent(started, setupLimit); err != nil {
		return err
	}
	return fleet.WaitReady(ctx, s.fleet.Proxies)
}

func (s *system) createHollowNodes(count int) error {
	verifier, err := bundle.NewVerifier(cluster, []string{s.fleet.PublicKey()})
	if err != nil {
		return err
	}
	identities := s.work.identities(count)
	var names []string
	for _, identity := range identities {
		names = append(names, identity.Name)
		s.groupOf[identity.Name] = identity.Group
	}
	s.recorder = convergence.NewRecorder(names)
	var relays []settings.Peer
	for _, relay := range s.fleet.Relays {
		relays = append(relays, settings.Peer{Name: relay.Name, Address: relay.Address, Zone: relay.Zone})
	}
	s.hollowNodes = hollow.NewNodeSet(hollow.Config{
		Cluster: cluster, Verifier: verifier, Relays: relays,
		Timing:     settings.Timing{PingInterval: bundle.Duration(nodePingInterval), SilenceTimeout: bundle.Duration(nodeSilenceTimeout)},
		OnActivate: s.recorder.OnActivate,
	}, identities)
	return nil
}

func (s *system) stop() {
	if s.hollowNodes != nil {
		s.hollowNodes.Stop()
	}
	if s.fleet != nil {
		s.fleet.Kill()
	}
	if s.platform != nil {
		s.platform.Stop()
	}
	os.RemoveAll(s.folder)
}

// change restarts a machine or rolls out a changed bundle, depending on kind, after the
// recorder starts to time it.
func (s *system) change(kind string) error {
	if kind == changeEndpoint {
		change := s.work.restartMachine(s.groupOf)
		change.At = time.Now()
		s.recorder.Begin(change)
		s.platform.SetMachines(s.work.machines)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	number, err := s.fleet.Prepare(ctx, s.work.nextBundle(kind))
	if err != nil {
		return err
	}
	// The convergence time includes the rollout request, so the clock is read before it.
	at := time.Now()
	s.recorder.Begin(versionChange(number, at))
	_, err = s.fleet.RollOut(ctx, number)
	return err
}

// usage holds the CPU time, the resident memory in bytes and the control bytes by link of
// a process since its start.
type usage struct {
	cpuSeconds float64
	memory     float64
	links      map[string]float64
}

func readUsage(node *fleet.Member) (usage, error) {
	read := usage{links: map[string]float64{}}
	cpu, err := fleet.Metric(node, "process_cpu_seconds_total")
	if err != nil {
		return read, err
	}
	memory, err := fleet.Metric(node, "process_resident_memory_bytes")
	if err != nil {
		return read, err
	}
	bytes, err := fleet.Metric(node, "bramblelift_control_bytes_total")
	if err != nil {
		return read, err
	}
	read.cpuSeconds = cpu[""]
	read.memory = memory[""]
	for labels, value := range bytes {
		read.links[linkLabel(labels)] += value
	}
	return read, nil
}

// linkLabel returns the value of the link label in the label text of a metric.
func linkLabel(labels string) string {
	_, rest, _ := strings.Cut(labels, `link="`)
	link, _, _ := strings.Cut(rest, `"`)
	return link
}

// roleUsage aggregates the usage of all processes of one role.
type roleUsage struct {
	count      int
	cpuSeconds float64
	// memory is the maximum over the processes; the other fields are sums.
	memory float64
	links  map[string]float64
}

func readRoleUsage(nodes []*fleet.Member) (roleUsage, error) {
	sum := roleUsage{count: len(nodes), links: map[string]float64{}}
	for _, node := range nodes {
		read, err := readUsage(node)
		if err != nil {
			return sum, err
		}
		sum.cpuSeconds += read.cpuSeconds
		sum.memory = max(sum.memory, read.memory)
		for link, bytes := range read.links {
			sum.links[link] += bytes
		}
	}
	return sum, nil
}

// costSample holds the resource usage of all processes at one time.
type costSample struct {
	at          time.Time
	control     roleUsage
	relay       roleUsage
	node        roleUsage
	hollowNodes tally.Bytes
	// platform is the number of machine-list bytes that the platform has served.
	platform int64
}

func (s *system) sampleCosts() (costSample, error) {
	r := costSample{at: time.Now(), hollowNodes: s.hollowNodes.Tally.Read(), platform: s.platform.Bytes()}
	var err error
	if r.control, err = readRoleUsage(s.fleet.Controls); err != nil {
		return r, err
	}
	if r.relay, err = readRoleUsage(s.fleet.Relays); err != nil {
		return r, err
	}
	r.node, err = readRoleUsage(s.fleet.Proxies)
	return r, err
}
