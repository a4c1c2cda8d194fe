package sidecar

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch/memory"
)

// StatusReport is the response to GET /status of the metrics listener. Its only field tells it from the status of a node.
type StatusReport struct {
	Sidecar *Status `json:"sidecar"`
}

// Status is the state of a sidecar.
type Status struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Ready      bool   `json:"ready"`
	// Version is the version of the configuration in force, zero if there is none; Revision the store's revision up to which the sidecar has all
	// changes, and SourceAgeMS the time since the store confirmed it, in milliseconds.
	Version     int64 `json:"version"`
	Revision    int64 `json:"revision"`
	SourceAgeMS int64 `json:"source_age_ms"`
	// Running, Queued and Slots are those of the backend server on this host.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// ColdMS is the time for which the server still counts as cold, in milliseconds.
	ColdMS int64 `json:"cold_ms"`
	// ContestedAddresses is the number of addresses that the entries of several servers name, AnsweredAddresses those whose server has shown by an
	// answer that it is there.
	ContestedAddresses int                `json:"contested_addresses"`
	AnsweredAddresses  int                `json:"answered_addresses"`
	Evacuations        []EvacuationStatus `json:"evacuations"`
	// MemoryBudget is the budget of all holders in bytes.
	MemoryBudget int64          `json:"memory_budget_bytes"`
	Memory       []HolderStatus `json:"memory"`
}

// EvacuationStatus is an evacuated data centre, with the requests in progress there that this sidecar knows of.
type EvacuationStatus struct {
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"`
	InProgress int64     `json:"in_progress"`
}

// HolderStatus is one use of the memory budget: the bytes that it holds, and the refusals for lack of memory since the start.
type HolderStatus struct {
	Holder    string `json:"holder"`
	HeldBytes int64  `json:"held_bytes"`
	Refusals  int64  `json:"refusals"`
}

// handleStatus serves the state of the sidecar on the metrics listener.
func (c *Sidecar) handleStatus(w http.ResponseWriter, _ *http.Request) {
	c.writeJSON(w, StatusReport{Sidecar: c.status()})
}

func (c *Sidecar) status() *Status {
	t, s := c.replica.Table(), c.settings.Load().GetSidecar()
	out := &Status{Host: s.GetHost(), DataCentre: s.GetDataCentre(), Service: s.GetService(), Ready: c.ready(), Version: t.Version, Revision: c.replica.Revision(),
		SourceAgeMS: c.confirmation.age().Milliseconds(), ColdMS: int64(c.coldSeconds() * 1000), MemoryBudget: c.memory.budget.Limit()}
	out.Running, out.Queued, out.Slots = c.receiver.Counts()
	out.ContestedAddresses, out.AnsweredAddresses = t.Contested()
	for name, v := range t.Evacuations() {
		inProgress, _ := c.requestsIn(name)
		out.Evacuations = append(out.Evacuations, EvacuationStatus{DataCentre: name, Since: v.Since, InProgress: inProgress})
	}
	slices.SortFunc(out.Evacuations, func(a, b EvacuationStatus) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	for _, h := range memory.Holders() {
		out.Memory = append(out.Memory, HolderStatus{Holder: h.String(), HeldBytes: c.memory.budget.Held(h), Refusals: c.memory.budget.Refusals(h)})
	}
	return out
}
