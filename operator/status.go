package operator

import (
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/source"
)

// Status is the state of a node, as GET /status returns it.
type Status struct {
	Host       string    `json:"host"`
	DataCentre string    `json:"data_centre"`
	Service    string    `json:"service"`
	Process    string    `json:"process"`
	StartedAt  time.Time `json:"started_at"`
	// Confirmed is true if the node has compared its documents with the source or peers since its start or last pause.
	Confirmed bool `json:"confirmed"`
	// Ready is true if the node accepts requests.
	Ready bool `json:"ready"`
	// Listed is true if the host list contains this host.
	Listed bool `json:"listed"`
	// SourceAgeMS is the time in milliseconds since the source's last known response, read by this node or reported by a peer; -1 if there is none.
	SourceAgeMS int64         `json:"source_age_ms"`
	Source      source.Status `json:"source"`
	HostList    source.Status `json:"host_list"`
	// Position is the index of this host in the order of its data centre; 0 is the first reader of the source.
	Position int `json:"position"`
	// Parents are the nodes that this node polls, Children the number of nodes that poll it.
	Parents  []string `json:"parents"`
	Children int      `json:"children"`
	// Suspects are the hosts that are suspected to be unresponsive.
	Suspects []string `json:"suspects"`
	// Ejected are the hosts that the picker doesn't choose because they failed.
	Ejected []string `json:"ejected"`
	// Stopping holds the reasons why the node admits no requests for its backend server; empty if it admits them.
	Stopping []string `json:"stopping"`
	// RequestsRunning is the number of requests that occupy slots of the backend server, RequestsQueued of those that wait for one.
	RequestsRunning int `json:"calls_running"`
	RequestsQueued  int `json:"calls_waiting"`
	Slots           int `json:"slots"`
	// InProgress is the number of unfinished requests, those for the backend server and those of clients together.
	InProgress      int   `json:"in_progress"`
	CachedResponses int   `json:"kept_answers"`
	Retries         int64 `json:"retries"`
	Hosts           int   `json:"hosts"`
	// ControlSentBytes and ControlReceivedBytes count the traffic of the control connections between nodes.
	ControlSentBytes     int64            `json:"control_sent_bytes"`
	ControlReceivedBytes int64            `json:"control_received_bytes"`
	Documents            []DocumentStatus `json:"documents"`
}

// DocumentStatus is the state of one document at a node.
type DocumentStatus struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	Deleted  bool   `json:"deleted"`
	// Since is when the node accepted the revision.
	Since time.Time `json:"since"`
	// Conflict is true if the node received this revision with two different texts.
	Conflict bool `json:"conflict"`
	// RefusedRevision is a newer revision that the node refused; zero if there is none.
	RefusedRevision int64         `json:"refused_revision"`
	RefusedCode     jaypitch.Code `json:"refused_code"`
	RefusedReason   string        `json:"refused_reason"`
}

// RouteStatus is a declared route in a node's routing table.
type RouteStatus struct {
	Team       string   `json:"team"`
	Route      string   `json:"route"`
	Service    string   `json:"service"`
	Rank       string   `json:"rank"`
	Idempotent bool     `json:"idempotent"`
	Customers  []string `json:"customers"`
	Hosts      int      `json:"hosts"`
	// Withdrawn is the reason why the route can't be served; empty if it can.
	Withdrawn string `json:"withdrawn"`
}

// ErrorResponse is the body of a response whose status isn't 200.
type ErrorResponse struct {
	Code   jaypitch.Code `json:"code"`
	Reason string        `json:"reason"`
}
