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

// Run names what was run, so that it can be run again.
type Run struct {
	Commit  string `json:"commit"`
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	Nodes   int    `json:"nodes"`
	Change  string `json:"change,omitempty"`
	Changes int    `json:"changes,omitempty"`
}

// Figures are the measures of one way to distribute.
type Figures struct {
	System      string              `json:"system"`
	Convergence convergence.Summary `json:"convergence"`
	// NodeBytes are the bytes that all nodes exchanged during the changes, by kind of
	// frame.
	NodeBytes tally.Bytes `json:"node_bytes"`
	// PerNode is the mean a node, PerNodeChange that divided by the changes.
	PerNode       float64 `json:"bytes_per_node"`
	PerNodeChange float64 `json:"bytes_per_node_and_change"`
	// LinkBytes are the bytes by link of the system.
	LinkBytes map[string]int64 `json:"link_bytes"`
	// IdleBytes and IdleCPU are what an idle node costs a second, in bytes and as a
	// share of a core; the latter only where real nodes run.
	IdleBytes float64 `json:"idle_bytes_per_node_second"`
	IdleCPU   float64 `json:"idle_node_core_share,omitempty"`
	// NodeMemory is the largest resident size of a real node in bytes.
	NodeMemory float64 `json:"node_memory_bytes,omitempty"`
	Seconds    float64 `json:"seconds"`
}

func currentRun(profileName string, seed uint64, nodes int) Run {
	return Run{Commit: version.Revision(), Profile: profileName, Seed: seed, Nodes: nodes}
}

func (f *Figures) divide(nodes, changes int) {
	f.PerNode = float64(f.NodeBytes.Total()) / float64(nodes)
	f.PerNodeChange = f.PerNode / float64(changes)
}

// writeTable shows figures to people.
func writeTable(out io.Writer, all []Figures) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "system\tp50 ms\tp99 ms\tworst ms\tbytes/node\tbytes/node/change\tidle B/s/node\t")
	for _, f := range all {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t\n",
			f.System, f.Convergence.P50, f.Convergence.P99, f.Convergence.Worst, f.PerNode, f.PerNodeChange, f.IdleBytes)
	}
	table.Flush()
	for _, f := range all {
		fmt.Fprintf(out, "%s: bytes of the nodes by kind of frame:%s; by link:%s\n", f.System, listBytes(f.NodeBytes), listBytes(f.LinkBytes))
	}
}

// listBytes prints counts in the order of their names.
func listBytes(counts map[string]int64) string {
	text := ""
	for _, name := range sortedKeys(counts) {
		text += fmt.Sprintf(" %s=%d", name, counts[name])
	}
	return text
}

// writeJSON writes a report to a file, "-" for the output.
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
