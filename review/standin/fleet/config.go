package fleet

import "fmt"

// Route is one route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	TargetS, TimeoutS     float64
	Priority              int
}

// PutConfig writes a version of the configuration.
func (f *Fleet) PutConfig(version int, services []string, routes ...Route) {
	var rules, clusters []any
	for i, r := range routes {
		rules = append(rules, map[string]any{"name": fmt.Sprintf("r-%d", i), "kind": r.Kind, "targetLatencyS": r.TargetS, "priority": r.Priority,
			"match": map[string]any{"prefix": r.Prefix}, "action": map[string]any{"service": r.Service, "timeoutS": r.TimeoutS, "maxAttempts": 2}})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	f.Store.Put("op/config", map[string]any{"version": fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": Host, "routeRules": rules}}, "clusters": clusters})
	f.Logf("the store acknowledges configuration r%d", version)
}
