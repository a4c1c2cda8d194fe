package logline

// Kind describes one kind of log line. Fields leaves out level, ts, msg and node, which every line has.
type Kind struct {
	Message string
	Fields  []string
	Help    string
}

// Messages of the lines about requests. The sender writes Passed for each attempt, and Answered or Failed at the end of the request. The
// receiver writes Received. Each constant is named for its text.
const (
	Answered = "answered"
	Failed   = "failed"
	Passed   = "passed"
	Received = "received"
)

// Kinds lists every kind of log line of a sidecar. docs/LOGS.md is generated from it.
var Kinds = []Kind{
	{Answered, requestFields, "a client got the backend server's response; written for a sample by ID, and for every response with a status of 500 or more"},
	{Failed, requestFields, "a client got a refusal or a response with unknown execution"},
	{Passed, []string{"id", "pass", "server", "code", "ran", "arrived", "reason", "left", "in_progress", "waiting", "slots", "mean", "failing", "refusing", "limited", "limit", "limit_wait", "link_wait"},
		"the sender made an attempt, and this is its result; the last ten fields are from the load report of the receiver"},
	{Received, []string{"id", "server", "rank", "calling_service", "calling_host", "code", "reason", "waited", "worked", "left", "in_progress", "waiting"},
		"the receiver got a request from a sender, and this is its result"},
	{"started", []string{"host", "service", "process", "callers", "backend"}, "the listeners of the process are open"},
	{"stopping", []string{"requests_in_progress"}, "the process received the signal to stop"},
	{"stopped", []string{"requests_in_progress"}, "the process ends"},
	{"version in force", []string{"version", "revision", "rules", "from"}, "a new configuration took effect; from is the store or another sidecar"},
	{"server", []string{"server", "service", "address", "draining", "gone", "revision", "from"}, "the recorded state of a backend server changed"},
	{"evacuation", []string{"data_centre", "revision", "servers", "requests_in_progress"}, "the operators evacuate a data centre: its servers get no requests; servers is the number of those known there, 0 if the name is unknown"},
	{"evacuation ended", []string{"data_centre", "after"}, "the evacuation was taken back, or the store came back from a copy without it and nobody wrote it again"},
	{"server notice", []string{"server", "limited", "limit", "leaving"}, "the backend server on this host states something else about itself than before: its limit in requests per second, or that it is leaving"},
	{"server cold", []string{"server", "cold"}, "the backend server on this host begins or ceases to count as cold; requests to it are paced meanwhile, in services whose configuration limits cold servers"},
	{"server notice refused", []string{"server", "code", "reason"}, "what the backend server states about itself can't be decoded"},
	{"link full", []string{"direction", "refused", "queued_bytes", "transfers"}, "the link of this host had no room for downloads within their targets in the last second; direction is out for what the server here sends, in for what clients here receive"},
	{"link has room", []string{"direction", "refused_total"}, "the link refused no download in the last second, after it did"},
	{"server answers at a contested address", []string{"address", "expected", "server"}, "entries of several servers name an address, and a response shows which of them is there; server is empty if none of them is"},
	{"sidecar taken for dead", []string{"server", "address", "error"}, "the sidecar beside a server is unresponsive and did not respond to a probe"},
	{"sidecar gives no answer", []string{"peer", "error"}, "a sidecar did not respond to a request for its configuration"},
	{"difference refused", []string{"peer", "code", "reason"}, "a difference from another sidecar does not apply to the configuration version on this sidecar"},
	{"store lost", []string{"error"}, "the store stopped responding"},
	{"store regained", []string{"after", "failures"}, "the store responds again"},
	{"store restored", []string{"era", "era_before", "revision", "revision_before", "from"}, "the store came back from a copy, and its revisions went back"},
	{"reading everything again", []string{"revision", "error"}, "the store has compacted the history, or the process was paused; the whole configuration is read again"},
	{"entry refused", []string{"code", "reason"}, "an entry of the store cannot be decoded or served: the last valid configuration stays in use, or the server of the entry counts as removed"},
	{"paused", []string{"for"}, "the process was paused; its configuration is unconfirmed"},
	{"confirmed after a pause", []string{"store_heard"}, "the configuration is confirmed by the store, or the wait for it timed out (store_heard is false)"},
	{"memory short", []string{"budget", "held"}, "requests or connections were refused for lack of memory in the last second; held has the bytes by holder"},
	{"memory no longer short", []string{"budget", "held"}, "none was refused for lack of memory in the last second"},
	{"settings reloaded", []string{"service", "service_before"}, "the settings file changed"},
	{"settings refused, the last good ones stay", []string{"error"}, "the settings file is invalid"},
	{"closing a listener", []string{"error"}, "a listener could not be closed in time"},
	{"answer for an operator", []string{"error"}, "the response to an operator's request could not be encoded or written"},
	{"lines left out", []string{"kind", "lines"}, "number of lines of a kind that the budget suppressed in the last second"},
}

var requestFields = []string{"id", "rule", "rank", "service", "version", "status", "code", "ran", "reason", "took", "added", "come_back"}
