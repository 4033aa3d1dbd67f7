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

// ConvergeOptions are the flags of the converge command, the convergence experiment.
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

// ConvergeReport holds the results of the convergence experiment for each system.
type ConvergeReport struct {
	Run     Run            `json:"run"`
	Systems []SystemResult `json:"systems"`
}

const (
	realNodes = 2
	// platformInterval is the period at which the product and the baselines read the
	// machine list.
	platformInterval = settings.DefaultPlatformInterval
	minChanges       = 1
)

var (
	errInvalidConvergeOptions = errors.New("rate, changes and proxies must be more than zero")
	errInvalidChange          = errors.New("change must be endpoint, bundle or secret")
)

// Converge measures the product and both baselines with the same changes and writes the
// report to out.
func Converge(options ConvergeOptions, out io.Writer) error {
	if options.Rate <= 0 || options.Changes < minChanges || options.Proxies < 1 {
		return errInvalidConvergeOptions
	}
	if !slices.Contains([]string{changeEndpoint, changeBundle, changeSecret}, options.Change) {
		return errInvalidChange
	}
	chosen, err := profile.Find(options.Profile)
	if err != nil {
		return err
	}
	report := ConvergeReport{Run: newRun(chosen.Name, options.Seed, options.Proxies)}
	report.Run.Change, report.Run.Changes = options.Change, options.Changes
	product, err := convergeProduct(options, newProfileWorkload(chosen, options.Seed))
	if err != nil {
		return fmt.Errorf("measure bramblelift: %w", err)
	}
	report.Systems = append(report.Systems, product)
	for _, mode := range []baseline.Mode{baseline.Push, baseline.Poll} {
		result, err := convergeBaseline(options, mode, newProfileWorkload(chosen, options.Seed))
		if err != nil {
			return fmt.Errorf("measure %s: %w", mode, err)
		}
		report.Systems = append(report.Systems, result)
	}
	return report.write(options, out)
}

func (r ConvergeReport) write(options ConvergeOptions, out io.Writer) error {
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

// nextInterval returns a random time to the next change, so that changes do not align with
// a period of the measured system.
func (o ConvergeOptions) nextInterval(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(time.Second) / o.Rate)
}

// makeChanges makes the changes at the configured rate and waits until all are in force.
func (o ConvergeOptions) makeChanges(recorder *convergence.Recorder, change func() error) error {
	recorder.Reset()
	random := rand.New(rand.NewPCG(o.Seed, 3))
	for range o.Changes {
		next := time.Now().Add(o.nextInterval(random))
		if err := change(); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	return recorder.Await(convergeLimit)
}

func convergeProduct(options ConvergeOptions, work *workload) (SystemResult, error) {
	s, err := startSystem(work, systemSize{nodes: options.Proxies, realNodes: realNodes, relays: len(work.zones)})
	if err != nil {
		return SystemResult{}, err
	}
	defer s.stop()
	idleFrom, err := s.sampleCosts()
	if err != nil {
		return SystemResult{}, err
	}
	time.Sleep(options.Idle)
	from, err := s.sampleCosts()
	if err != nil {
		return SystemResult{}, err
	}
	if err := options.makeChanges(s.recorder, func() error { return s.change(options.Change) }); err != nil {
		return SystemResult{}, err
	}
	to, err := s.sampleCosts()
	if err != nil {
		return SystemResult{}, err
	}
	result := SystemResult{
		System: "bramblelift", Convergence: s.recorder.Summary(), Seconds: to.at.Sub(from.at).Seconds(),
		NodeBytes: to.hollowNodes.Minus(from.hollowNodes), NodeMemory: to.node.memory,
	}
	result.setPerNodeBytes(options.Proxies, options.Changes)
	idle := from.at.Sub(idleFrom.at).Seconds()
	result.IdleBytes = float64(from.hollowNodes.Minus(idleFrom.hollowNodes).Total()) / float64(options.Proxies) / idle
	result.IdleCPU = (from.node.cpuSeconds - idleFrom.node.cpuSeconds) / float64(realNodes) / idle
	result.LinkBytes = linkBytes(from, to)
	return result, nil
}

// linkBytes returns the bytes sent over each kind of link between two samples. Each byte
// is counted once.
func linkBytes(from, to costSample) map[string]int64 {
	difference := func(a, b roleUsage, link string) int64 { return int64(b.links[link] - a.links[link]) }
	return map[string]int64{
		"platform-control": to.platform - from.platform,
		// Both ends of these links are control replicas, so each byte is counted twice.
		"control-control": difference(from.control, to.control, "replica") / 2,
		"control-relay":   difference(from.relay, to.relay, "control"),
		"relay-node":      difference(from.relay, to.relay, "node"),
	}
}

// convergeBaseline measures one baseline.
func convergeBaseline(options ConvergeOptions, mode baseline.Mode, work *workload) (SystemResult, error) {
	platform, err := standin.StartPlatform(0)
	if err != nil {
		return SystemResult{}, err
	}
	defer platform.Stop()
	platform.SetMachines(work.machines)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := baseline.Start(ctx, mode, platform.ListURL(), platformInterval)
	if err != nil {
		return SystemResult{}, err
	}
	b := &baselineRun{options: options, mode: mode, work: work, platform: platform, server: server, byteTally: &tally.Tally{}}
	return b.measure(ctx)
}

// baselineRun is the measurement of one baseline.
type baselineRun struct {
	options   ConvergeOptions
	mode      baseline.Mode
	work      *workload
	platform  *standin.Platform
	server    *baseline.Server
	byteTally *tally.Tally
	recorder  *convergence.Recorder
	version   uint64
}

func (b *baselineRun) measure(ctx context.Context) (SystemResult, error) {
	b.startNodes(ctx)
	if err := b.change(changeBundle); err != nil {
		return SystemResult{}, err
	}
	if err := b.recorder.Await(convergeLimit); err != nil {
		return SystemResult{}, err
	}
	// Exclude the first read of the machine list from the measurement.
	time.Sleep(2 * platformInterval)
	idleFrom := b.byteTally.Read()
	time.Sleep(b.options.Idle)
	from, platformFrom, started := b.byteTally.Read(), b.platform.Bytes(), time.Now()
	if err := b.options.makeChanges(b.recorder, func() error { return b.change(b.options.Change) }); err != nil {
		return SystemResult{}, err
	}
	result := SystemResult{
		System: string(b.mode), Convergence: b.recorder.Summary(), Seconds: time.Since(started).Seconds(),
		NodeBytes: b.byteTally.Read().Minus(from),
	}
	result.setPerNodeBytes(b.options.Proxies, b.options.Changes)
	result.IdleBytes = float64(from.Minus(idleFrom).Total()) / float64(b.options.Proxies) / b.options.Idle.Seconds()
	result.LinkBytes = map[string]int64{
		"platform-control": b.platform.Bytes() - platformFrom,
		"server-node":      result.NodeBytes.Total(),
	}
	return result, nil
}

func (b *baselineRun) startNodes(ctx context.Context) {
	var names []string
	for _, identity := range b.work.identities(b.options.Proxies) {
		names = append(names, identity.Name)
	}
	b.recorder = convergence.NewRecorder(names)
	for i, name := range names {
		client := &baseline.Client{
			Name: name, Address: b.server.Address(), Mode: b.mode, Tally: b.byteTally, OnActivate: b.recorder.OnActivate,
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
