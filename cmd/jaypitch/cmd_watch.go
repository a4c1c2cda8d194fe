package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/operator"
)

// watchCommand polls the status of a node and prints each document that changed, until it is interrupted.
func watchCommand(o *options) *cobra.Command {
	var interval time.Duration
	c := &cobra.Command{
		Use:   "watch",
		Short: "Print each change of the settings in force at a node",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if interval <= 0 {
				return jaypitch.Errorf(jaypitch.CodeUsage, "--every is %s; allowed is a time over 0", interval)
			}
			seen := map[string]operator.DocumentStatus{}
			t := time.NewTicker(interval)
			defer t.Stop()
			for {
				var s operator.Status
				if err := sendRequestJSON(c.Context(), o, http.MethodGet, "/status", nil, &s); err != nil {
					return err
				}
				for _, d := range s.Documents {
					if seen[d.Key] == d {
						continue
					}
					seen[d.Key] = d
					if err := printChange(c, o, &d); err != nil {
						return err
					}
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-t.C:
				}
			}
		},
	}
	c.Flags().DurationVar(&interval, "every", 500*time.Millisecond, "poll interval")
	return c
}

func printChange(c *cobra.Command, o *options, d *operator.DocumentStatus) error {
	if o.output == outputJSON {
		return printJSON(c.OutOrStdout(), d)
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%s %s revision %d digest %s: %s\n", d.Since.Format(time.RFC3339), d.Key, d.Revision, d.Digest, stateOf(d))
	return err
}
