package ini

import (
	"fmt"
	"strings"

	"github.com/jaypitch/jaypitch"
)

// Problem is one error in a settings text. Section and Key are empty if the problem concerns the whole text or section.
type Problem struct {
	Code    jaypitch.Code `json:"code"`
	File    string        `json:"file"`
	Section string        `json:"section"`
	Key     string        `json:"key"`
	Reason  string        `json:"reason"`
}

// Problems holds all errors of one settings text. The text is valid if it is empty.
type Problems []Problem

// String returns the problem as one line: code, code name, file, section, key and reason.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s: file %q", p.Code, p.Code.Info().Name, p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, " section %q", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " key %q", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Reason)
	return b.String()
}

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "\n")
}
