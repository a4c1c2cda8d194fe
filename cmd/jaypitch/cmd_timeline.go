package main

import (
	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/timeline"
)

// timelineCommand writes an HTML page with a timeline of log lines.
func timelineCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "timeline [FILE ...]",
		Short: "Draw a timeline of the log lines of sidecars, in files or on standard input, as an HTML page on standard output",
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLines(c.InOrStdin(), args)
			if err != nil {
				return err
			}
			return timeline.Write(c.OutOrStdout(), lines)
		},
	}
}
