package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"bramblelift/pkg/bench/chain"
	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/load"
	"bramblelift/pkg/bench/standin"
)

// CallsOptions are the flags of the calls command, the data-plane experiment.
type CallsOptions struct {
	Proxies  int           `long:"proxies" default:"4" description:"how many nodes"`
	Depth    int           `long:"depth" default:"27" description:"deepest chain of calls"`
	Rate     float64       `long:"rate" default:"300" description:"calls a second for the time added"`
	Rounds   int           `long:"rounds" default:"4" description:"how often each way is measured, in turn"`
	Duration time.Duration `long:"duration" default:"4s" description:"how long each measurement takes"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the calls"`
	JSON     string        `long:"json" value-name:"FILE" description:"write the report as JSON, - for the output"`
}

// PathLatency holds the latency of calls over one path: direct, through the bare reverse
// proxy or through a node.
type PathLatency struct {
	// Way names the path.
	Way   string  `json:"way"`
	Calls int     `json:"calls"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
}

// ChainLatency holds the latency of call chains of one depth, with direct calls between
// services and with calls through nodes.
type ChainLatency struct {
	Depth     int     `json:"depth"`
	DirectP50 float64 `json:"direct_p50_ms"`
	DirectP99 float64 `json:"direct_p99_ms"`
	NodeP50   float64 `json:"node_p50_ms"`
	NodeP99   float64 `json:"node_p99_ms"`
}

// Amplification counts the attempts that reach the last service of a chain when that
// service declines every call.
type Amplification struct {
	Depth        int     `json:"depth"`
	Roots        int     `json:"root_calls"`
	LeafAttempts int64   `json:"leaf_attempts"`
	PerRoot      float64 `json:"leaf_attempts_per_root_call"`
}

// Goodput holds the rates and counts of call outcomes at one offered load.
type Goodput struct {
	// Load is the offered rate as a multiple of the capacity of the back ends.
	Load     float64 `json:"load"`
	Offered  float64 `json:"offered_per_second"`
	Answered float64 `json:"answered_per_second"`
	Refused  float64 `json:"refused_per_second"`
	Failed   int     `json:"failed"`
	P99      float64 `json:"answered_p99_ms"`
	RefuseMs float64 `json:"refused_p99_ms"`
}

// CallsReport holds the results of the data-plane experiment.
type CallsReport struct {
	Run Run `json:"run"`
	// Ways holds the latency of each path: direct, bare reverse proxy, node.
	Ways          []PathLatency  `json:"ways"`
	Chains        []ChainLatency `json:"chains"`
	Amplification Amplification  `json:"amplification"`
	Goodput       []Goodput      `json:"goodput"`
	// NodeMemory is the largest resident size of a node in bytes.
	NodeMemory float64 `json:"node_memory_bytes"`
	// NodeCPU is the CPU time of a node per call in microseconds.
	NodeCPU float64 `json:"node_cpu_micros_per_call"`
}

const (
	callTimeout = 15 * time.Second
	// goodputSlots, goodputBackends and goodputWork determine the capacity in the goodput
	// measurement.
	goodputSlots       = 6
	goodputBackends    = 4
	goodputWork        = 40 * time.Millisecond
	chainBackends      = 4
	amplificationDepth = 5
	serviceChain       = "chain"
	serviceDecline     = "decline"
	serviceLoaded      = "loaded"
)

var errInvalidCallsOptions = errors.New("proxies, depth, rate and rounds must be more than zero")

// callsExperiment holds the processes and services of a data-plane experiment.
type callsExperiment struct {
	options           CallsOptions
	folder            string
	platform          *standin.Platform
	fleet             *fleet.Fleet
	chains            []*chain.Service
	decliningServices []*chain.Service
	loaded            []*standin.Backend
	bareProxy         *fleet.Process
	bareProxyAddress  string
}

// Calls measures the latency that a node adds, call chains, retry amplification and
// goodput under overload, and writes the report to out.
func Calls(options CallsOptions, out io.Writer) error {
	if options.Proxies < 1 || options.Depth < 1 || options.Rate <= 0 || options.Rounds < 1 {
		return errInvalidCallsOptions
	}
	e := &callsExperiment{options: options}
	defer e.stop()
	if err := e.start(); err != nil {
		return fmt.Errorf("calls: set up: %w", err)
	}
	report := &CallsReport{Run: newRun("calls", options.Seed, options.Proxies)}
	cpuBefore, err := readUsage(e.fleet.Proxies[0])
	if err != nil {
		return err
	}
	report.Ways = e.measureAddedLatency()
	cpuAfter, err := readUsage(e.fleet.Proxies[0])
	if err != nil {
		return err
	}
	report.NodeCPU = (cpuAfter.cpuSeconds - cpuBefore.cpuSeconds) * 1e6 / float64(report.Ways[2].Calls)
	report.Chains = e.measureChains()
	report.Amplification = e.measureAmplification()
	report.Goodput = e.measureGoodput()
	usage, err := readRoleUsage(e.fleet.Proxies)
	if err != nil {
		return err
	}
	report.NodeMemory = usage.memory
	return report.write(options, out)
}

func (e *callsExperiment) start() error {
	var err error
	if e.folder, err = os.MkdirTemp("", "bramblelift-calls-"); err != nil {
		return err
	}
	if e.platform, err = standin.StartPlatform(0); err != nil {
		return err
	}
	if err := e.startServices(); err != nil {
		return err
	}
	e.platform.SetMachines(e.machines())
	e.fleet, err = fleet.New(fleet.Config{
		Folder: filepath.Join(e.folder, "fleet"), Cluster: cluster, Zones: []string{"a", "b"},
		Replicas: replicas, Relays: 2, Proxies: e.options.Proxies, PlatformURL: e.platform.ListURL(),
	})
	if err != nil {
		return err
	}
	if err := e.fleet.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	defer cancel()
	if _, _, err := e.fleet.Publish(ctx, callsBundle); err != nil {
		return err
	}
	if err := fleet.WaitReady(ctx, e.fleet.Proxies); err != nil {
		return err
	}
	// Allow time for the machine list to reach the nodes.
	time.Sleep(2 * time.Second)
	return e.startBareProxy()
}

const callsBundle = `
[[service]]
name = "chain"
max_concurrency = 256
max_connections = 256
[[service]]
name = "decline"
max_concurrency = 256
[[service]]
name = "loaded"
max_concurrency = 6
max_connections = 32
[[route]]
name = "chain"
path_prefix = "/chain"
service = "chain"
timeout = "10s"
[[route]]
name = "decline"
path_prefix = "/decline"
service = "decline"
timeout = "10s"
[[route]]
name = "loaded"
path_prefix = "/loaded"
service = "loaded"
timeout = "2s"
`

func (e *callsExperiment) startServices() error {
	for range chainBackends {
		for _, list := range []*[]*chain.Service{&e.chains, &e.decliningServices} {
			service, err := chain.Start()
			if err != nil {
				return err
			}
			*list = append(*list, service)
		}
	}
	for i := range goodputBackends {
		backend, err := standin.StartBackend(standin.BackendConfig{
			Name: fmt.Sprintf("loaded-%d", i+1), Service: serviceLoaded, Zone: "a", Slots: goodputSlots, Work: goodputWork,
			LoadLag: platformInterval, ConnectCost: time.Millisecond,
		}, nil)
		if err != nil {
			return err
		}
		e.loaded = append(e.loaded, backend)
	}
	return nil
}

func (e *callsExperiment) machines() []standin.Machine {
	var all []standin.Machine
	add := func(service, address string) {
		all = append(all, standin.Machine{Service: service, ID: fmt.Sprintf("%s-%d", service, len(all)), Incarnation: 1, Address: address, Zone: "a"})
	}
	for _, service := range e.chains {
		add(serviceChain, service.Address())
	}
	for _, service := range e.decliningServices {
		add(serviceDecline, service.Address())
	}
	for _, backend := range e.loaded {
		add(serviceLoaded, backend.Address())
	}
	return all
}

// startBareProxy runs the bare reverse proxy in a separate process, like the nodes.
func (e *callsExperiment) startBareProxy() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("start bare proxy: %w", err)
	}
	if e.bareProxyAddress, err = e.fleet.FreeAddress(); err != nil {
		return err
	}
	e.bareProxy = fleet.NewProcess("bare", filepath.Join(e.folder, "bare.log"), self,
		"bare-proxy", "--listen", e.bareProxyAddress, "--target", e.chains[0].Address())
	if err := e.bareProxy.Start(); err != nil {
		return err
	}
	return waitForListener(e.bareProxyAddress)
}

func (e *callsExperiment) stop() {
	if e.bareProxy != nil {
		e.bareProxy.Kill()
	}
	if e.fleet != nil {
		e.fleet.Kill()
	}
	for _, service := range append(e.chains, e.decliningServices...) {
		service.Stop()
	}
	for _, backend := range e.loaded {
		backend.Stop()
	}
	if e.platform != nil {
		e.platform.Stop()
	}
	os.RemoveAll(e.folder)
}

// nodes returns the call addresses of all nodes.
func (e *callsExperiment) nodes() []string {
	var all []string
	for _, node := range e.fleet.Proxies {
		all = append(all, node.Address)
	}
	return all
}

func urls(addresses []string, path string) []string {
	var all []string
	for _, address := range addresses {
		all = append(all, "http://"+address+path)
	}
	return all
}

func (e *callsExperiment) run(addresses []string, path string, rate float64) load.OpenResult {
	return load.RunOpen(context.Background(), load.OpenConfig{
		URLs: urls(addresses, path), Method: http.MethodGet, Rate: rate, Duration: e.options.Duration,
		Timeout: callTimeout, Seed: e.options.Seed,
	})
}
