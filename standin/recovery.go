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
}

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
	return s.putJSON("servers/"+e.ID, map[string]any{"address": e.Address, "born": e.BornMS,
		"info":   map[string]any{"service": e.Service, "version": "v1", "zone": e.DataCentre, "slots": e.Slots},
		"status": map[string]any{"state": "ready", "seq": e.Seq, "coldRemainingS": e.Cold.Seconds()}})
}

// PutColdConfig writes a configuration like PutConfig, whose service has a limit for cold servers and a health endpoint.
func (s *Store) PutColdConfig(version int, host, service, prefix, healthPath string, cold time.Duration, perSecond float64) int64 {
	rule := map[string]any{"name": prefix, "kind": "idempotent", "targetLatencyS": 0.5, "priority": 1, "match": map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeoutS": 1, "maxAttempts": 2}}
	return s.putJSON(ConfigKey, map[string]any{"version": "r" + strconv.Itoa(version), "limits": map[string]any{"maxBodyBytes": 1000},
		"listeners": []any{map[string]any{"host": host, "routeRules": []any{rule}}},
		"clusters":  []any{map[string]any{"name": service, "healthPath": healthPath, "coldStartS": cold.Seconds(), "coldPerS": perSecond}}})
}
