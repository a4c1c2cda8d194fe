package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/schema"
)

const maxExceptionsShown = 20

// evidenceCommand queries every listed host and exits with the status of the verdict.
func evidenceCommand(o *options) *cobra.Command {
	s := &schema.Subject{}
	var route string
	c := &cobra.Command{
		Use:   "evidence [--route TEAM/ROUTE] [--customer NAME] [--backend HOST] [--data-centre NAME] [--team TEAM] [--version REVISION]",
		Short: "Prove that a route, customer, backend server, data centre or version is gone everywhere",
		Long: "Queries every listed host. Exit status 0 means gone, 1 present, 2 not proven.\n" +
			"With --version, gone means that no host holds an older revision of the team's settings.\n" +
			"With --data-centre, asked of a sidecar, gone means that every host has evacuated it and no request is in progress there.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := completeSubject(s, route); err != nil {
				return err
			}
			var r evidence.Report
			fmt.Fprintf(c.ErrOrStderr(), "querying every listed host, timeout %s\n", o.timeout)
			if err := sendRequestJSON(c.Context(), o, http.MethodGet, "/evidence", queryOf(s, o), &r); err != nil {
				return err
			}
			if err := printEvidence(c.OutOrStdout(), o, &r); err != nil {
				return err
			}
			if status := r.Verdict.ExitStatus(); status != exitOK {
				return &exitError{status}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&route, "route", "", "route, as TEAM/ROUTE")
	f.StringVar(&s.Customer, "customer", "", "customer")
	f.StringVar(&s.Backend, "backend", "", "host of a backend server")
	f.StringVar(&s.DataCentre, "data-centre", "", "evacuated data centre")
	f.StringVar(&s.Team, "team", "", "team")
	f.Int64Var(&s.Revision, "version", 0, "revision of the team's settings")
	return c
}

// completeSubject adds the team and route of --route to the subject and checks it.
func completeSubject(s *schema.Subject, route string) error {
	if route != "" {
		team, name, ok := strings.Cut(route, "/")
		if !ok || s.GetTeam() != "" && s.GetTeam() != team {
			return jaypitch.Errorf(jaypitch.CodeUsage, "flag --route is %q; it must be TEAM/ROUTE, with the team of --team if that is set", route)
		}
		s.Team, s.Route = team, name
	}
	if reason := operator.CheckSubject(s); reason != "" {
		return jaypitch.Errorf(jaypitch.CodeUsage, "%s", reason)
	}
	return nil
}

// queryOf returns the query parameters of an evidence request.
func queryOf(s *schema.Subject, o *options) url.Values {
	q := url.Values{"timeout": {o.timeout.String()}}
	for name, value := range map[string]string{"team": s.GetTeam(), "route": s.GetRoute(), "customer": s.GetCustomer(), "backend": s.GetBackend(), "data_centre": s.GetDataCentre()} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if s.GetRevision() != 0 {
		q.Set("revision", strconv.FormatInt(s.GetRevision(), 10))
	}
	return q
}

func printEvidence(w io.Writer, o *options, r *evidence.Report) error {
	if o.output == outputJSON {
		return printJSON(w, r)
	}
	colour := colourRed
	if r.Verdict == evidence.VerdictGone {
		colour = colourGreen
	}
	fmt.Fprintf(w, "%s: %s\n", r.Subject, coloured(w, colour, string(r.Verdict)))
	fmt.Fprintf(w, "%d hosts asked in %.0f ms\n\n", r.HostsQueried, r.TookMS)
	t := newTable(w, "HOSTS", "REVISION", "DIGEST", "ENFORCED", "CONFIRMED", "HELD FOR", "LAST CALL")
	for _, g := range r.Groups {
		last := "none seen"
		if g.LastRequestMS >= 0 {
			last = milliseconds(g.LastRequestMS) + " ago"
		}
		t.row(g.Hosts, g.Revision, g.Digest, g.Enforced, g.Confirmed, milliseconds(g.SinceAppliedMS), last)
	}
	if err := t.flush(); err != nil {
		return err
	}
	if err := printExceptions(w, r.Exceptions); err != nil {
		return err
	}
	fmt.Fprintln(w)
	lists := newTable(w, "JUDGED BY HOST LIST", "REVISION", "HELD FOR", "SOURCE ANSWERED")
	for _, l := range r.HostLists {
		lists.row(l.DataCentre, l.Revision, milliseconds(l.SinceAppliedMS), milliseconds(l.SourceAgeMS)+" ago")
	}
	return lists.flush()
}

// printExceptions lists the hosts that rule out the verdict gone, at most maxExceptionsShown of them.
func printExceptions(w io.Writer, exceptions []evidence.Exception) error {
	if len(exceptions) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	t := newTable(w, "HOST", "CODE", "REASON")
	for _, e := range exceptions[:min(len(exceptions), maxExceptionsShown)] {
		t.row(e.Host, fmt.Sprintf("%d %s", e.Code, e.Name), e.Reason)
	}
	if more := len(exceptions) - maxExceptionsShown; more > 0 {
		t.row(fmt.Sprintf("and %d more; --output json lists all", more), "", "")
	}
	return t.flush()
}
