package jaypitch

import (
	"fmt"
	"net/http"
)

// Code is a numbered result. docs/CODES.md lists all of them.
type Code int

// Execution says whether the backend server executed a request.
type Execution string

// CodeInfo describes one result code.
type CodeInfo struct {
	Code Code
	Name string
	// Execution is empty for codes that are not results of requests.
	Execution Execution
	// Status is the HTTP status sent to the client; zero for codes that are not results of requests.
	Status int
	Help   string
}

// Error is an error with a result code.
type Error struct {
	Code   Code
	Reason string
}

const (
	// NotExecuted is used only if it is certain that the server did not start to execute the request.
	NotExecuted Execution = "not_run"
	// Executed means that the backend server responded.
	Executed Execution = "ran"
	// ExecutionUnknown means that the request may have been executed.
	ExecutionUnknown Execution = "unknown"
)

// Results of requests. The constants follow CodeInfo.Name, which appears in logs and docs/CODES.md.
const (
	CodeOK             Code = 0
	CodeNoRoute        Code = 100
	CodeNoCustomer     Code = 101
	CodeRouteWithdrawn Code = 102
	CodeNoBackend      Code = 103
	CodeDeadline       Code = 104
	CodeOverloaded     Code = 105
	CodeStopping       Code = 106
	CodeBodyTooLarge   Code = 107
	CodeBodyCut        Code = 108
	CodeTooManyCalls   Code = 109
	CodeUnconfirmed    Code = 110
	CodeOtherProcess   Code = 111
	CodeStaleSender    Code = 112
	CodeStaleReceiver  Code = 113
	CodeNotThisHost    Code = 114
	CodeAnswersFull    Code = 115
	CodeBadToken       Code = 116
	CodeBadRequest     Code = 117
	CodeShed           Code = 118
	CodeUnreachable    Code = 119
	CodeTokenNotRun    Code = 120
	CodeBusy           Code = 121
	CodeMisdirected    Code = 122
	CodeBudgetSpent    Code = 123
	CodeNoSettings     Code = 124
	CodeHeadTooLarge   Code = 125
	CodeFailing        Code = 126
	CodeServerLimit    Code = 127
	CodeEvacuated      Code = 128
	CodeLinkFull       Code = 131
	CodeBodyLate       Code = 129
	CodeUnknown        Code = 150
	CodeTokenExpired   Code = 151
	CodeProcessGone    Code = 152
	CodeAnswerCut      Code = 153
	CodeAnswerTooLate  Code = 154
	CodeStillRunning   Code = 155
	CodeSpoiled        Code = 156
	CodeCallerGone     Code = 157
	CodeAnswerNotKept  Code = 170
)

// Results of reading settings.
const (
	CodeSyntax         Code = 200
	CodeUnknownSection Code = 201
	CodeUnknownKey     Code = 202
	CodeWrongType      Code = 203
	CodeOutOfRange     Code = 204
	CodeMissingKey     Code = 205
	CodeDuplicate      Code = 206
	CodeBadName        Code = 207
	CodeBadAddress     Code = 208
	CodeNotAllowed     Code = 209
	CodeTooLarge       Code = 210
	CodeUnreadable     Code = 211
	CodeFloorSum       Code = 212
	CodeOtherTeam      Code = 213
)

// Results of resolving references between teams, and of distributing configuration.
const (
	CodeNoService      Code = 300
	CodeNoHosts        Code = 301
	CodeNoRank         Code = 302
	CodeServiceTwice   Code = 303
	CodeConflict       Code = 310
	CodeSourceBehind   Code = 311
	CodeSourceDown     Code = 312
	CodeDigestMismatch Code = 313
	CodePeerBusy       Code = 314
	CodeNotConfirmed   Code = 315
	CodeUndecodable    Code = 316
)

// Results of evidence reports and of the command line.
const (
	CodeHostSilent  Code = 400
	CodeHostOlder   Code = 401
	CodeHostUnsure  Code = 402
	CodeHostServing Code = 403
	CodeUnlisted    Code = 404
	CodeUsage       Code = 410
	CodeOperator    Code = 411
	CodeNotLoopback Code = 412
	CodeNoLines     Code = 413
)

var (
	// Codes describes every result code.
	Codes = []CodeInfo{
		{CodeOK, "ok", Executed, http.StatusOK, "the backend server responded completely"},
		{CodeNoRoute, "no_route", NotExecuted, http.StatusNotFound, "no accepted settings define this route"},
		{CodeNoCustomer, "no_customer", NotExecuted, http.StatusForbidden, "the route does not serve this customer"},
		{CodeRouteWithdrawn, "route_withdrawn", NotExecuted, http.StatusServiceUnavailable, "the route's service, rank or backend servers are not known on this node"},
		{CodeNoBackend, "no_backend", NotExecuted, http.StatusServiceUnavailable, "no backend server is available for the request"},
		{CodeDeadline, "deadline", NotExecuted, http.StatusGatewayTimeout, "the deadline cannot be met, or it passed before the request was started"},
		{CodeOverloaded, "overloaded", NotExecuted, http.StatusServiceUnavailable, "the queue of this rank is full or too long for the deadline"},
		{CodeStopping, "stopping", NotExecuted, http.StatusServiceUnavailable, "the node or its backend server is stopping"},
		{CodeBodyTooLarge, "body_too_large", NotExecuted, http.StatusRequestEntityTooLarge, "the request body exceeds the limit"},
		{CodeBodyCut, "body_cut", NotExecuted, http.StatusBadRequest, "the request body ended early"},
		{CodeTooManyCalls, "too_many_calls", NotExecuted, http.StatusServiceUnavailable, "the node has too many requests in progress"},
		{CodeUnconfirmed, "unconfirmed", NotExecuted, http.StatusServiceUnavailable, "the node has not confirmed its settings since its start or its last pause"},
		{CodeOtherProcess, "other_process", NotExecuted, http.StatusServiceUnavailable, "the attempt was meant for an earlier process of this host"},
		{CodeStaleSender, "stale_sender", NotExecuted, http.StatusServiceUnavailable, "the sending node holds older settings that route the request differently"},
		{CodeStaleReceiver, "stale_receiver", NotExecuted, http.StatusServiceUnavailable, "the receiving node could not fetch the sender's settings in time"},
		{CodeNotThisHost, "not_this_host", NotExecuted, http.StatusServiceUnavailable, "the route's service is not on this host"},
		{CodeAnswersFull, "answers_full", NotExecuted, http.StatusServiceUnavailable, "the response cache is full"},
		{CodeBadToken, "bad_token", NotExecuted, http.StatusBadRequest, "the token cannot be parsed"},
		{CodeBadRequest, "bad_request", NotExecuted, http.StatusBadRequest, "the request has no team or no route, or a header that cannot be parsed"},
		{CodeShed, "shed", NotExecuted, http.StatusServiceUnavailable, "the backend server shed the request before executing it"},
		{CodeUnreachable, "unreachable", NotExecuted, http.StatusServiceUnavailable, "no connection could be established"},
		{CodeTokenNotRun, "token_not_run", NotExecuted, http.StatusConflict, "the request of this token was not executed and never will be"},
		{CodeBusy, "busy", NotExecuted, http.StatusServiceUnavailable, "the request would take longer here than at another server"},
		{CodeMisdirected, "misdirected", NotExecuted, http.StatusServiceUnavailable, "the address belongs to another backend server"},
		{CodeBudgetSpent, "budget_spent", NotExecuted, http.StatusServiceUnavailable, "no further attempt is allowed"},
		{CodeFailing, "failing", NotExecuted, http.StatusServiceUnavailable, "many of the rule's latest requests failed at this backend server"},
		{CodeServerLimit, "server_limit", NotExecuted, http.StatusServiceUnavailable, "the backend server named a limit of requests per second, which has no room for the request before its deadline"},
		{CodeEvacuated, "evacuated", NotExecuted, http.StatusServiceUnavailable, "the operators have evacuated the data centre of the backend server, or of all servers of the service"},
		{CodeLinkFull, "link_full", NotExecuted, http.StatusServiceUnavailable, "the network link of a host has no room for the response within the rule's target"},
		{CodeBodyLate, "body_late", NotExecuted, http.StatusServiceUnavailable, "the request body did not reach the receiving sidecar completely and in time"},
		{CodeNoSettings, "no_settings", NotExecuted, http.StatusServiceUnavailable, "the sidecar has no configuration yet"},
		{CodeHeadTooLarge, "head_too_large", NotExecuted, http.StatusRequestHeaderFieldsTooLarge, "the request line and header exceed the limit"},
		{CodeUnknown, "unknown", ExecutionUnknown, http.StatusGatewayTimeout, "the connection ended or the deadline passed before the result was known"},
		{CodeTokenExpired, "token_expired", ExecutionUnknown, http.StatusGone, "the response of this token is no longer cached"},
		{CodeProcessGone, "process_gone", ExecutionUnknown, http.StatusGone, "the process that may have executed the request has ended"},
		{CodeAnswerCut, "answer_cut", ExecutionUnknown, http.StatusBadGateway, "the response was truncated"},
		{CodeAnswerTooLate, "answer_too_late", ExecutionUnknown, http.StatusGatewayTimeout, "the request was started and not completed by the deadline"},
		{CodeStillRunning, "still_running", ExecutionUnknown, http.StatusGatewayTimeout, "the request of this token is still in progress"},
		{CodeSpoiled, "spoiled", ExecutionUnknown, http.StatusBadGateway, "the backend server's response is truncated, malformed or not identified as the response to this request"},
		{CodeCallerGone, "caller_gone", ExecutionUnknown, http.StatusBadGateway, "the client closed the connection before the response"},
		{CodeAnswerNotKept, "answer_not_kept", Executed, http.StatusConflict, "the request of this token was executed; its response was too large to cache"},
		{CodeSyntax, "syntax", "", 0, "the text is not valid INI"},
		{CodeUnknownSection, "unknown_section", "", 0, "the section is not in the schema"},
		{CodeUnknownKey, "unknown_key", "", 0, "the key is not in the schema"},
		{CodeWrongType, "wrong_type", "", 0, "the value does not have the type of the key"},
		{CodeOutOfRange, "out_of_range", "", 0, "the number is outside the allowed range"},
		{CodeMissingKey, "missing_key", "", 0, "a required section or key is missing"},
		{CodeDuplicate, "duplicate", "", 0, "a section, key or address occurs twice"},
		{CodeBadName, "bad_name", "", 0, "the name has characters other than lower-case letters, digits and underscores"},
		{CodeBadAddress, "bad_address", "", 0, "the value is not an IP address with a port"},
		{CodeNotAllowed, "not_allowed", "", 0, "the value is not one of the allowed values"},
		{CodeTooLarge, "too_large", "", 0, "the value is larger than 1 MiB"},
		{CodeUnreadable, "unreadable", "", 0, "the file cannot be read"},
		{CodeFloorSum, "floor_sum", "", 0, "the floors of a team's ranks add up to more than 100 percent"},
		{CodeOtherTeam, "other_team", "", 0, "the settings name a different team than their key"},
		{CodeNoService, "no_service", "", 0, "no accepted settings declare the route's service"},
		{CodeNoHosts, "no_hosts", "", 0, "the host list has no host with the route's service"},
		{CodeNoRank, "no_rank", "", 0, "the service's team has no such rank"},
		{CodeServiceTwice, "service_twice", "", 0, "two teams declare the service; it belongs to the first by name"},
		{CodeConflict, "conflict", "", 0, "two different contents were received for one revision"},
		{CodeSourceBehind, "source_behind", "", 0, "the source returned an older revision than an accepted one"},
		{CodeSourceDown, "source_down", "", 0, "the source does not respond"},
		{CodeDigestMismatch, "digest_mismatch", "", 0, "a body does not match its announced digest"},
		{CodePeerBusy, "peer_busy", "", 0, "the peer's rate limit for full bodies is reached; retry later"},
		{CodeNotConfirmed, "not_confirmed", "", 0, "the wait for confirmation timed out; the node serves with unconfirmed settings"},
		{CodeUndecodable, "undecodable", "", 0, "an entry of the store cannot be decoded or refers to a missing one"},
		{CodeHostSilent, "host_silent", "", 0, "the host did not respond in time"},
		{CodeHostOlder, "host_older", "", 0, "the host holds an older version"},
		{CodeHostUnsure, "host_unsure", "", 0, "the host has not confirmed its settings"},
		{CodeHostServing, "host_serving", "", 0, "the host enforces the route, or has requests in progress on an older table"},
		{CodeUnlisted, "unlisted", "", 0, "the host contacted a node and is missing from the host list"},
		{CodeUsage, "usage", "", 0, "the command line is invalid"},
		{CodeOperator, "operator", "", 0, "the node's operator listener does not respond"},
		{CodeNotLoopback, "not_loopback", "", 0, "the request would change a node and came from another host"},
		{CodeNoLines, "no_lines", "", 0, "none of the log lines is about the request"},
	}

	codeInfos = indexCodes()
)

// Error returns the code's number and name, and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Reason)
}

// Info returns the description of the code. A code that isn't listed gets that of CodeUnknown.
func (c Code) Info() CodeInfo {
	if i, ok := codeInfos[c]; ok {
		return i
	}
	return codeInfos[CodeUnknown]
}

// Errorf returns an Error with a code and a formatted reason.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Reason: fmt.Sprintf(format, args...)}
}

func indexCodes() map[Code]CodeInfo {
	m := make(map[Code]CodeInfo, len(Codes))
	for _, i := range Codes {
		m[i.Code] = i
	}
	return m
}
