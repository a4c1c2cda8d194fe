package logline

// Kind is one kind of line with the fields that it has besides level, ts, msg and node.
type Kind struct {
	Message string
	Fields  []string
	Help    string
}

// Messages of the lines about requests.
const (
	Answered = "answered"
	Failed   = "failed"
	Passed   = "passed"
	Received = "received"
)

// Kinds lists every kind of line of a sidecar. docs/LOGS.md follows from it.
var Kinds = []Kind{
	{Answered, requestFields, "a caller got a server's answer (a sample by id, and every answer with a status of 500 or more)"},
	{Failed, requestFields, "a caller got a refusal or an unknown outcome"},
	{Passed, []string{"id", "pass", "server", "code", "ran", "arrived", "reason", "left", "in_progress", "waiting", "slots", "mean", "failing"},
		"the sidecar of the caller handed a request to one beside a server, and this became of it; the last five fields are what that one told of its server"},
	{Received, []string{"id", "server", "rank", "code", "reason", "waited", "worked", "left", "in_progress", "waiting"},
		"the sidecar beside a server took a request, and this became of it"},
	{"started", []string{"host", "service", "process", "callers", "backend"}, "the process listens"},
	{"stopping", []string{"requests_in_progress"}, "the signal to stop came"},
	{"stopped", []string{"requests_in_progress"}, "the process ends"},
	{"version in force", []string{"version", "revision", "rules", "from"}, "a new configuration is in force; from is the store or another sidecar"},
	{"server", []string{"server", "service", "address", "draining", "gone", "revision", "from"}, "what is believed of a backend server changed"},
	{"sidecar taken for dead", []string{"server", "address", "error"}, "the sidecar beside a server gave no sign of life"},
	{"sidecar gives no answer", []string{"peer", "error"}, "a sidecar that was asked what it holds did not answer"},
	{"difference refused", []string{"peer", "code", "reason"}, "a difference of the configuration did not fit the version held"},
	{"store lost", []string{"error"}, "the store stopped answering"},
	{"store regained", []string{"after", "failures"}, "the store answers again"},
	{"reading everything again", []string{"revision", "error"}, "the history of the store is gone, or a pause made it doubtful"},
	{"entry refused", []string{"code", "reason"}, "an entry of the store can't be decoded; the last good one stays, or it names no server"},
	{"paused", []string{"for"}, "the process stood still; what it holds is doubtful"},
	{"confirmed after a pause", []string{"store_heard"}, "the doubt is over"},
	{"settings reloaded", []string{"service", "service_before"}, "the settings file changed"},
	{"settings refused, the last good ones stay", []string{"error"}, "the settings file has faults"},
	{"closing a listener", []string{"error"}, "a listener was not closed in time"},
	{"answer for an operator", []string{"error"}, "an operator's question was not answered"},
	{"lines left out", []string{"kind", "lines"}, "lines of a kind that were over the budget in the last second"},
}

var requestFields = []string{"id", "rule", "rank", "service", "version", "status", "code", "ran", "reason", "took", "added", "come_back"}
