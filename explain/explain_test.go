package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// Log lines of sidecars. One has the prefix that a log collector adds.
const (
	refused = `{"level":"info","ts":"2026-01-01T00:00:01.010Z","msg":"received","node":"b","id":"one","server":"i-1","rank":1,"code":105,"reason":"the queue has stood for 1s","waited":0,"left":0.5}
  12.0100 b {"level":"info","ts":"2026-01-01T00:00:01.011Z","msg":"passed","node":"a","id":"one","pass":1,"server":"i-1","code":105,"ran":"not_run","reason":"overloaded","slots":4,"in_progress":4,"waiting":9}
{"level":"info","ts":"2026-01-01T00:00:01.012Z","msg":"failed","node":"a","id":"one","rule":"r","version":3,"status":503,"code":105,"ran":"not_run","reason":"overloaded","took":0.003}
`
	probeFailed = `{"ts":"2026-01-01T00:00:02.000Z","msg":"sidecar taken for dead","node":"a","server":"i-2"}
{"ts":"2026-01-01T00:00:02.001Z","msg":"passed","node":"a","id":"two","pass":1,"server":"i-2","code":150,"ran":"unknown","arrived":true,"reason":"the connection to the sidecar failed: EOF"}
{"ts":"2026-01-01T00:00:02.002Z","msg":"failed","node":"a","id":"two","rule":"r","version":3,"status":504,"code":150,"ran":"unknown","reason":"the connection to the sidecar failed: EOF"}
`
	change = `{"ts":"2026-01-01T00:00:03.000Z","msg":"version in force","node":"a","version":4,"from":"store"}
{"ts":"2026-01-01T00:00:03.050Z","msg":"failed","node":"a","id":"three","version":4,"status":404,"code":100,"ran":"not_run","reason":"no rule"}
no line of a sidecar
{"msg":7}
`
)

// assertCause explains a request from a log and checks that the cause contains each of the wanted texts.
func assertCause(t *testing.T, text, id string, want ...string) *Explanation {
	t.Helper()
	lines, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	s, e := Explain(lines, id)
	if e != nil {
		t.Fatal(e)
	}
	for _, w := range want {
		if !strings.Contains(s.Cause, w) {
			t.Fatalf("the cause %q does not contain %q", s.Cause, w)
		}
	}
	return s
}

func TestCauses(t *testing.T) {
	all := refused + probeFailed + change
	t.Run("refusal of an overloaded receiver", func(t *testing.T) {
		is := is.New(t)
		s := assertCause(t, all, "one", "105 overloaded", "sidecar b", "the queue has stood")
		is.Equal(len(s.Missing), 0)
		is.Equal(s.Lines[0].Message, "received")
	})
	t.Run("unknown execution after a sidecar fails", func(t *testing.T) {
		is := is.New(t)
		s := assertCause(t, all, "two", "may have run", "i-2", "did not respond to a probe")
		is.Equal(s.Missing, []string{"the line of the sidecar beside server i-2"})
	})
	t.Run("no rule after a configuration change", func(t *testing.T) {
		assertCause(t, all, "three", "version 4", "50 ms before")
	})
	t.Run("lines of one sidecar are missing", func(t *testing.T) {
		is := is.New(t)
		s := assertCause(t, refused[strings.Index(refused, "\n"):], "one", "105 overloaded", "sidecar a")
		is.Equal(len(s.Missing), 0)
		s = assertCause(t, refused[:strings.Index(refused, "\n")], "one", "sidecar b")
		is.Equal(len(s.Missing), 2)
	})
	t.Run("no line about the request", func(t *testing.T) {
		is := is.New(t)
		_, e := Explain(nil, "none")
		is.Equal(e.Code, jaypitch.CodeNoLines)
	})
}

// FuzzExplain guards against log lines that end the command: the files of a log collector may hold anything.
func FuzzExplain(f *testing.F) {
	f.Add(refused, "one")
	f.Add(probeFailed, "two")
	f.Add(change, "three")
	f.Fuzz(func(t *testing.T, text, id string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range lines {
			_ = l.Summary()
		}
		if s, e := Explain(lines, id); (s == nil) == (e == nil) {
			t.Fatal("both or neither of an explanation and an error")
		}
	})
}
