// Package demo shows the whole path on one machine: real processes, stand-ins for what
// surrounds them, an operator's work, callers all the while, and a judgement at the
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

// Options are the flags of the demo.
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
	leaveBound  = 3 * time.Second
	platformLag = 700 * time.Millisecond
	setupLimit  = 30 * time.Second
	maxMillis   = 60000
)

// errFailed: the demo's judgement was bad; the last line says why.
var errFailed = errors.New("the demo did not hold what it must")

// demo is one run.
type demo struct {
	options Options
	out     io.Writer
	profile profile.Profile
	network *faultnet.Network
	fleet   *fleet.Fleet
	// entrances are where callers reach the nodes, with the latency to clients.
	entrances []string
	platform  *standin.Platform
	backends  *profile.Backends
	history   *history.History
	// convergence is in milliseconds, from acceptance to in force, by node.
	convergence *hdrhistogram.Histogram
	rolled      int
	rollsWanted int
	started     time.Time
}

// Run runs the demo; the error is nil only if everything held.
func Run(options Options, out io.Writer) error {
	chosen, err := profile.Find(options.Profile)
	if err != nil {
		return err
	}
	d := &demo{
		options: options, out: out, profile: chosen, history: &history.History{}, network: faultnet.New(),
		convergence: hdrhistogram.New(1, maxMillis, 3), started: time.Now(),
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
	if err := d.play(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	err = d.judge()
	if options.Keep {
		d.keep(folder)
	}
	return err
}

func (d *demo) say(format string, values ...any) {
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
	d.say("%d back ends of %d services run in %d zones", len(d.backends.All), len(d.profile.Services), len(d.profile.Zones))
	d.fleet, err = fleet.New(fleet.Config{
		Folder: filepath.Join(folder, "fleet"), Cluster: d.profile.Name, Zones: d.profile.Zones, Through: d.network.Through,
		Replicas: replicas, Relays: len(d.profile.Zones), Proxies: d.options.Proxies, ProxyData: true,
		PlatformURL: d.platform.ListURL(), SourceURL: d.platform.SourceURL(),
	})
	if err != nil {
		return err
	}
	if err := d.layOutLatency(); err != nil {
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
	d.say("%d control replicas, %d relays and %d nodes run; a leader is elected", replicas, len(d.fleet.Relays), len(d.fleet.Proxies))
	return nil
}

// callers is the name of the callers' end of their links.
const callers = "callers"

// layOutLatency slows the links between zones and those from the callers.
func (d *demo) layOutLatency() error {
	for _, node := range d.fleet.Proxies {
		address, err := d.network.Through(callers, node.Name, node.Address)
		if err != nil {
			return err
		}
		d.entrances = append(d.entrances, address)
	}
	if err := d.network.Delay(func(link faultnet.Link) bool { return link.Client == callers }, d.profile.ClientLatency); err != nil {
		return err
	}
	return d.network.Delay(d.betweenZones, d.profile.ZoneLatency)
}

// betweenZones matches the links between processes in different zones.
func (d *demo) betweenZones(link faultnet.Link) bool {
	zones := map[string]string{}
	for _, node := range d.fleet.All() {
		zones[node.Name] = node.Zone
	}
	return link.Client != callers && zones[link.Client] != zones[link.Server]
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

// play is the operator's day in short, with callers all the while.
func (d *demo) play() error {
	if err := d.publish("first version", "first-credential"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, d.fleet.Proxies); err != nil {
		return err
	}
	d.say("every node serves version 1; callers begin")
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
	d.backendLeaves()
	time.Sleep(step)
	if err := d.leaderDies(); err != nil {
		return err
	}
	if err := d.publish("version rolled by the new leader", "third-credential"); err != nil {
		return err
	}
	time.Sleep(step)
	if err := d.nodeRestarts(); err != nil {
		return err
	}
	<-loadDone
	return nil
}

func (d *demo) load(ctx context.Context) {
	load.Run(ctx, load.Config{
		Services: d.profile.Services, Nodes: d.entrances[:max(1, len(d.entrances)-1)], Callers: callerCount,
		Pause: callerPause, Timeout: callTimeout, Seed: d.options.Seed,
	}, d.history)
}

// publish rolls a bundle and times how long each node takes to have it in force.
func (d *demo) publish(what, credential string) error {
	d.rollsWanted++
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
	d.rolled++
	d.say("version %d (%s) accepted; in force on every node %d ms later", number, what, worst.Milliseconds())
	return nil
}

// awaitVersion polls the nodes' status pages, so a figure includes one poll.
func (d *demo) awaitVersion(ctx context.Context, number uint64, accepted time.Time) (time.Duration, error) {
	waiting := append([]*fleet.Node(nil), d.fleet.Proxies...)
	for len(waiting) > 0 {
		if ctx.Err() != nil {
			return 0, fmt.Errorf("%s does not have version %d in force", waiting[0].Name, number)
		}
		var still []*fleet.Node
		for _, node := range waiting {
			if !d.sees(node, number, accepted) {
				still = append(still, node)
			}
		}
		waiting = still
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(accepted), nil
}

// sees records what a node has in force.
func (d *demo) sees(node *fleet.Node, number uint64, accepted time.Time) bool {
	var status proxy.Status
	if err := node.Status(&status); err != nil {
		return false
	}
	d.history.AddSighting(history.Sighting{Node: node.Name, Version: status.Version, At: time.Now()})
	if status.Version < number {
		return false
	}
	_ = d.convergence.RecordValue(max(1, time.Since(accepted).Milliseconds()))
	return true
}

func (d *demo) backendLeaves() {
	leaving := d.backends.All[0]
	leaving.Drain()
	machines := d.backends.Machines()
	machines[0].Leaving = true
	d.platform.SetMachines(machines)
	d.say("back end %s says that it leaves; the platform's list says so %s later", leaving.Config.Name, platformLag)
}

func (d *demo) leaderDies() error {
	leader, err := d.fleet.Leader()
	if err != nil {
		return err
	}
	leader.Kill()
	d.say("the leader, %s, is killed", leader.Name)
	time.Sleep(100 * time.Millisecond)
	return leader.Start()
}

func (d *demo) nodeRestarts() error {
	node := d.fleet.Proxies[len(d.fleet.Proxies)-1]
	node.Kill()
	if err := node.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	if err := fleet.WaitReady(ctx, []*fleet.Node{node}); err != nil {
		return err
	}
	var status proxy.Status
	if err := node.Status(&status); err != nil {
		return err
	}
	d.history.AddSighting(history.Sighting{Node: node.Name, Version: status.Version, At: time.Now()})
	d.say("%s is killed and comes back with version %d", node.Name, status.Version)
	return nil
}

// judge runs the checkers and prints the result line.
func (d *demo) judge() error {
	records := d.history.Records()
	violations := check.All(records, leaveBound)
	for _, violation := range violations {
		d.say("VIOLATION %s", violation)
	}
	summary := load.Summarize(records)
	bytes, err := d.controlBytes()
	if err != nil {
		return fmt.Errorf("demo: count control bytes: %w", err)
	}
	d.say("%d calls: %d answered, %d refused, %d ended without an answer", summary.Calls, summary.Answered, summary.Refused, summary.Failed)
	fmt.Fprintf(d.out, "result profile=%s seed=%d proxies=%d calls=%d answered=%d refused=%d violations=%d convergence_p50_ms=%d convergence_p99_ms=%d control_bytes_per_proxy=%d\n",
		d.profile.Name, d.options.Seed, d.options.Proxies, summary.Calls, summary.Answered, summary.Refused,
		len(violations), d.convergence.ValueAtQuantile(50), d.convergence.ValueAtQuantile(99), bytes)
	if len(violations) > 0 || summary.Answered == 0 || d.rolled < d.rollsWanted {
		return errFailed
	}
	return nil
}

// controlBytes returns the mean of the bytes that a node exchanged with relays since
// its last start.
func (d *demo) controlBytes() (int64, error) {
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

func (d *demo) keep(folder string) {
	fmt.Fprintf(d.out, "the fleet stays up; settings and logs are in %s\n", folder)
	for _, node := range d.fleet.All() {
		fmt.Fprintf(d.out, "%-10s listens on %s, administration on %s\n", node.Name, node.Address, node.Admin)
	}
	fmt.Fprintln(d.out, "press Enter to end it")
	var line string
	_, _ = fmt.Scanln(&line)
}
