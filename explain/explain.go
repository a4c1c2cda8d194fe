// Package explain reconstructs the course of one request, and why it ended as it did, from the log lines of any number of
// sidecars. It uses no clock or sockets.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/logline"
)

// Line is one log line of a sidecar. Durations are in seconds. Fields that the kind of line doesn't have are zero.
type Line struct {
	At              time.Time `json:"ts"`
	Message         string    `json:"msg"`
	Node            string    `json:"node"`
	ID              string    `json:"id,omitempty"`
	Rule            string    `json:"rule,omitempty"`
	Service         string    `json:"service,omitempty"`
	Server          string    `json:"server,omitempty"`
	Attempt         int       `json:"pass,omitempty"`
	Version         int64     `json:"version,omitempty"`
	Revision        int64     `json:"revision,omitempty"`
	Status          int       `json:"status,omitempty"`
	Code            int       `json:"code"`
	Execution       string    `json:"ran,omitempty"`
	Reason          string    `json:"reason,omitempty"`
	Error           string    `json:"error,omitempty"`
	Took            float64   `json:"took,omitempty"`
	QueueTime       float64   `json:"waited,omitempty"`
	ServiceTime     float64   `json:"worked,omitempty"`
	TimeLeft        float64   `json:"left,omitempty"`
	Slots           int       `json:"slots,omitempty"`
	InProgress      int       `json:"in_progress,omitempty"`
	Queued          int       `json:"waiting,omitempty"`
	Draining        bool      `json:"draining,omitempty"`
	Gone            bool      `json:"gone,omitempty"`
	Limited         bool      `json:"limited,omitempty"`
	RateLimit       float64   `json:"limit,omitempty"`
	Leaving         bool      `json:"leaving,omitempty"`
	SuppressedLines int64     `json:"lines,omitempty"`
	Kind            string    `json:"kind,omitempty"`
}

// Explanation describes the course of one request.
type Explanation struct {
	ID string `json:"id"`
	// Cause is one sentence that says why the request ended as it did.
	Cause string `json:"cause"`
	// Lines are the lines about the request, in the order of its attempts.
	Lines []Line `json:"lines"`
	// RelatedChanges are changes of state of the sidecars involved, from changeWindow before the request to its end.
	RelatedChanges []Line `json:"around"`
	// Missing describes the lines that the log lacks and a complete log would have.
	Missing []string `json:"missing"`
}

const (
	// changeWindow is how long before the request a change of state is related to it.
	changeWindow = 3 * time.Second
	// maxLineBytes is the longest line that Read accepts.
	maxLineBytes = 1 << 20
)

// Read reads the lines of a log and skips those that are not from a sidecar. A line may have a prefix before its JSON.
func Read(in io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		_, text, ok := bytes.Cut(s.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var l Line
		if err := json.Unmarshal(append([]byte("{"), text...), &l); err == nil && l.Message != "" {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// Explain returns the explanation of the request with an ID. Without any line about it, the error has CodeNoLines.
func Explain(lines []Line, id string) (*Explanation, *jaypitch.Error) {
	s := &Explanation{ID: id}
	nodes := map[string]bool{}
	for _, l := range lines {
		if l.ID == id {
			s.Lines = append(s.Lines, l)
			nodes[l.Node] = true
		}
	}
	if len(s.Lines) == 0 {
		return nil, jaypitch.Errorf(jaypitch.CodeNoLines, "none of %d lines is about request %q", len(lines), id)
	}
	attempts := attemptsByServer(s.Lines)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Or(sortKey(a, attempts)-sortKey(b, attempts), a.At.Compare(b.At)) })
	first, last := timeRange(s.Lines)
	for _, l := range lines {
		if l.ID == "" && nodes[l.Node] && !l.At.Before(first.Add(-changeWindow)) && !l.At.After(last) && l.Message != suppressedMessage {
			s.RelatedChanges = append(s.RelatedChanges, l)
		}
	}
	slices.SortStableFunc(s.RelatedChanges, func(a, b Line) int { return a.At.Compare(b.At) })
	s.Missing = missingLines(s.Lines, lines)
	s.Cause = cause(s)
	return s, nil
}

const suppressedMessage = "lines left out"

// attemptsByServer returns, for each server, the ordinal of the last attempt to it.
func attemptsByServer(lines []Line) map[string]int {
	out := map[string]int{}
	for _, l := range lines {
		if l.Message == logline.Passed {
			out[l.Server] = l.Attempt
		}
	}
	return out
}

// sortKey returns the sort key of a line: by attempt, with the receiver's line before the sender's, and the final line last.
func sortKey(l Line, attempts map[string]int) int {
	switch l.Message {
	case logline.Answered, logline.Failed:
		return 1 << 20
	case logline.Passed:
		return 2 * l.Attempt
	}
	return 2*attempts[l.Server] - 1
}

func timeRange(lines []Line) (first, last time.Time) {
	first, last = lines[0].At, lines[0].At
	for _, l := range lines {
		if l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	return first, last
}

// missingLines describes the lines that the log lacks and a complete log of the request would have.
func missingLines(lines, all []Line) []string {
	var out []string
	end := lines[len(lines)-1]
	if end.Message != logline.Answered && end.Message != logline.Failed {
		out = append(out, "the line of the sidecar that received the request from the client")
	}
	for _, p := range lines {
		if p.Message == logline.Passed && p.Execution != string(jaypitch.NotExecuted) && !containsLine(lines, logline.Received, p.Server) {
			out = append(out, fmt.Sprintf("the line of the sidecar beside server %s", p.Server))
		}
	}
	for _, r := range lines {
		if r.Message == logline.Received && !containsLine(lines, logline.Passed, r.Server) {
			out = append(out, fmt.Sprintf("the sender's line about the attempt to server %s", r.Server))
		}
	}
	var suppressed int64
	for _, l := range all {
		if l.Message == suppressedMessage {
			suppressed += l.SuppressedLines
		}
	}
	if suppressed > 0 && len(out) > 0 {
		out = append(out, fmt.Sprintf("%d lines were suppressed by the log budget", suppressed))
	}
	return out
}

func containsLine(lines []Line, message, server string) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return l.Message == message && l.Server == server })
}

// cause returns the Cause of an explanation, from the final line of the request or, if that is missing, from its last known line.
func cause(s *Explanation) string {
	end := s.Lines[len(s.Lines)-1]
	code := jaypitch.Code(end.Code)
	info := code.Info()
	subject := "The request"
	if end.Rule != "" {
		subject = fmt.Sprintf("The request of rule %s", end.Rule)
	}
	decisive := decisiveLine(s.Lines, code)
	switch {
	case code == jaypitch.CodeOK && end.Status >= 500:
		return fmt.Sprintf("%s got status %d from the backend server.", subject, end.Status)
	case code == jaypitch.CodeOK:
		return fmt.Sprintf("%s got status %d after %.0f ms.", subject, end.Status, end.Took*1000)
	case code == jaypitch.CodeNoRoute:
		return fmt.Sprintf("%s matched no rule of version %d on sidecar %s: %s.", subject, end.Version, end.Node, configChange(s.RelatedChanges, end))
	case info.Execution == jaypitch.NotExecuted:
		return fmt.Sprintf("%s was refused as not run (%d %s) by sidecar %s: %s.", subject, end.Code, info.Name, decisive.Node, decisive.Reason)
	}
	return fmt.Sprintf("%s may have run (%d %s) at server %s: %s%s.", subject, end.Code, info.Name, decisive.Server, decisive.Reason, failedProbe(s.RelatedChanges, decisive.Server))
}

// decisiveLine returns the line that explains a result code best: the last line of a receiver with the code, or else the last line of a
// sender with the code, or else the final line of the request.
func decisiveLine(lines []Line, code jaypitch.Code) Line {
	out := lines[len(lines)-1]
	for _, message := range []string{logline.Passed, logline.Received} {
		for _, l := range lines {
			if l.Message == message && jaypitch.Code(l.Code) == code {
				out = l
			}
		}
	}
	return out
}

// configChange describes the last change of the configuration version on a sidecar before the end of a request.
func configChange(changes []Line, end Line) string {
	text := "the log has no version change near the request"
	for _, l := range changes {
		if l.Message == "version in force" && l.Node == end.Node {
			text = fmt.Sprintf("version %d took effect %.0f ms before", l.Version, end.At.Sub(l.At).Seconds()*1000)
		}
	}
	return text
}

// failedProbe returns a clause for the cause if the sidecar beside a server failed a probe near the request, else "".
func failedProbe(changes []Line, server string) string {
	for _, l := range changes {
		if l.Message == "sidecar taken for dead" && l.Server == server && server != "" {
			return "; the sidecar beside it did not respond to a probe"
		}
	}
	return ""
}

// Summary describes a line in words, without its ID.
func (l Line) Summary() string {
	var b strings.Builder
	add := func(format string, args ...any) { fmt.Fprintf(&b, " "+format, args...) }
	if l.Server != "" {
		add("server %s", l.Server)
	}
	if l.Version != 0 {
		add("version %d", l.Version)
	}
	if l.Code != 0 {
		add("%d %s", l.Code, jaypitch.Code(l.Code).Info().Name)
	}
	if l.Status != 0 {
		add("status %d", l.Status)
	}
	for _, t := range []struct {
		name    string
		seconds float64
	}{{"took", l.Took}, {"waited", l.QueueTime}, {"worked", l.ServiceTime}, {"left", l.TimeLeft}} {
		if t.seconds != 0 {
			add("%s %.1f ms", t.name, t.seconds*1000)
		}
	}
	if l.Slots > 0 {
		add("%d of %d slots used, %d queued", l.InProgress, l.Slots, l.Queued)
	}
	if l.Limited {
		add("takes %g requests a second", l.RateLimit)
	}
	if l.Leaving {
		add("leaving")
	}
	if l.Draining {
		add("draining")
	}
	if l.Gone {
		add("gone")
	}
	if l.Reason != "" {
		add("(%s)", l.Reason)
	}
	return strings.TrimSpace(b.String())
}
