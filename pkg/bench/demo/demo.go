// Package demo runs the complete system on one machine: real processes, simulated back
// ends and platform, rollouts, failures and constant load. It checks the history at the
// end.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"bramblelift/pkg/bench/check"
	"bramblelift/pkg/bench/faultnet"
	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/history"
	"bramblelift/pkg/bench/load"
	"bramblelift/pkg/bench/profile"
	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/proxy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options are the flags of the demo command.
type Options struct {
	Profile  string        `long:"profile" default:"san-jose" description:"san-jose or colombo-west"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the callers' choices"`
	Proxies  int           `long:"proxies" default:"12" description:"how many nodes"`
	Duration time.Duration `long:"duration" default:"15s" description:"how long callers call"`
	Keep     bool          `long:"keep" description:"leave the fleet up and print its addresses"`
}

const (
	replicas    = 3
	callerCount = 24
	callerPause = 15 * time.Millisecond
	callTimeout = 10 * time.Second
	// leaveBound bounds the time until a leaving back end gets no new calls.
	leaveBound  = 3 * time.Second
	platformLag = 700 * time.Millisecond
	setupLimit  = 30 * time.Second
	// maxConvergenceMillis is the highest convergence time that the histogram can hold.
	maxConvergenceMillis = 60000
)

// errFailed is returned when the final checks fail; the output has the details.
var errFailed = errors.New("demo failed: invariant violated, no call answered or rollout incomplete")

// demo is the state of one run.
type demo struct {
	options Options
	out     io.Writer
	profile profile.Profile
	network *faultnet.Network
	fleet   *fleet.Fleet
	// callerAddresses are the addresses at which callers reach the nodes, through fault proxies
	// that add the client latency.
	callerAddresses []string
	platform        *standin.Platform
	backends        *profile.Backends
	history         *history.History
	// convergence holds, for each node and version, the milliseconds from the acceptance
	// of the rollout until the node has the version in force.
	convergence       *hdrhistogram.Histogram
	rolloutsCompleted int
	rolloutsStarted   int
	started           time.Time
}

// Run runs the demo and writes progress and result to out. It returns an error if the
// setup, a step or a final check fails.
func Run(options Options, out io.Writer) error {
	selected, err := profile.Find(options.Profile)
	if err != nil {
		return err
	}
	d := &demo{
		options: options, out: out, profile: selected, history: &history.History{}, network: faultnet.New(),
		convergence: hdrhistogram.New(1, maxConvergenceMillis, 3), started: time.Now(),
	}
	folder, err := os.MkdirTemp("", "bramblelift-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := d.setUp(folder); err != nil {
		d.tearDown()
		return fmt.Errorf("demo: set up: %w", err)
	}
	defer func() {
		d.tearDown()
		if !options.Keep {
			os.RemoveAll(folder)
		}
	}()
	if err := d.runScenario(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	err = d.checkResults()
	if options.Keep {
		d.waitForEnter(folder)
	}
	return err
}

// logf writes a progress line with the time since the start of the demo.
func (d *demo) logf(format string, values ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, values...))
}

func (d *demo) setUp(folder string) error {
	var err error
	if d.platform, err = standin.StartPlatform(platformLag); err != nil {
		return err
	}
	if d.backends, err = d.profile.StartBackends(d.history); err != nil {
		return err
	}
	d.platform.SetMachines(d.backends.Machines())
	d.logf("%d back ends of %d services run in %d zones", len(d.backends.All), len(d.profile.Services), len(d.profile.Zones))
	d.fleet, err = fleet.New(fleet.Config{
		Folder: filepath.Join(folder, "fleet"), Cluster: d.profile.Name, Zones: d.profile.Zones, ProxyFor: d.network.ProxyFor,
		Replicas: replicas, Relays: len(d.profile.Zones), Proxies: d.options.Proxies, ProxyData: true,
		PlatformURL: d.platform.ListURL(), SourceURL: d.platform.SourceURL(),
	})
	if err != nil {
		return err
	}
	if err := d.addLatency(); err != nil {
		return err
	}
	if err := d.fleet.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, d.fleet.Controls); err != nil {
		return err
	}
	d.logf("%d control replicas, %d relays and %d nodes run; a leader is elected", replicas, len(d.fleet.Relays), len(d.fleet.Proxies))
	return nil
}

// callersName is the client name of the links between callers and nodes.
const callersName = "callers"

// addLatency delays the links between zones and those from callers to nodes.
func (d *demo) addLatency() error {
	for _, node := range d.fleet.Proxies {
		address, err := d.network.ProxyFor(callersName, node.Name, node.Address)
		if err != nil {
			return err
		}
		d.callerAddresses = append(d.callerAddresses, address)
	}
	if err := d.network.DelayPermanently(func(link faultnet.Link) bool { return link.Client == callersName }, d.profile.ClientLatency); err != nil {
		return err
	}
	return d.network.DelayPermanently(d.crossesZones, d.profile.ZoneLatency)
}

// crossesZones reports whether a link connects processes in different zones.
func (d *demo) crossesZones(link faultnet.Link) bool {
	zones := map[string]string{}
	for _, node := range d.fleet.All() {
		zones[node.Name] = node.Zone
	}
	return link.Client != callersName && zones[link.Client] != zones[link.Server]
}

func (d *demo) tearDown() {
	if d.fleet != nil {
		d.fleet.Kill()
	}
	d.network.Stop()
	if d.backends != nil {
		d.backends.Stop()
	}
	if d.platform != nil {
		d.platform.Stop()
	}
}

// runScenario publishes versions, drains a back end, kills the leader and restarts a node
// while callers send load.
func (d *demo) runScenario() error {
	if err := d.publish("first version", "first-credential"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, d.fleet.Proxies); err != nil {
		return err
	}
	d.logf("every node serves version 1; callers begin")
	loadContext, stopLoad := context.WithTimeout(context.Background(), d.options.Duration)
	defer stopLoad()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		d.load(loadContext)
	}()
	step := d.options.Duration / 6
	time.Sleep(step)
	if err := d.publish("new credential for the back ends", "second-credential"); err != nil {
		return err
	}
	time.Sleep(step)
	d.drainBackend()
	time.Sleep(step)
	if err := d.killLeader(); err != nil {
		return err
	}
	if err := d.publish("version rolled by the new leader", "third-credential"); err != nil {
		return err
	}
	time.Sleep(step)
	if err := d.restartNode(); err != nil {
		return err
	}
	<-loadDone
	return nil
}

func (d *demo) load(ctx context.Context) {
	load.Run(ctx, load.Config{
		Services: d.profile.Services, Nodes: d.callerAddresses[:max(1, len(d.callerAddresses)-1)], Callers: callerCount,
		Pause: callerPause, Timeout: callTimeout, Seed: d.options.Seed,
	}, d.history)
}

// publish rolls out a bundle and waits until it is in force on every node.
func (d *demo) publish(what, credential string) error {
	d.rolloutsStarted++
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	number, accepted, err := d.fleet.Publish(ctx, d.profile.BundleText(credential))
	if err != nil {
		return err
	}
	worst, err := d.awaitVersion(ctx, number, accepted)
	if err != nil {
		return err
	}
	d.rolloutsCompleted++
	d.logf("version %d (%s) accepted; in force on every node %d ms later", number, what, worst.Milliseconds())
	return nil
}

// awaitVersion polls the status page of each node until all have the version in force. It
// returns the time since accepted, which includes the delay of polling.
func (d *demo) awaitVersion(ctx context.Context, number uint64, accepted time.Time) (time.Duration, error) {
	pending := append([]*fleet.Member(nil), d.fleet.Proxies...)
	for len(pending) > 0 {
		if ctx.Err() != nil {
			return 0, fmt.Errorf("%s does not have version %d in force", pending[0].Name, number)
		}
		var remaining []*fleet.Member
		for _, node := range pending {
			if !d.recordVersion(node, number, accepted) {
				remaining = append(remaining, node)
			}
		}
		pending = remaining
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(accepted), nil
}

// recordVersion records the version in force on a node and reports whether it has reached
// the given number.
func (d *demo) recordVersion(node *fleet.Member, number uint64, accepted time.Time) bool {
	var status proxy.Status
	if err := node.Status(&status); err != nil {
		return false
	}
	d.history.AddVersionObservation(history.VersionObservation{Node: node.Name, Version: status.Version, At: time.Now()})
	if status.Version < number {
		return false
	}
	_ = d.convergence.RecordValue(max(1, time.Since(accepted).Milliseconds()))
	return true
}

func (d *demo) drainBackend() {
	leaving := d.backends.All[0]
	leaving.Drain()
	machines := d.backends.Machines()
	machines[0].Leaving = true
	d.platform.SetMachines(machines)
	d.logf("back end %s says that it leaves; the platform's list says so %s later", leaving.Config.Name, platformLag)
}

func (d *demo) killLeader() error {
	leader, err := d.fleet.Leader()
	if err != nil {
		return err
	}
	leader.Kill()
	d.logf("the leader, %s, is killed", leader.Name)
	time.Sleep(100 * time.Millisecond)
	return leader.Start()
}

func (d *demo) restartNode() error {
	node := d.fleet.Proxies[len(d.fleet.Proxies)-1]
	node.Kill()
	if err := node.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, []*fleet.Member{node}); err != nil {
		return err
	}
	var status proxy.Status
	if err := node.Status(&status); err != nil {
		return err
	}
	d.history.AddVersionObservation(history.VersionObservation{Node: node.Name, Version: status.Version, At: time.Now()})
	d.logf("%s is killed and comes back with version %d", node.Name, status.Version)
	return nil
}

// checkResults runs the checkers and prints the result line.
func (d *demo) checkResults() error {
	records := d.history.Records()
	violations := check.All(records, leaveBound)
	for _, violation := range violations {
		d.logf("VIOLATION %s", violation)
	}
	summary := load.Summarize(records)
	bytes, err := d.meanControlBytes()
	if err != nil {
		return fmt.Errorf("demo: count control bytes: %w", err)
	}
	d.logf("%d calls: %d answered, %d refused, %d ended without an answer", summary.Calls, summary.Answered, summary.Refused, summary.Failed)
	fmt.Fprintf(d.out, "result profile=%s seed=%d proxies=%d calls=%d answered=%d refused=%d violations=%d convergence_p50_ms=%d convergence_p99_ms=%d control_bytes_per_proxy=%d\n",
		d.profile.Name, d.options.Seed, d.options.Proxies, summary.Calls, summary.Answered, summary.Refused,
		len(violations), d.convergence.ValueAtQuantile(50), d.convergence.ValueAtQuantile(99), bytes)
	if len(violations) > 0 || summary.Answered == 0 || d.rolloutsCompleted < d.rolloutsStarted {
		return errFailed
	}
	return nil
}

// meanControlBytes returns the mean number of bytes that a node exchanged with relays
// since its last start.
func (d *demo) meanControlBytes() (int64, error) {
	var total float64
	for _, node := range d.fleet.Proxies {
		bytes, err := fleet.ControlBytes(node)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return int64(total / float64(len(d.fleet.Proxies))), nil
}

// waitForEnter prints the addresses of all processes and blocks until Enter is pressed.
func (d *demo) waitForEnter(folder string) {
	fmt.Fprintf(d.out, "the fleet stays up; settings and logs are in %s\n", folder)
	for _, node := range d.fleet.All() {
		fmt.Fprintf(d.out, "%-10s listens on %s, administration on %s\n", node.Name, node.Address, node.Admin)
	}
	fmt.Fprintln(d.out, "press Enter to end it")
	var line string
	_, _ = fmt.Scanln(&line)
}
