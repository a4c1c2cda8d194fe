package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/operator"
)

// watchCommand prints each change of a node's state until it is interrupted.
func watchCommand(o *options) *cobra.Command {
	var every time.Duration
	c := &cobra.Command{
		Use:   "watch",
		Short: "Print each change of what is in force at a node",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			seen := map[string]operator.DocumentStatus{}
			t := time.NewTicker(every)
			defer t.Stop()
			for {
				var s operator.Status
				if err := askInto(c.Context(), o, http.MethodGet, "/status", nil, &s); err != nil {
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
	c.Flags().DurationVar(&every, "every", 500*time.Millisecond, "time between looks")
	return c
}

func printChange(c *cobra.Command, o *options, d *operator.DocumentStatus) error {
	if o.output == outputJSON {
		return printJSON(c.OutOrStdout(), d)
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%s %s revision %d digest %s: %s\n", d.Since.Format(time.RFC3339), d.Key, d.Revision, d.Digest, stateOf(d))
	return err
}
