// Package explain tells the life of one request from the log lines of any number of sidecars. It has no clock and no socket.
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

// Line is one log line of a sidecar; the fields that a kind of line lacks are zero.
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
	SuppressedLines int64     `json:"lines,omitempty"`
	Kind            string    `json:"kind,omitempty"`
}

// Explanation is the life of one request.
type Explanation struct {
	ID string `json:"id"`
	// Cause says in one sentence why the request ended as it did.
	Cause string `json:"cause"`
	Lines []Line `json:"lines"`
	// RelatedChanges are changes of what the sidecars concerned believed, near the request.
	RelatedChanges []Line `json:"around"`
	// Missing says what the lines lack.
	Missing []string `json:"missing"`
}

const (
	// near is how long before the request a change of belief is told.
	near = 3 * time.Second
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// Read reads the lines of a log; what is no line of a sidecar is left out. A line may have a prefix before its JSON.
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

// Explain tells the life of the request with an id.
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
	passes := passOf(s.Lines)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Or(order(a, passes)-order(b, passes), a.At.Compare(b.At)) })
	first, last := span(s.Lines)
	for _, l := range lines {
		if l.ID == "" && nodes[l.Node] && !l.At.Before(first.Add(-near)) && !l.At.After(last) && l.Message != leftOut {
			s.RelatedChanges = append(s.RelatedChanges, l)
		}
	}
	slices.SortStableFunc(s.RelatedChanges, func(a, b Line) int { return a.At.Compare(b.At) })
	s.Missing = missing(s.Lines, lines)
	s.Cause = cause(s)
	return s, nil
}

const leftOut = "lines left out"

// passOf tells the pass in which each server got the request.
func passOf(lines []Line) map[string]int {
	out := map[string]int{}
	for _, l := range lines {
		if l.Message == logline.Passed {
			out[l.Server] = l.Attempt
		}
	}
	return out
}

// order puts the hand-overs of a request by their pass, what a receiver says before what its sender says, the end last.
func order(l Line, passes map[string]int) int {
	switch l.Message {
	case logline.Answered, logline.Failed:
		return 1 << 20
	case logline.Passed:
		return 2 * l.Attempt
	}
	return 2*passes[l.Server] - 1
}

func span(lines []Line) (first, last time.Time) {
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

// missing says which lines a whole story would have.
func missing(own, all []Line) []string {
	var out []string
	end := own[len(own)-1]
	if end.Message != logline.Answered && end.Message != logline.Failed {
		out = append(out, "the line of the sidecar that took the request from its caller")
	}
	for _, p := range own {
		if p.Message == logline.Passed && p.Execution != string(jaypitch.NotExecuted) && !has(own, logline.Received, p.Server) {
			out = append(out, fmt.Sprintf("the line of the sidecar beside server %s", p.Server))
		}
	}
	for _, r := range own {
		if r.Message == logline.Received && !has(own, logline.Passed, r.Server) {
			out = append(out, fmt.Sprintf("the line on the hand-over to server %s", r.Server))
		}
	}
	var left int64
	for _, l := range all {
		if l.Message == leftOut {
			left += l.SuppressedLines
		}
	}
	if left > 0 && len(out) > 0 {
		out = append(out, fmt.Sprintf("%d lines were left out for want of budget", left))
	}
	return out
}

func has(lines []Line, message, server string) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return l.Message == message && l.Server == server })
}

// cause says why the request ended as it did: by its end if that is there, else by the last that is known.
func cause(s *Explanation) string {
	end := s.Lines[len(s.Lines)-1]
	code := jaypitch.Code(end.Code)
	info := code.Info()
	subject := "The request"
	if end.Rule != "" {
		subject = fmt.Sprintf("The request of rule %s", end.Rule)
	}
	decisive := decisive(s.Lines, code)
	switch {
	case code == jaypitch.CodeOK && end.Status >= 500:
		return fmt.Sprintf("%s was answered %d by the server itself.", subject, end.Status)
	case code == jaypitch.CodeOK:
		return fmt.Sprintf("%s was answered %d after %.0f ms.", subject, end.Status, end.Took*1000)
	case code == jaypitch.CodeNoRoute:
		return fmt.Sprintf("%s had no rule in version %d, which sidecar %s held: %s.", subject, end.Version, end.Node, changeOf(s.RelatedChanges, end))
	case info.Execution == jaypitch.NotExecuted:
		return fmt.Sprintf("%s was refused as not run (%d %s), decided by sidecar %s: %s.", subject, end.Code, info.Name, decisive.Node, decisive.Reason)
	}
	return fmt.Sprintf("%s may have run (%d %s), at server %s: %s%s.", subject, end.Code, info.Name, decisive.Server, decisive.Reason, deathOf(s.RelatedChanges, decisive.Server))
}

// decisive is the line that says most of why: what a receiver says of the code, else the last hand-over, else the end.
func decisive(lines []Line, code jaypitch.Code) Line {
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

// changeOf tells the last change of the version near a request.
func changeOf(around []Line, end Line) string {
	text := "no change of the version is known near it"
	for _, l := range around {
		if l.Message == "version in force" && l.Node == end.Node {
			text = fmt.Sprintf("version %d came into force %.0f ms before", l.Version, end.At.Sub(l.At).Seconds()*1000)
		}
	}
	return text
}

// deathOf tells that the sidecar beside a server was taken for dead near a request.
func deathOf(around []Line, server string) string {
	for _, l := range around {
		if l.Message == "sidecar taken for dead" && l.Server == server && server != "" {
			return "; the sidecar beside it was taken for dead"
		}
	}
	return ""
}

// Summary describes one line without its id.
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
		add("%d of %d slots used, %d waiting", l.InProgress, l.Slots, l.Queued)
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
