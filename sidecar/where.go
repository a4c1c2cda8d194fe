package sidecar

import (
	"encoding/json"
	"net/http"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
)

// errorResponse is the body of an error for an operator, as in package operator, whose web framework a sidecar's memory doesn't allow for.
type errorResponse struct {
	Code   jaypitch.Code `json:"code"`
	Reason string        `json:"reason"`
}

// handleWhere serves the report on where a request would go, on the metrics listener.
func (c *Sidecar) handleWhere(w http.ResponseWriter, r *http.Request) {
	q, t := r.URL.Query(), c.replica.Table()
	name, host, path := q.Get("rule"), q.Get("host"), q.Get("path")
	var rule *mesh.Rule
	switch {
	case (name == "") == (path == ""):
		refuseWhere(w, http.StatusBadRequest, jaypitch.Errorf(jaypitch.CodeUsage, "either a path or a rule is needed"))
		return
	case t.Version == 0 || c.unconfirmedSince.Load() != nil:
		refuseWhere(w, http.StatusServiceUnavailable, jaypitch.Errorf(jaypitch.CodeNoSettings, "the sidecar has no confirmed configuration; it refuses all requests"))
		return
	case name != "":
		rule = t.RuleNamed(name)
	default:
		rule = t.Match(host, path)
	}
	if rule == nil {
		refuseWhere(w, http.StatusNotFound, jaypitch.Errorf(jaypitch.CodeNoRoute, "version %d has no rule for host %q, path %q and name %q", t.Version, host, path, name))
		return
	}
	c.writeJSON(w, c.dispatcher.Where(t, rule))
}

// refuseWhere writes an error as the operators' listener of a node does.
func refuseWhere(w http.ResponseWriter, status int, e *jaypitch.Error) {
	w.WriteHeader(status)
	// The status tells of an error even if the client doesn't read the rest.
	_ = json.NewEncoder(w).Encode(errorResponse{Code: e.Code, Reason: e.Reason})
}
