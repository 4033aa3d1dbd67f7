package protocol

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"bramblelift/pkg/rollout"
)

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

// PackRollouts packs reports for a Ping, nil for none. As a field of their own type, gob would describe that
// type in the first ping of each connection (some 400 bytes), though most never send a report.
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

// UnpackRollouts is the inverse of PackRollouts.
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
