package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// table writes aligned columns.
type table struct {
	w *tabwriter.Writer
}

const (
	columnGap  = 2
	colourOff  = "\x1b[0m"
	colourRed  = "\x1b[31m"
	colourGood = "\x1b[32m"
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

// coloured marks a text if it is written to a terminal.
func coloured(w io.Writer, colour, text string) string {
	f, ok := w.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return text
	}
	if i, err := f.Stat(); err != nil || i.Mode()&os.ModeCharDevice == 0 {
		return text
	}
	return colour + text + colourOff
}

// age is the time since a moment, for people.
func age(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Second).String()
}

func milliseconds(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
