package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/operator"
)

// burnCommand reports the error budgets and burn rates of all listed hosts.
func burnCommand(o *options) *cobra.Command {
	var page string
	c := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast each service and rank spends its error budget",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var b burn.Report
			fmt.Fprintf(c.ErrOrStderr(), "querying every listed host, timeout %s\n", o.timeout)
			if err := sendRequestJSON(c.Context(), o, http.MethodGet, "/burn", url.Values{"timeout": {o.timeout.String()}}, &b); err != nil {
				return err
			}
			if page != "" {
				if err := writeBurnPage(page, &b); err != nil {
					return err
				}
			}
			if o.output == outputJSON {
				return printJSON(c.OutOrStdout(), b)
			}
			return printBurn(c.OutOrStdout(), &b)
		},
	}
	c.Flags().StringVar(&page, "html", "", "also write an HTML page with plots to this file")
	return c
}

func printBurn(w io.Writer, b *burn.Report) error {
	t := newTable(w, "SERVICE", "RANK", "WINDOW", "GOOD", "BAD", "OBJECTIVE", "BURN RATE", "BUDGET LEFT")
	for _, c := range b.Counts {
		t.row(c.Service, c.Rank, milliseconds(c.WindowUS/1000), c.Good, c.Bad, fmt.Sprintf("%.1f%%", float64(c.ObjectivePermille)/10),
			fmt.Sprintf("%.2f", c.Rate), fmt.Sprintf("%.0f%%", 100*c.BudgetLeft))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if len(b.Unresponsive) > 0 {
		fmt.Fprintf(w, "\n%d of %d hosts did not respond: %s\n", len(b.Unresponsive), b.HostsQueried, strings.Join(b.Unresponsive, ", "))
	}
	return nil
}

// writeBurnPage writes the report to a file as an HTML page.
func writeBurnPage(file string, b *burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("writing %q: %w", file, err)
	}
	defer f.Close()
	return operator.WriteBurnPage(f, b)
}
