package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/outbound"
)

// whereCommand explains where a request would go now.
func whereCommand(o *options) *cobra.Command {
	var host, rule string
	var asJSON bool
	c := &cobra.Command{
		Use:   "where [--host HOST] PATH | where --rule NAME",
		Short: "Explain where a sidecar would send a request now, without sending it",
		Long: "Asks the sidecar whose metrics listener --node names for the rule of a request, its destinations and what each of their servers would cost.\n" +
			"Other sidecars may choose differently.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			q := url.Values{}
			switch {
			case (rule == "") == (len(args) == 0):
				return jaypitch.Errorf(jaypitch.CodeUsage, "either PATH or --rule is needed")
			case rule != "" && host != "":
				return jaypitch.Errorf(jaypitch.CodeUsage, "--host is for PATH; a rule is named alone")
			case rule != "":
				q.Set("rule", rule)
			case !strings.HasPrefix(args[0], "/"):
				return jaypitch.Errorf(jaypitch.CodeUsage, "the path is %q; it must begin with a slash", args[0])
			default:
				q.Set("path", args[0])
				q.Set("host", host)
			}
			var r outbound.WhereReport
			if err := sendRequestJSON(c.Context(), o, http.MethodGet, "/where", q, &r); err != nil {
				return err
			}
			if asJSON || o.output == outputJSON {
				return printJSON(c.OutOrStdout(), r)
			}
			return printWhere(c.OutOrStdout(), &r)
		},
	}
	c.Flags().StringVar(&host, "host", "", "host of the request, as in its Host header")
	c.Flags().StringVar(&rule, "rule", "", "name of a rule, instead of a path")
	c.Flags().BoolVar(&asJSON, "json", false, "the same as --output json")
	return c
}

func printWhere(w io.Writer, r *outbound.WhereReport) error {
	fmt.Fprintf(w, "rule %s of version %d: host %q, prefix %q, rank %d, target %s, timeout %s\n", r.Rule, r.Version, r.Host, r.Prefix, r.Rank,
		milliseconds(r.TargetMS), milliseconds(r.TimeoutMS))
	for _, d := range r.Destinations {
		fmt.Fprintf(w, "\nservice %s: %.0f%% of the requests\n", d.Service, 100*d.Share)
		if d.Code != 0 {
			fmt.Fprintf(w, "a request would be refused: %d %s, %s; Retry-After from %.3f s\n", d.Code, d.Code.Info().Name, d.Reason, d.RetryAfterMS/1000)
		}
		t := newTable(w, "SERVER", "DATA CENTRE", "COST MS", "MEAN", "LOAD", "NETWORK", "LIMIT", "TRANSFER", "OTHER", "PER SLOT", "SKIPPED")
		for _, c := range d.Candidates {
			skipped := orDash(c.Skipped)
			if c.RetryAfterMS > 0 {
				skipped += fmt.Sprintf(", for %.0f ms", c.RetryAfterMS)
			}
			t.row(c.Server, c.DataCentre, oneDecimal(c.CostMS), oneDecimal(c.MeanMS), oneDecimal(c.LoadMS), oneDecimal(c.NetworkMS), oneDecimal(c.LimitMS),
				oneDecimal(c.TransferMS), oneDecimal(c.OtherMS), fmt.Sprintf("%.2f", c.Load), skipped)
		}
		if err := t.flush(); err != nil {
			return err
		}
	}
	return nil
}

func oneDecimal(f float64) string {
	return fmt.Sprintf("%.1f", f)
}
