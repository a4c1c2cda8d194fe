package timeline

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/explain"
)

const lines = `{"ts":"2026-01-01T00:00:00Z","msg":"started","node":"a"}
{"ts":"2026-01-01T00:00:01Z","msg":"version in force","node":"a","version":3}
{"ts":"2026-01-01T00:00:02Z","msg":"answered","node":"a","id":"x","code":0}
{"ts":"2026-01-01T00:00:02.5Z","msg":"failed","node":"a","id":"y","code":105}
{"ts":"2026-01-01T00:00:03Z","msg":"lines left out","node":"a","kind":"failed","lines":7}
`

func TestPage(t *testing.T) {
	is := is.New(t)
	read, err := explain.Read(strings.NewReader(lines))
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(Write(&b, read))
	text := b.String()
	is.Equal(strings.Count(text, "<img "), 2)
	is.True(strings.Contains(text, "5 lines of 1 sidecars; 7 more"))
	is.True(strings.Contains(text, "<td>started</td>"))
	is.True(!strings.Contains(text, "<script") && !strings.Contains(text, "http://") && !strings.Contains(text, "https://"))
}

func TestResultCountsAndVersionHistory(t *testing.T) {
	is := is.New(t)
	read, err := explain.Read(strings.NewReader(lines))
	is.NoErr(err)
	counts := resultCounts(read, read[0].At)
	is.Equal(counts["overloaded"][2].Y, 1.0)
	is.Equal(counts["ok"][2].Y, 1.0)
	is.Equal(counts["ok"][1].Y, 0.0)
	is.Equal(versionHistory(read, read[0].At)["a"][0].Y, 3.0)
}

func TestNoLines(t *testing.T) {
	is := is.New(t)
	is.True(Write(&bytes.Buffer{}, nil) != nil)
}
