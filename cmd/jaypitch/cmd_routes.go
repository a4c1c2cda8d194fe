package main

import (
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/operator"
)

// routesCommand lists the declared routes of a node's routing table.
func routesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "routes",
		Short: "List the routes in force at a node, and those withdrawn and why",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var routes []operator.RouteStatus
			if err := sendRequestJSON(c.Context(), o, http.MethodGet, "/routes", nil, &routes); err != nil {
				return err
			}
			if o.output == outputJSON {
				return printJSON(c.OutOrStdout(), routes)
			}
			t := newTable(c.OutOrStdout(), "ROUTE", "SERVICE", "RANK", "IDEMPOTENT", "HOSTS", "CUSTOMERS", "STATE")
			for _, r := range routes {
				state := "in force"
				if r.Withdrawn != "" {
					state = "withdrawn: " + r.Withdrawn
				}
				t.row(r.Team+"/"+r.Route, orDash(r.Service), orDash(r.Rank), r.Idempotent, r.Hosts, orDash(strings.Join(r.Customers, ",")), state)
			}
			return t.flush()
		},
	}
}
