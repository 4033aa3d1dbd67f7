package balancer

import (
	"fmt"
	"slices"
	"strings"

	"bramblelift/pkg/exchange"
)

// noEndpointError returns ErrNoEndpoint, wrapped with the number of back ends that the table excludes for each
// reason; the mutex is held.
func (p *Pool) noEndpointError() error {
	var reasons []exchange.Reason
	counts := map[exchange.Reason]int{}
	for _, e := range p.endpoints {
		if reason := e.target.RejectReason; reason != "" && !e.leaving {
			counts[reason]++
			reasons = append(reasons, reason)
		}
	}
	if len(reasons) == 0 {
		return ErrNoEndpoint
	}
	slices.Sort(reasons)
	var parts []string
	for _, reason := range slices.Compact(reasons) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	return fmt.Errorf("%w: of %d, %s", ErrNoEndpoint, len(p.endpoints), strings.Join(parts, ", "))
}
