package operator

import (
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/source"
)

// Status is what a node tells about itself.
type Status struct {
	Host       string    `json:"host"`
	DataCentre string    `json:"data_centre"`
	Service    string    `json:"service"`
	Process    string    `json:"process"`
	StartedAt  time.Time `json:"started_at"`
	// Confirmed is false while the node has not compared its settings since its start or a pause.
	Confirmed bool `json:"confirmed"`
	Ready     bool `json:"ready"`
	// Listed is false if the host list doesn't hold this host.
	Listed bool `json:"listed"`
	// SourceAgeMS is the time since the last answer of the source that the node knows of; -1 if none.
	SourceAgeMS          int64            `json:"source_age_ms"`
	Source               source.Status    `json:"source"`
	HostList             source.Status    `json:"host_list"`
	Position             int              `json:"position"`
	Parents              []string         `json:"parents"`
	Children             int              `json:"children"`
	Suspects             []string         `json:"suspects"`
	Ejected              []string         `json:"ejected"`
	Stopping             []string         `json:"stopping"`
	RequestsRunning      int              `json:"calls_running"`
	RequestsQueued       int              `json:"calls_waiting"`
	Slots                int              `json:"slots"`
	InProgress           int              `json:"in_progress"`
	CachedResponses      int              `json:"kept_answers"`
	Retries              int64            `json:"retries"`
	Hosts                int              `json:"hosts"`
	ControlSentBytes     int64            `json:"control_sent_bytes"`
	ControlReceivedBytes int64            `json:"control_received_bytes"`
	Documents            []DocumentStatus `json:"documents"`
}

// DocumentStatus is what a node holds of one document.
type DocumentStatus struct {
	Key      string    `json:"key"`
	Revision int64     `json:"revision"`
	Digest   string    `json:"digest"`
	Deleted  bool      `json:"deleted"`
	Since    time.Time `json:"since"`
	// Conflict is true if this revision was seen with two contents.
	Conflict bool `json:"conflict"`
	// RefusedRevision is a newer revision that was not accepted; zero if there is none.
	RefusedRevision int64         `json:"refused_revision"`
	RefusedCode     jaypitch.Code `json:"refused_code"`
	RefusedReason   string        `json:"refused_reason"`
}

// RouteStatus is a declared route of a node's table.
type RouteStatus struct {
	Team       string   `json:"team"`
	Route      string   `json:"route"`
	Service    string   `json:"service"`
	Rank       string   `json:"rank"`
	Idempotent bool     `json:"idempotent"`
	Customers  []string `json:"customers"`
	Hosts      int      `json:"hosts"`
	// Withdrawn is the reason why a declared route isn't served; empty if it is.
	Withdrawn string `json:"withdrawn"`
}

// ErrorResponse is the body of an answer that isn't 200.
type ErrorResponse struct {
	Code   jaypitch.Code `json:"code"`
	Reason string        `json:"reason"`
}
