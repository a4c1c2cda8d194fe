package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/sidecar"
)

// statusResponse is the status of a node, or of a sidecar if that is set.
type statusResponse struct {
	operator.Status
	sidecar.StatusReport
}

// statusCommand shows the state of a node and the settings in force there, or the state of a sidecar.
func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of a node, the settings in force there, and those refused and why; or the state of a sidecar",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s statusResponse
			if err := sendRequestJSON(c.Context(), o, http.MethodGet, "/status", nil, &s); err != nil {
				return err
			}
			switch {
			case s.Sidecar != nil && o.output == outputJSON:
				return printJSON(c.OutOrStdout(), s.StatusReport)
			case s.Sidecar != nil:
				return printSidecarStatus(c.OutOrStdout(), s.Sidecar)
			case o.output == outputJSON:
				return printJSON(c.OutOrStdout(), s.Status)
			}
			return printStatus(c.OutOrStdout(), &s.Status)
		},
	}
}

func printSidecarStatus(w io.Writer, s *sidecar.Status) error {
	fmt.Fprintf(w, "sidecar of host %s, data centre %s, service %s, ready %t\n", s.Host, s.DataCentre, s.Service, s.Ready)
	fmt.Fprintf(w, "version %d, revision %d, confirmed %s ago\n", s.Version, s.Revision, milliseconds(s.SourceAgeMS))
	fmt.Fprintf(w, "server: %d running, %d queued, %d slots, cold for %s\n", s.Running, s.Queued, s.Slots, milliseconds(s.ColdMS))
	fmt.Fprintf(w, "contested addresses %d, of which a server has answered at %d\n", s.ContestedAddresses, s.AnsweredAddresses)
	for _, e := range s.Evacuations {
		fmt.Fprintf(w, "data centre %s evacuated for %s, %d requests in progress there\n", e.DataCentre, age(e.Since), e.InProgress)
	}
	fmt.Fprintf(w, "\nmemory budget %d bytes\n", s.MemoryBudget)
	t := newTable(w, "HOLDER", "HELD BYTES", "REFUSALS")
	for _, h := range s.Memory {
		t.row(h.Holder, h.HeldBytes, h.Refusals)
	}
	return t.flush()
}

func printStatus(w io.Writer, s *operator.Status) error {
	fmt.Fprintf(w, "host %s, data centre %s, service %s, process %s, up %s\n", s.Host, s.DataCentre, s.Service, s.Process, age(s.StartedAt))
	fmt.Fprintf(w, "confirmed %t, ready %t, listed %t, stopping %s\n", s.Confirmed, s.Ready, s.Listed, orDash(strings.Join(s.Stopping, ",")))
	fmt.Fprintf(w, "position %d, parents %s, children %d, suspects %s, ejected %s\n", s.Position, orDash(strings.Join(s.Parents, ",")), s.Children,
		orDash(strings.Join(s.Suspects, ",")), orDash(strings.Join(s.Ejected, ",")))
	fmt.Fprintf(w, "source answered %s ago; this node reads it: %t, revision %d, failing %t, behind %t %s\n", milliseconds(s.SourceAgeMS), s.Source.Reads,
		s.Source.Revision, s.Source.Failing, s.Source.Behind, s.Source.Error)
	fmt.Fprintf(w, "calls running %d of %d, waiting %d, answers kept %d, retries %d\n", s.RequestsRunning, s.Slots, s.RequestsQueued, s.CachedResponses, s.Retries)
	fmt.Fprintf(w, "hosts listed %d, control bytes sent %d, received %d\n\n", s.Hosts, s.ControlSentBytes, s.ControlReceivedBytes)
	t := newTable(w, "DOCUMENT", "REVISION", "DIGEST", "IN FORCE FOR", "STATE")
	for _, d := range s.Documents {
		t.row(d.Key, d.Revision, d.Digest, age(d.Since), stateOf(&d))
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, d := range s.Documents {
		if d.RefusedRevision > 0 {
			fmt.Fprintf(w, "\n%s revision %d was refused:\n  %s\n", d.Key, d.RefusedRevision, strings.ReplaceAll(d.RefusedReason, "\n", "\n  "))
		}
	}
	return nil
}

// stateOf describes whether a document was accepted.
func stateOf(d *operator.DocumentStatus) string {
	switch {
	case d.RefusedRevision > 0:
		return fmt.Sprintf("revision %d refused, code %d", d.RefusedRevision, d.RefusedCode)
	case d.Conflict:
		return "accepted; received with two different contents"
	case d.Deleted:
		return "deleted"
	}
	return "accepted"
}
