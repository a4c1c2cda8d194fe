package jaypitch

import (
	"fmt"
	"net/http"
)

// Code is a numbered result. docs/CODES.md lists all of them.
type Code int

// Execution says whether the work of a refused or failed call was done.
type Execution string

// CodeInfo describes one result code.
type CodeInfo struct {
	Code Code
	Name string
	// Execution is empty for codes that are not about calls.
	Execution Execution
	// Status is the HTTP status sent to a caller; zero for codes that are not about calls.
	Status int
	Help   string
}

// Error is a failure with its result code.
type Error struct {
	Code   Code
	Reason string
}

const (
	// NotExecuted is said only when it is certain that the work was not started.
	NotExecuted Execution = "not_run"
	// Executed says that the backend server answered.
	Executed Execution = "ran"
	// ExecutionUnknown says that the work may have been done.
	ExecutionUnknown Execution = "unknown"
)

// Results of calls.
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

// Results of settling references between teams, and of distribution.
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

// Results of evidence and of the command line.
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
	// Codes lists every result code in order.
	Codes = []CodeInfo{
		{CodeOK, "ok", Executed, http.StatusOK, "the backend server answered; the answer is whole"},
		{CodeNoRoute, "no_route", NotExecuted, http.StatusNotFound, "no accepted settings hold this route"},
		{CodeNoCustomer, "no_customer", NotExecuted, http.StatusForbidden, "the route doesn't serve this customer"},
		{CodeRouteWithdrawn, "route_withdrawn", NotExecuted, http.StatusServiceUnavailable, "the route's service, rank or backend servers are not held here"},
		{CodeNoBackend, "no_backend", NotExecuted, http.StatusServiceUnavailable, "no backend server could take the call"},
		{CodeDeadline, "deadline", NotExecuted, http.StatusGatewayTimeout, "the deadline can't be met or has passed before the work was started"},
		{CodeOverloaded, "overloaded", NotExecuted, http.StatusServiceUnavailable, "the queue of this rank is full or too slow for the deadline"},
		{CodeStopping, "stopping", NotExecuted, http.StatusServiceUnavailable, "the node or its backend server is stopping"},
		{CodeBodyTooLarge, "body_too_large", NotExecuted, http.StatusRequestEntityTooLarge, "the request body is over the limit"},
		{CodeBodyCut, "body_cut", NotExecuted, http.StatusBadRequest, "the request body ended early"},
		{CodeTooManyCalls, "too_many_calls", NotExecuted, http.StatusServiceUnavailable, "the node has too many calls in progress"},
		{CodeUnconfirmed, "unconfirmed", NotExecuted, http.StatusServiceUnavailable, "the node has not confirmed its settings since its start or a pause"},
		{CodeOtherProcess, "other_process", NotExecuted, http.StatusServiceUnavailable, "the attempt was meant for an earlier process of this host"},
		{CodeStaleSender, "stale_sender", NotExecuted, http.StatusServiceUnavailable, "the sending node holds older settings that route otherwise"},
		{CodeStaleReceiver, "stale_receiver", NotExecuted, http.StatusServiceUnavailable, "the receiving node could not fetch the sender's settings in time"},
		{CodeNotThisHost, "not_this_host", NotExecuted, http.StatusServiceUnavailable, "the route's service is not on this host"},
		{CodeAnswersFull, "answers_full", NotExecuted, http.StatusServiceUnavailable, "the table of kept answers is full"},
		{CodeBadToken, "bad_token", NotExecuted, http.StatusBadRequest, "the token can't be read"},
		{CodeBadRequest, "bad_request", NotExecuted, http.StatusBadRequest, "the call lacks a team, a route or a readable header"},
		{CodeShed, "shed", NotExecuted, http.StatusServiceUnavailable, "the backend server shed the call before running it"},
		{CodeUnreachable, "unreachable", NotExecuted, http.StatusServiceUnavailable, "no connection could be made"},
		{CodeTokenNotRun, "token_not_run", NotExecuted, http.StatusConflict, "the call of this token did not run, and never will"},
		{CodeBusy, "busy", NotExecuted, http.StatusServiceUnavailable, "the request would take longer here than elsewhere"},
		{CodeMisdirected, "misdirected", NotExecuted, http.StatusServiceUnavailable, "another backend server has the address"},
		{CodeBudgetSpent, "budget_spent", NotExecuted, http.StatusServiceUnavailable, "no further attempt is allowed"},
		{CodeFailing, "failing", NotExecuted, http.StatusServiceUnavailable, "the backend server failed many of the rule's latest requests"},
		{CodeNoSettings, "no_settings", NotExecuted, http.StatusServiceUnavailable, "the sidecar holds no configuration yet"},
		{CodeHeadTooLarge, "head_too_large", NotExecuted, http.StatusRequestHeaderFieldsTooLarge, "the head of the request is over the limit"},
		{CodeUnknown, "unknown", ExecutionUnknown, http.StatusGatewayTimeout, "the connection or the deadline ended before the outcome was known"},
		{CodeTokenExpired, "token_expired", ExecutionUnknown, http.StatusGone, "the answer of this token is no longer kept"},
		{CodeProcessGone, "process_gone", ExecutionUnknown, http.StatusGone, "the process that may have run the call has ended"},
		{CodeAnswerCut, "answer_cut", ExecutionUnknown, http.StatusBadGateway, "the answer ended early"},
		{CodeAnswerTooLate, "answer_too_late", ExecutionUnknown, http.StatusGatewayTimeout, "the work was started and did not answer by the deadline"},
		{CodeStillRunning, "still_running", ExecutionUnknown, http.StatusGatewayTimeout, "the call of this token is still in progress"},
		{CodeSpoiled, "spoiled", ExecutionUnknown, http.StatusBadGateway, "the backend server's answer is not whole or not its own"},
		{CodeCallerGone, "caller_gone", ExecutionUnknown, http.StatusBadGateway, "the caller left before the answer"},
		{CodeAnswerNotKept, "answer_not_kept", Executed, http.StatusConflict, "the call of this token ran; its answer was too large to keep"},
		{CodeSyntax, "syntax", "", 0, "the text is not INI"},
		{CodeUnknownSection, "unknown_section", "", 0, "the section is not in the schema"},
		{CodeUnknownKey, "unknown_key", "", 0, "the key is not in the schema"},
		{CodeWrongType, "wrong_type", "", 0, "the value is not of the key's type"},
		{CodeOutOfRange, "out_of_range", "", 0, "the number is outside what is allowed"},
		{CodeMissingKey, "missing_key", "", 0, "a required section or key is absent"},
		{CodeDuplicate, "duplicate", "", 0, "a section, key or address stands twice"},
		{CodeBadName, "bad_name", "", 0, "the name has other than lower-case letters, digits and underscores"},
		{CodeBadAddress, "bad_address", "", 0, "the value is not an IP number and a port"},
		{CodeNotAllowed, "not_allowed", "", 0, "the value is not one of those allowed"},
		{CodeTooLarge, "too_large", "", 0, "the value is larger than a megabyte"},
		{CodeUnreadable, "unreadable", "", 0, "the file can't be read"},
		{CodeFloorSum, "floor_sum", "", 0, "the floors of a team's ranks add up to more than 100 percent"},
		{CodeOtherTeam, "other_team", "", 0, "the subtree names another team than its key"},
		{CodeNoService, "no_service", "", 0, "the route's service is in no accepted subtree"},
		{CodeNoHosts, "no_hosts", "", 0, "the host list has no host for the route's service"},
		{CodeNoRank, "no_rank", "", 0, "the service's team has no such rank"},
		{CodeServiceTwice, "service_twice", "", 0, "two teams declare the service; the first by name keeps it"},
		{CodeConflict, "conflict", "", 0, "one revision was seen with two contents"},
		{CodeSourceBehind, "source_behind", "", 0, "the source answered with an older revision than one accepted"},
		{CodeSourceDown, "source_down", "", 0, "the source doesn't answer"},
		{CodeDigestMismatch, "digest_mismatch", "", 0, "a body doesn't have the digest announced for it"},
		{CodePeerBusy, "peer_busy", "", 0, "the peer's budget for whole bodies is spent; ask again later"},
		{CodeNotConfirmed, "not_confirmed", "", 0, "the wait for confirmation ended; the node serves unconfirmed"},
		{CodeUndecodable, "undecodable", "", 0, "an entry of the store can't be decoded or refers to what isn't there"},
		{CodeHostSilent, "host_silent", "", 0, "the host didn't answer in time"},
		{CodeHostOlder, "host_older", "", 0, "the host holds an older version"},
		{CodeHostUnsure, "host_unsure", "", 0, "the host has not confirmed its settings"},
		{CodeHostServing, "host_serving", "", 0, "the host enforces the route, or has calls in progress on an older table"},
		{CodeUnlisted, "unlisted", "", 0, "the host was seen and is absent from the host list"},
		{CodeUsage, "usage", "", 0, "the command line can't be read"},
		{CodeOperator, "operator", "", 0, "the node's operator listener doesn't answer"},
		{CodeNotLoopback, "not_loopback", "", 0, "the request changes a node and came from another host"},
		{CodeNoLines, "no_lines", "", 0, "none of the log lines is about the request"},
	}

	codeInfos = indexCodes()
)

// Error returns the number, the name and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Reason)
}

// Info describes the code; an unlisted code is described as CodeUnknown.
func (c Code) Info() CodeInfo {
	if i, ok := codeInfos[c]; ok {
		return i
	}
	return codeInfos[CodeUnknown]
}

// Errorf makes an Error from a code and a formatted reason.
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
