package protocol

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"bramblelift/pkg/rollout"
)

// RolloutReport is a node's report on a running rollout for the leader: the step that the node
// applies and, if its back end belongs to the service, the counts of its gate. Nodes send it
// several times per second; a newer report of the same node and service replaces the older one.
type RolloutReport struct {
	Node    string
	Service string
	Number  uint64
	// Phase and Share are those of the step that the node applies.
	Phase rollout.Phase
	Share int
	// Gate is nil if the back end beside the node belongs to another service.
	Gate *rollout.Report
	// AtWork is the number of calls in flight at the gate's back end.
	AtWork int
}

// MergeRolloutReports merges reports into a list, in which each replaces the earlier one of the same
// node and service.
func MergeRolloutReports(list, more []RolloutReport) []RolloutReport {
	if len(more) == 0 {
		return list
	}
	type key struct{ node, service string }
	newest := map[key]int{}
	var merged []RolloutReport
	for _, reports := range [][]RolloutReport{list, more} {
		for _, report := range reports {
			k := key{report.Node, report.Service}
			if i, found := newest[k]; found {
				merged[i] = report
				continue
			}
			newest[k] = len(merged)
			merged = append(merged, report)
		}
	}
	return merged
}

// PackRollouts encodes reports for Ping.Rollouts, nil for none. A typed field would make gob send a
// type description of about 400 bytes in the first ping of each connection, although most
// connections carry no reports.
func PackRollouts(reports []RolloutReport) ([]byte, error) {
	if len(reports) == 0 {
		return nil, nil
	}
	var packed bytes.Buffer
	if err := gob.NewEncoder(&packed).Encode(reports); err != nil {
		return nil, fmt.Errorf("pack reports of rollouts: %w", err)
	}
	return packed.Bytes(), nil
}

// UnpackRollouts decodes the result of PackRollouts.
func UnpackRollouts(packed []byte) ([]RolloutReport, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var reports []RolloutReport
	if err := gob.NewDecoder(bytes.NewReader(packed)).Decode(&reports); err != nil {
		return nil, fmt.Errorf("unpack reports of rollouts: %w", err)
	}
	return reports, nil
}
