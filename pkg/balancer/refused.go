package balancer

import (
	"fmt"
	"slices"
	"strings"

	"bramblelift/pkg/exchange"
)

// noEndpoint says why no back end takes a call; the mutex is held.
func (p *Pool) noEndpoint() error {
	var reasons []exchange.Reason
	counts := map[exchange.Reason]int{}
	for _, e := range p.endpoints {
		if reason := e.target.Refused; reason != "" && !e.leaving {
			counts[reason]++
			reasons = append(reasons, reason)
		}
	}
	if len(reasons) == 0 {
		return ErrNoEndpoint
	}
	slices.Sort(reasons)
	var text []string
	for _, reason := range slices.Compact(reasons) {
		text = append(text, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	return fmt.Errorf("%w: of %d, %s", ErrNoEndpoint, len(p.endpoints), strings.Join(text, ", "))
}
