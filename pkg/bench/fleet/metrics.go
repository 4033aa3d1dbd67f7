package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// ControlBytes returns the number of control-traffic bytes that a process has sent and
// received, from its metrics.
func ControlBytes(member *Member) (float64, error) {
	samples, err := Metric(member, "bramblelift_control_bytes_total")
	if err != nil {
		return 0, err
	}
	var total float64
	for _, value := range samples {
		total += value
	}
	return total, nil
}

// Metric returns the samples of one metric of a process, keyed by label text.
func Metric(member *Member, name string) (map[string]float64, error) {
	_, body, err := member.Get("/metrics")
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", member.Name, err)
	}
	samples := map[string]float64{}
	for line := range strings.Lines(string(body)) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), name)
		if !found || rest == "" || (rest[0] != '{' && rest[0] != ' ') {
			continue
		}
		split := strings.LastIndexByte(rest, ' ')
		value, err := strconv.ParseFloat(rest[split+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("metric %s of %s: %w", name, member.Name, err)
		}
		samples[rest[:split]] = value
	}
	return samples, nil
}
