// Package hop forwards requests between sidecars over HTTP/1.1. The request line, the end-to-end headers and the body
// stay as the client sent them. The sidecars' data is in two additional headers, one for the request and one for the response.
package hop

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
)

// Format of the headers between sidecars. Deadlines are sent as the time left, in microseconds, since the clocks of two hosts are never compared.
const (
	headerPrefix = "Jaypitch-"
	// headerAttempt holds the sender's data about a request, headerResponse the receiver's data about its result. Each is
	// a single header of fields joined by separator, to save bytes between data centres.
	headerAttempt  = "Jaypitch-Pass"
	headerResponse = "Jaypitch-Reply"
	// headerNotice holds further data of both directions, as name=value pairs joined by separator: the store's era, and what is known of the
	// backend server. Unknown names are ignored, and sidecars of older builds don't send the header.
	headerNotice = "Jaypitch-Notice"
	headerLength = "Content-Length"
	separator    = ";"

	attemptFields  = 9
	responseFields = 14
)

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host"}

// EndToEndHeader returns a copy of a header without the fields that apply to a single connection and those that sidecars set.
// The copy shares the slices of values.
func EndToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// formatAttempt returns the value of headerAttempt for a request.
func formatAttempt(f *jaypitch.MeshRequest, now time.Time) string {
	completeBy := int64(0)
	if !f.CompleteBy.IsZero() {
		completeBy = max(1, f.CompleteBy.Sub(now).Microseconds())
	}
	return strings.Join([]string{url.QueryEscape(f.ServerID), url.QueryEscape(f.CallerService), url.QueryEscape(f.Rule), formatInt(f.Rank),
		formatBool(f.Idempotent), formatInt(f.Deadline.Sub(now).Microseconds()), formatInt(f.TargetDeadline.Sub(now).Microseconds()),
		formatInt(completeBy), formatInt(f.Revision)}, separator)
}

// parseAttempt parses the value of headerAttempt into f.
func parseAttempt(text string, f *jaypitch.MeshRequest, now time.Time) *jaypitch.Error {
	p := strings.Split(text, separator)
	if len(p) != attemptFields || p[0] == "" {
		return jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s has %d fields; %d are required", headerAttempt, len(p), attemptFields)
	}
	for i, name := range p[:3] {
		unescaped, err := url.QueryUnescape(name)
		if err != nil {
			return jaypitch.Errorf(jaypitch.CodeBadRequest, "field %q has an invalid escape sequence", name)
		}
		p[i] = unescaped
	}
	n, e := parseNumbers(p[3:])
	if e != nil {
		return e
	}
	f.ServerID, f.CallerService, f.Rule, f.Rank, f.Idempotent = p[0], p[1], p[2], n[0], n[1] != 0
	f.Deadline, f.TargetDeadline, f.Revision = now.Add(microseconds(n[2])), now.Add(microseconds(n[3])), n[5]
	if n[4] > 0 {
		f.CompleteBy = now.Add(microseconds(n[4]))
	}
	return nil
}

// formatResponse returns the value of headerResponse for a response.
func formatResponse(r *jaypitch.MeshResponse) string {
	l := r.LoadReport
	return strings.Join([]string{string(r.Execution), formatInt(int64(olderCode(r.Code))), formatBool(r.Arrived), formatInt(r.ServiceTime.Microseconds()),
		formatInt(r.QueueTime.Microseconds()), formatInt(r.RetryAfter.Microseconds()),
		formatInt(int64(l.InProgress)), formatInt(int64(l.Queued)), formatInt(int64(l.Slots)), formatInt(l.Mean.Microseconds()),
		formatInt(int64(l.Failing * failingScale)), formatBool(l.Stopping), formatInt(l.Revision), formatInt(l.SourceAge.Microseconds())}, separator)
}

// parseResponse parses the value of headerResponse into r.
func parseResponse(text string, r *jaypitch.MeshResponse) *jaypitch.Error {
	p := strings.Split(text, separator)
	if len(p) != responseFields {
		return jaypitch.Errorf(jaypitch.CodeUnknown, "header %s has %d fields; %d are required", headerResponse, len(p), responseFields)
	}
	r.Execution = jaypitch.Execution(p[0])
	switch r.Execution {
	case jaypitch.NotExecuted, jaypitch.Executed, jaypitch.ExecutionUnknown:
	default:
		return jaypitch.Errorf(jaypitch.CodeUnknown, "header %s has the invalid execution %q", headerResponse, p[0])
	}
	n, e := parseNumbers(p[1:])
	if e != nil {
		return e
	}
	r.Code, r.Arrived, r.ServiceTime, r.QueueTime, r.RetryAfter = jaypitch.Code(n[0]), n[1] != 0, microseconds(n[2]), microseconds(n[3]), microseconds(n[4])
	r.LoadReport = jaypitch.MeshLoadReport{InProgress: int(n[5]), Queued: int(n[6]), Slots: int(n[7]), Mean: microseconds(n[8]),
		Failing: float64(n[9]) / failingScale, Stopping: n[10] != 0, Revision: n[11], SourceAge: microseconds(n[12])}
	return nil
}

func parseNumbers(fields []string) ([]int64, *jaypitch.Error) {
	out := make([]int64, len(fields))
	for i, p := range fields {
		n, err := strconv.ParseInt(p, 10, 64)
		if err != nil {
			return nil, jaypitch.Errorf(jaypitch.CodeBadRequest, "field %q is not an integer", p)
		}
		out[i] = n
	}
	return out, nil
}

func formatInt(n int64) string {
	return strconv.FormatInt(n, 10)
}

func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// failingScale is the factor from the share of failed requests to its value in headerResponse, in thousandths.
const failingScale = 1000
