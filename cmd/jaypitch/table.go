package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// table writes rows in aligned columns. It buffers them; flush ends the table.
type table struct {
	w *tabwriter.Writer
}

const (
	columnGap   = 2
	colourReset = "\x1b[0m"
	colourRed   = "\x1b[31m"
	colourGreen = "\x1b[32m"
)

func newTable(w io.Writer, heads ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.row(toAny(heads)...)
	return t
}

func (t *table) row(cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(parts, "\t"))
}

func (t *table) flush() error {
	return t.w.Flush()
}

func toAny(texts []string) []any {
	out := make([]any, len(texts))
	for i, s := range texts {
		out[i] = s
	}
	return out
}

// coloured returns the text in a colour if w is a terminal and NO_COLOR is not set, else the text alone.
func coloured(w io.Writer, colour, text string) string {
	f, ok := w.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return text
	}
	if i, err := f.Stat(); err != nil || i.Mode()&os.ModeCharDevice == 0 {
		return text
	}
	return colour + text + colourReset
}

// age returns the time since t in whole seconds, or "never" if t is zero.
func age(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Second).String()
}

// milliseconds formats a duration in milliseconds; a negative one is unknown.
func milliseconds(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// orDash returns "-" in place of an empty cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
