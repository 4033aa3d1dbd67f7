package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"bramblelift/pkg/bench/baseline"
	"bramblelift/pkg/bench/convergence"
	"bramblelift/pkg/bench/profile"
	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/bench/tally"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/settings"
)

// ConvergeOptions are the flags of the convergence experiment.
type ConvergeOptions struct {
	Profile string        `long:"profile" default:"san-jose" description:"san-jose or colombo-west"`
	Proxies int           `long:"proxies" default:"100" description:"how many hollow nodes"`
	Change  string        `long:"change" default:"endpoint" description:"what changes: endpoint, bundle or secret"`
	Changes int           `long:"changes" default:"30" description:"how many changes are made"`
	Rate    float64       `long:"rate" default:"3" description:"changes a second"`
	Period  time.Duration `long:"poll-period" default:"2s" description:"period of the polling baseline"`
	Idle    time.Duration `long:"idle" default:"6s" description:"how long idle traffic is counted"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the changes"`
	JSON    string        `long:"json" value-name:"FILE" description:"write the report as JSON, - for the output"`
	Plot    string        `long:"plot" value-name:"FILE" description:"draw the convergence, .svg or .png"`
}

// ConvergeReport is what the experiment found.
type ConvergeReport struct {
	Run     Run       `json:"run"`
	Systems []Figures `json:"systems"`
}

const (
	realNodes = 2
	// platformInterval is how often the product reads the list; the baselines do as
	// it does.
	platformInterval = settings.DefaultPlatformInterval
	minChanges       = 1
)

var (
	errBadRate   = errors.New("rate, changes and proxies must be more than zero")
	errBadChange = errors.New("change must be endpoint, bundle or secret")
)

// Converge measures the product and both baselines on the same changes.
func Converge(options ConvergeOptions, out io.Writer) error {
	if options.Rate <= 0 || options.Changes < minChanges || options.Proxies < 1 {
		return errBadRate
	}
	if !slices.Contains([]string{changeEndpoint, changeBundle, changeSecret}, options.Change) {
		return errBadChange
	}
	chosen, err := profile.Find(options.Profile)
	if err != nil {
		return err
	}
	report := ConvergeReport{Run: currentRun(chosen.Name, options.Seed, options.Proxies)}
	report.Run.Change, report.Run.Changes = options.Change, options.Changes
	product, err := convergeProduct(options, profileWorkload(chosen, options.Seed))
	if err != nil {
		return fmt.Errorf("measure bramblelift: %w", err)
	}
	report.Systems = append(report.Systems, product)
	for _, mode := range []baseline.Mode{baseline.Push, baseline.Poll} {
		figures, err := convergeBaseline(options, mode, profileWorkload(chosen, options.Seed))
		if err != nil {
			return fmt.Errorf("measure %s: %w", mode, err)
		}
		report.Systems = append(report.Systems, figures)
	}
	return report.show(options, out)
}

func (r ConvergeReport) show(options ConvergeOptions, out io.Writer) error {
	if options.JSON == "-" {
		return writeJSON(out, options.JSON, r)
	}
	writeTable(out, r.Systems)
	if options.JSON != "" {
		if err := writeJSON(out, options.JSON, r); err != nil {
			return err
		}
	}
	if options.Plot != "" {
		title := fmt.Sprintf("%s, %d nodes, %s changes", r.Run.Profile, r.Run.Nodes, r.Run.Change)
		if err := plotConvergence(options.Plot, title, r.Systems); err != nil {
			return err
		}
	}
	product, push, poll := r.Systems[0], r.Systems[1], r.Systems[2]
	fmt.Fprintf(out, "result commit=%s profile=%s seed=%d proxies=%d change=%s changes=%d p50_ms=%.1f p99_ms=%.1f worst_ms=%.1f bytes_per_node_change=%.0f idle_bytes_per_node_second=%.0f push_bytes_ratio=%.1f poll_bytes_ratio=%.1f push_p99_ratio=%.2f poll_p99_ratio=%.2f\n",
		r.Run.Commit, r.Run.Profile, r.Run.Seed, r.Run.Nodes, r.Run.Change, r.Run.Changes,
		product.Convergence.P50, product.Convergence.P99, product.Convergence.Worst, product.PerNodeChange, product.IdleBytes,
		push.PerNode/product.PerNode, poll.PerNode/product.PerNode,
		push.Convergence.P99/product.Convergence.P99, poll.Convergence.P99/product.Convergence.P99)
	return nil
}

// pause spreads the changes, so that they do not fall into step with a period of what
// is measured.
func (o ConvergeOptions) pause(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(time.Second) / o.Rate)
}

// repeat makes the changes at the rate and waits until all are in force.
func (o ConvergeOptions) repeat(recorder *convergence.Recorder, change func() error) error {
	recorder.Reset()
	random := rand.New(rand.NewPCG(o.Seed, 3))
	for range o.Changes {
		next := time.Now().Add(o.pause(random))
		if err := change(); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	return recorder.Await(convergeLimit)
}

func convergeProduct(options ConvergeOptions, work *workload) (Figures, error) {
	s, err := startSystem(work, systemSize{nodes: options.Proxies, realNodes: realNodes, relays: len(work.zones)})
	if err != nil {
		return Figures{}, err
	}
	defer s.stop()
	idleFrom, err := s.read()
	if err != nil {
		return Figures{}, err
	}
	time.Sleep(options.Idle)
	from, err := s.read()
	if err != nil {
		return Figures{}, err
	}
	if err := options.repeat(s.recorder, func() error { return s.change(options.Change) }); err != nil {
		return Figures{}, err
	}
	to, err := s.read()
	if err != nil {
		return Figures{}, err
	}
	figures := Figures{
		System: "bramblelift", Convergence: s.recorder.Summary(), Seconds: to.at.Sub(from.at).Seconds(),
		NodeBytes: to.swarm.Minus(from.swarm), NodeMemory: to.node.memory,
	}
	figures.divide(options.Proxies, options.Changes)
	idle := from.at.Sub(idleFrom.at).Seconds()
	figures.IdleBytes = float64(from.swarm.Minus(idleFrom.swarm).Total()) / float64(options.Proxies) / idle
	figures.IdleCPU = (from.node.cpuSeconds - idleFrom.node.cpuSeconds) / float64(realNodes) / idle
	figures.LinkBytes = linkBytes(from, to)
	return figures, nil
}

// linkBytes returns the bytes of each link between two readings. Each link is counted at
// one of its ends.
func linkBytes(from, to reading) map[string]int64 {
	difference := func(a, b roleUsage, link string) int64 { return int64(b.links[link] - a.links[link]) }
	return map[string]int64{
		"platform-control": to.platform - from.platform,
		// Both ends of a link between replicas are control replicas.
		"control-control": difference(from.control, to.control, "replica") / 2,
		"control-relay":   difference(from.relay, to.relay, "control"),
		"relay-node":      difference(from.relay, to.relay, "node"),
	}
}

// convergeBaseline runs one baseline on the same changes.
func convergeBaseline(options ConvergeOptions, mode baseline.Mode, work *workload) (Figures, error) {
	platform, err := standin.StartPlatform(0)
	if err != nil {
		return Figures{}, err
	}
	defer platform.Stop()
	platform.SetMachines(work.machines)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := baseline.Start(ctx, mode, platform.ListURL(), platformInterval)
	if err != nil {
		return Figures{}, err
	}
	b := &baselineRun{options: options, mode: mode, work: work, platform: platform, server: server, count: &tally.Tally{}}
	return b.measure(ctx)
}

// baselineRun is one baseline under measurement.
type baselineRun struct {
	options  ConvergeOptions
	mode     baseline.Mode
	work     *workload
	platform *standin.Platform
	server   *baseline.Server
	count    *tally.Tally
	recorder *convergence.Recorder
	version  uint64
}

func (b *baselineRun) measure(ctx context.Context) (Figures, error) {
	b.startNodes(ctx)
	if err := b.change(changeBundle); err != nil {
		return Figures{}, err
	}
	if err := b.recorder.Await(convergeLimit); err != nil {
		return Figures{}, err
	}
	// The list's first reading must not count as a change.
	time.Sleep(2 * platformInterval)
	idleFrom := b.count.Read()
	time.Sleep(b.options.Idle)
	from, platformFrom, started := b.count.Read(), b.platform.Bytes(), time.Now()
	if err := b.options.repeat(b.recorder, func() error { return b.change(b.options.Change) }); err != nil {
		return Figures{}, err
	}
	figures := Figures{
		System: string(b.mode), Convergence: b.recorder.Summary(), Seconds: time.Since(started).Seconds(),
		NodeBytes: b.count.Read().Minus(from),
	}
	figures.divide(b.options.Proxies, b.options.Changes)
	figures.IdleBytes = float64(from.Minus(idleFrom).Total()) / float64(b.options.Proxies) / b.options.Idle.Seconds()
	figures.LinkBytes = map[string]int64{
		"platform-control": b.platform.Bytes() - platformFrom,
		"server-node":      figures.NodeBytes.Total(),
	}
	return figures, nil
}

func (b *baselineRun) startNodes(ctx context.Context) {
	var names []string
	for _, identity := range b.work.identities(b.options.Proxies) {
		names = append(names, identity.Name)
	}
	b.recorder = convergence.NewRecorder(names)
	for i, name := range names {
		client := &baseline.Client{
			Name: name, Address: b.server.Address(), Mode: b.mode, Tally: b.count, InForce: b.recorder.InForce,
			Period: b.options.Period, Phase: b.options.Period * time.Duration(i) / time.Duration(len(names)),
		}
		go func() { _ = client.Run(ctx) }()
	}
}

func (b *baselineRun) change(kind string) error {
	if kind == changeEndpoint {
		change := b.work.restartMachine(map[string]string{})
		change.At = time.Now()
		b.recorder.Begin(change)
		b.platform.SetMachines(b.work.machines)
		return nil
	}
	content, err := bundle.Parse("bundle.toml", []byte(b.work.nextBundle(kind)))
	if err != nil {
		return err
	}
	b.version++
	b.recorder.Begin(versionChange(b.version, time.Now()))
	b.server.SetContent(b.version, content)
	return nil
}
