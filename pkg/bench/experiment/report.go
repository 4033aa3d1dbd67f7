package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"bramblelift/pkg/bench/convergence"
	"bramblelift/pkg/bench/tally"
	"bramblelift/pkg/version"
)

// Run holds the parameters needed to repeat an experiment.
type Run struct {
	Commit  string `json:"commit"`
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	Nodes   int    `json:"nodes"`
	Change  string `json:"change,omitempty"`
	Changes int    `json:"changes,omitempty"`
}

// SystemResult holds the measurements of one system, the product or a baseline.
type SystemResult struct {
	System      string              `json:"system"`
	Convergence convergence.Summary `json:"convergence"`
	// NodeBytes is the number of bytes that all nodes exchanged during the changes, by
	// frame kind.
	NodeBytes tally.Bytes `json:"node_bytes"`
	// PerNode is the mean number of bytes per node; PerNodeChange is PerNode per change.
	PerNode       float64 `json:"bytes_per_node"`
	PerNodeChange float64 `json:"bytes_per_node_and_change"`
	// LinkBytes is the number of bytes by kind of link.
	LinkBytes map[string]int64 `json:"link_bytes"`
	// IdleBytes is the number of bytes per second of an idle node. IdleCPU is its share of
	// one core, measured only where real nodes run.
	IdleBytes float64 `json:"idle_bytes_per_node_second"`
	IdleCPU   float64 `json:"idle_node_core_share,omitempty"`
	// NodeMemory is the largest resident size of a real node in bytes.
	NodeMemory float64 `json:"node_memory_bytes,omitempty"`
	// Seconds is the duration of the changes.
	Seconds float64 `json:"seconds"`
}

func newRun(profileName string, seed uint64, nodes int) Run {
	return Run{Commit: version.Revision(), Profile: profileName, Seed: seed, Nodes: nodes}
}

func (r *SystemResult) setPerNodeBytes(nodes, changes int) {
	r.PerNode = float64(r.NodeBytes.Total()) / float64(nodes)
	r.PerNodeChange = r.PerNode / float64(changes)
}

// writeTable prints the results as a table, followed by byte counts for each system.
func writeTable(out io.Writer, all []SystemResult) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "system\tp50 ms\tp99 ms\tworst ms\tbytes/node\tbytes/node/change\tidle B/s/node\t")
	for _, r := range all {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t\n",
			r.System, r.Convergence.P50, r.Convergence.P99, r.Convergence.Worst, r.PerNode, r.PerNodeChange, r.IdleBytes)
	}
	table.Flush()
	for _, r := range all {
		fmt.Fprintf(out, "%s: bytes of the nodes by kind of frame:%s; by link:%s\n", r.System, listBytes(r.NodeBytes), listBytes(r.LinkBytes))
	}
}

// listBytes formats counts as name=value pairs, sorted by name.
func listBytes(counts map[string]int64) string {
	text := ""
	for _, name := range sortedKeys(counts) {
		text += fmt.Sprintf(" %s=%d", name, counts[name])
	}
	return text
}

// writeJSON writes a report to the file at path, or to out if path is "-".
func writeJSON(out io.Writer, path string, report any) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	text = append(text, '\n')
	if path == "-" {
		_, err = out.Write(text)
	} else {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
