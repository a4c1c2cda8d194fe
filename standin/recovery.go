package standin

import (
	"strconv"
	"time"
)

// ServerEntry is the entry of a ready server with its data centre and its cold time.
type ServerEntry struct {
	ID, Address, Service, DataCentre string
	Slots                            int
	// Cold is the remaining cold time of the server as it writes the entry.
	Cold time.Duration
	// BornMS is the start of the server's process in milliseconds since 1970, Seq the number of its report.
	BornMS, Seq int64
	// Draining is true for a server that takes no new requests.
	Draining bool
}

// MeshRule is a rule of a configuration that PutMeshConfig writes.
type MeshRule struct {
	Prefix string
	Kind   RuleKind
	// TargetS and TimeoutS are in seconds.
	TargetS, TimeoutS float64
	Attempts          int
}

// RuleKind states whether the requests of a rule may be executed more than once.
type RuleKind string

// ServiceLimits are the limits of a service's servers. A ColdRate of zero means that cold servers have none.
type ServiceLimits struct {
	Name, HealthPath string
	Cold             time.Duration
	// ColdRate is in requests per second.
	ColdRate float64
}

const (
	// Idempotent requests may be executed again.
	Idempotent RuleKind = "idempotent"
	// NonIdempotent requests are executed once at most.
	NonIdempotent RuleKind = "non_idempotent"
	// Download requests are idempotent and have large responses.
	Download RuleKind = "download"
)

// evacuateKey is followed by the name of a data centre.
const evacuateKey = "op/evacuate/"

// Evacuate requests the evacuation of a data centre and returns the revision.
func (s *Store) Evacuate(dataCentre string) int64 {
	return s.Put(evacuateKey+dataCentre, []byte("{}"))
}

// EndEvacuation takes the evacuation of a data centre back and returns the revision.
func (s *Store) EndEvacuation(dataCentre string) int64 {
	return s.Delete(evacuateKey + dataCentre)
}

// PutServerEntry writes a server's entry.
func (s *Store) PutServerEntry(e ServerEntry) int64 {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	return s.putJSON("servers/"+e.ID, map[string]any{"address": e.Address, "born": e.BornMS,
		"info":   map[string]any{"service": e.Service, "version": "v1", "zone": e.DataCentre, "slots": e.Slots},
		"status": map[string]any{"state": state, "seq": e.Seq, "coldRemainingS": e.Cold.Seconds()}})
}

// PutColdConfig writes a configuration like PutConfig, whose service has a limit for cold servers and a health endpoint.
func (s *Store) PutColdConfig(version int, host, service, prefix, healthPath string, cold time.Duration, perSecond float64) int64 {
	rule := map[string]any{"name": prefix, "kind": "idempotent", "targetLatencyS": 0.5, "priority": 1, "match": map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeoutS": 1, "maxAttempts": 2}}
	return s.putJSON(ConfigKey, map[string]any{"version": "r" + strconv.Itoa(version), "limits": map[string]any{"maxBodyBytes": 1000},
		"listeners": []any{map[string]any{"host": host, "routeRules": []any{rule}}},
		"clusters":  []any{map[string]any{"name": service, "healthPath": healthPath, "coldStartS": cold.Seconds(), "coldPerS": perSecond}}})
}

// PutMeshConfig writes a configuration of rules for one service.
func (s *Store) PutMeshConfig(version int, host string, service ServiceLimits, rules ...MeshRule) int64 {
	var encoded []map[string]any
	for _, r := range rules {
		encoded = append(encoded, map[string]any{"name": r.Prefix, "kind": r.Kind, "targetLatencyS": r.TargetS, "priority": 1, "match": map[string]any{"prefix": r.Prefix},
			"action": map[string]any{"service": service.Name, "timeoutS": r.TimeoutS, "maxAttempts": r.Attempts}})
	}
	return s.putJSON(ConfigKey, map[string]any{"version": "r" + strconv.Itoa(version), "limits": s.encodedLimits(),
		"listeners": []any{map[string]any{"host": host, "routeRules": encoded}},
		"clusters":  []any{map[string]any{"name": service.Name, "healthPath": service.HealthPath, "coldStartS": service.Cold.Seconds(), "coldPerS": service.ColdRate}}})
}
