package experiment

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"bramblelift/pkg/bench/convergence"
)

// ScaleOptions are the flags of the scale experiment.
type ScaleOptions struct {
	Nodes    int           `long:"nodes" default:"3300" description:"how many hollow nodes, each beside a back end"`
	Services int           `long:"services" default:"410" description:"how many services"`
	Relays   int           `long:"relays" default:"10" description:"how many relays"`
	Duration time.Duration `long:"duration" default:"30s" description:"how long changes are made"`
	Day      int           `long:"changes-a-day" default:"1400" description:"operators' changes a day"`
	Restarts int           `long:"restarts-a-day" default:"1200" description:"back ends restarted or replaced a day"`
	Compress float64       `long:"compress" default:"60" description:"by how much the day is compressed in time"`
	Idle     time.Duration `long:"idle" default:"10s" description:"how long idle cost is counted"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the changes"`
	JSON     string        `long:"json" value-name:"FILE" description:"write the report as JSON, - for the output"`
}

// RoleCost is what one role costs.
type RoleCost struct {
	Processes int `json:"processes"`
	// CoreShare is the processor time of all processes a second.
	CoreShare float64 `json:"core_share"`
	// Memory is the resident size of the largest process in bytes.
	Memory float64 `json:"memory_bytes"`
	// BytesPerSecond sums the role's links.
	BytesPerSecond map[string]float64 `json:"bytes_per_second"`
}

// ScaleReport is what the experiment found.
type ScaleReport struct {
	Run      Run `json:"run"`
	Services int `json:"services"`
	Relays   int `json:"relays"`
	// SnapshotBytes are the bytes a node exchanged until it first was current.
	SnapshotBytes float64 `json:"snapshot_bytes_per_node"`
	// StartSeconds is how long all nodes took to be current from nothing.
	StartSeconds float64             `json:"start_seconds"`
	Compress     float64             `json:"compress"`
	Bundles      int                 `json:"bundle_changes"`
	Endpoints    int                 `json:"endpoint_changes"`
	Convergence  convergence.Summary `json:"convergence"`
	// NodeIdle and NodeBusy are the bytes a second of a node.
	NodeIdle float64 `json:"idle_bytes_per_node_second"`
	NodeBusy float64 `json:"busy_bytes_per_node_second"`
	// HollowCPU is the bench's own processor time a node, an upper bound of a node's.
	HollowCPU float64 `json:"hollow_node_core_share"`
	// HollowMemory is the bench's resident size a node.
	HollowMemory float64             `json:"hollow_node_memory_bytes"`
	Idle         map[string]RoleCost `json:"idle"`
	Busy         map[string]RoleCost `json:"busy"`
}

var errBadScale = errors.New("nodes, services, relays, changes and compression must be more than zero")

// aimZones are the zones of the size that the users expect within two years.
var aimZones = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7", "zone-8"}

const (
	day = 24 * time.Hour
	// scaleRealNodes are real processes among the hollow ones.
	scaleRealNodes = 2
)

// Scale runs hollow nodes at size and counts what each role costs, idle and under a
// compressed day's changes.
func Scale(options ScaleOptions, out io.Writer) error {
	if options.Nodes < 1 || options.Services < 1 || options.Relays < 1 || options.Day < 1 || options.Restarts < 1 || options.Compress <= 0 {
		return errBadScale
	}
	work := meshWorkload(aimZones, options.Services, options.Nodes, options.Seed)
	s, err := startSystem(work, systemSize{nodes: options.Nodes, realNodes: scaleRealNodes, relays: options.Relays})
	if err != nil {
		return err
	}
	defer s.stop()
	report := ScaleReport{
		Run: currentRun("mesh", options.Seed, options.Nodes), Services: options.Services, Relays: options.Relays, Compress: options.Compress,
		SnapshotBytes: float64(s.swarm.Tally.Read().Total()) / float64(options.Nodes), StartSeconds: s.startTook.Seconds(),
	}
	if err := report.measure(s, options); err != nil {
		return err
	}
	return report.show(options, out)
}

func (r *ScaleReport) measure(s *system, options ScaleOptions) error {
	// What the start left to do is not idle cost.
	time.Sleep(2 * nodeSilence)
	idleFrom, err := s.read()
	if err != nil {
		return err
	}
	time.Sleep(options.Idle)
	from, err := s.read()
	if err != nil {
		return err
	}
	cpuFrom := ownCPU()
	if err := r.runDay(s, options); err != nil {
		return err
	}
	cpuTo := ownCPU()
	to, err := s.read()
	if err != nil {
		return err
	}
	seconds := to.at.Sub(from.at).Seconds()
	r.Convergence = s.recorder.Summary()
	r.NodeIdle = nodeRate(idleFrom, from, options.Nodes)
	r.NodeBusy = nodeRate(from, to, options.Nodes)
	r.HollowCPU = (cpuTo - cpuFrom) / seconds / float64(options.Nodes)
	r.HollowMemory = ownMemory() / float64(options.Nodes)
	r.Idle = roleCosts(idleFrom, from)
	r.Busy = roleCosts(from, to)
	return nil
}

// runDay makes the day's changes in compressed time. Operators change a secret or a
// route in turn, back ends restart; all at random moments.
func (r *ScaleReport) runDay(s *system, options ScaleOptions) error {
	random := rand.New(rand.NewPCG(options.Seed, 4))
	s.recorder.Forget()
	total := float64(options.Day+options.Restarts) * options.Compress / day.Seconds()
	end := time.Now().Add(options.Duration)
	for time.Now().Before(end) {
		next := time.Now().Add(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
		kind := changeEndpoint
		if random.IntN(options.Day+options.Restarts) < options.Day {
			kind = []string{changeBundle, changeSecret}[r.Bundles%2]
			r.Bundles++
		} else {
			r.Endpoints++
		}
		if err := s.change(kind); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	return s.recorder.Await(convergeLimit)
}

func nodeRate(from, to reading, nodes int) float64 {
	bytes := to.swarm.Minus(from.swarm).Total()
	return float64(bytes) / to.at.Sub(from.at).Seconds() / float64(nodes)
}

// roleCosts compares two readings.
func roleCosts(from, to reading) map[string]RoleCost {
	seconds := to.at.Sub(from.at).Seconds()
	costs := map[string]RoleCost{}
	for name, pair := range map[string][2]roleUsage{
		"control": {from.control, to.control}, "relay": {from.relay, to.relay}, "node": {from.node, to.node},
	} {
		before, after := pair[0], pair[1]
		cost := RoleCost{
			Processes: after.count, CoreShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
			Memory: after.memory, BytesPerSecond: map[string]float64{},
		}
		for link, bytes := range after.links {
			cost.BytesPerSecond[link] = (bytes - before.links[link]) / seconds
		}
		costs[name] = cost
	}
	return costs
}

// ownCPU returns the processor time of the bench itself in seconds.
func ownCPU() float64 {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
}

// ownMemory returns the largest resident size that the bench had, in bytes.
func ownMemory() float64 {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return float64(used.Maxrss) * 1024
}

func (r *ScaleReport) show(options ScaleOptions, out io.Writer) error {
	if options.JSON == "-" {
		return writeJSON(out, options.JSON, r)
	}
	fmt.Fprintf(out, "%d hollow nodes of %d services were current %.1f s after their start, at %.0f bytes each\n",
		r.Run.Nodes, r.Services, r.StartSeconds, r.SnapshotBytes)
	fmt.Fprintf(out, "%d bundles and %d restarts of back ends, the day compressed %.0f times\n", r.Bundles, r.Endpoints, r.Compress)
	for _, phase := range []struct {
		name  string
		costs map[string]RoleCost
	}{{"idle", r.Idle}, {"busy", r.Busy}} {
		for _, role := range sortedKeys(phase.costs) {
			cost := phase.costs[role]
			fmt.Fprintf(out, "%s %-8s %2d processes: %.4f cores in all, the largest %.1f MB,", phase.name, role, cost.Processes, cost.CoreShare, cost.Memory/(1<<20))
			for _, link := range sortedKeys(cost.BytesPerSecond) {
				fmt.Fprintf(out, " %s=%.0f B/s", link, cost.BytesPerSecond[link])
			}
			fmt.Fprintln(out)
		}
	}
	fmt.Fprintf(out, "result commit=%s seed=%d nodes=%d services=%d relays=%d compress=%.0f bundles=%d endpoints=%d p50_ms=%.1f p99_ms=%.1f worst_ms=%.1f idle_bytes_per_node_second=%.1f busy_bytes_per_node_second=%.1f hollow_core_share=%.6f hollow_memory_kb=%.0f\n",
		r.Run.Commit, r.Run.Seed, r.Run.Nodes, r.Services, r.Relays, r.Compress, r.Bundles, r.Endpoints,
		r.Convergence.P50, r.Convergence.P99, r.Convergence.Worst, r.NodeIdle, r.NodeBusy, r.HollowCPU, r.HollowMemory/1024)
	if options.JSON != "" {
		return writeJSON(out, options.JSON, r)
	}
	return nil
}
