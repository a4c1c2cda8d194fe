package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/explain"
)

// explainCommand traces one request through the log lines of sidecars.
func explainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE ...]",
		Short: "Trace one request through the log lines of sidecars, in files or on standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLines(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			s, e := explain.Explain(lines, args[0])
			if e != nil {
				return e
			}
			if o.output == outputJSON {
				return printJSON(c.OutOrStdout(), s)
			}
			return printExplanation(c.OutOrStdout(), s)
		},
	}
}

// readLines reads log lines from files, or from in if there are none.
func readLines(in io.Reader, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(in)
	}
	var all []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, jaypitch.Errorf(jaypitch.CodeUnreadable, "file %q: %s", name, err)
		}
		lines, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, jaypitch.Errorf(jaypitch.CodeUnreadable, "file %q: %s", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func printExplanation(w io.Writer, s *explain.Explanation) error {
	fmt.Fprintf(w, "request %s\n%s\n\n", s.ID, s.Cause)
	if err := printLines(w, s.Lines); err != nil {
		return err
	}
	if len(s.RelatedChanges) > 0 {
		fmt.Fprintln(w, "\nstate changes on these sidecars around the request:")
		if err := printLines(w, s.RelatedChanges); err != nil {
			return err
		}
	}
	if len(s.Missing) > 0 {
		fmt.Fprintf(w, "\nmissing: %s\n", strings.Join(s.Missing, "; "))
	}
	return nil
}

func printLines(w io.Writer, lines []explain.Line) error {
	t := newTable(w, "TIME", "SIDECAR", "LINE", "WHAT")
	for _, l := range lines {
		t.row(l.At.Format("15:04:05.000"), l.Node, l.Message, l.Summary())
	}
	return t.flush()
}
