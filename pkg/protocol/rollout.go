package protocol

import "bramblelift/pkg/rollout"

// RolloutReport is what one node tells the leader of one rollout that is under way: which step it holds,
// and what its gate has seen if its back end is of the service. Nodes send it several times a second; a
// newer one of the same node and service takes its place.
type RolloutReport struct {
	Node    string
	Service string
	Number  uint64
	// Phase and Share are those of the step that the node goes by.
	Phase rollout.Phase
	Share int
	// Gate is nil if the back end beside the node is of another service.
	Gate *rollout.Report
	// AtWork is how many calls the gate's back end works on.
	AtWork int
}

// NewestRollouts adds reports to a list and leaves out those that they replace.
func NewestRollouts(list, more []RolloutReport) []RolloutReport {
	if len(more) == 0 {
		return list
	}
	type key struct{ node, service string }
	newest := map[key]int{}
	var kept []RolloutReport
	for _, reports := range [][]RolloutReport{list, more} {
		for _, report := range reports {
			k := key{report.Node, report.Service}
			if i, found := newest[k]; found {
				kept[i] = report
				continue
			}
			newest[k] = len(kept)
			kept = append(kept, report)
		}
	}
	return kept
}
