// Package hop passes requests between sidecars over HTTP/1.1: the request line, the headers and the body stay as
// the caller sent them, and what the sidecars tell each other stands in headers of their own.
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

// Names of the headers between sidecars. Times are times left, in microseconds, since no two hosts' clocks are compared.
const (
	headerPrefix = "Jaypitch-"
	// headerPass is what the sender says of a request, headerReply what the receiver says of its end; each is one
	// header with parts separated by separator, since bytes between data centres are dear.
	headerPass   = "Jaypitch-Pass"
	headerReply  = "Jaypitch-Reply"
	headerLength = "Content-Length"
	separator    = ";"

	passParts  = 9
	replyParts = 14
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host"}

// EndToEndHeader returns a copy of a header without what concerns one connection or stands between sidecars only.
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

// pass writes what the sender says of a request.
func pass(f *jaypitch.MeshRequest, now time.Time) string {
	endBy := int64(0)
	if !f.CompleteBy.IsZero() {
		endBy = max(1, f.CompleteBy.Sub(now).Microseconds())
	}
	return strings.Join([]string{url.QueryEscape(f.ServerID), url.QueryEscape(f.CallerService), url.QueryEscape(f.Rule), number(f.Rank), flag(f.Idempotent), number(f.Deadline.Sub(now).Microseconds()),
		number(f.TargetDeadline.Sub(now).Microseconds()), number(endBy), number(f.Revision)}, separator)
}

// parsePass reads what the sender says into f.
func parsePass(text string, f *jaypitch.MeshRequest, now time.Time) *jaypitch.Error {
	p := strings.Split(text, separator)
	if len(p) != passParts || p[0] == "" {
		return jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s has %d parts; %d are needed", headerPass, len(p), passParts)
	}
	for i, name := range p[:3] {
		plain, err := url.QueryUnescape(name)
		if err != nil {
			return jaypitch.Errorf(jaypitch.CodeBadRequest, "part %q is not escaped", name)
		}
		p[i] = plain
	}
	n, e := parseNumbers(p[3:])
	if e != nil {
		return e
	}
	f.ServerID, f.CallerService, f.Rule, f.Rank, f.Idempotent = p[0], p[1], p[2], n[0], n[1] != 0
	f.Deadline, f.TargetDeadline, f.Revision = now.Add(micros(n[2])), now.Add(micros(n[3])), n[5]
	if n[4] > 0 {
		f.CompleteBy = now.Add(micros(n[4]))
	}
	return nil
}

// reply writes what the receiver says of a request's end.
func reply(r *jaypitch.MeshResponse) string {
	l := r.LoadReport
	return strings.Join([]string{string(r.Execution), number(int64(r.Code)), flag(r.Arrived), number(r.ServiceTime.Microseconds()), number(r.QueueTime.Microseconds()), number(r.RetryAfter.Microseconds()),
		number(int64(l.InProgress)), number(int64(l.Queued)), number(int64(l.Slots)), number(l.Mean.Microseconds()), number(int64(l.Failing * failingUnit)),
		flag(l.Stopping), number(l.Revision), number(l.SourceAge.Microseconds())}, separator)
}

// parseReply reads what the receiver says into r.
func parseReply(text string, r *jaypitch.MeshResponse) *jaypitch.Error {
	p := strings.Split(text, separator)
	if len(p) != replyParts {
		return jaypitch.Errorf(jaypitch.CodeUnknown, "header %s has %d parts; %d are needed", headerReply, len(p), replyParts)
	}
	r.Execution = jaypitch.Execution(p[0])
	switch r.Execution {
	case jaypitch.NotExecuted, jaypitch.Executed, jaypitch.ExecutionUnknown:
	default:
		return jaypitch.Errorf(jaypitch.CodeUnknown, "header %s says %q of whether the request ran", headerReply, p[0])
	}
	n, e := parseNumbers(p[1:])
	if e != nil {
		return e
	}
	r.Code, r.Arrived, r.ServiceTime, r.QueueTime, r.RetryAfter = jaypitch.Code(n[0]), n[1] != 0, micros(n[2]), micros(n[3]), micros(n[4])
	r.LoadReport = jaypitch.MeshLoadReport{InProgress: int(n[5]), Queued: int(n[6]), Slots: int(n[7]), Mean: micros(n[8]), Failing: float64(n[9]) / failingUnit,
		Stopping: n[10] != 0, Revision: n[11], SourceAge: micros(n[12])}
	return nil
}

func parseNumbers(parts []string) ([]int64, *jaypitch.Error) {
	out := make([]int64, len(parts))
	for i, p := range parts {
		n, err := strconv.ParseInt(p, 10, 64)
		if err != nil {
			return nil, jaypitch.Errorf(jaypitch.CodeBadRequest, "part %q is not a number", p)
		}
		out[i] = n
	}
	return out, nil
}

func number(n int64) string {
	return strconv.FormatInt(n, 10)
}

func flag(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// failingUnit is the wire's unit of a share.
const failingUnit = 1000
