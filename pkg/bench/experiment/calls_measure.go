package experiment

import (
	"fmt"
	"io"
	"net"
	"text/tabwriter"
	"time"

	"bramblelift/pkg/bench/chain"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func waitForListener(address string) error {
	deadline := time.Now().Add(5 * time.Second)
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("wait for bare proxy: %w", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// measureAddedLatency measures calls directly to a back end, through the bare proxy and
// through a node. It alternates between them, so that noise affects all three alike.
func (e *callsExperiment) measureAddedLatency() []PathLatency {
	for _, service := range e.chains {
		service.Configure(chain.Config{})
	}
	paths := []struct {
		name    string
		address string
	}{
		{"direct", e.chains[0].Address()}, {"bare reverse proxy", e.bareProxyAddress}, {"bramblelift", e.nodes()[0]},
	}
	histograms := map[string]*hdrhistogram.Histogram{}
	for range e.options.Rounds {
		for _, path := range paths {
			result := e.run([]string{path.address}, "/chain/0", e.options.Rate)
			if histograms[path.name] == nil {
				histograms[path.name] = result.Latency
			} else {
				histograms[path.name].Merge(result.Latency)
			}
		}
	}
	var latencies []PathLatency
	for _, path := range paths {
		h := histograms[path.name]
		latencies = append(latencies, PathLatency{Way: path.name, Calls: int(h.TotalCount()), P50: percentileMillis(h, 50), P99: percentileMillis(h, 99)})
	}
	return latencies
}

// measureChains measures call chains with and without nodes between the services.
func (e *callsExperiment) measureChains() []ChainLatency {
	var backends []string
	for _, service := range e.chains {
		backends = append(backends, service.Address())
	}
	var measured []ChainLatency
	for _, depth := range []int{1, 3, 9, e.options.Depth} {
		// Keep the total rate of calls, over all hops, the same for each depth.
		rate := max(5, e.options.Rate/float64(depth))
		path := fmt.Sprintf("/chain/%d", depth-1)
		e.configureChains(backends)
		direct := e.run(backends, path, rate)
		e.configureChains(e.nodes())
		viaNodes := e.run(e.nodes(), path, rate)
		measured = append(measured, ChainLatency{
			Depth: depth, DirectP50: percentileMillis(direct.Latency, 50), DirectP99: percentileMillis(direct.Latency, 99),
			NodeP50: percentileMillis(viaNodes.Latency, 50), NodeP99: percentileMillis(viaNodes.Latency, 99),
		})
	}
	return measured
}

func (e *callsExperiment) configureChains(next []string) {
	for _, service := range e.chains {
		service.Configure(chain.Config{Next: next, Prefix: "/chain"})
	}
}

// measureAmplification makes the last service of a chain decline every call and counts the
// attempts that reach it.
func (e *callsExperiment) measureAmplification() Amplification {
	for _, service := range e.decliningServices {
		service.Configure(chain.Config{Next: e.nodes(), Prefix: "/decline", LeafDeclines: true})
	}
	result := e.run(e.nodes(), fmt.Sprintf("/decline/%d", amplificationDepth-1), e.options.Rate/amplificationDepth)
	measured := Amplification{Depth: amplificationDepth, Roots: result.Calls}
	for _, service := range e.decliningServices {
		measured.LeafAttempts += service.LeafCalls()
	}
	measured.PerRoot = float64(measured.LeafAttempts) / float64(max(1, measured.Roots))
	return measured
}

// measureGoodput offers loads from half to three times the capacity of the back ends.
func (e *callsExperiment) measureGoodput() []Goodput {
	capacity := goodputBackends * goodputSlots / goodputWork.Seconds()
	var measured []Goodput
	for _, share := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
		result := e.run(e.nodes(), "/loaded/x", capacity*share)
		seconds := e.options.Duration.Seconds()
		measured = append(measured, Goodput{
			Load: share, Offered: float64(result.Calls) / seconds, Answered: float64(result.Answered) / seconds,
			Refused: float64(result.Refused) / seconds, Failed: result.Failed,
			P99: percentileMillis(result.Latency, 99), RefuseMs: percentileMillis(result.RefusalLatency, 99),
		})
	}
	return measured
}

func (r *CallsReport) write(options CallsOptions, out io.Writer) error {
	if options.JSON == "-" {
		return writeJSON(out, options.JSON, r)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "way\tcalls\tp50 ms\tp99 ms\t")
	for _, path := range r.Ways {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t\n", path.Way, path.Calls, path.P50, path.P99)
	}
	fmt.Fprintln(table, "\t\t\t\t\ndepth\tdirect p50\tdirect p99\tnodes p50\tnodes p99\tadded a hop p50\t")
	for _, c := range r.Chains {
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t\n", c.Depth, c.DirectP50, c.DirectP99, c.NodeP50, c.NodeP99, (c.NodeP50-c.DirectP50)/float64(c.Depth))
	}
	fmt.Fprintln(table, "\t\t\t\t\nload\toffered/s\tanswered/s\trefused/s\tfailed\tanswered p99 ms\trefused p99 ms\t")
	for _, g := range r.Goodput {
		fmt.Fprintf(table, "%.1f\t%.0f\t%.0f\t%.0f\t%d\t%.1f\t%.1f\t\n", g.Load, g.Offered, g.Answered, g.Refused, g.Failed, g.P99, g.RefuseMs)
	}
	table.Flush()
	direct, bareProxy, node := r.Ways[0], r.Ways[1], r.Ways[2]
	last := r.Goodput[len(r.Goodput)-1]
	fmt.Fprintf(out, "result commit=%s seed=%d direct_p99_ms=%.3f bare_p99_ms=%.3f node_p99_ms=%.3f added_p50_ms=%.3f added_p99_ms=%.3f leaf_attempts_per_root=%.2f goodput_at_3=%.0f node_memory_mb=%.1f node_cpu_us_per_call=%.0f\n",
		r.Run.Commit, r.Run.Seed, direct.P99, bareProxy.P99, node.P99, node.P50-direct.P50, node.P99-direct.P99,
		r.Amplification.PerRoot, last.Answered, r.NodeMemory/(1<<20), r.NodeCPU)
	if options.JSON != "" {
		return writeJSON(out, options.JSON, r)
	}
	return nil
}
