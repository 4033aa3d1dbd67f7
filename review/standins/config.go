package standins

import (
	"encoding/json"
	"fmt"
	"time"
)

// Route is a route of a configuration.
type Route struct {
	Name, Kind, Prefix, Service string
	Timeout                     time.Duration
	MaxAttempts                 int
}

// Tenant is a tenant of a configuration.
type Tenant struct {
	Name string
	Keys []string
	// Rate and Burst are its quota, zero for none.
	Rate, Burst float64
}

// Config returns a configuration with the routes of one host, and the tenants if there are any.
func Config(version, base int, host string, routes []Route, tenants []Tenant) []byte {
	var rules []any
	services := map[string]bool{}
	var clusters []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.Name, "kind": r.Kind, "target_latency_ms": r.Timeout.Milliseconds() / 2, "priority": 1,
			"match":  map[string]any{"path_prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout_ms": r.Timeout.Milliseconds(), "max_attempts": r.MaxAttempts},
		})
		if !services[r.Service] {
			services[r.Service] = true
			clusters = append(clusters, map[string]any{"name": r.Service, "health_path": HealthPath, "max_connections": 130, "protocol": "h1", "tls": false})
		}
	}
	document := map[string]any{
		"version": fmt.Sprintf("r%d", version), "base_version": fmt.Sprintf("r%d", base),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	}
	if len(tenants) > 0 {
		var list []any
		for _, t := range tenants {
			list = append(list, map[string]any{"name": t.Name, "api_keys": t.Keys, "rate_per_s": t.Rate, "burst": t.Burst})
		}
		document["tenants"] = list
	}
	text, _ := json.Marshal(document)
	return text
}
